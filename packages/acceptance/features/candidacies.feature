Feature: A single candidacy over a stub register and a stub platform

  Scenario: A winner that was delayed finds a later epoch elected, and promotes no member
    Given a candidate for "ferries" that is not notified of later elections
    When another node records epoch 9 as elected while the candidate acquires the promotion role
    And the service's primary is silent for 12 s
    Then the platform received no promotion request
    And the promotion role is released

  Scenario: The next holder of the promotion role finds the previous holder's election recorded
    Given a candidate for "ferries" that is not notified of later elections
    When the service's primary is silent for 12 s
    Then the platform received a promotion request
    And the election was recorded before the promotion role was released

  Scenario: Where commits wait for a replica, no member is promoted until enough have replied that one of them has every acknowledged commit
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which only ferries-2 replies, at position 10
    When the service's primary is silent for 20 s
    Then no member was promoted
    When ferries-3 replies as well, at position 12
    And the service's primary is silent for 12 s
    Then only ferries-3 was promoted
