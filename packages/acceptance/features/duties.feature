Feature: Calls to the platform under a duty, each alone on virtual time

  Scenario: A call whose connection opens only after the term is over never leaves
    Given a holder of a duty, and a platform that counts what it is told
    When the holder begins a call and is frozen for 5 s before its connection is open
    And 6 s of the duty pass
    Then the platform was told nothing, and the call is answered as one of which no byte has left

  Scenario: A call that is under way when the duty is let go is taken back
    Given a holder of a duty, and a platform that counts what it is told, and says nothing
    When the holder begins a call, and lets the duty go 100 ms later
    Then the call ends with the duty

  Scenario Outline: A candidacy that was overtaken while its core was away promotes nobody
    Given a core that stands for a service without a leader, knows of epoch 4, and whose register has epoch <settled>
    When 8 s of the duty pass
    Then the platform was told <promotions> promotions or more, and at most <most>

    Examples:
      | settled | promotions | most |
      | 4       | 1          | 1    |
      | 5       | 0          | 0    |
      | 9       | 0          | 0    |
