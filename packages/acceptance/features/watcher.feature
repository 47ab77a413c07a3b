Feature: A node applies what a majority of cores has pushed

  Scenario Outline: A stream of changes is applied although the cores push each change <delay> ms apart
    Then of changes every 100 ms, which core-2 pushes <delay> ms after core-1, each is applied within <bound> ms of the push by core-1

    Examples:
      | delay | bound |
      | 20    | 30    |
      | 150   | 160   |
      | 900   | 910   |

  Scenario: A change pushed under an earlier core set does not count under a later one
    Then pushes under different core sets are never counted together

  Scenario: The number of retained changes is limited
    Then of a key whose changes reach no majority, a node retains at most 16 changes per core

  Scenario: A change that a core pushed under an earlier core set and has lost since then is dropped
    Then a change that a core no longer has under a later core set does not remain unapplied
