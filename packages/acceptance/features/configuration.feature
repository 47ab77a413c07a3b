Feature: Placement configuration, validated and replaced as a whole

  Scenario: An invalid configuration is rejected with all its faults, and changes nothing
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator sends a configuration with an unknown service in a row and a weight for an unknown member
    Then it is rejected as "bad-sheet" with 2 faults that state row, column and remedy
    And the current configuration version is 1

  Scenario: Concurrent changes of two operators get different versions
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When two operators send configurations through different cores at the same time
    Then both are acknowledged with different versions
    And both can be read back by version

  Scenario: A configuration that is based on another version than the current one is rejected
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator sends a configuration based on version 7
    Then it is rejected as "version-conflict" with 0 faults that state row, column and remedy

  Scenario: Removing a key ends its session and the open transaction
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And a session on "bookings" through edge-2 with an open transaction that put "ghost" as 1
    When an operator removes the clients' key
    Then within 3 s a commit in the session is rejected as "key-denied" or "session-lost"
    And "ghost" is not stored in "bookings"

  Scenario: Changes that arrive out of order never revert a node to an older version
    Given a node to which three cores push changes
    When a majority pushes version 4, and then another majority version 3
    Then it has applied version 4
    When a single core pushes version 5
    Then it has applied version 4
    When a second core pushes the same version 5
    Then it has applied version 5
