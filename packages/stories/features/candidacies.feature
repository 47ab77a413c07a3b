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
