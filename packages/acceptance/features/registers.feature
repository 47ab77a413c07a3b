Feature: How a proposer of the register deals with rejections, silence and its own operations

  Scenario: A round that a majority has rejected does not wait for a silent replica
    Given a register of 3 replicas, of which two have promised a higher ballot and the third is silent
    Then a change is chosen within 200 ms
