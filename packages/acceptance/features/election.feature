Feature: Elections under trouble

  Scenario: The winner dies between its majority and its call to the platform
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the primary of "bookings" is killed
    And the node that proposes for "bookings" is killed 1 s after its proposal
    Then within 20 s another member of "bookings" is elected at a later epoch
    And the platform was called in order, no turn shared

  Scenario: A promotion whose replies are lost is believed from the member's own STATE
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the primary of "bookings" is killed
    And the platform loses its replies for 8 s from the first promotion on
    Then another member of "bookings" was settled within 2 s of the first promotion
    And all calls for it were under one turn
    And the platform was called in order, no turn shared

  Scenario: Replicas that lack acknowledged writes are not elected, and the service says so at once
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And replicas of "bookings" that stopped receiving, with a primary that waits for nobody
    When a sender puts "lone" as 3 in "bookings" through edge-1
    And 1 s pass
    And the primary of "bookings" is killed
    And 15 s pass
    Then a write to "bookings" through edge-2 is denied as "read-only" or "no-target"
    When the primary of "bookings" comes back
    Then within 12 s a leader-read of "lone" in "bookings" through edge-3 gives 3
