Feature: Network and disk of a real host, based on Node.js alone
  These scenarios use loopback sockets and a temporary data folder, and wait no longer than the behaviour under test takes.

  Scenario: A connection is kept alive, and the server is notified when it closes
    Given an echo server on loopback
    When 30 requests are sent over one connection
    Then all were answered over the same connection, and there was no leak warning
    And once it is closed, the server is notified

  Scenario: Invalid requests receive a 4xx response, and the server continues
    Given an echo server on loopback
    Then a body of 1 MiB or more is answered with 413 "too-large"
    And a body that is not JSON is answered with 400 "bad-request"
    And a path that is not valid in a URI is answered with 404 "not-found"
    And data that is not HTTP is answered with 400
    And a request that breaks off within its body does not affect the server
    And a request over a new connection is answered

  Scenario: A lost reply is reported as lost, and the connection is not reopened
    Then a peer that behaves like this yields "reply-lost":
      | peer                          |
      | closes without a reply        |
      | resets without a reply        |
      | ends within the body          |
      | sends a body that is not JSON  |
      | sends nothing           |
      | stops within the body         |
      | sends data that is not HTTP         |

  Scenario: A closed connection is never reopened
    Given an echo server on loopback
    Then a connection whose peer closes between two requests is closed, and sends no more requests

  Scenario: An unsolicited reply closes the connection, and is never taken for the reply to the next request
    Then over a connection whose peer behaves like this, no request receives the reply to another:
      | peer                                        |
      | sends a second reply while no request is in progress    |
      | sends two replies in one chunk                  |
      | replies after the request timed out       |
      | sends half of a second reply while no request is in progress |
      | closes while no request is in progress               |

  Scenario: One exchange at a time, and none after the latest time to send it
    Given an echo server on loopback
    Then a second request on a busy connection is rejected at once, and the first is answered
    And a request whose latest send time has passed is not sent

  Scenario: Pipelined requests are answered in order, whichever is handled first
    Given a server on loopback that replies later to shorter words
    Then the replies to pipelined requests for "a", "bbbb" and "cc" arrive in that order, each with its own body
    And a request that expects 100-continue receives it, and is answered once
    And a chunked request that is split at various points is answered like one that is not split
    And a request whose client disconnects before the reply does not affect other replies

  Scenario: Connecting to an address without a listener fails before anything is sent
    Then a request to a port without a listener yields "unreachable"
    And a request to an invalid port yields "unreachable"
    And a stream to a port without a listener yields "not-listening"
    And a stream to an invalid port yields "unreachable"
    And a link to an invalid port yields "unreachable"

  Scenario: Streams carry every byte value, and both sides detect the end
    Given a stream on loopback
    Then every byte arrives as it was written, in both directions
    When the peer writes and closes the stream
    Then the written data is read, then the end, and the stream is closed on both sides

  Scenario: A reset ends the stream for the peer
    Given a stream on loopback
    When the local side resets it
    Then the peer reads the end, and writing to either side does no harm

  Scenario: The put count includes only synced puts
    Given an empty data folder
    When 20 puts are started and none is awaited
    Then the put count includes none of them before it is synced, and all of them afterwards
    And a process that opens the folder again counts all 20 puts

  Scenario: A full disk rejects puts without ending the process, and accepts puts again once it has space
    Given a separate process that has completed a put
    When its disk is full
    Then its puts fail as "disk-failed", and it reports the disk fault once
    When the disk has space again
    Then it reports once that the disk works, and a later put can be read back

  Scenario: A process that starts on a full disk waits until there is space
    Given a separate process that starts on a full disk
    Then it reports the disk fault once, and waits
    When the disk has space again
    Then it opens the folder, and a later put can be read back

  Scenario: A disk that hangs blocks neither reads nor callers
    Given an empty data folder
    When its disk hangs during a put
    Then within 2 s the disk reports a fault, and 50 more puts fail at once
    And what was synced before can be read at once
    When the disk resumes
    Then the put that hung succeeds, and the start and the end of the fault are reported once each

  Scenario: A store that must be reopened after a failed sync is reopened
    Given an empty data folder
    When the sync of its meta page fails once
    Then that put fails as "disk-failed", and within 2 s puts succeed again

  Scenario: The states of a data folder after a power loss are distinguished
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

  Scenario: The program that a fleet of real processes starts exists
    Then the daemons of a fleet of real processes can be started by name
