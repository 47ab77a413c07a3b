Feature: Orders, each number for one text

  Scenario: A number stands for one text at every core, after higher numbers, lost disks and a stop of everything
    Given a pooled fleet that has taken versions 3 and 8
    Then every core acknowledges version 3 again, also written in another order, and refuses another sheet under it
    And every core acknowledges version 5 that nobody sent before, refuses another sheet under it, and reads back version 8
    When each core in turn comes back with an empty disk
    Then every core acknowledges version 3 again, also written in another order, and refuses another sheet under it
    And every core acknowledges version 5 again, refuses another sheet under it, and reads back version 8
    When all cores are stopped and come back
    Then every core acknowledges version 3 again, also written in another order, and refuses another sheet under it
    And every core acknowledges version 5 again, refuses another sheet under it, and reads back version 8

  Scenario: Of two sheets under one number exactly one is taken, whenever the core that took the first is cut off
    Given a pooled fleet that has taken versions 3 and 8
    When 24 pairs of sheets are sent under one number each, and the core of the first is cut off 2 ms later each time
    Then each time one sheet is acknowledged by every core and the other is refused, and the history is one of a single register

  Scenario: A number that was confirmed before orders were kept in a ledger stands for its text all the same
    Given a pooled fleet that has taken versions 3 and 8
    When all cores come back on data folders that hold no ledger
    Then every core refuses another sheet under version 8, and acknowledges version 8 again

  Scenario: A number that the ledger has forgotten gets no clear reply, never a refusal and never another text
    Given a ledger of numbers that has taken more claims than it keeps
    Then the newest numbers are known, and the oldest are forgotten for any text

  Scenario: A send id stands for one sheet, however many sends come after it
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator sends a sheet under a send id, and again through another core, and another sheet under the same send id
    Then both replies to the same sheet name one version, and the other sheet is refused as "version-conflict"
    When 205 more sheets are sent
    Then the same sheet under the send id is replied with its first version, and the other is refused still
