Feature: Settings, versions and upgrades

  Scenario: A settings file is read again at a signal or a change, and what is wrong in it changes nothing
    Given an agent that follows its settings file
    When the file names another platform and another seed
    Then both are obeyed at once, without a restart
    When the file is half written
    Then what stood before stands, and the log names the remedy
    When the file names a seed by its name instead of its number
    Then what stood before stands, and the log names the remedy
    When the file names another address of its own
    Then what stood before stands, and the log says that "address" waits for a restart

  Scenario: An edge that was given the wrong seeds joins once its settings name the right ones
    Given a fleet of Red Común with its placement configuration applied and its primaries elected, and a spare edge whose seeds are wrong
    When 3 s pass
    Then the membership table names 3 cores and 6 edges
    When its settings name the right seeds
    And 3 s pass
    Then the membership table names 3 cores and 7 edges

  Scenario: A fleet is upgraded one process at a time, and taken back, without a request being dropped
    Given a fleet of Brightpath with its placement configuration applied and its primaries elected
    And its clients are sending statements
    When every process in turn is ended as planned and started as a version that speaks protocols 2 to 3
    Then every node is heard and speaks protocol 3 with the others
    When every process in turn is ended as planned and started as a version that speaks protocols 2 to 2
    Then every node is heard and speaks protocol 2 with the others
    And no write ended otherwise than served or turned away
    And the recorded history is consistent

  Scenario: A node that is too new is denied, with the remedy in its log, and harms nobody
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When edge-5 is started as a version that speaks protocols 3 to 4
    And 3 s pass
    Then both sides log that they speak different protocols, with the remedy
    And a write to "bookings" through edge-5 is denied as "read-only" or "stale-configuration"
    And a write to "bookings" through edge-1 is served

  Scenario: A data folder of a later format is refused, one of the format before is taken over
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-3 is started on a data folder of format 3
    Then core-3 has stopped as "foreign-disk" and names the remedy
    When all cores come back on data folders of format 1, whose sheet has a history of 2 versions
    And 8 s pass
    And an operator sends 2 sheets, each with a mark of its own
    Then the versions of the history read back by their numbers

  Scenario: What agents and proxies count is told over the whole fleet
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    And its clients are sending statements
    Then every agent tells its own counts and those of its proxy
    And every agent's health page is sound
    When edge-1 is cut off from the other nodes
    And 3 s pass
    Then the health page of edge-1 fails "control" with a remedy
