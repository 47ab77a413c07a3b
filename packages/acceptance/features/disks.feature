Feature: Core disks that are lost, outdated, full or hanging

  Scenario: A core that restarts with an old copy of its disk copies the others before it serves ballots
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the disk of core-2 is copied, an operator sends two more configurations, and core-2 restarts with the copy
    Then core-2 logs "core.old-disk" and serves ballots within 3 s
    And core-2 holds version 3 on its own disk

  Scenario: A core that lost its disk does not vote again in an epoch in which it may have voted
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When every node votes for the primary of "bookings" at epoch 5
    And core-1 comes back with an empty disk
    And 1 s pass
    Then core-1 rejects another proposal for epoch 5
    And within 12 s a primary of "bookings" is elected at a later epoch than 5

  Scenario: A core machine is replaced by another machine at another address
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-3 is replaced by a machine with an empty disk at "10.1.0.9"
    And 4 s pass
    And core-1 is killed
    And 1 s pass
    Then a write to "bookings" through edge-1 is served
    And core-2 accepts a configuration

  Scenario: A removal that would lose the quorum is denied
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When edges 1, 2, 3 and 4 are killed and 6 s pass
    And an operator tries to remove edge-1 after edge-5 is killed too
    Then it is rejected as "unsafe-step" with 0 faults that state row, column and remedy

  Scenario: A core whose disk is full reports it, serves no ballots, and recovers by itself
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the disk of core-2 is full
    And 2 s pass
    And core-1 accepts 10 configurations, each within 1 s
    Then core-2 rejects prepare, accept and report calls
    And core-2 has logged "disk.failed" once and "disk.works" 0 times, and its liveness check "disk-syncs" fails
    When the disk of core-2 is repaired, and 2 s pass
    Then core-2 has logged "disk.failed" once and "disk.works" 1 times, and its liveness check "disk-syncs" passes
    And core-2 accepts a configuration
    And every process still runs

  Scenario: A core whose disk hangs blocks no other process
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the disk of core-2 hangs
    And 2 s pass
    And core-1 accepts 10 configurations, each within 1 s
    Then core-2 rejects prepare, accept and report calls
    And core-2 replies with its accepted entry while its disk hangs
    When the disk of core-2 is repaired, and 2 s pass
    Then core-2 has logged "disk.failed" once and "disk.works" 1 times, and its liveness check "disk-syncs" passes
    And core-2 accepts a configuration

  Scenario: A core whose store is damaged copies the others, while the store of another node is refused
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    Then a write to "bookings" through edge-1 is served
    And core-3 restarts as follows after its disk has lost data:
      | lost data                  | restarts as   |
      | the fleet record           | replaced      |
      | a field of the fleet record | replaced     |
      | half of a cell             | replaced      |
      | half of a vote             | replaced      |
      | half of an edge report     | replaced      |
      | the put count              | old           |
      | everything                 | copying       |
      | its own node name          | refused       |

  Scenario: Cores that all have lost their stores do not found a new fleet
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When every core loses half of a cell and restarts
    And 20 s pass
    Then no core serves ballots, and each has logged "disk.replaced"
