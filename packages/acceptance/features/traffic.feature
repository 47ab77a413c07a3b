Feature: Statements under trouble

  Scenario: A crowd that waits at a fenced edge is answered at once
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And members of "bookings" that take 2500 ms for a statement
    When 390 writes to "bookings" wait at edge-1 and it is cut off from the other edges
    And 7 s pass
    Then all of them are answered
    And those that waited are denied within 3 s as "read-only" or "stale-configuration"

  Scenario: A STATE question that was under way is reckoned from its own start
    Given a member that replies to STATE after 500 ms
    When a node requests its STATE, and requests it again 250 ms later
    Then both replies carry the send time of the first request
