Feature: How a proposer of the register deals with rejections, silence and its own operations

  Scenario: A round that a majority has rejected does not wait for a silent replica
    Given a register of 3 replicas, of which two have promised a higher ballot and the third is silent
    Then a change is chosen within 200 ms

  Scenario: Changes that one process makes at once do not preempt each other
    Given a register of 3 replicas whose disks take 40 ms for a write
    When 6 changes are made at once
    Then within 2 s all 6 changes are chosen, and each replica was asked for 6 promises

  Scenario: Reads that wait are answered by the change that begins after them
    Given a register of 3 replicas whose disks take 40, 60 and 90 ms for a write
    When a change is made, and 115 ms later it is read while 3 other changes wait
    Then within 800 ms it is recorded: "first chosen, second chosen, read first second, third chosen, fourth chosen"

  Scenario: A change whose decision throws does not keep later changes of the key from being made
    Given a register of 3 replicas whose disks take 40 ms for a write
    When a change whose decision throws is made, and then another change
    Then within 400 ms it is recorded: "first threw, second chosen"

  Scenario: A change that could not begin in time fails in time and changes nothing
    Given a register of 3 replicas whose disks take 200 ms for a write
    When a change is made, and at once another one that has 300 ms
    Then within 350 ms it is recorded: "second failed"
    And within 400 ms it is recorded: "second failed, first chosen"
