Feature: Core disks that are lost, old, or moved

  Scenario: A core that comes back with an old copy of its disk copies the others before it answers
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When the disk of core-2 is copied, an operator sends two more sheets, and core-2 comes back with the copy
    Then core-2 logs "core.old-disk" and opens within 3 s
    And core-2 holds version 3 on its own disk

  Scenario: A core that lost its disk does not vote again where it may have voted
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When every node votes for the primary of "bookings" at epoch 5
    And core-1 comes back with an empty disk
    And 1 s pass
    Then core-1 denies another proposal for epoch 5
    And within 12 s the primary of "bookings" is settled at a later epoch than 5

  Scenario: A core machine is replaced by another at another address
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When core-3 is replaced by a blank machine at "10.1.0.9"
    And 4 s pass
    And core-1 is killed
    And 1 s pass
    Then a write to "bookings" through edge-1 is served
    And core-2 takes a sheet

  Scenario: A step that would lose the quorum is denied
    Given a fleet of Red Común with its sheet obeyed and its primaries elected
    When edges 1, 2, 3 and 4 are killed and 6 s pass
    And an operator tries to remove edge-1 after edge-5 is killed too
    Then it is denied as "unsafe-step" with 0 faults that name row, column and remedy
