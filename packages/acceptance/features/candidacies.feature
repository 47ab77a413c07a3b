Feature: One candidacy alone, over a register and a platform that say what they are told to

  Scenario: A winner that was held up finds a later epoch settled, and promotes nobody
    Given a candidate for "ferries" whose pushes are behind
    When epoch 9 is settled by another node while the candidate takes the promotion duty
    And the candidate's primary is silent for 12 s
    Then the platform was asked for no promotion
    And the promotion duty is released

  Scenario: The next holder of the duty finds the epoch of the one before settled
    Given a candidate for "ferries" whose pushes are behind
    When the candidate's primary is silent for 12 s
    Then the platform was asked for a promotion
    And the epoch was settled before the promotion duty was released

  Scenario: Where commits wait for a replica, nobody is promoted before one of those who must hold them all has replied
    Given a candidate for "ferries", whose commits wait for one of two replicas, and of these only ferries-2 replies, at position 10
    When the candidate's primary is silent for 20 s
    Then nobody was promoted
    When ferries-3 replies as well, at position 12
    And the candidate's primary is silent for 12 s
    Then ferries-3 alone was promoted
