Feature: Commit watermarks that one core computes while no leader replies (design 8.11)

  Scenario: The watermark advances once every edge that may have acknowledged a commit has reported again
    Given a core that has been an active voter for 5 s, while a leader is missing
    When "edge-1" saw the leader at 10, 300 ms ago, and reports commits up to 10
    And "edge-2" requests a lease without reporting its commits
    Then the watermark is 10, and covers commits until 300 ms ago
    When 200 ms pass, and "edge-1" and "edge-2" report their commits, the highest at 14
    Then the watermark is 14, and covers commits until 0 ms ago

  Scenario: Commits that the former process of an edge acknowledged are never reported, and stop the watermark
    Given a core that has been an active voter for 5 s, while a leader is missing
    When "edge-1" saw the leader at 10, 300 ms ago, and reports commits up to 10
    And "edge-2" requests a lease without reporting its commits
    And the process of "edge-2" restarts
    And 200 ms pass, and "edge-1" and "edge-2" report their commits, the highest at 10
    Then the watermark is 10, and covers commits until 500 ms ago

  Scenario: A core that just became an active voter does not know the holders of earlier leases, and advances no watermark
    Given a core that has been an active voter for 5 s, while a leader is missing
    When the core becomes an active voter again
    And "edge-1" saw the leader at 10, 300 ms ago, and reports commits up to 10
    And 200 ms pass, and "edge-1" reports its commits, the highest at 10
    Then the watermark is 10, and covers commits until 500 ms ago
    When 3 s pass, and "edge-1" reports its commits, the highest at 10
    Then the watermark is 10, and covers commits until 3500 ms ago
    When "edge-1" saw the leader at 20, 300 ms ago, and reports commits up to 20
    And 200 ms pass, and "edge-1" reports its commits, the highest at 20
    Then the watermark is 20, and covers commits until 0 ms ago

  Scenario: An agent whose proxy restarted sends each core a request as from a restarted edge
    Given an agent that requests leases from 3 cores, and feeds a proxy
    When 2 s pass, and the proxy's process is replaced by another
    Then each core received a request as from a restarted edge, followed by ordinary requests
