Feature: Malformed input
  Input from outside can neither end a process nor gain access that the configuration does not grant.

  Scenario: Malformed requests, heartbeats, configurations and frames do not affect a fleet
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When 150 malformed statements, heartbeats and configurations are sent to the HTTP routes
    And malformed calls and frames are sent to every node and feed
    Then every process still runs
    And every malformed request got a reply, and none with an unknown key was served
    And the membership table names 3 cores and 6 edges
    And a write to "bookings" through edge-1 is served

  Scenario: The fleet keeps working when a member sends malformed replies
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When a replica of "bookings" answers every request with a malformed reply
    And 3 s pass
    Then every process still runs
    And a write to "bookings" through edge-1 is served

  Scenario: Validating configurations and settings never throws
    Given 3000 malformed configurations and settings
    Then each is either accepted or rejected with a remedy

  Scenario: A damaged disk is replaced by copies from the other cores; only a disk of another node or a later version is refused
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-3 is started 40 times on a disk with one corrupted entry
    Then each start opened within 10 s, or was refused as "foreign-disk" because of its fleet entry
    And some replaced their stored data
    And the current configuration version is 1

  Scenario: A core and an agent that send malformed replies have the same effect as if they were unreachable
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When impostors replace core-3 and the agent of edge-6, and 12 s pass
    Then both received repeated calls, and every other process still runs
    And a write to "bookings" through edge-1 is served
    And a write to "bookings" through edge-6 is denied as "read-only" or "stale-configuration"
    And core-2 accepts a configuration
