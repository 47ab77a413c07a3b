Feature: Operators of many teams

  Scenario: A team's key changes its own services and nothing else, and the trail says who did what
    Given a fleet of Red Común with its placement configuration applied and its primaries elected, whose cores have a root key
    When root makes an operator "maps-team" for the service "maps"
    Then "maps-team" may send a sheet that changes the weights of "maps"
    But "maps-team" may not send a sheet that changes the weights of "bookings"
    And "maps-team" may not drain edge-1
    And a stranger may not read the fleet
    And the trail tells of a sheet sent by "maps-team" and an operator made by "root"

  Scenario: Listings come in pages
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator reads the members 4 at a time
    Then 9 members came in 3 pages and none twice

  Scenario: The health page names what is wrong and the remedy
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    Then the health page is sound
    When the primary of "maps" is killed
    And 6 s pass
    Then the health page fails "leaders" with a remedy
