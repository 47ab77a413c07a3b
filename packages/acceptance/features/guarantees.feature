Feature: What is not certain is never called certain
  Each of these was seen to fail on the code before it.

  Scenario: A commit whose reply cannot be read is of unknown outcome
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And a primary of "bookings" whose replies to commits are garbled
    When 24 writes to "bookings" come in through edge-1
    Then each of them is denied as "outcome-unknown" and stands once

  Scenario: A platform that takes three seconds for every call still gets its promotion and its usage
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And its clients are sending statements
    And a platform that takes 3000 ms for every call
    When the primary of "bookings" is killed while a replica holds all of its log
    And 30 s pass
    Then another member of "bookings" is settled as its primary
    And every window that ended in the last 20 s but the latest 10 s was told in time
    And the platform was called in order of fencing tokens, and no two elections shared a token

  Scenario: An acknowledged write outlives its edge and its primary, though replication waits for nobody
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And replicas of "bookings" that no longer receive its log, and a primary that waits for no replica
    When a client puts "lone" as 3 in "bookings" through edge-1
    And every core, the edge edge-1 and the primary of "bookings" are killed in that moment, and all but the primary return
    And 15 s pass
    Then a write to "bookings" through edge-2 is denied as "read-only" or "no-target"
    When the primary of "bookings" restarts
    Then within 14 s a leader-read of "lone" in "bookings" through edge-3 gives 3

  Scenario: Every version sent reads back, through each core, also by its number long after
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator sends 40 sheets, each with a mark of its own
    And core-2 comes back with an empty disk
    And 3 s pass
    And core-1 is killed
    Then each of the 40 reads back with its mark through core-2 and core-3
    And the versions are listed in pages

  Scenario: A data folder whose holder's process id came again is opened, one that is held is not
    Given a data folder that names a holder of the id of a process that runs, but of another life
    Then it can be claimed
    And once it is claimed by a process that runs, another process cannot claim it

  Scenario: A transaction that is open at a retired member ends within seven seconds
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And a session on "bookings" through edge-2 with an open transaction that put "ghost" as 1
    And all members of "bookings" but the primary are killed
    When an operator marks the primary of "bookings" draining
    And the session goes on with its transaction every 500 ms for 9 s
    Then its last statement was served no later than 7 s after, and then it was told "transaction-ended"
    And "ghost" is not stored in "bookings"

  Scenario: A restarted proxy of a drained edge takes no new work at all
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator drains edge-4
    And 7 s pass
    And agent and proxy of edge-4 are killed and started again
    Then for 5 s no write to "bookings" through edge-4 is served

  Scenario: A core that is ended as planned answers what is in flight
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator sends a sheet through core-1, which is ended as planned before it has answered
    Then the sheet was acknowledged and reads back

  Scenario: What only a lost primary has is given up by an operator's word, and by nothing else
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And replicas of "bookings" that no longer receive its log, and a primary that waits for no replica
    When a client puts "lone" as 3 in "bookings" through edge-1
    Then an operator may not accept the loss of "bookings" while its primary is alive
    When the primary of "bookings" is killed
    And 20 s pass
    Then a write to "bookings" through edge-2 is denied as "read-only" or "no-target"
    When an operator accepts the loss of "bookings"
    Then within 20 s another member of "bookings" is elected at a later epoch
    And a write to "bookings" through edge-2 is served
    And the trail tells of the loss that was accepted

  Scenario: What one sender was served is in the usage, though its edge is killed as the reply arrives
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When a client puts "last" as 1 in "bookings" through edge-1
    And agent and proxy of edge-1 are killed in that moment
    And 12 s pass
    Then the window of that moment was told with 1 statement of "bookings"
