Feature: Members and edges that leave as planned

  Scenario: A primary that cannot be reached costs its senders no waiting
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the primary of "bookings" is killed
    And 1 s pass
    Then a write to "bookings" through edge-1 is denied as "no-target" within 100 ms and says when to retry

  Scenario: A primary retired under load pauses its writes only briefly
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    And its senders are at work
    When an operator marks the primary of "acceptances" draining
    And 12 s pass
    Then another member of "acceptances" leads, and no stretch of 4 s passed without a write kept
    And the ledger is clean

  Scenario: A draining primary that nobody can follow gets no new work after seven seconds
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And every other member of "bookings" is killed
    When an operator marks the primary of "bookings" draining
    And 7 s pass
    Then a write to "bookings" through edge-1 is denied as "read-only"

  Scenario: A removed edge stops by itself and does not come back
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator drains edge-4
    And an operator removes edge-4
    And 5 s pass
    Then the agent of edge-4 has stopped as "departed"
    And the membership table names 3 cores and 5 edges
    And a write to "bookings" through edge-4 is denied as "draining" or "stale-configuration"

  Scenario: A planned restart drops nothing that was in flight
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    And its senders are at work
    When the proxy of edge-3 is ended as planned and started again
    And 10 s pass
    Then no reply was lost
    And the ledger is clean

  Scenario: A planned restart of an agent alone is not felt by its proxy's senders
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    And its senders are at work
    When the agent of edge-3 is ended as planned and started again 700 ms later
    And 8 s pass
    Then every statement was served
    And the ledger is clean
