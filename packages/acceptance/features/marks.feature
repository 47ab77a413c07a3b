Feature: How far commits reach while no leader answers, as one core says it (design 8.11)

  Scenario: The mark moves once every edge that may have acknowledged a commit has told again
    Given a core that has answered in its seat for 5 s, while a leader is missing
    When "edge-1" saw the leader at 10, 300 ms ago, and told its commits up to 10
    And "edge-2" asks, and has not told its commits
    Then the mark stands at 10, and 300 ms ago
    When 200 ms pass, and "edge-1" and "edge-2" tell their commits, the furthest at 14
    Then the mark stands at 14, and 0 ms ago

  Scenario: What the process of an edge before this one acknowledged is never told, and stops the mark
    Given a core that has answered in its seat for 5 s, while a leader is missing
    When "edge-1" saw the leader at 10, 300 ms ago, and told its commits up to 10
    And "edge-2" asks, and has not told its commits
    And "edge-2" begins anew
    And 200 ms pass, and "edge-1" and "edge-2" tell their commits, the furthest at 10
    Then the mark stands at 10, and 500 ms ago

  Scenario: A core that has just begun to answer does not know whom its seat granted leases to, and moves no mark
    Given a core that has answered in its seat for 5 s, while a leader is missing
    When the core is given its seat anew
    And "edge-1" saw the leader at 10, 300 ms ago, and told its commits up to 10
    And 200 ms pass, and "edge-1" tells its commits, the furthest at 10
    Then the mark stands at 10, and 500 ms ago
    When 3 s pass, and "edge-1" tells its commits, the furthest at 10
    Then the mark stands at 10, and 3500 ms ago
    When "edge-1" saw the leader at 20, 300 ms ago, and told its commits up to 20
    And 200 ms pass, and "edge-1" tells its commits, the furthest at 20
    Then the mark stands at 20, and 0 ms ago

  Scenario: An agent whose proxy alone began anew asks each core as an edge that begins anew
    Given an agent that holds leases of 3 cores, and feeds a proxy
    When 2 s pass, and the proxy's process is followed by another
    Then each core was asked as by an edge that begins anew once more, and then as before
