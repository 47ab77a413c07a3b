Feature: Mappings from an OpenAPI file

  Scenario: Operations become named statements that senders call by name
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When an operator imports mappings from "bookings.yaml" and sends the sheet
    Then the import names "bookSeat" and "readSeat" and leaves out "DELETE /seats/{seat}"
    And a sender that calls "bookSeat" with "a4" and 9 is served
    And a sender that calls "readSeat" with "a4" after 2 s is given 9
