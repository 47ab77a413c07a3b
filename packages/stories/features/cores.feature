Feature: A set of cores that changes with no operator's word

  Scenario: One of three is lost for good and another machine takes its place
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And a blank machine comes whose seeds name core-1 and core-2
    Then within 12 s the cores are core-1, core-2, core-3 and core-4
    And within 40 s the cores are core-1, core-2 and core-4
    And the edge follows 3 cores and its lease never ran out
    And every core reads back what was acknowledged

  Scenario: A core that is heard again in time stays
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When a blank machine comes whose seeds name core-1 and core-2
    Then within 12 s the cores are core-1, core-2, core-3 and core-4
    When core-3 is killed and comes back after 15 s with its disk
    And 30 s of cores pass
    Then within 1 s the cores are core-1, core-2, core-3 and core-4
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
    Then within 12 s the cores are core-1, core-2, core-3 and core-4
    And every core reads back what was acknowledged

  Scenario: One that is to come in is killed as it copies and never comes back
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is lost for good
    And a blank machine comes whose seeds name core-1 and core-2
    And core-4 is killed as it copies, for good
    And a blank machine comes whose seeds name core-1 and core-2
    Then within 40 s the cores are core-1, core-2 and core-5
    And every core reads back what was acknowledged

  Scenario: Whoever proposes a step is killed at any moment around it
    Then a step ends well though its proposer is killed at any of 28 moments around it

  Scenario: A core that is cut off during the steps acknowledges nothing, and comes back as a stranger
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 is cut off
    And a blank machine comes whose seeds name core-1 and core-2
    Then within 40 s the cores are core-1, core-2 and core-4
    And core-3 has acknowledged nothing since it was cut off
    When the cuts are healed
    Then within 20 s the cores are core-1, core-2, core-3 and core-4
    And core-3 logged that it departed, and copied
    And every core reads back what was acknowledged

  Scenario: A disk is lost right after an acknowledgement, and the machine is replaced
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When the core that acknowledged last is lost for good, at once, and a blank machine takes its place
    Then within 45 s the cores are 3, without the one that was lost
    And every core reads back what was acknowledged

  Scenario: A disk is lost right after an acknowledgement, and the machine comes back under its own name
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When the core that acknowledged last loses its disk, at once, and comes back
    And 5 s of cores pass
    Then within 1 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: Of six that founded a fleet two are lost for good
    Given 6 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-2 is lost for good
    And core-5 is lost for good
    Then within 40 s the cores are 5, without one that was lost
    When 30 s of cores pass
    Then within 1 s the cores are 5, without one that was lost
    And the edge follows 5 cores and its lease never ran out
    And every core reads back what was acknowledged

  Scenario: A core that comes back with an old copy of its disk copies the others before it answers
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-2 comes back with a copy of its disk that is 2 s old
    Then core-2 logged that its disk is old, and copied
    And within 5 s the cores are core-1, core-2 and core-3
    And every core reads back what was acknowledged

  Scenario: A core that was started at another address is listed there
    Given 3 cores that founded a fleet, an edge with its lease, and an operator who sends configurations
    When core-3 comes back with its disk at "10.1.0.33"
    Then within 10 s every core lists core-3 at "10.1.0.33:7000"
    When core-1 is lost for good
    Then every core reads back what was acknowledged
