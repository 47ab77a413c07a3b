Feature: Malformed input
  Nothing that comes in at a boundary ends a process or widens what is let in.

  Scenario: Spoilt requests, beats, sheets and frames leave a fleet as it was
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When 150 spoilt statements, beats and sheets come in at every outward page
    And spoilt calls and frames come in at every node and feed
    Then every process still runs
    And every spoilt request had an answer, and none under a strange key was served
    And the membership table names 3 cores and 6 edges
    And a write to "bookings" through edge-1 is served

  Scenario: A member that answers nonsense is survived
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When a replica of "bookings" answers nonsense to everything
    And 3 s pass
    Then every process still runs
    And a write to "bookings" through edge-1 is served

  Scenario: Sheets and settings are checked without a throw
    Given 3000 spoilt sheets and settings
    Then each is either taken as sound or denied with a remedy

  Scenario: A damaged disk is given up and the others copied; only another node's or a later version's is refused
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-3 is started 40 times on a disk with one entry spoilt
    Then each start opened within 10 s, or was refused as "foreign-disk" for what its fleet says
    And some gave up what was stored
    And the current configuration version is 1

  Scenario: A core and an agent that reply with nothing readable are as good as away, and no more
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When impostors stand where core-3 and the agent of edge-6 stood, and 12 s pass
    Then both were asked again and again, and every other process still runs
    And a write to "bookings" through edge-1 is served
    And a write to "bookings" through edge-6 is denied as "read-only" or "stale-configuration"
    And core-2 accepts a configuration
