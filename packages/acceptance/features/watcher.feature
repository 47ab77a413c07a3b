Feature: A node applies what a majority of cores has pushed

  Scenario Outline: A stream of changes is applied though the cores push it out of step, <delay> ms apart
    Then of changes every 100 ms, which core-2 pushes <delay> ms later than core-1 does, each is applied <bound> ms after core-1 pushed it

    Examples:
      | delay | bound |
      | 20    | 30    |
      | 150   | 160   |
      | 900   | 910   |

  Scenario: A change pushed under an earlier set of cores counts for nothing under a later one
    Then what cores pushed under different sets is never counted together

  Scenario: The changes that are remembered are bounded
    Then of a key that nobody completes a node keeps 16 changes of each core at the most

  Scenario: What a core pushed under an earlier set and has lost since is forgotten
    Then a change that a core no longer has under a later set leaves no doubt behind
