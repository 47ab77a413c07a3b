Feature: Every order of departures, crashes and promotions of a service whose commits wait for synchronous replicas

  # LOST with SyncReplicas: a promotion cut off commits whose other holder had left the list of members.
  Scenario: No promotion loses an acknowledged commit where one replica confirms each
    When every order of 7 steps is explored with 1 synchronous replicas
    Then no promotion lost an acknowledged commit
    And some elections waited and some members were promoted

  Scenario: No promotion loses an acknowledged commit where two replicas confirm each
    When every order of 6 steps is explored with 2 synchronous replicas
    Then no promotion lost an acknowledged commit

  Scenario: No promotion loses an acknowledged commit while the number of synchronous replicas changes
    When every order of 6 steps is explored with 1 synchronous replicas, changed to 0, 1 or 2 at any time
    Then no promotion lost an acknowledged commit

  Scenario Outline: A faulty rule is found to lose commits
    When every order of 7 steps is explored with 1 synchronous replicas, where <rule>
    Then a promotion lost an acknowledged commit

    Examples:
      | rule                                                |
      | elections count the registered members              |
      | members that have ended are removed without a proof |
