Feature: What cores send one another for a configuration change, and the earlier versions that each core stores

  Scenario: A difference yields the next value from its base and applies to no other value
    Then for each of 200 random values, the difference to its successor yields the successor and does not apply to another value
    And for values of 200 routes that differ in one route, the difference is at most a twentieth of the size of the value
    And a difference that is corrupted at any position is rejected without an exception

  Scenario: A change transfers little data between cores, whichever core it is sent to
    Given a pooled fleet whose configuration has 200 routes
    When 30 changes are sent to the cores in turn
    Then the cores exchange less than 30000 bytes per change
    And every core returns the newest version, and every version by its number

  Scenario: A core that missed changes is sent the complete value and fetches the versions that it lacks
    Given a pooled fleet whose configuration has 200 routes
    When core 3 is disconnected while 12 changes are sent to cores 1 and 2
    And the core is reconnected, one more change is sent and 3 s pass
    Then every core returns the newest version, and every version by its number
    And core 3 has stored every earlier version on its own disk

  Scenario: The total size of earlier versions is limited, and the store reports the oldest version it has
    Given a version store whose contents do not compress
    When 40 versions of 1 MB each have been stored
    Then the store has at most 16 MB of versions, including the newest, and reports the oldest one
    And after a restart it has the same versions and requests none of those it dropped
