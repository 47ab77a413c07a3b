Feature: What a soak of real processes plays and judges

  Scenario: A seed draws its whole schedule ahead, and always the same
    Then seeds 1 to 40 draw the same schedule each time they are drawn, and different ones from each other
    And over these seeds every kind of action is drawn, and orders go on in each of them

  Scenario: One core at a time is lost
    Then in seeds 1 to 40 each loss of a core begins 7 s after the one before it is back, or later

  Scenario Outline: An order that is not in force in time is told, where the edge was in touch
    Given an order that was acknowledged at 10 s, and is in force at edge-1 at <applied> s
    When its lag is judged with trouble of <who> at <trouble> s
    Then <judged> orders are judged, and <late> are late

    Examples:
      | applied | who    | trouble | judged | late |
      | 10.2    | edge-2 | 11      | 1      | 0    |
      | 12.9    | edge-2 | 11      | 1      | 0    |
      | 13.5    | edge-2 | 11      | 1      | 1    |
      | 13.5    | edge-1 | 11      | 0      | 0    |
      | 13.5    | core   | 7       | 0      | 0    |
      | 13.5    | core   | 5       | 1      | 1    |

  Scenario Outline: What a process takes up at rest is held against what it took up at first
    Given a process whose timers go from 10 to <busy> while orders are under way, and are <rest> at rest
    Then its timers <verdict>

    Examples:
      | busy | rest | verdict  |
      | 200  | 12   | stand    |
      | 200  | 90   | grow     |
      | 12   | 60   | stand    |
