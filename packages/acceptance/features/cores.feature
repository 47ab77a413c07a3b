Feature: A set of cores whose seats change hands with no operator's word

  Scenario: One of three is lost for good and another machine takes its seat
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And a blank machine comes whose seeds name core-1 and core-2
    Then within 4 s the cores are core-1, core-2 and core-4
    And the edge follows 3 cores and its lease never ran out
    And every core reads back what was acknowledged

  Scenario: A blank machine waits until a seat is vacant, and who lost a seat gets the next one
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When a blank machine comes whose seeds name core-1 and core-2
    And 10 s of cores pass
    Then no seat has changed hands
    And within 1 s the cores are core-1, core-2 and core-3
    And core-4 turns away a beat, a leave, a configuration and a read within 1 ms
    When core-3 is killed and comes back after 5 s with its disk
    Then within 1 s the cores are core-1, core-2 and core-4
    When 5 s of cores pass
    And core-1 is lost for good
    Then within 4 s the cores are core-2, core-3 and core-4
    And core-3 logged that it departed, and copied

  Scenario: A core that is heard again within a second keeps its seat though somebody waits for one
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When a blank machine comes whose seeds name core-1 and core-2
    And 2 s of cores pass
    And core-3 is killed and comes back after 0.5 s with its disk
    And 5 s of cores pass
    Then within 1 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: Three cores stay three when one is gone and nobody comes
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And 60 s of cores pass
    Then within 1 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: A blank machine turns beats and operators away at once
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When a blank machine comes that can reach nobody
    Then core-4 turns away a beat, a leave, a configuration and a read within 1 ms

  Scenario: One that is to come in is killed in the middle of its copying
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And a blank machine comes whose seeds name core-1 and core-2
    And core-4 is killed as it copies, and comes back with its disk
    Then within 6 s the cores are core-1, core-2 and core-4
    And every core reads back what was acknowledged

  Scenario: One that is to come in is killed as it copies and never comes back
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And a blank machine comes whose seeds name core-1 and core-2
    And core-4 is killed as it copies, for good
    And a blank machine comes whose seeds name core-1 and core-2
    Then within 6 s the cores are core-1, core-2 and core-5
    And every core reads back what was acknowledged

  Scenario: One that was given a seat is killed before it is level, and another takes the seat
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And a blank machine comes whose seeds name core-1 and core-2
    And core-4 is killed as soon as it is given a seat, for good
    Then within 2 s another configuration is acknowledged
    When a blank machine comes whose seeds name core-1 and core-2
    Then within 5 s the cores are core-1, core-2 and core-5
    And every core reads back what was acknowledged

  Scenario: A leaver that gives its seat away is killed at any moment around it
    Then the successor has its seat though the leaver is killed at any of 28 moments around the step

  Scenario: Whoever proposes a step is killed at any moment around it, and comes back
    Then a step ends well though its proposer is killed at any of 28 moments around it

  Scenario: A core that is cut off while its seat is given away acknowledges nothing, and comes back as a learner
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is cut off
    And a blank machine comes whose seeds name core-1 and core-2
    Then within 6 s the cores are core-1, core-2 and core-4
    And core-3 has acknowledged nothing since it was cut off
    When the cuts are healed
    And 5 s of cores pass
    Then core-3 logged that it departed, and copied
    When core-4 is lost for good
    Then within 4 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: A planned replacement while another core is cut off is done once that core is back
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is cut off
    And core-1 is replaced as planned by a blank machine
    And the cuts are healed
    Then within 6 s the cores are core-2, core-3 and core-4
    And every core reads back what was acknowledged

  Scenario: A disk is lost right after an acknowledgement, and the machine is replaced
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When the core that acknowledged last is lost for good, at once, and a blank machine takes its place
    Then within 6 s the cores are 3, without the one that was lost
    And every core reads back what was acknowledged

  Scenario: A disk is lost right after an acknowledgement, and the machine comes back under its own name
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When the core that acknowledged last loses its disk, at once, and comes back
    And 3 s of cores pass
    Then within 1 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: Of six that founded a fleet two are lost for good, and two others come
    Given 6 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-2 is lost for good
    And core-5 is lost for good
    And 30 s of cores pass
    Then within 2 s another configuration is acknowledged
    When a blank machine comes whose seeds name core-1 and core-3
    And a blank machine comes whose seeds name core-1 and core-3
    Then within 6 s the cores are core-1, core-3, core-4, core-6, core-7 and core-8
    And the edge follows 6 cores and its lease never ran out
    And every core reads back what was acknowledged

  Scenario: A core that comes back with an old copy of its disk copies the others before it answers
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-2 comes back with a copy of its disk that is 2 s old
    Then core-2 logged that its disk is old, and copied
    And within 5 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: A core that lost its disk answers only in a later set than the one its disk was lost in
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-2 loses its disk and comes back
    Then within 5 s the cores are core-1, core-2 and core-3
    And core-2 stands at set 2
    And every core reads back what was acknowledged

  Scenario: A core that lost its disk, and knows no seed that still runs, is found by the fleet that calls it
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-1 is replaced as planned by a blank machine
    And 4 s of cores pass
    And core-2 is replaced as planned by a blank machine
    And 4 s of cores pass
    And core-3 is replaced as planned by a blank machine
    And 4 s of cores pass
    And core-4 loses its disk and comes back
    Then within 6 s the cores are core-4, core-5 and core-6
    And every core reads back what was acknowledged

  Scenario: An old copy on a disk that takes no bytes holds up nothing else, and is healed once the disk takes them
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-2 comes back with a copy of its disk that is 2 s old and takes no bytes for 5 s
    Then core-2 logged that its disk is old, and copied
    And within 5 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: A core that was started at another address is listed there
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 comes back with its disk at "10.1.0.33"
    Then within 10 s every core lists core-3 at "10.1.0.33:7000"
    When core-1 is lost for good
    Then every core reads back what was acknowledged

  Scenario: A planned replacement, a core without power five seconds later, then a wiped disk
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-1 is replaced as planned by a blank machine
    And 5 s of cores pass
    And core-2 loses power
    Then within 2 s another configuration is acknowledged
    When 9 s of cores pass
    And core-2 has power again
    And 4 s of cores pass
    And core-3 loses its disk and comes back
    Then within 4 s the cores are core-2, core-3 and core-4
    When core-4 loses power
    Then within 2 s another configuration is acknowledged
    And the edge follows 3 cores and its lease never ran out
    And every core reads back what was acknowledged

  Scenario: An unplanned replacement, a wiped disk, then another replacement
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-1 is lost for good
    And 1 s of cores pass
    And a blank machine comes whose seeds name core-2 and core-3
    And 4 s of cores pass
    And core-2 loses its disk and comes back
    And 4 s of cores pass
    And core-3 is lost for good
    Then within 2 s another configuration is acknowledged
    When a blank machine comes whose seeds name core-2 and core-4
    Then within 4 s the cores are core-2, core-4 and core-5
    When core-2 loses power
    Then within 2 s another configuration is acknowledged
    And the edge follows 3 cores and its lease never ran out
    And every core reads back what was acknowledged

  Scenario: Two planned replacements at the shortest gap, on disks that take thirty milliseconds
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When every disk takes 30 ms more, and the operator sends every 400 ms
    And core-1 is replaced as planned by a blank machine
    And 4 s of cores pass
    And core-2 is replaced as planned by a blank machine
    And 4 s of cores pass
    Then within 1 s the cores are core-3, core-4 and core-5
    When core-3 loses power
    Then within 2 s another configuration is acknowledged
    And every core reads back what was acknowledged
