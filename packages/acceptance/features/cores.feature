Feature: A core set that changes without an operator

  Scenario: A new core replaces one of three that is lost permanently
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is lost permanently
    And a new core starts with core-1 and core-2 as its seeds
    Then within 4 s the core set is core-1, core-2 and core-4
    And the edge follows 3 cores and its lease never expired
    And every core in the set reads the latest acknowledged configuration

  Scenario: A new core waits until a core can be replaced, and a replaced core gets the next vacant place
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When a new core starts with core-1 and core-2 as its seeds
    And the cores run for 10 s
    Then no core was replaced
    And within 1 s the core set is core-1, core-2 and core-3
    And core-4 rejects a heartbeat, a leave, a configuration and a read within 1 ms
    When core-3 is killed and restarted after 5 s with its disk
    Then within 1 s the core set is core-1, core-2 and core-4
    When the cores run for 5 s
    And core-1 is lost permanently
    Then within 4 s the core set is core-2, core-3 and core-4
    And core-3 logged that it left the set, and then copied the others

  Scenario: A core that returns within a second is not replaced although a new core is waiting
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When a new core starts with core-1 and core-2 as its seeds
    And the cores run for 2 s
    And core-3 is killed and restarted after 0.5 s with its disk
    And the cores run for 5 s
    Then within 1 s the core set is core-1, core-2 and core-3
    And every core in the set reads the latest acknowledged configuration

  Scenario: The core set stays the same when a core is lost and no new core starts
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is lost permanently
    And the cores run for 60 s
    Then within 1 s the core set is core-1, core-2 and core-3
    And every core in the set reads the latest acknowledged configuration

  Scenario: A new core rejects heartbeats and operator requests at once
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When a new core starts whose seeds are unreachable
    Then core-4 rejects a heartbeat, a leave, a configuration and a read within 1 ms

  Scenario: A joining core is killed while it copies, and restarts
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is lost permanently
    And a new core starts with core-1 and core-2 as its seeds
    And core-4 is killed while it copies, and restarted with its disk
    Then within 6 s the core set is core-1, core-2 and core-4
    And every core in the set reads the latest acknowledged configuration

  Scenario: A joining core is killed while it copies, and another joins instead
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is lost permanently
    And a new core starts with core-1 and core-2 as its seeds
    And core-4 is killed permanently while it copies
    And a new core starts with core-1 and core-2 as its seeds
    Then within 6 s the core set is core-1, core-2 and core-5
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core that a set lists is killed before it has caught up, and another replaces it
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is lost permanently
    And a new core starts with core-1 and core-2 as its seeds
    And core-4 is killed permanently as soon as a set lists it
    Then within 2 s another configuration is acknowledged
    When a new core starts with core-1 and core-2 as its seeds
    Then within 5 s the core set is core-1, core-2 and core-5
    And every core in the set reads the latest acknowledged configuration

  Scenario: A leaving core is killed at any moment around its replacement
    Then a new core replaces a leaving core that is killed at each of 28 moments around the set change

  Scenario: The proposer of a set change is killed at any moment around it, and restarts
    Then a set change completes although its proposer is killed at each of 28 moments around it

  Scenario: A core that is cut off while it is replaced acknowledges nothing, and returns as a learner
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is cut off
    And a new core starts with core-1 and core-2 as its seeds
    Then within 6 s the core set is core-1, core-2 and core-4
    And core-3 has acknowledged nothing since it was cut off
    When all connections are restored
    And the cores run for 5 s
    Then core-3 logged that it left the set, and then copied the others
    When core-4 is lost permanently
    Then within 4 s the core set is core-1, core-2 and core-3
    And every core in the set reads the latest acknowledged configuration

  Scenario: A planned replacement while another core is cut off completes once that core is back
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is cut off
    And core-1 is drained and replaced by a new core
    And all connections are restored
    Then within 6 s the core set is core-2, core-3 and core-4
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core is lost right after it acknowledged a configuration, and a new core replaces it
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When the core that acknowledged last is lost permanently at that moment, and a new core replaces it
    Then within 6 s the core set has 3 cores, without the lost one
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core loses its disk right after it acknowledged a configuration, and restarts under its own name
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When the core that acknowledged last loses its disk at that moment, and restarts
    And the cores run for 3 s
    Then within 1 s the core set is core-1, core-2 and core-3
    And every core in the set reads the latest acknowledged configuration

  Scenario: Two new cores replace two of six that are lost permanently
    Given a fleet of 6 cores, an edge that holds a lease, and an operator that sends configurations
    When core-2 is lost permanently
    And core-5 is lost permanently
    And the cores run for 30 s
    Then within 2 s another configuration is acknowledged
    When a new core starts with core-1 and core-3 as its seeds
    And a new core starts with core-1 and core-3 as its seeds
    Then within 6 s the core set is core-1, core-3, core-4, core-6, core-7 and core-8
    And the edge follows 6 cores and its lease never expired
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core that restarts with an old copy of its disk copies the others before it serves ballots
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-2 restarts with a copy of its disk that is 2 s old
    Then core-2 logged that its disk is an old copy, and then copied the others
    And within 5 s the core set is core-1, core-2 and core-3
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core that lost its disk serves ballots only in a later set than the one in which the disk was lost
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-2 loses its disk and restarts
    Then within 5 s the core set is core-1, core-2 and core-3
    And core-2 is in set 2
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core that lost its disk and has no seed that still runs rejoins through a call from the fleet
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-1 is drained and replaced by a new core
    And the cores run for 4 s
    And core-2 is drained and replaced by a new core
    And the cores run for 4 s
    And core-3 is drained and replaced by a new core
    And the cores run for 4 s
    And core-4 loses its disk and restarts
    Then within 6 s the core set is core-4, core-5 and core-6
    And every core in the set reads the latest acknowledged configuration

  Scenario: An old copy on a disk that fails all writes blocks nothing else, and is rebuilt once writes succeed
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-2 restarts with a copy of its disk that is 2 s old and fails all writes for 5 s
    Then core-2 logged that its disk is an old copy, and then copied the others
    And within 5 s the core set is core-1, core-2 and core-3
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core that restarts at another address is listed there
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 restarts at "10.1.0.33" with its disk
    Then within 10 s every core lists core-3 at "10.1.0.33:7000"
    When core-1 is lost permanently
    Then every core in the set reads the latest acknowledged configuration

  Scenario: A planned replacement, then a power loss five seconds later, then a lost disk
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-1 is drained and replaced by a new core
    And the cores run for 5 s
    And core-2 loses power
    Then within 2 s another configuration is acknowledged
    When the cores run for 9 s
    And core-2 regains power
    And the cores run for 4 s
    And core-3 loses its disk and restarts
    Then within 4 s the core set is core-2, core-3 and core-4
    When core-4 loses power
    Then within 2 s another configuration is acknowledged
    And the edge follows 3 cores and its lease never expired
    And every core in the set reads the latest acknowledged configuration

  Scenario: An unplanned replacement, then a lost disk, then another replacement
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-1 is lost permanently
    And the cores run for 1 s
    And a new core starts with core-2 and core-3 as its seeds
    And the cores run for 4 s
    And core-2 loses its disk and restarts
    And the cores run for 4 s
    And core-3 is lost permanently
    Then within 2 s another configuration is acknowledged
    When a new core starts with core-2 and core-4 as its seeds
    Then within 4 s the core set is core-2, core-4 and core-5
    When core-2 loses power
    Then within 2 s another configuration is acknowledged
    And the edge follows 3 cores and its lease never expired
    And every core in the set reads the latest acknowledged configuration

  Scenario: Two planned replacements four seconds apart, on disks that take thirty milliseconds longer
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When every disk write takes 30 ms longer, and the operator sends a configuration every 400 ms
    And core-1 is drained and replaced by a new core
    And the cores run for 4 s
    And core-2 is drained and replaced by a new core
    And the cores run for 4 s
    Then within 1 s the core set is core-3, core-4 and core-5
    When core-3 loses power
    Then within 2 s another configuration is acknowledged
    And every core in the set reads the latest acknowledged configuration

  Scenario: A core that does not serve says what it waits for
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When all cores are killed and only core-2 is restarted
    Then core-2 logs once a second that it waits as "formed" and has met no other core

  Scenario: A failed round says how each core answered, and a read is logged
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    Then a read of the configuration at core-1 is logged with its outcome
    When the disks of core-2 and core-3 become full
    Then a configuration sent to core-1 fails and tells that "core-1 agreed, core-2 not-ready, core-3 not-ready"

  Scenario: The configuration is read back although many rounds compete after a loss of power
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When writes of the configuration take 80 ms, one after the other
    And core-3 misses the last configurations, and then all cores lose power and core-1 its disk
    And 8 configurations are sent at once, each to the next core after a second without an answer
    Then an operator that asks one core after the other reads the acknowledged configuration within 4 s

  Scenario: A lost disk is replaced in time although many rounds compete after a loss of power
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When writes of the configuration take 80 ms, one after the other
    And core-3 misses the last configurations, and then all cores lose power and core-1 its disk
    And 8 configurations are sent at once, each to the next core after a second without an answer
    Then core-1 serves again within 4 s

  Scenario: Configurations that are sent at once after a loss of power are all confirmed
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When writes of the configuration take 80 ms, one after the other
    And core-3 misses the last configurations, and then all cores lose power and core-1 its disk
    And 8 configurations are sent at once, each to the next core after a second without an answer
    Then all 8 configurations are confirmed within 9 s

  Scenario: A read that cannot be completed is rejected before an operator goes on to another core
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 misses a configuration, and then the disk of core-1 is lost and that of core-2 becomes full
    Then a read at core-2 is rejected within 950 ms
    And a read at core-3 is rejected within 950 ms
