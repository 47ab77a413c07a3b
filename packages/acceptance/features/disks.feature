Feature: Core disks that are lost, old, or moved

  Scenario: A core that comes back with an old copy of its disk copies the others before it answers
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the disk of core-2 is copied, an operator sends two more sheets, and core-2 comes back with the copy
    Then core-2 logs "core.old-disk" and opens within 3 s
    And core-2 holds version 3 on its own disk

  Scenario: A core that lost its disk does not vote again where it may have voted
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When every node votes for the primary of "bookings" at epoch 5
    And core-1 comes back with an empty disk
    And 1 s pass
    Then core-1 denies another proposal for epoch 5
    And within 12 s the primary of "bookings" is settled at a later epoch than 5

  Scenario: A core machine is replaced by another at another address
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When core-3 is replaced by a blank machine at "10.1.0.9"
    And 4 s pass
    And core-1 is killed
    And 1 s pass
    Then a write to "bookings" through edge-1 is served
    And core-2 takes a sheet

  Scenario: A step that would lose the quorum is denied
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When edges 1, 2, 3 and 4 are killed and 6 s pass
    And an operator tries to remove edge-1 after edge-5 is killed too
    Then it is rejected as "unsafe-step" with 0 faults that state row, column and remedy

  Scenario: A core whose disk is full says so, answers no ballot, and is back by itself
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the disk of core-2 takes no more bytes
    And 2 s pass
    And core-1 takes a sheet 10 times, each within 1 s
    Then core-2 answers no ballot, vote or note
    And core-2 has logged "disk.failed" once and "disk.works" 0 times, and its liveness names "disk-syncs"
    When the disk of core-2 is mended, and 2 s pass
    Then core-2 has logged "disk.failed" once and "disk.works" 1 times, and its liveness is sound of "disk-syncs"
    And core-2 takes a sheet
    And every process still runs

  Scenario: A core whose disk hangs holds nobody up
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When the disk of core-2 hangs
    And 2 s pass
    And core-1 takes a sheet 10 times, each within 1 s
    Then core-2 answers no ballot, vote or note
    And core-2 says what it accepted while its disk hangs
    When the disk of core-2 is mended, and 2 s pass
    Then core-2 has logged "disk.failed" once and "disk.works" 1 times, and its liveness is sound of "disk-syncs"
    And core-2 takes a sheet

  Scenario: A core whose store is half there copies the others, and is told apart from one of another node
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    Then a write to "bookings" through edge-1 is served
    And core-3 comes back like this when its disk has lost this:
      | what is lost               | comes back as |
      | the fleet                  | replaced      |
      | a word of the fleet        | replaced      |
      | half of a cell             | replaced      |
      | half of a vote             | replaced      |
      | half of the notes          | replaced      |
      | the count of puts          | old           |
      | everything                 | copying       |
      | its place, to another node | refused       |

  Scenario: Cores that all lost what they held found nothing anew
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When every core has lost half of a cell, and starts again
    And 20 s pass
    Then no core is open, and each has logged "disk.replaced"
