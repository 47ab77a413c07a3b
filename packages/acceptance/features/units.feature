Feature: Single components of pooled fleets, each on a virtual clock

  # -- The member registry (design 4.7).

  Scenario: A heartbeat that arrives late changes nothing
    Given a member registry
    When "member-1" sends a draining heartbeat with sequence number 7
    And "member-1" sends a serving heartbeat with sequence number 6
    Then the heartbeat with sequence number 6 was ignored, and "member-1" is draining
    And only the heartbeat with sequence number 7 is sent to other cores

  Scenario: A member that has left never returns, whichever core reports it
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And "member-1" announces its departure
    And "member-1" sends a serving heartbeat with sequence number 8
    And another core forwards a heartbeat of "member-1" with sequence number 9
    Then "member-1" is gone, belongs to no service, and its departure is sent to other cores

  Scenario: A departure announced at another core also applies here
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And another core forwards the departure of "member-1"
    And "member-1" sends a serving heartbeat with sequence number 8
    Then "member-1" is gone and belongs to no service

  Scenario: A silent member is down, and up again with its next heartbeat
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And 4.9 s pass and the registry sweeps
    Then "member-1" is up
    When 0.3 s pass and the registry sweeps
    Then "member-1" is down, and readers see one change
    When "member-1" sends a serving heartbeat with sequence number 8
    Then "member-1" is up, and readers see one change
    When "member-1" sends a serving heartbeat with sequence number 9
    Then readers see no change

  Scenario: A member that was silent for a long time belongs to no service until its next heartbeat
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And 61 s pass and the registry sweeps
    Then "member-1" is gone and belongs to no service
    When "member-1" sends a serving heartbeat with sequence number 8
    Then "member-1" is up
    And "member-1" belongs to its service

  Scenario: Heartbeats are forwarded once, with their age, and expire by the time they were received
    Given a member registry
    And the member registry of another core
    When "member-1" sends a serving heartbeat with sequence number 7
    And 3 s pass and the registry sweeps
    Then the other core is sent a heartbeat of "member-1" from 3 s ago, and nothing the next time
    And the other core forwards nothing, and considers the member down 2 s later

  # -- Leases (design 7.12).

  Scenario Outline: A lease requires a strict majority at exactly the elected epoch
    Given an edge, and cores at epochs <epochs> with epoch 5 elected
    Then the edge has <lease> lease

    Examples:
      | epochs     | lease |
      | 5, 5, 5    | a     |
      | 5, 5, 0    | a     |
      | 5, 0, 0    | no    |
      | 5, 4, 6    | no    |
      | 6, 6, 5    | no    |
      | 4, 4, 4    | no    |
      | 5, 5, 0, 0 | no    |
      | 5, 5, 5, 0 | a     |
      | 5, -, -    | no    |

  Scenario: A lease expires 2 s after the requests were sent, not after their replies
    Given an edge, and cores at epoch 5 that reply after 600 ms, with epoch 5 elected
    When the edge obtains its first lease
    Then at most 1.4 s of the lease remain
    When the cores stop replying
    Then the lease expires within 2 s and is not renewed

  Scenario: A lease runs from the reply if the core reports how long it held the request
    Given an edge, and cores at epoch 5 that report to have held each request for 600 ms, with epoch 5 elected
    When the edge obtains its first lease
    Then between 1.9 s and 2.0 s of the lease remain

  Scenario: A configuration that no core pushes with its content is read under the number of the core set
    Given an edge whose cores push a configuration without its content, and return it to reads under their core set number
    Then within 1 s the edge has applied it

  Scenario: A release epoch never decreases
    Given an edge, and cores at epochs 5, 5, 5 with epoch 5 elected
    When the cores are at epochs 6, 6, 5
    Then the edge has no lease, and releases epochs below 6
    When the cores are at epochs 5, 5, 5
    Then the edge has no lease, and releases epochs below 6
    When the cores are at epochs 6, 6, 6 and epoch 6 is elected
    Then the edge has a lease

  Scenario: A single core beyond the elected epoch does not raise the release epoch
    Given an edge, and cores at epochs 5, 5, 5 with epoch 5 elected
    When the cores are at epochs 5, 5, 9
    Then the edge has a lease, and releases nothing

  Scenario: A reply that was overtaken by a later one is ignored
    Given an edge whose held request at each core is overtaken by a later one that reports "member-1" as draining
    When the held requests are answered after that, with "member-1" serving
    Then the edge sees "member-1" as draining

  Scenario: An edge counts as a lease holder for a term and its margin, and all holders must release an epoch
    Given a core's lease grantor at epoch 5
    When "edge-1" requests a lease, and 1 s later "edge-2" requests one, having released epochs below 6
    Then both are lease holders, and not both have released epochs below 6
    When "edge-1" requests a lease, having released epochs below 6
    Then both have released epochs below 6, and not those below 7
    When 2.6 s pass since the requests
    Then it has no lease holders

  Scenario: A core that became an active voter again does not know the holders of earlier leases
    Given a core's lease grantor at epoch 5
    When "edge-1" requests a lease, and 1 s later "edge-2" requests one, having released epochs below 6
    Then both are lease holders, and not both have released epochs below 6
    When its core becomes an active voter again
    Then for 2.5 s it does not know its lease holders, and after that it has none

  Scenario: A core that is not ready grants nothing
    Given a core's lease grantor that is not ready
    Then a reply to "edge-1" contains no epoch

  Scenario: A held request is answered at once when an epoch changes
    Given a core's lease grantor at epoch 5
    When "edge-1" sends two requests, and the core's epoch changes 100 ms later
    Then the second request is answered within 10 ms of the change, with the new epoch

  # -- Freshness (design 8.11).

  Scenario: A position covers commits acknowledged before it was requested, in any order of replies
    Then in 300 seeded histories no read bound is covered by a position below an earlier acknowledged one
    And no position covers a time after the newest request
    And of two commits the later is kept

  # -- Connections to members (design 8.3, 8.12).

  Scenario: An edge opens no more connections to a member than its share
    Given connections to a member, with a share of 2
    When tenant "a" requests 3 connections
    Then 2 are opened, and the third request was refused for lack of room
    And 2 can be acquired, and no third

  Scenario: Another tenant's idle connection is closed to make room, a busy one is not
    Given connections to a member, with a share of 1
    When tenant "a" requests 1 connection
    And it is acquired for session "s1"
    Then a request of tenant "b" is refused
    When it is released
    Then a request of tenant "a" is refused
    When tenant "b" requests 1 connection
    Then the connection of "a" was closed, and "b" can acquire one while "a" cannot

  Scenario: A session gets its own connection back, and a broken connection is closed
    Given connections to a member, with a share of 3
    When tenant "a" requests 3 connections
    Then a session that released a connection acquires the same one again
    And another session acquires one without session values
    And a connection that is released as broken is not reused

  Scenario: Failed connections to a member are retried with increasing delays until one succeeds
    Given connections to a member, with a share of 2
    When nothing listens there
    And tenant "a" requests 1 connection
    Then it is failing, reported as not listening, and retried after 112 to 188 ms
    And after 8 failures it is retried after 1125 to 1875 ms
    When it listens again and tenant "a" requests 1 connection
    Then it is neither failing nor reported as not listening

  Scenario: A member whose machine is down, or that opens no sessions, is failing but not reported as not listening
    Given connections to a member, with a share of 2
    When its machine fails, and tenant "a" requests 1 connection
    Then it is failing, and not reported as not listening
    When its machine recovers and it replies "FAULT OVERLOAD" to every OPEN, and tenant "a" requests 1 connection
    Then it is failing, and not reported as not listening

  Scenario: A refused connection is reported for one second
    Given connections to a member, with a share of 2
    When nothing listens there
    And tenant "a" requests 1 connection
    And 1.2 s pass at the proxy
    Then it is failing, and not reported as not listening

  Scenario: Connections that were idle for long, or whose member moved or left, are closed
    Given connections to a member, with a share of 2
    When tenant "a" requests 1 connection
    Then after being idle for 19 s it can still be acquired, and after 21 s not
    And once its member moved or left it cannot be acquired

  # -- Matching replies to requests (design 8.14).

  Scenario: An unsolicited reply closes the link
    Given a peer that replies twice to each call on a link
    Then the link is reopened after the second reply, and no call receives the reply to another call

  Scenario: The design documents which calls and statements may be repeated, in agreement with the types
    Then the tables in the design list every call between processes and every statement, as their types do

  Scenario: Concurrent requests to a member share the connection that is being opened
    Given a member that counts the connections to it
    When a connection to it is requested, its STATE is requested at the same time, and again later
    Then one connection was opened, and it is still open
