Feature: Nodes that fail, return, and leave

  Scenario: An edge cut off from its peers denies writes within two seconds
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When edge-1 is cut off from the other nodes
    And 2 s pass
    Then a write to "bookings" through edge-1 is denied as "read-only" or "stale-configuration"
    And a write to "bookings" through edge-2 is served

  Scenario: A core that lost its disk copies the others before it answers, and nothing acknowledged is missing
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-1 comes back with an empty disk
    And 3 s pass
    And core-2 is killed
    Then the current configuration version is 1

  Scenario: Two processes under one id: the older one stops
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When a second agent starts as edge-3
    And 3 s pass
    Then the agent of edge-3 has stopped with the fault "superseded"

  Scenario: A drained edge fails readiness and takes no new work
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator drains edge-4
    And 3 s pass
    Then edge-4 is not ready
    And a write to "bookings" through edge-4 is denied as "draining"

  Scenario: A silent agent fences its proxy
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the agent of edge-2 is killed
    And 2 s pass
    Then a write to "bookings" through edge-2 is denied as "read-only" or "stale-configuration"

  Scenario: A retired primary hands over and nothing acknowledged is missing
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When a client puts "booking" as 5 in "bookings" through edge-1
    And an operator marks the primary of "bookings" draining
    Then within 8 s another member of "bookings" is elected at a later epoch
    And a leader-read of "booking" in "bookings" through edge-2 gives 5

  Scenario: Usage is told once for each window, also when an edge is cut off as the window ends
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And its clients are sending statements
    And a platform that accepts usage calls but whose replies are lost
    When edge-1 is cut off from the cores 2 s before a window ends, for 6 s
    And 12 s pass
    Then that window was sent more than once, in time, and always with the same counts of what was served
