Feature: End-to-end path
  Nodes discover each other, a placement configuration reaches every proxy, clients are served, and a failed primary is replaced.

  Scenario: A fleet forms from three seeds and serves every kind of statement
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    Then the membership table names 3 cores and 6 edges
    When a client puts "seat" as 7 in "bookings" through edge-1
    Then a leader-read of "seat" in "bookings" through edge-4 gives 7
    And after 2 s a bounded-read of "seat" in "bookings" through edge-2 gives 7

  Scenario: A session reads its own writes immediately, from any member
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    And replicas that lag by 400 ms
    When a session on "seats" through edge-3 puts "hold" as 12
    Then its own-read of "hold" gives 12 immediately

  Scenario: A killed primary is replaced and no acknowledged write is lost
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When a client puts "booking" as 41 in "bookings" through edge-1
    And the primary of "bookings" is killed
    Then within 12 s another member of "bookings" is elected at a later epoch
    And a leader-read of "booking" in "bookings" through edge-5 gives 41
    When a client puts "booking" as 42 in "bookings" through edge-6
    Then a leader-read of "booking" in "bookings" through edge-1 gives 42

  Scenario: The load of a deployment is served within the members' connection limits
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    When its clients send statements for 10 s
    Then at least 2900 statements were served and none was rejected
    And no member had more connections than its limit
