Feature: Steps of the wall clock

  Scenario: A step of the wall clock is followed only after it has lasted
    Then the offset that a process applies is:
      | wall clock                               | at second | offset     |
      | correct                                  | 10        | 0          |
      | 50 ms ahead from second 5                | 6         | 50         |
      | 8000 ms ahead from second 5 to 11        | 10        | 0          |
      | 8000 ms ahead from second 5 to 11        | 60        | 0          |
      | 8000 ms behind from second 5 to 11       | 10        | 0          |
      | 8000 ms behind from second 5 to 11       | 60        | 0          |
      | 8000 ms ahead from second 5              | 34        | 0          |
      | 8000 ms ahead from second 5              | 36        | 8000       |
      | 8000 ms behind from second 5             | 36        | -8000      |

  Scenario Outline: Clocks that step on all machines but one, and back, do not shift the usage windows
    Given a running pooled fleet
    When gets are sent for 30 s, and the clocks of all machines but that of core-3 are <way> by 8 s from second 7 to second 13
    Then the usage of each window in between was reported within 5 % of the gets served

    Examples:
      | way    |
      | ahead  |
      | behind |

  Scenario: Usage that an edge counts while it is cut off from the cores is reported once it reconnects
    Given a running pooled fleet
    When gets are sent for 30 s, and edge-1 is cut off from the cores from second 7 to second 12
    Then the usage of each window in between was reported within 5 % of the gets served
