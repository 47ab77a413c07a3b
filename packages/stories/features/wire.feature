Feature: The platform's line wire
  In a table ␠ stands for a blank, ␍ and ␊ for the two characters of a line end, and "read as" is written as JSON.

  Scenario: What senders say is read as the platform's pages name it
    Then these messages of senders are read so:
      | message                                 | read as                                                                                               |
      | OPEN lepu270 u3f1                       | {"kind":"open","database":"lepu270","who":"u3f1"}                                                     |
      | OPEN lepu270 a key with blanks          | {"kind":"open","database":"lepu270","who":"a key with blanks"}                                        |
      | CLOSE                                   | {"kind":"close"}                                                                                      |
      | QUERY 5c0e BEGIN                        | {"kind":"query","identifier":"5c0e","text":"BEGIN","command":{"kind":"begin","readOnly":false}}       |
      | QUERY 5c0e BEGIN READ                   | {"kind":"query","identifier":"5c0e","text":"BEGIN READ","command":{"kind":"begin","readOnly":true}}   |
      | QUERY 5c0e COMMIT                       | {"kind":"query","identifier":"5c0e","text":"COMMIT","command":{"kind":"commit"}}                      |
      | QUERY 5c0e REVERT                       | {"kind":"query","identifier":"5c0e","text":"REVERT","command":{"kind":"rollback"}}                    |
      | QUERY 5c0e READ 1a4                     | {"kind":"query","identifier":"5c0e","text":"READ 1a4","command":{"kind":"read"}}                      |
      | QUERY 5c0e WRITE 1a4 xkqp wnzd␠␠e       | {"kind":"query","identifier":"5c0e","text":"WRITE 1a4 xkqp wnzd  e","command":{"kind":"write"}}       |
      | QUERY 5c0e SET mood two words␠          | {"kind":"query","identifier":"5c0e","text":"SET mood two words ","command":{"kind":"set","name":"mood","value":"two words "}} |
      | QUERY 5c0e SET mood␠                    | {"kind":"query","identifier":"5c0e","text":"SET mood ","command":{"kind":"set","name":"mood","value":""}} |
      | QUERY 5c0e DEFINE s1 WRITE q2c and more | {"kind":"query","identifier":"5c0e","text":"DEFINE s1 WRITE q2c and more","command":{"kind":"prepare","name":"s1","writes":true,"shape":"q2c and more"}} |
      | QUERY 5c0e DEFINE s1 READ q2c           | {"kind":"query","identifier":"5c0e","text":"DEFINE s1 READ q2c","command":{"kind":"prepare","name":"s1","writes":false,"shape":"q2c"}} |
      | QUERY 5c0e INVOKE s1 1a4                | {"kind":"query","identifier":"5c0e","text":"INVOKE s1 1a4","command":{"kind":"execute","name":"s1","rest":"1a4"}} |
      | QUERY 5c0e INVOKE s1 1a4 xk qp          | {"kind":"query","identifier":"5c0e","text":"INVOKE s1 1a4 xk qp","command":{"kind":"execute","name":"s1","rest":"1a4 xk qp"}} |
      | QUERY 5c0e UNDEFINE s1                  | {"kind":"query","identifier":"5c0e","text":"UNDEFINE s1","command":{"kind":"forget","name":"s1"}}     |

  Scenario: What senders may not say is malformed, whichever way it is said
    Then none of these messages of senders is let in:
      | message                               |
      | QUERY 5c0e SINCE 3.1207 READ 1a4      |
      | QUERY 5c0e STATE                      |
      | QUERY 5c0e PAUSE 9                    |
      | QUERY 5c0e YIELD 9                    |
      | QUERY 5c0e CLEAR                      |
      | QUERY 5c0e CONTINUE                   |
      | QUERY - READ 1a4                      |
      | QUERY - STATE                         |
      | QUERY␠␠READ 1a4                       |
      | QUERY 5c0e␠                           |
      | QUERY 5c0e                            |
      | QUERY                                 |
      | QUERY 5c0e READ                       |
      | QUERY 5c0e READ␠                      |
      | QUERY 5c0e READ 1a4␍QUERY - STATE     |
      | QUERY 5c0e READ 1a4␊QUERY - STATE     |
      | QUERY 5c0e WRITE 1a4 data␍            |
      | QUERY 5c0e WRITE 1a4                  |
      | QUERY 5c0e WRITE␠␠data                |
      | QUERY 5c0e COMMIT␠                    |
      | QUERY 5c0e COMMIT now                 |
      | QUERY 5c0e REVERT␠                    |
      | QUERY 5c0e BEGIN␠                     |
      | QUERY 5c0e BEGIN WRITE                |
      | QUERY 5c0e BEGIN READ␠                |
      | QUERY 5c0e SET mood                   |
      | QUERY 5c0e SET                        |
      | QUERY 5c0e DEFINE s1 CLEAR q2c        |
      | QUERY 5c0e DEFINE s1 READ             |
      | QUERY 5c0e INVOKE s1                  |
      | QUERY 5c0e UNDEFINE                   |
      | QUERY 5c0e read 1a4                   |
      | QUERY 5c0e␠READ␍ 1a4                  |
      | query 5c0e READ 1a4                   |
      | OPEN lepu270                          |
      | OPEN lepu270␠                         |
      | OPEN␠␠u3f1                            |
      | OPEN lepu270 u3f1␍                    |
      | CLOSE now                             |
      | ROW replica 3 3.1209 0 12 2 17        |
      | FAULT UNKNOWN x                       |
      | ␠                                     |

  Scenario: What members say is read as the platform's pages name it, rows and stamps as they came
    Then these messages of members are read so:
      | message                            | read as                                                                                      |
      | ROW qhzkwmtrbelo                   | {"kind":"row","raw":"ROW qhzkwmtrbelo"}                                                      |
      | ROW a  b␠                          | {"kind":"row","raw":"ROW a  b "}                                                             |
      | ROW                                | {"kind":"row","raw":"ROW"}                                                                   |
      | DONE 7.1f3.c.2b.90e1c4d2a7b3f655   | {"kind":"ending","ending":{"kind":"done","stamp":"7.1f3.c.2b.90e1c4d2a7b3f655"}}             |
      | DONE a stamp with blanks␠          | {"kind":"ending","ending":{"kind":"done","stamp":"a stamp with blanks "}}                    |
      | DONE -                             | {"kind":"ending","ending":{"kind":"done","stamp":"-"}}                                       |
      | FAULT READONLY i-7f3a91c2          | {"kind":"ending","ending":{"kind":"fault","condition":"read-only","text":"i-7f3a91c2"}}      |
      | FAULT LAGGING                      | {"kind":"ending","ending":{"kind":"fault","condition":"lagging","text":""}}                  |
      | FAULT NEVERHEARD two words         | {"kind":"ending","ending":{"kind":"fault","condition":"failed","text":"two words"}}          |
      | IDLE I 3.1207                      | {"kind":"rest","stance":"idle","position":{"term":3,"number":1207}}                          |
      | IDLE T 3.1207                      | {"kind":"rest","stance":"open","position":{"term":3,"number":1207}}                          |
      | IDLE E -                           | {"kind":"rest","stance":"failed","position":null}                                            |
      | IDLE X -                           | {"kind":"unreadable"}                                                                        |
      | IDLE I                             | {"kind":"unreadable"}                                                                        |
      | IDLE I 3.x                         | {"kind":"unreadable"}                                                                        |
      | IDLE I 3.1207 4                    | {"kind":"unreadable"}                                                                        |
      | DONE                               | {"kind":"unreadable"}                                                                        |
      | FAULT                              | {"kind":"unreadable"}                                                                        |
      | FAULT readonly x                   | {"kind":"unreadable"}                                                                        |
      | STATE                              | {"kind":"unreadable"}                                                                        |

  Scenario: What is said to senders and members stands on the wire as the pages show it
    Then the wire says what the pages show
    And every condition of the wire is told by its code and read back from it

  Scenario: A member's STATE is read whole or not at all
    Then "ROW replica 3 3.1209 0 12 2 17" tells a replica of term 3 that received 3.1209 and lags 12 ms
    And none of these rows tells a standing:
      | message                        |
      | ROW leader 3 3.1209 0 12 2 17  |
      | ROW replica x 3.1209 0 12 2 17 |
      | ROW replica 3 - 0 12 2 17      |
      | ROW replica                    |
      | DONE -                         |

  Scenario: Messages come in pieces, and several in one piece
    Then a conversation cut at every place yields the same messages
    And 200 seeded cuts of a longer one yield the same messages

  Scenario: A message of the greatest length is taken however it is cut, a longer one is oversize
    Then a message of 1048576 bytes is taken, whole or cut before and within its line end
    And one byte more is oversize, with or without its end, and what came before it is handed over

  Scenario: Thousands of mutated messages: nothing throws, and nothing is let in that the grammar does not name
    Then 20000 messages mutated from seed 1 are let in exactly where the grammar names them
    And 20000 messages mutated from seed 2 are let in exactly where the grammar names them
    And 20000 messages of members mutated from seed 3 are read or unreadable, and none throws

  Scenario: Nothing a sender may not say reaches a member
    Given a proxy of the session wire with one member, fed with a lease
    When a session reads and writes, and says each of these in a session of its own:
      | message                           |
      | QUERY 5c0e SINCE 3.1207 READ 1a4  |
      | QUERY 5c0e STATE                  |
      | QUERY 5c0e PAUSE 9                |
      | QUERY 5c0e YIELD 9                |
      | QUERY 5c0e CLEAR                  |
      | QUERY 5c0e CONTINUE               |
      | QUERY - WRITE 1a4 data            |
      | QUERY 5c0e READ 1a4␍QUERY - PAUSE |
      | QUERY 5c0e READ 1a4␊QUERY - PAUSE |
      | QUERY 5c0e COMMIT␠                |
    Then each was replied "FAULT MALFORMED"
    And the member heard the read and the write unchanged, under the tenant's name, and nothing else

  Scenario: Mutated sessions end no proxy, and its member hears only what the grammar names
    Given a proxy of the session wire with one member, fed with a lease
    When 400 sessions say messages mutated from seed 4
    Then the proxy still serves, and the member heard only what the grammar names
