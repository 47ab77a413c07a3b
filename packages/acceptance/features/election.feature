Feature: Elections during failures

  Scenario: The winner crashes between winning the majority and calling the platform
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the primary of "bookings" is killed
    And the node that proposes for "bookings" is killed 1 s after its proposal
    Then within 20 s another member of "bookings" is elected at a later epoch
    And the platform was called in order of fencing tokens, and no two elections shared a token

  Scenario: A promotion whose replies are lost is detected from the member's own STATE
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the primary of "bookings" is killed
    And the platform's replies are lost for 8 s from the first promotion on
    Then another member of "bookings" was elected within 2 s of the first promotion
    And all promotion calls of that election used one fencing token
    And the platform was called in order of fencing tokens, and no two elections shared a token

  Scenario: Replicas that lack acknowledged writes are not elected, and the service's writes are denied meanwhile
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And replicas of "bookings" that no longer receive its log, and a primary that waits for no replica
    When a client puts "lone" as 3 in "bookings" through edge-1
    And 1 s pass
    And the primary of "bookings" is killed
    And 15 s pass
    Then a write to "bookings" through edge-2 is denied as "read-only" or "no-target"
    When the primary of "bookings" restarts
    Then within 12 s a leader-read of "lone" in "bookings" through edge-3 gives 3
