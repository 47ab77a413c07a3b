Feature: Network and disk of a real machine, from the runtime alone
  These stories use loopback sockets and a folder of their own; none waits longer than what it shows.

  Scenario: A connection is kept alive, and its end is told
    Given a page that replies what it was asked, on loopback
    When 30 asks go out over one connection
    Then all were replied over one and the same connection, and nothing warned of a leak
    And once it is closed, the server is told so

  Scenario: What cannot be read is replied with a 4xx, and the server goes on
    Given a page that replies what it was asked, on loopback
    Then a body of 1 MiB and more is replied 413 "too-large"
    And a body that is no JSON is replied 400 "bad-request"
    And a path that no URI may hold is replied 404 "not-found"
    And what is no HTTP is replied 400
    And a request cut off in its body leaves the server as it was
    And an ask over a new connection is replied

  Scenario: A reply that is lost under way is told as lost, and the connection does not come back
    Then a far end that behaves like this yields "reply-lost":
      | far end                       |
      | closes without a reply        |
      | resets without a reply        |
      | ends within the body          |
      | sends a body that is no JSON  |
      | says nothing at all           |
      | stops within the body         |
      | sends what is no HTTP         |

  Scenario: A connection that was closed never comes back by itself
    Given a page that replies what it was asked, on loopback
    Then a connection whose far end closes between two asks is closed, and asks nothing more

  Scenario: A reply that nobody waits for ends the connection, and is never taken for the reply to what is asked next
    Then over a connection whose far end behaves like this, no ask is given the reply to another:
      | far end                                     |
      | replies once more while nothing is asked    |
      | replies twice in one piece                  |
      | replies late, after the time was over       |
      | half replies once more while nothing is asked |
      | closes while nothing is asked               |

  Scenario: One exchange at a time, and none after its time to leave
    Given a page that replies what it was asked, on loopback
    Then a second ask on a busy connection is denied at once, and the first is replied
    And an ask whose time to leave is over never leaves

  Scenario: Asks that come in one piece are replied in order, whichever is done first
    Given a page that replies the later the shorter the word, on loopback
    Then of asks for "a", "bbbb" and "cc" in one piece the replies come in that order, each with its own body
    And an ask that expects to be let go on is let go on, and replied once
    And an ask in chunks cut anywhere is replied as a whole one
    And an ask whose sender goes before the reply leaves the replies of others as they are

  Scenario: Where nothing listens no byte has left
    Then an ask to a port where nothing listens yields "unreachable"
    And an ask to a port that cannot be yields "unreachable"
    And a stream to a port where nothing listens yields "not-listening"
    And a stream to a port that cannot be yields "unreachable"
    And a link to a port that cannot be yields "unreachable"

  Scenario: Streams carry every byte, and their ends are seen
    Given a stream on loopback
    Then every byte arrives as it was written, both ways
    When the far end writes and ends
    Then what it wrote is read, then its end, and the stream is closed on both sides

  Scenario: A reset is seen as a break by the far end
    Given a stream on loopback
    When the near end resets it
    Then the far end reads its end, and writing to either harms nobody

  Scenario: Of puts, the disk tells only those that are synced
    Given an empty data folder
    When 20 puts are started and none is awaited
    Then the put count includes none of them before it is synced, and all of them afterwards
    And a process that opens the folder again counts all 20 puts

  Scenario: A full disk takes nothing and ends no process, and takes puts again once it has room
    Given a separate process that has completed a put
    When its disk is full
    Then its puts fail as "disk-failed", and it reports the disk fault once
    When the disk has space again
    Then it reports once that the disk works, and a later put can be read back

  Scenario: A process that starts on a full disk waits until there is room
    Given a separate process that starts on a full disk
    Then it reports the disk fault once, and waits
    When the disk has space again
    Then it opens the folder, and a later put can be read back

  Scenario: A disk that hangs holds up no read and no caller
    Given an empty data folder
    When its disk hangs during a put
    Then within 2 s the disk reports a fault, and 50 more puts fail at once
    And what was synced before can be read at once
    When the disk resumes
    Then the put that hung succeeds, and the start and the end of the fault are reported once each

  Scenario: A store that must be opened anew after a failed sync is opened anew
    Given an empty data folder
    When the sync of its meta page fails once
    Then that put fails as "disk-failed", and within 2 s puts succeed again

  Scenario: What a loss of power leaves of a data folder is told apart
    Then a folder with data is opened as follows after a power loss:
      | what is left                                 | opened as |
      | all files                                    | intact    |
      | the store without the holder file            | intact    |
      | the store and half of the holder file        | intact    |
      | the store and another one in creation        | intact    |
      | the holder file without a store              | lost      |
      | the holder file and a store in creation      | lost      |
      | an empty store                               | lost      |
      | half of the first page                       | lost      |
      | a store whose first pages are overwritten    | lost      |
      | a store without its second page              | lost      |
      | a store without its put count                | lost      |
      | a store that ends before its last page       | lost      |
      | a store whose entries are overwritten        | damaged   |
      | only a store in creation                     | blank     |
      | nothing                                      | blank     |

  Scenario: The program that a fleet of real processes starts is there
    Then the daemons of a fleet of real processes can be started by name
