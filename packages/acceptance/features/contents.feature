Feature: Configurations are handed over as what differs from the one that is held

  Scenario: What differs between two values makes the second of the first
    Then of 2000 pairs of values from seed 3 the differences make the second of the first, and the first stays as it was
    And differences that do not fit a value make nothing of it

  Scenario: A core tells what differs to whoever says what it holds, and the whole to others
    Given a pooled fleet at work
    When these watch core-1, and a configuration that changes one database is taken:
      | who                       | says                    |
      | an edge                   | what it holds           |
      | an edge that holds none   | that it holds none      |
      | an edge of before         | nothing                 |
      | another core              | that it has the content |
    Then they are told of that change:
      | who                       | what                           |
      | an edge                   | differences that make the whole |
      | an edge that holds none   | differences that make the whole |
      | an edge of before         | the whole                      |
      | another core              | no content                     |

  Scenario: A change whose content is not known waits for it, and asks for it after a while
    Then a change that comes like this is taken like this:
      | it comes                                          | it is taken                  |
      | whole                                             | at once                      |
      | with no content, which another core has told      | at once                      |
      | with no content, which another core tells later   | as the other tells           |
      | as differences from what came last                | at once                      |
      | as differences from what was never here           | after 500 ms, having asked   |
      | as differences that do not fit                    | after 500 ms, having asked   |
      | with no content                                   | after 500 ms, having asked   |
      | with no content, and an epoch behind it           | after 500 ms, having asked   |

  Scenario Outline: A missing content is fetched though newer changes keep coming, one every <interval> ms
    Then of changes without content, one every <interval> ms for 10 s, a newer one is taken every <longest> ms, with 20 fetches at the most

    Examples:
      | interval | longest |
      | 5        | 600     |
      | 40       | 600     |
      | 150      | 700     |
      | 450      | 950     |

  Scenario: Differences behind a missing content wait for it and need no fetch of their own
    Then differences that came behind a missing content are applied as soon as it has been fetched
