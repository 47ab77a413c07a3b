Feature: What hollow runs reckon with
  A slope is told only of three sizes or more, with its steps and how straight it was; a run is bounded before it begins.

  Scenario: A slope from three sizes
    Given measured sizes and values
      | size | value |
      | 10   | 25    |
      | 40   | 85    |
      | 120  | 245   |
    Then the slope is 2, at nought 5, with steps from 2 to 2 and a straightness of 1

  Scenario: Two sizes give no slope, however often they were run
    Given measured sizes and values
      | size | value |
      | 10   | 25    |
      | 10   | 27    |
      | 40   | 85    |
    Then there is no slope

  Scenario: What grows with the square of the size is told as not straight by its steps
    Given measured sizes and values
      | size | value |
      | 10   | 100   |
      | 20   | 400   |
      | 40   | 1600  |
    Then the steps go from 30 to 60

  Scenario: A run that is too large is denied before anything starts
    When a hollow run of 601 edges is asked for
    Then it is denied, naming "edges" and the most
    When a hollow run of 300 edges is asked for
    Then it is not denied

  Scenario: The plain dialect reads what it says
    Given a reply with a row at position 3.41
    Then the plain dialect's pieces of it are the row, its ending and rest at 3.41
