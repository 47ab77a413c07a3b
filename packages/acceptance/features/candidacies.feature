Feature: A single candidacy over a stub register and a stub platform

  Scenario: A winner that was delayed finds a later epoch elected, and promotes no member
    Given a candidate for "ferries" that is not notified of later elections
    When another node records epoch 9 as elected while the candidate acquires the promotion role
    And the service's primary is silent for 12 s
    Then the platform received no promotion request
    And the promotion role is released

  Scenario: The next holder of the promotion role finds the previous holder's election recorded
    Given a candidate for "ferries" that is not notified of later elections
    When the service's primary is silent for 12 s
    Then the platform received a promotion request
    And the election was recorded before the promotion role was released

  Scenario: Where commits wait for a replica, no member is promoted until enough have replied that one of them has every acknowledged commit
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which only ferries-2 replies, at position 10
    When the service's primary is silent for 20 s
    Then no member was promoted
    When ferries-3 replies as well, at position 12
    And the service's primary is silent for 12 s
    Then only ferries-3 was promoted

  # LOST with SyncReplicas: a commit was on the primary and on the replica that leaves; counting only the members that stay loses it.
  Scenario: A replica that leaves while the primary is down still counts for the commits that it may hold
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which ferries-2 and ferries-3 reply, both at position 10
    When the service's primary is silent for 1 s
    And ferries-2 leaves and ends
    And the service's primary is silent for 30 s
    Then no member was promoted
    And the election waits for "ferries-1 ferries-2"
    When ferries-1 replies as well, at position 12
    And the candidate waits for 12 s
    Then no member was promoted
    And the election waits for no member

  # LOST with SyncReplicas: both members that have the commit are silent for so long that they are taken off the list.
  Scenario: Members that are silent and forgotten still count for the commits that they may hold
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which ferries-2 and ferries-3 reply, both at position 10
    When the service's primary is silent for 1 s
    And ferries-1 and ferries-2 are silent and not registered any more
    And the service's primary is silent for 30 s
    Then no member was promoted
    And the election waits for "ferries-1 ferries-2"

  # LOST with SyncReplicas: the number is lowered while the primary, which may hold the only copy beside a lost replica, is down.
  Scenario: Lowering the number of synchronous replicas while the primary is down does not give up what was promised before
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which ferries-2 and ferries-3 reply, both at position 10
    When the service's primary is silent for 1 s
    And ferries-2 leaves and ends
    And the configuration asks for 0 synchronous replicas
    And the service's primary is silent for 30 s
    Then no member was promoted

  Scenario: A draining replica with the only copy of a commit is promoted, so that the others receive it before it ends
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which ferries-2 and ferries-3 reply, both at position 10
    When ferries-2 is draining, at position 12
    And the service's primary is silent for 12 s
    Then only ferries-2 was promoted

  Scenario: An operator gives up what members hold that do not return
    Given a candidate for "ferries", whose commits wait for one of two replicas, of which ferries-2 and ferries-3 reply, both at position 10
    When the service's primary is silent for 1 s
    And ferries-1 and ferries-2 are silent and not registered any more
    And the service's primary is silent for 12 s
    Then the election waits for "ferries-1 ferries-2"
    When an operator gives up what the members hold that are not registered any more
    And the service's primary is silent for 12 s
    Then only ferries-3 was promoted
