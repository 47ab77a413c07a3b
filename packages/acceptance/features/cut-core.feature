Feature: A core that is cut off, frozen, or just back (design 7.14)

  Scenario Outline: A core without a majority confirms nothing, at once, and is of use again once it is back
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is cut off <way>
    And the cores run for 3 s
    Then core-3 confirms no beat, no draining, no leave, no configuration and no read, and says so within 100 ms
    When the time of day of core-3 jumps by 8 s, and back after 4 s
    And the cores run for 20 s
    Then core-3 confirms no beat, no draining, no leave, no configuration and no read, and says so within 100 ms
    When all connections are restored
    Then within 3 s core-3 confirms a beat, a draining, a leave and a configuration, and reads the newest one
    And every core in the set reads the latest acknowledged configuration

    Examples:
      | way                     |
      | both ways               |
      | from what it sends      |
      | from what is sent to it |

  Scenario Outline: What is asked in the moment of the cut is not held
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is cut off <way>
    Then core-3 confirms no draining, no leave, no configuration and no read, and says so within 1100 ms

    Examples:
      | way                     |
      | both ways               |
      | from what it sends      |
      | from what is sent to it |

  Scenario: The pages of the administration are answered at once as well
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is cut off both ways
    Then core-3 answers a read of its sheet with 503 and Retry-After within 1100 ms
    And the cores run for 3 s
    And core-3 answers a read of its sheet with 503 and Retry-After within 100 ms
    And core-3 answers its status within 100 ms

  Scenario: A core that was frozen confirms nothing from before, and reads nothing old
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is frozen for 20 s, and is told a draining, a leave and a configuration meanwhile
    Then it confirmed none of them by itself, and every later read is the newest

  Scenario: What a core was told while cut off the others learn once it is back, and it learns what they were told
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When "bookings-1" and "bookings-2" beat to core-1
    And core-3 is cut off both ways
    And the cores run for 3 s
    And "bookings-1" leaves at core-1
    And "bookings-2" leaves at core-3
    And the cores run for 20 s
    And all connections are restored
    Then within 3 s all cores know that "bookings-1" has left
    And within 3 s all cores know that "bookings-2" has left

  Scenario: A leave of a member that the core has not met is not lost
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When "bookings-1" and "bookings-2" beat to core-1
    And core-3 is killed and comes back after 1 s with an empty member registry
    And "bookings-1" leaves at core-3
    Then within 3 s all cores know that "bookings-1" has left

  Scenario: An edge and a blank core that reach the cut core alone get nothing of it
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When core-3 is cut off both ways
    And an edge and a blank machine begin that reach core-3 alone
    And the cores run for 25 s
    Then that edge obeys no configuration and holds no lease, and that machine is of no set
    When all connections are restored
    Then within 10 s that edge obeys the newest configuration and holds its lease

  Scenario: Whoever proposes a step is cut off for 22 s at any moment around it
    Then a step ends well though its proposer is cut off for 22 s at any of 6 moments around it

  Scenario: That a member has left outlives a stop of all cores at once
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When a member beats at core-1, and 1 s later says at core-2 that it leaves
    And all cores are killed as that is acknowledged, and come back after 2 s
    Then a majority of cores knows that it has left

  Scenario Outline: An edge applies a stream of configurations while core-<core> is cut off from its peers, one every <interval> ms
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When the operator sends a configuration every <interval> ms
    And core-<core> is cut off from its peers alone
    Then for 12 s configurations are acknowledged, and the edge applies a newer one at least every 2000 ms

    Examples:
      | core | interval |
      | 1    | 150      |
      | 2    | 150      |
      | 3    | 150      |
      | 1    | 400      |
      | 2    | 40       |

  Scenario: Another core hands contents over while the one that did so is cut off from its peers
    Given a fleet of 3 cores, an edge that holds a lease, and an operator that sends configurations
    When the operator sends a configuration every 150 ms
    And core-1 is cut off from its peers alone
    And 2500 ms of cores pass
    Then for 10 s configurations are acknowledged, and the edge applies a newer one at least every 450 ms
