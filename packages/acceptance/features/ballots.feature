Feature: What ballots carry, and the versions that each core keeps

  Scenario: A difference leads from one value to the next, and fits no other value
    Then from each of 200 drawn values to its successor a difference leads, and joined to any other value it is refused
    And between values of 200 routes that differ in one the difference is a twentieth of the whole at the most
    And a spoilt difference is refused at every spoilt place, and nothing throws

  Scenario: A change moves little between cores, whichever core takes it
    Given a pooled fleet whose configuration has 200 routes
    When 30 changes are sent, to each core in turn
    Then what cores sent one another for each change is below 30000 bytes
    And every core reads the newest back, and every version by its number

  Scenario: A core that missed changes is sent the whole, and asks for the versions that it lacks
    Given a pooled fleet whose configuration has 200 routes
    When core 3 is cut off while 12 changes are sent to cores 1 and 2
    And 3 s pass after it is joined again and one more change is sent
    Then every core reads the newest back, and every version by its number
    And core 3 keeps every version on its own disk

  Scenario: Earlier versions are bounded in bytes, and what is forgotten is said to be
    Given a store of versions whose contents do not compress
    When 40 versions of 1 MB each have been kept
    Then the store holds 16 MB at the most, the newest among them, and says from which on
    And after a restart it holds the same, and asks for nothing that it had forgotten
