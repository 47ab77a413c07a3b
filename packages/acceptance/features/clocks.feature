Feature: The time of day, which may jump and jump back

  Scenario: A step of the time of day is taken over only once it has lasted
    Then a process goes by the time of day like this:
      | what happens to the time of day          | at second | it goes by |
      | nothing                                  | 10        | 0          |
      | it is 50 ms ahead from second 5          | 6         | 50         |
      | it is 8000 ms ahead from second 5 to 11  | 10        | 0          |
      | it is 8000 ms ahead from second 5 to 11  | 60        | 0          |
      | it is 8000 ms behind from second 5 to 11 | 10        | 0          |
      | it is 8000 ms behind from second 5 to 11 | 60        | 0          |
      | it is 8000 ms ahead from second 5        | 34        | 0          |
      | it is 8000 ms ahead from second 5        | 36        | 8000       |
      | it is 8000 ms behind from second 5       | 36        | -8000      |

  Scenario Outline: Clocks that step on all machines but one, and back, leave the usage windows where they were
    Given a running pooled fleet
    When gets are asked for 30 s, and the clocks of all machines but that of core-3 are <way> by 8 s from second 7 to second 13
    Then each window in between was told as it was served

    Examples:
      | way    |
      | ahead  |
      | behind |

  Scenario: What an edge serves while it is cut off from the cores is told once it is back
    Given a running pooled fleet
    When gets are asked for 30 s, and edge-1 is cut off from the cores from second 7 to second 12
    Then each window in between was told as it was served
