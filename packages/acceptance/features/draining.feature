Feature: How long a member counts as draining

  # -- The registries of the cores (design 4.7).

  # A late heartbeat was taken for one of a restarted member when the member had been silent, and ended its draining.
  Scenario Outline: A heartbeat that a member sent before it drained does not end its draining, however late it arrives
    Given the member registries of 3 cores
    When core 1 receives a serving heartbeat of "member-1" with number 5
    And core 1 receives a draining heartbeat of "member-1" with number 7
    And <silence> s go by
    And core <core> receives a serving heartbeat of "member-1" with number 6
    Then every core lists "member-1" as draining

    Examples:
      | silence | core |
      | 0.1     | 2    |
      | 3.4     | 1    |
      | 3.4     | 2    |
      | 30      | 3    |
      | 100     | 2    |

  Scenario: A core that never heard of the draining does not end it by a late heartbeat
    Given the member registries of 3 cores
    When core 1 receives a serving heartbeat of "member-1" with number 5
    And core 3 is cut off from the others
    And core 1 receives a draining heartbeat of "member-1" with number 7
    And 3.4 s go by
    And core 3 receives a serving heartbeat of "member-1" with number 6
    Then an edge that hears cores 1, 2 and 3 sees "member-1" as draining
    When core 3 is no longer cut off
    Then every core lists "member-1" as draining

  Scenario: All cores restart from their disks, and then a late heartbeat arrives
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 7
    And all cores restart from their disks
    And 3.4 s go by
    And core 2 receives a serving heartbeat of "member-1" with number 6
    Then every core lists "member-1" as draining

  Scenario: A core with an empty disk receives a late heartbeat before it hears of the draining
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 7
    And core 2 is replaced by one with an empty disk
    And core 2 receives a serving heartbeat of "member-1" with number 6
    Then an edge that hears cores 1, 2 and 3 sees "member-1" as draining
    When core 2 hears the other cores
    Then every core lists "member-1" as draining

  # Only the highest number counted, so a process that reported draining within 3 s of its start was acknowledged and not recorded.
  Scenario: A new process of the member reports draining with a lower number than the former one's
    Given the member registries of 3 cores
    When core 1 receives a serving heartbeat of "member-1" with number 900
    And 1 s go by
    And core 2 receives a draining heartbeat of "member-1" with number 1
    Then every core lists "member-1" as draining
    When 1 s go by
    And core 3 receives a serving heartbeat of "member-1" with number 901
    Then every core lists "member-1" as draining

  Scenario: A new process of a member that was draining is in service once it has replied to the cores for a while
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 7
    And 4 s go by
    And "member-1" sends serving heartbeats from number 1 on and replies to every core, for 11 s
    Then every core lists "member-1" as draining
    When "member-1" sends serving heartbeats from number 12 on and replies to every core, for 5 s
    Then every core lists "member-1" as in service

  Scenario: A draining member that the cores cannot reach stays draining, whatever late heartbeats arrive
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 70
    And 4 s go by
    And "member-1" sends serving heartbeats from number 1 on and replies to no core, for 60 s
    Then every core lists "member-1" as draining

  Scenario: A draining member that the cores reach again stays draining, since its own heartbeats arrive as well
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 70
    And 4 s go by
    And "member-1" sends serving heartbeats from number 1 on and replies to every core, for 11 s
    And core 3 receives a draining heartbeat of "member-1" with number 71
    And "member-1" sends serving heartbeats from number 15 on and replies to every core, for 11 s
    Then every core lists "member-1" as draining

  Scenario: A late heartbeat of the former process sets a member that has returned back for a while only
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 70
    And 4 s go by
    And "member-1" sends serving heartbeats from number 1 on and replies to every core, for 16 s
    Then every core lists "member-1" as in service
    When core 2 receives a draining heartbeat of "member-1" with number 71
    Then every core lists "member-1" as draining
    When "member-1" sends serving heartbeats from number 17 on and replies to every core, for 20 s
    Then every core lists "member-1" as in service

  Scenario: A core that gets no reply keeps a member draining for itself, and neither other cores nor edges follow it
    Given the member registries of 3 cores
    When core 1 receives a draining heartbeat of "member-1" with number 7
    And 4 s go by
    And "member-1" sends serving heartbeats from number 1 on and replies to cores 1 and 2, for 16 s
    Then cores 1 and 2 list "member-1" as in service, and core 3 as draining
    When core 3 is cut off from the others
    And core 3 is no longer cut off
    Then cores 1 and 2 list "member-1" as in service, and core 3 as draining
    And an edge that hears cores 1, 2 and 3 sees "member-1" as in service
    And an edge that hears cores 1 and 3 sees "member-1" as draining

  # Late heartbeats, cuts, crashes, killed and replaced cores in random order (`draining-model.ts`).
  Scenario Outline: No history takes an acknowledged draining back, and the member returns in time
    Then in <count> random histories with <cores> cores no edge sees a draining member as in service, and the member returns within its bound

    Examples:
      | count | cores |
      | 300   | 3     |
      | 100   | 5     |

  # -- Edges.

  # The report with the highest number counted, so that a core that had heard the former process hid what the new one had reported.
  Scenario Outline: An edge follows a report of draining until a majority of cores reports that the member has returned
    Given an edge, and cores that report "member-1" as <reports>
    Then it lists "member-1" as <seen>

    Examples:
      | reports                                           | seen       |
      | in service 9, in service 9, in service 9          | in service |
      | draining 9, draining 9, draining 9                | draining   |
      | in service 900, draining 4, draining 4            | draining   |
      | in service 900, in service 900, draining 4        | draining   |
      | returned 5, draining 9, draining 9                | draining   |
      | returned 5, in service 9, draining 9              | draining   |
      | returned 5, returned 5, draining 9                | in service |
      | returned 5, returned 5, draining 9, draining 9    | draining   |
      | returned 5, returned 5, returned 5, draining 9    | in service |

  # -- Fleets.

  # A late heartbeat ended the draining, and reads went on up to 8 s after the acknowledgement.
  Scenario Outline: A draining replica that is cut off from the cores is not read again when an earlier heartbeat arrives
    Given a running pooled fleet
    And clients with sessions are running
    When a replica of "bookings" reports that it is draining
    And it is cut off from the cores for 7 s
    And <disturbance>
    And a heartbeat that it sent before arrives <late> s after the acknowledgement
    And 10 s pass in the pooled fleet
    Then it was not read later than 7 s after the acknowledgement

    Examples:
      | late | disturbance                              |
      | 3.4  | nothing else happens                     |
      | 6.0  | nothing else happens                     |
      | 3.4  | one core is killed                       |
      | 3.4  | every core is killed and started again   |
      | 3.4  | edge-1 is killed and started again       |

  Scenario: Late heartbeats that go on arriving while a draining replica is cut off from the cores for long end nothing
    Given a running pooled fleet
    And clients with sessions are running
    When a replica of "bookings" that will serve on for 25 s reports that it is draining
    And it is cut off from the cores for 22 s
    And a heartbeat that it sent before arrives every 2 s for 20 s
    And 10 s pass in the pooled fleet
    Then it was not read later than 7 s after the acknowledgement

  Scenario: A core that is cut off from the others concludes nothing from late heartbeats, though it reaches the member
    Given a running pooled fleet
    And clients with sessions are running
    When a replica of "bookings" that will serve on for 25 s reports that it is draining
    And core-3 is cut off from the other cores
    And a heartbeat that it sent before arrives at core-3 every 2 s for 20 s
    Then core-3 has not taken it as in service
    And it was not read later than 7 s after the acknowledgement

  # The new agent's first report has no members, and the next one was taken for fresh news, so the primary was used for 9.3 s in all.
  Scenario: An edge whose agent is started anew does not use a draining primary for longer
    Given a running pooled fleet
    When every replica of "bookings" is killed
    And the primary of "bookings" that will serve on for 25 s reports that it is draining
    And 4 s pass in the pooled fleet
    Then a get of "x1" in "bookings-lead" through edge-1 is served
    When the agent of edge-1 is killed, and another one is started and reaches the cores 0.8 s later
    And 4 s pass in the pooled fleet
    Then a get of "x1" in "bookings-lead" through edge-1 fails with "read-only"

  Scenario: An edge that hears late of a draining primary treats it as fully drained
    Given a running pooled fleet
    When every replica of "bookings" is killed
    And edge-1 is cut off from the cores for 6 s
    And the primary of "bookings" that will serve on for 25 s reports that it is draining
    And 7 s pass in the pooled fleet
    Then a get of "x1" in "bookings-lead" through edge-1 fails with "read-only"

  Scenario: A replica that crashes while it drains is read again soon after its process has started anew
    Given a running pooled fleet
    And clients with sessions are running
    When a replica of "bookings" reports that it is draining
    And it crashes 3 s later and starts anew 1 s after that, in service
    Then within 20 s every edge lists it as in service, and it is read
