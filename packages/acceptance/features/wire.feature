Feature: The platform's line wire
  In a table ␠ stands for a blank, ␍ and ␊ for the two characters of a line end, and "read as" is written as JSON.

  Scenario: What senders say is read as the platform's pages name it
    Then these messages of senders are read so:
      | message                                 | read as                                                                                               |
      | OPEN harbour key1                       | {"kind":"open","database":"harbour","key":"key1"}                                                     |
      | OPEN harbour a key with blanks          | {"kind":"open","database":"harbour","key":"a key with blanks"}                                        |
      | CLOSE                                   | {"kind":"close"}                                                                                      |
      | QUERY ab12 BEGIN                        | {"kind":"query","identifier":"ab12","text":"BEGIN","command":{"kind":"begin","readOnly":false}}       |
      | QUERY ab12 BEGIN READ                   | {"kind":"query","identifier":"ab12","text":"BEGIN READ","command":{"kind":"begin","readOnly":true}}   |
      | QUERY ab12 COMMIT                       | {"kind":"query","identifier":"ab12","text":"COMMIT","command":{"kind":"commit"}}                      |
      | QUERY ab12 REVERT                       | {"kind":"query","identifier":"ab12","text":"REVERT","command":{"kind":"rollback"}}                    |
      | QUERY ab12 READ k77                     | {"kind":"query","identifier":"ab12","text":"READ k77","command":{"kind":"read"}}                      |
      | QUERY ab12 WRITE k77 data more␠␠e       | {"kind":"query","identifier":"ab12","text":"WRITE k77 data more  e","command":{"kind":"write"}}       |
      | QUERY ab12 SET mood two words␠          | {"kind":"query","identifier":"ab12","text":"SET mood two words ","command":{"kind":"set","name":"mood","value":"two words "}} |
      | QUERY ab12 SET mood␠                    | {"kind":"query","identifier":"ab12","text":"SET mood ","command":{"kind":"set","name":"mood","value":""}} |
      | QUERY ab12 DEFINE s1 WRITE shape and more | {"kind":"query","identifier":"ab12","text":"DEFINE s1 WRITE shape and more","command":{"kind":"prepare","name":"s1","writes":true,"statement":"shape and more"}} |
      | QUERY ab12 DEFINE s1 READ shape           | {"kind":"query","identifier":"ab12","text":"DEFINE s1 READ shape","command":{"kind":"prepare","name":"s1","writes":false,"statement":"shape"}} |
      | QUERY ab12 INVOKE s1 k77                | {"kind":"query","identifier":"ab12","text":"INVOKE s1 k77","command":{"kind":"execute","name":"s1","parameters":"k77"}} |
      | QUERY ab12 INVOKE s1 k77 xk qp          | {"kind":"query","identifier":"ab12","text":"INVOKE s1 k77 xk qp","command":{"kind":"execute","name":"s1","parameters":"k77 xk qp"}} |
      | QUERY ab12 UNDEFINE s1                  | {"kind":"query","identifier":"ab12","text":"UNDEFINE s1","command":{"kind":"forget","name":"s1"}}     |

  Scenario: What senders may not say is malformed, whichever way it is said
    Then none of these messages of senders is let in:
      | message                               |
      | QUERY ab12 SINCE 3.41 READ k77      |
      | QUERY ab12 STATE                      |
      | QUERY ab12 PAUSE 9                    |
      | QUERY ab12 YIELD 9                    |
      | QUERY ab12 CLEAR                      |
      | QUERY ab12 CONTINUE                   |
      | QUERY - READ k77                      |
      | QUERY - STATE                         |
      | QUERY␠␠READ k77                       |
      | QUERY ab12␠                           |
      | QUERY ab12                            |
      | QUERY                                 |
      | QUERY ab12 READ                       |
      | QUERY ab12 READ␠                      |
      | QUERY ab12 READ k77␍QUERY - STATE     |
      | QUERY ab12 READ k77␊QUERY - STATE     |
      | QUERY ab12 WRITE k77 data␍            |
      | QUERY ab12 WRITE k77                  |
      | QUERY ab12 WRITE␠␠data                |
      | QUERY ab12 COMMIT␠                    |
      | QUERY ab12 COMMIT now                 |
      | QUERY ab12 REVERT␠                    |
      | QUERY ab12 BEGIN␠                     |
      | QUERY ab12 BEGIN WRITE                |
      | QUERY ab12 BEGIN READ␠                |
      | QUERY ab12 SET mood                   |
      | QUERY ab12 SET                        |
      | QUERY ab12 DEFINE s1 CLEAR shape        |
      | QUERY ab12 DEFINE s1 READ             |
      | QUERY ab12 INVOKE s1                  |
      | QUERY ab12 UNDEFINE                   |
      | QUERY ab12 read k77                   |
      | QUERY ab12␠READ␍ k77                  |
      | query ab12 READ k77                   |
      | OPEN harbour                          |
      | OPEN harbour␠                         |
      | OPEN␠␠key1                            |
      | OPEN harbour key1␍                    |
      | CLOSE now                             |
      | ROW replica 3 3.43 0 25 1 9        |
      | FAULT UNKNOWN x                       |
      | ␠                                     |

  Scenario: What members say is read as the platform's pages name it, rows and stamps as they came
    Then these messages of members are read so:
      | message                            | read as                                                                                      |
      | ROW found it                   | {"kind":"row","raw":"ROW found it"}                                                      |
      | ROW a  b␠                          | {"kind":"row","raw":"ROW a  b "}                                                             |
      | ROW                                | {"kind":"row","raw":"ROW"}                                                                   |
      | DONE 4.a2.b.31.0f   | {"kind":"completion","completion":{"kind":"done","stamp":"4.a2.b.31.0f"}}             |
      | DONE a stamp with blanks␠          | {"kind":"completion","completion":{"kind":"done","stamp":"a stamp with blanks "}}                    |
      | DONE -                             | {"kind":"completion","completion":{"kind":"done","stamp":"-"}}                                       |
      | FAULT READONLY member-7          | {"kind":"completion","completion":{"kind":"fault","condition":"read-only","text":"member-7"}}      |
      | FAULT LAGGING                      | {"kind":"completion","completion":{"kind":"fault","condition":"lagging","text":""}}                  |
      | FAULT NEVERHEARD two words         | {"kind":"completion","completion":{"kind":"fault","condition":"failed","text":"two words"}}          |
      | IDLE I 3.41                      | {"kind":"ready","transactionStatus":"idle","position":{"term":3,"number":41}}                          |
      | IDLE T 3.41                      | {"kind":"ready","transactionStatus":"open","position":{"term":3,"number":41}}                          |
      | IDLE E -                           | {"kind":"ready","transactionStatus":"failed","position":null}                                            |
      | IDLE X -                           | {"kind":"unreadable"}                                                                        |
      | IDLE I                             | {"kind":"unreadable"}                                                                        |
      | IDLE I 3.x                         | {"kind":"unreadable"}                                                                        |
      | IDLE I 3.41 4                    | {"kind":"unreadable"}                                                                        |
      | DONE                               | {"kind":"unreadable"}                                                                        |
      | FAULT                              | {"kind":"unreadable"}                                                                        |
      | FAULT readonly x                   | {"kind":"unreadable"}                                                                        |
      | STATE                              | {"kind":"unreadable"}                                                                        |

  Scenario: What is said to senders and members stands on the wire as the pages show it
    Then the wire says what the pages show
    And every condition of the wire is told by its code and read back from it

  Scenario: A member's STATE is read whole or not at all
    Then "ROW replica 3 3.43 0 25 1 9" tells a replica of term 3 that received 3.43 and lags 25 ms
    And none of these rows tells a standing:
      | message                        |
      | ROW leader 3 3.43 0 25 1 9  |
      | ROW replica x 3.43 0 25 1 9 |
      | ROW replica 3 - 0 25 1 9      |
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
      | QUERY ab12 SINCE 3.41 READ k77  |
      | QUERY ab12 STATE                  |
      | QUERY ab12 PAUSE 9                |
      | QUERY ab12 YIELD 9                |
      | QUERY ab12 CLEAR                  |
      | QUERY ab12 CONTINUE               |
      | QUERY - WRITE k77 data            |
      | QUERY ab12 READ k77␍QUERY - PAUSE |
      | QUERY ab12 READ k77␊QUERY - PAUSE |
      | QUERY ab12 COMMIT␠                |
    Then each was replied "FAULT MALFORMED"
    And the member heard the read and the write unchanged, under the tenant's name, and nothing else

  Scenario: Mutated sessions end no proxy, and its member hears only what the grammar names
    Given a proxy of the session wire with one member, fed with a lease
    When 400 sessions say messages mutated from seed 4
    Then the proxy still serves, and the member heard only what the grammar names
