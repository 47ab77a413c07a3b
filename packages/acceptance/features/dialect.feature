Feature: The stand-ins' dialect of the session wire

  Scenario: The plain dialect reads what it says
    Given a reply with a row at position 3.41
    Then the plain dialect's pieces of it are the row, its ending and rest at 3.41
