Feature: Small parts of the platform's path, each alone on virtual time

  # -- The member registry (design 4.7).

  Scenario: A late beat changes nothing
    Given a member registry
    When "member-1" sends a draining heartbeat with sequence number 7
    And "member-1" sends a serving heartbeat with sequence number 6
    Then the heartbeat with sequence number 6 was ignored, and "member-1" is draining
    And only the heartbeat with sequence number 7 is sent to other cores

  Scenario: What has left is never back, whoever tells of it
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And "member-1" announces its departure
    And "member-1" sends a serving heartbeat with sequence number 8
    And another core forwards a heartbeat of "member-1" with sequence number 9
    Then "member-1" is gone, belongs to no service, and its departure is sent to other cores

  Scenario: What left at another core is gone here too
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And another core forwards the departure of "member-1"
    And "member-1" sends a serving heartbeat with sequence number 8
    Then "member-1" is gone and belongs to no service

  Scenario: A silent member is down, and up again with its next beat
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And 4.9 s pass and the registry sweeps
    Then "member-1" is up
    When 0.3 s pass and the registry sweeps
    Then "member-1" is down, and readers see one change
    When "member-1" sends a serving heartbeat with sequence number 8
    Then "member-1" is up, and readers see one change
    When "member-1" sends a serving heartbeat with sequence number 9
    Then readers see no change

  Scenario: A member that was silent for long is of no service, and is back with its next beat
    Given a member registry
    When "member-1" sends a serving heartbeat with sequence number 7
    And 61 s pass and the registry sweeps
    Then "member-1" is gone and belongs to no service
    When "member-1" sends a serving heartbeat with sequence number 8
    Then "member-1" is up
    And "member-1" belongs to its service

  Scenario: Beats are spread once, with their age, and counted from when they were taken
    Given a member registry
    And the member registry of another core
    When "member-1" sends a serving heartbeat with sequence number 7
    And 3 s pass and the registry sweeps
    Then the other core is sent a heartbeat of "member-1" from 3 s ago, and nothing the next time
    And the other core forwards nothing, and considers the member down 2 s later

  # -- Leases (design 7.12).

  Scenario Outline: A lease needs a strict majority at exactly the settled epoch
    Given an edge and cores that stand at <stances>, and epoch 5 settled
    Then the edge has <lease> lease

    Examples:
      | stances    | lease |
      | 5, 5, 5    | a     |
      | 5, 5, 0    | a     |
      | 5, 0, 0    | no    |
      | 5, 4, 6    | no    |
      | 6, 6, 5    | no    |
      | 4, 4, 4    | no    |
      | 5, 5, 0, 0 | no    |
      | 5, 5, 5, 0 | a     |
      | 5, -, -    | no    |

  Scenario: A lease ends 2 s after the send time of the asks, not after their replies
    Given an edge and cores that reply after 600 ms, standing at 5, with epoch 5 settled
    When the edge has its first lease
    Then no more than 1.4 s of it are left
    When the cores fall silent
    Then the lease is over within 2 s and does not come back

  Scenario: A lease runs from the reply where the core says for how long it held the question
    Given an edge and cores that hold each question for 600 ms and say so, standing at 5, with epoch 5 settled
    When the edge has its first lease
    Then between 1.9 s and 2.0 s of it are left

  Scenario: A configuration that nobody hands over whole is asked for under the number of the set
    Given an edge whose cores tell of a configuration without its content, and show it to whoever asks under their set
    Then within 1 s the edge obeys it

  Scenario: A floor is never taken back
    Given an edge and cores that stand at 5, 5, 5, and epoch 5 settled
    When the cores stand at 6, 6, 5
    Then the edge has no lease, and lets go of what is below 6
    When the cores stand at 5, 5, 5
    Then the edge has no lease, and lets go of what is below 6
    When the cores stand at 6, 6, 6 and epoch 6 is settled
    Then the edge has a lease

  Scenario: One core alone beyond the settled epoch is no floor
    Given an edge and cores that stand at 5, 5, 5, and epoch 5 settled
    When the cores stand at 5, 5, 9
    Then the edge has a lease, and lets go of nothing

  Scenario: A reply overtaken by a later one tells nothing
    Given an edge whose held ask at each core is overtaken by a later one that says "member-1" is draining
    When the held asks are replied after all, with "member-1" in service
    Then the edge knows "member-1" as draining

  Scenario: A core counts those it may have granted for a term and its margin, and has them all tell
    Given a core's half of the leases, standing at 5
    When "edge-1" asks, and 1 s later "edge-2" asks, having released what is below 6
    Then both count, and the epoch 6 is not released by both
    When "edge-1" asks, having released what is below 6
    Then the epoch 6 is released by both, and 7 is not
    When 2.6 s pass since the asks
    Then none counts

  Scenario: A core that was given its seat anew can't tell whom its seat granted leases to
    Given a core's half of the leases, standing at 5
    When "edge-1" asks, and 1 s later "edge-2" asks, having released what is below 6
    Then both count, and the epoch 6 is not released by both
    When its core is given a seat anew
    Then it can't say for 2.5 s whom leases were granted to, and names none after that

  Scenario: A core that is not ready grants nothing
    Given a core's half of the leases, not ready
    Then a reply to "edge-1" names no stance

  Scenario: A held ask is replied at once with news
    Given a core's half of the leases, standing at 5
    When "edge-1" asks twice, and the core's stance changes 100 ms later
    Then the second ask is replied within 10 ms of the change, with the new stance

  # -- Freshness (design 8.11).

  Scenario: A position covers what was acknowledged before it was asked for, in whatever order replies come
    Then over 300 seeded histories no bound is covered by a position below what was acknowledged before it
    And a moment after the newest question is covered by nothing
    And of two commits the later stands

  # -- Connections to members (design 8.3, 8.12).

  Scenario: An edge opens no more connections to a member than its share
    Given connections to a member, with a share of 2
    When tenant "a" wants 3
    Then 2 are opened, and the third was told that there is no room
    And 2 can be taken, and no third

  Scenario: Another tenant's idle connection makes room, a busy one does not
    Given connections to a member, with a share of 1
    When tenant "a" wants 1
    And it is taken for session "s1"
    Then tenant "b" finds no room
    When it is given back
    Then tenant "a" finds no room
    When tenant "b" wants 1
    Then the member heard that a's was closed, and "b" can take one while "a" cannot

  Scenario: A session finds its own connection again, and what was not sound is broken off
    Given connections to a member, with a share of 3
    When tenant "a" wants 3
    Then a session that gave one back is handed the same one again
    And another session is handed one on which no values stand
    And one that is given back as not sound is not handed out again

  Scenario: A member that fails is left alone for longer each time, and is back once it opens again
    Given connections to a member, with a share of 2
    When nothing listens there
    And tenant "a" wants 1
    Then it is failing, told as not listening, and left alone for 112 to 188 ms
    And after 8 failures it is left alone for 1125 to 1875 ms
    When it listens again and tenant "a" wants 1
    Then it is neither failing nor told as not listening

  Scenario: A member whose machine is dark, or that opens nothing, is failing but not told as not listening
    Given connections to a member, with a share of 2
    When its machine goes dark, and tenant "a" wants 1
    Then it is failing, and not told as not listening
    When its machine is lit and it replies "FAULT OVERLOAD" to every opening, and tenant "a" wants 1
    Then it is failing, and not told as not listening

  Scenario: A refusal is told for a second
    Given connections to a member, with a share of 2
    When nothing listens there
    And tenant "a" wants 1
    And 1.2 s of connections pass
    Then it is failing, and not told as not listening

  Scenario: Connections that rested long, or whose member moved or left, are closed
    Given connections to a member, with a share of 2
    When tenant "a" wants 1
    Then after 19 s of rest it can still be had, and after 21 s not
    And once its member moved or left it cannot be had

  # -- Whose reply it is (design 8.14).

  Scenario: A reply on a link that nobody waits for ends the link
    Given a far end on a link that replies once more to each call
    Then the link is dialled anew after the reply, and no call is given the reply to another

  Scenario: The tables of the design say what may be asked again as the types do
    Then the design's tables name every call between own processes and every statement, each as its type

  Scenario: Whoever asks a member while a line to it is being opened shares that line
    Given a member that counts the lines that are open to it
    When its line is held and it is asked for its STATE at once, and again later
    Then one line was opened, and one is open
