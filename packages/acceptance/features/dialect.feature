Feature: The plain dialect of the session protocol

  Scenario: The plain dialect parses what it writes
    Given a reply with a row at position 3.41
    Then the plain dialect parses it into the row, its completion and ready at 3.41
