Feature: Named statements imported from an OpenAPI file

  Scenario: Operations become named statements that clients call by name
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator imports mappings from "bookings.yaml" and sends the configuration
    Then the import contains "bookSeat" and "readSeat" and skips "DELETE /seats/{seat}"
    And a client that calls "bookSeat" with "a4" and 9 succeeds
    And a client that calls "readSeat" with "a4" after 2 s receives 9
