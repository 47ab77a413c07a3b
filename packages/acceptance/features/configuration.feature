Feature: One sheet, sent whole

  Scenario: A bad sheet is answered once with every fault, and changes nothing
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When an operator sends a sheet with an unknown service in a row and a weight for a stranger
    Then it is denied as "bad-sheet" with 2 faults that name row, column and remedy
    And the current version is 1

  Scenario: Two operators at once each get a number of their own
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When two operators send sheets through different cores at once
    Then both are acknowledged with different versions
    And both can be read back by number

  Scenario: A sheet sent against an older version is denied with the current one
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When an operator sends a sheet for version 7
    Then it is denied as "version-conflict" with 0 faults that name row, column and remedy

  Scenario: A withdrawn key ends its session and the transaction under it
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    And a session on "bookings" through edge-2 with an open transaction that put "ghost" as 1
    When an operator withdraws the senders' key
    Then within 3 s the session is denied as "key-denied" or "session-lost"
    And "ghost" is not kept in "bookings"

  Scenario: Changes that arrive out of order never take a node back
    Given a node that is handed changes by three cores
    When a majority hands over version 4, and another majority version 3 afterwards
    Then it obeys version 4
    When one core alone hands over version 5
    Then it obeys version 4
    When a second core hands over the same version 5
    Then it obeys version 5
