Feature: Operators with limited permissions

  Scenario: An operator's key permits changes to its own services only, and the audit trail records who did what
    Given a fleet of Red Común with its placement configuration applied and its primaries elected, whose cores have a root key
    When root creates an operator "maps-team" for the service "maps"
    Then "maps-team" may send a configuration that changes the weights of "maps"
    But "maps-team" may not send a configuration that changes the weights of "bookings"
    And "maps-team" may not drain edge-1
    And a caller without a key may not read the fleet status
    And the audit trail lists a configuration sent by "maps-team" and an operator created by "root"

  Scenario: Listings are paginated
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator lists the members 4 at a time
    Then 9 members are listed on 3 pages and none twice

  Scenario: Failed health checks name a remedy
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    Then all health checks pass
    When the primary of "maps" is killed
    And 6 s pass
    Then only the health check "leaders" fails, with a remedy
