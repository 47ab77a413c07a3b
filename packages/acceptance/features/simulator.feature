Feature: The seeded runs themselves

  Scenario: Every fault of the pooled runs stands in the table of what must be survived
    Given the faults of the pooled runs
    Then the table in guarantees.md names each of them, and no other

  Scenario: A loss beyond the tolerance waits until the one before has been back for long enough
    Given a tolerance of one core
    When two cores are to be lost at once, each for 2 s
    Then the second is lost 6 s after the first

  Scenario: A fault that must strike on this day goes before those that were drawn
    Given a tolerance of one core
    When a drawn fault of two losses strikes, then another drawn one, and then one that must strike, each loss for 2 s
    Then what had begun is lost first, then what must strike, and then what was drawn later

  Scenario: Losses that still wait when the day ends do not come
    Given a tolerance of one core
    When two cores are to be lost at once, each for 2 s
    And the day ends a second later
    Then only the first was lost

  Scenario: A core that is replaced does not run on beside its successor when the day ends meanwhile
    Given a pooled fleet one of whose cores is lost and to be replaced
    When everything is started again before its successor comes
    Then the lost core runs no more once its successor has come

  Scenario: A core's settings name cores that are there, also once every founder has been replaced
    Given a running pooled fleet
    When each of its cores is replaced in turn by a blank one, 8 s apart
    Then the last one serves within 8 s

  Scenario: A hanging disk keeps whoever reads or writes waiting, and loses nothing
    Given a process with a disk
    When its disk hangs for 3 s, with a put under way
    Then the put is done after 3 s, and reads back

  Scenario: A full disk fails each put, and works again once there is room
    Given a process with a disk
    When its disk is full for 3 s
    Then a put fails, and one after 3 s succeeds

  Scenario: A reset breaks a connection at both ends
    Given two processes with a connection
    When the connections of one are reset
    Then both find it closed

  Scenario: A seed whose run ends with an error that nobody caught is counted as failed, and the others are played
    When six seeds are played on two threads, of which seed 2 throws where nobody catches it
    Then all six have a result, and seed 2 alone failed
