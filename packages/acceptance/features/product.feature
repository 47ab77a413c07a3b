Feature: Settings, versions and upgrades

  Scenario: A settings file is reloaded on a signal or a change, and an invalid one changes nothing
    Given an agent that follows its settings file
    When the file names another platform and another seed
    Then both are applied at once, without a restart
    When the file is half written
    Then the previous settings stay in force, and the log names the remedy
    When the file names a seed by host name instead of its IP address
    Then the previous settings stay in force, and the log names the remedy
    When the file changes the process's own address
    Then the previous settings stay in force, and the log says that "address" waits for a restart

  Scenario: An edge that was given the wrong seeds joins once its settings name the right ones
    Given a fleet of Red Común with its placement configuration applied and its primaries elected, and a spare edge whose seeds are wrong
    When 3 s pass
    Then the membership table names 3 cores and 6 edges
    When its settings name the right seeds
    And 3 s pass
    Then the membership table names 3 cores and 7 edges

  Scenario: A fleet is upgraded and downgraded one process at a time without a dropped request
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    And its clients are sending statements
    When every process in turn is drained, stopped and started as a version that speaks protocols 2 to 3
    Then every node is reachable and speaks protocol 3 with the others
    When every process in turn is drained, stopped and started as a version that speaks protocols 2 to 2
    Then every node is reachable and speaks protocol 2 with the others
    And every finished write was served or rejected
    And the recorded history is consistent

  Scenario: A node that is too new is rejected with a remedy in its log and does not disturb the others
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When edge-5 is started as a version that speaks protocols 3 to 4
    And 3 s pass
    Then both sides log that they speak different protocols, with the remedy
    And a write to "bookings" through edge-5 is denied as "read-only" or "stale-configuration"
    And a write to "bookings" through edge-1 is served

  Scenario: A data folder of a later format is refused, one of the previous format is migrated
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-3 is started on a data folder of format 3
    Then core-3 has stopped as "foreign-disk" and names the remedy
    When all cores restart on data folders of format 1, whose sheet has a history of 2 versions
    And 8 s pass
    And an operator sends 2 sheets, each with a mark of its own
    Then the versions of the history read back by their numbers

  Scenario: Agents and proxies report their metrics for the whole fleet
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And its clients are sending statements
    Then every agent reports its own metrics and those of its proxy
    And every agent's health checks pass
    When edge-1 is cut off from the other nodes
    And 3 s pass
    Then the health report of edge-1 fails "control" with a remedy
