Feature: A core pushes a configuration as its differences from the one that the receiver has

  Scenario: The differences between two values turn the first into the second
    Then for 2000 pairs of values from seed 3, the differences turn the first into the second and leave the first unchanged
    And differences that do not apply to a value yield no value

  Scenario: A core sends differences to a receiver that reports which content it has, and the complete content to others
    Given a running pooled fleet
    When these receivers watch core-1, and a configuration that changes one database is accepted:
      | receiver                     | reports                          |
      | an edge                      | the ballot of its newest content |
      | an edge without any content  | that it has no content           |
      | an edge of an older protocol | nothing                          |
      | another core                 | that it stores the content       |
    Then each of them receives the change in this form:
      | receiver                     | form                                        |
      | an edge                      | differences that yield the complete content |
      | an edge without any content  | differences that yield the complete content |
      | an edge of an older protocol | the complete content                        |
      | another core                 | no content                                  |

  Scenario: A change whose content is missing waits for it, and the content is fetched after a delay
    Then a change that is pushed in this form is delivered at this time:
      | form                                              | delivered                     |
      | complete                                          | at once                       |
      | without content, after another core pushed it     | at once                       |
      | without content, before another core pushes it    | when the other core pushes it |
      | as differences from the latest content            | at once                       |
      | as differences from a content that was never here | after 500 ms, by a fetch      |
      | as differences that do not apply                  | after 500 ms, by a fetch      |
      | without content                                   | after 500 ms, by a fetch      |
      | without content, followed by an epoch             | after 500 ms, by a fetch      |

  Scenario Outline: A missing content is fetched although newer changes keep arriving, one every <interval> ms
    Then of changes without content, one every <interval> ms for 10 s, a newer one is delivered every <longest> ms, with at most 20 fetches

    Examples:
      | interval | longest |
      | 5        | 600     |
      | 40       | 600     |
      | 150      | 700     |
      | 450      | 950     |

  Scenario: Differences that follow a missing content wait for it and need no fetch of their own
    Then differences that follow a missing content are applied as soon as it has been fetched
