Feature: Calls to the platform under a singleton role, without a fleet, on virtual time

  Scenario: A call whose connection opens only after the role's term has expired is never sent
    Given a holder of a role, and a platform that counts the calls it receives
    When the holder starts a call and is frozen for 5 s before its connection opens
    And 6 s of simulated time pass
    Then the platform received no call, and the call failed as one that was never sent

  Scenario: A call in progress is aborted when its role is released
    Given a holder of a role, and a platform that counts the calls it receives and does not reply
    When the holder starts a call, and releases the role 100 ms later
    Then the call ends when the role is released

  Scenario Outline: A candidacy that was superseded without its core noticing promotes no member
    Given a core that is a candidate for a service without a primary, has seen epoch 4 elected, and whose register has epoch <registered>
    When 8 s of simulated time pass
    Then the platform received at least <least> and at most <most> promotion requests

    Examples:
      | registered | least | most |
      | 4          | 1     | 1    |
      | 5          | 0     | 0    |
      | 9          | 0     | 0    |
