Feature: Statements during failures

  Scenario: Requests that wait at an edge are rejected promptly when it is fenced
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And members of "bookings" that take 2500 ms for a statement
    When 390 writes to "bookings" are sent through edge-1 and it is then partitioned from the other edges
    And 7 s pass
    Then all of the writes have a response
    And the writes that waited at the edge are rejected within 3 s as "read-only" or "stale-configuration"

  Scenario: The reply to a shared STATE request is dated from the start of that request
    Given a member that replies to STATE after 500 ms
    When a node requests its STATE, and requests it again 250 ms later
    Then both replies carry the send time of the first request
