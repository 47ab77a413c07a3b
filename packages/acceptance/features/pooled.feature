Feature: Pooled sessions: what holds while members, edges and cores fail

  Scenario: A deposed primary's plain reads never reach a sender
    Given a pooled fleet at work
    And "x1" was put as "old" in "bookings-lead" through edge-2
    When edge-1 and the primary of "bookings" are cut off from everything but each other and senders
    And another member of "bookings" leads
    And "x1" was put as "new" in "bookings-lead" through edge-2
    Then a get of "x1" in "bookings-lead" through edge-2 gives "new"
    And a get of "x1" in "bookings-lead" through edge-1 is denied as "read-only"
    And the deposed primary itself still replies "old" to who asks it directly

  Scenario: A frozen edge wakes and sends nothing to the old leader
    Given a pooled fleet at work
    And "x1" was put as "old" in "bookings-lead" through edge-1
    When edge-1 is frozen for 9 s and is sent a get and a put meanwhile
    And the primary of "bookings" is cut off from the cores
    And another member of "bookings" leads
    And 6 s of the pooled fleet pass
    Then the deposed primary has run nothing since edge-1 was frozen

  Scenario: Edges that let go of an epoch shorten the hand-over
    Given a pooled fleet at work
    When the primary of "bookings" says that it drains
    And another member of "bookings" leads
    Then it was promoted less than 1000 ms after it was proposed

  Scenario: An edge that is silent is waited out
    Given a pooled fleet at work
    When edge-3 is frozen for 9 s
    And the primary of "bookings" says that it drains
    And another member of "bookings" leads
    Then it was promoted more than 1700 ms after edge-3 was frozen and nothing of edge-3 ran on the old one since

  Scenario: No lease is granted for a member before its promotion has taken effect
    Given a pooled fleet at work
    And a platform whose promotions take effect 600 ms after its replies
    When the primary of "bookings" is cut off from the cores
    And gets of "x1" in "bookings-lead" through edge-2 are sent until another member of "bookings" serves them
    Then the new primary ran none of them before it led

  Scenario: An open transaction holds the hand-over up for a moment only
    Given a pooled fleet whose transactions may rest for 9000 ms
    And a session in "bookings-lead" through edge-1 has put "x1" as "open" within a transaction
    When the primary of "bookings" says that it drains
    And another member of "bookings" leads
    Then it was promoted less than 1500 ms after it was proposed
    And its commit is denied as "aborted", and nothing was kept of it

  Scenario Outline: A reply lost on a commit is an outcome unknown, and nothing is repeated
    Given a pooled fleet at work
    When the primary of "bookings" loses its next <lost> replies to commits
    And a <kind> puts "x1" as "once" in "bookings-lead" through edge-1
    Then its sender is told "outcome-unknown"
    And 5 s of the pooled fleet pass
    And members kept it 1 time and ran it 1 time

    Examples:
      | kind        | lost |
      | statement   | 1    |
      | transaction | 1    |

  Scenario: A read whose reply is lost is asked again elsewhere
    Given a pooled fleet at work
    When every replica of "bookings" loses its next reply
    Then a get of "x1" in "bookings-late" through edge-1 is served

  Scenario: A read of bounded age misses nothing that is older than its bound, on however quiet a service
    Given a pooled fleet at work
    And a get of "x1" in "bookings-lead" through edge-2 is served
    When every replica of "bookings" goes deaf
    And "x1" was put as "new" in "bookings-lead" through edge-1
    And "x1" is read 40 times in "bookings-late" through edge-2, every 100 ms
    Then those read later than 1500 ms after the put gave "new", and some before gave the old

  Scenario: Values and prepared names never cross
    Given a pooled fleet whose edges hold 1 connection to each member
    When three sessions through edge-1 with clashing values and names take turns 12 times
    Then every statement ran under the values and shapes of its own session

  Scenario: A transaction that a member denied leaves nothing on its connection
    Given a pooled fleet whose edges hold 1 connection to each member
    When a transaction that only reads is asked to put, in "bookings-lead" through edge-1
    Then it is denied as "read-only", and takes nothing but its end
    And a get of "x1" in "bookings-lead" through edge-1 is served

  Scenario: A transaction that rests too long is ended
    Given a pooled fleet at work
    And a session in "bookings-lead" through edge-1 has put "x1" as "open" within a transaction
    When 3 s of the pooled fleet pass
    Then its commit is denied as "aborted", and nothing was kept of it
    And the primary of "bookings" holds no transaction

  Scenario: A sender that leaves midway leaves nothing behind
    Given a pooled fleet at work
    And a session in "bookings-lead" through edge-1 has put "x1" as "open" within a transaction
    When its sender leaves
    And 1 s of the pooled fleet pass
    Then nothing was kept of it
    And the primary of "bookings" holds no transaction

  Scenario: An edge that ends as planned replies to all
    Given a pooled fleet whose members work for 400 ms
    When edge-1 ends as planned with 8 statements and a transaction under way
    Then each of them is replied, and the transaction is kept
    And readiness failed before any session was let go
    And no session is let in afterwards

  Scenario: What cannot be let in gets a typed fault, and no process ends
    Given a pooled fleet at work
    Then these bytes to edge-1 get these faults
      | bytes                                                | fault       |
      | hello nowhere key-one                                | no-database |
      | hello bookings-lead key-none                         | denied      |
      | hello bookings-lead __proto__                        | denied      |
      | hello constructor key-one                            | no-database |
      | hello                                                | malformed   |
      | ask 1 get x1                                         | malformed   |
      | hello bookings-lead key-one / ask 1 dance            | malformed   |
      | hello bookings-lead key-one / ask own get x1         | malformed   |
      | hello bookings-lead key-one / ask 1 commit           | malformed   |
      | hello bookings-lead key-one / ask 1 execute none x1  | undefined   |
      | hello bookings-lead key-one / ask 1 forget __proto__ | undefined   |
      | hello bookings-lead key-one / nonsense               | malformed   |
      | hello bookings-lead key-one / <one message of 2 MB>  | oversize    |
      | <one message of 2 MB>                                | oversize    |
    And every process of the pooled fleet still runs
    And a get of "x1" in "bookings-lead" through edge-1 is served

  Scenario: Beats to a core of no fleet are turned away
    Given a core that has met no other
    Then a beat to it is turned away, and so is a leave
    When the other cores start and the fleet is formed
    Then a beat to it is taken

  Scenario: A late beat takes nothing back, through whichever core it comes
    Given a pooled fleet at work
    When "maps-9" beats as draining with number 5 to core 1
    And "maps-9" beats as serving with number 4 to core 2
    Then every edge knows "maps-9" as draining
    When "maps-9" leaves through core 3
    And "maps-9" beats as serving with number 6 to core 1
    Then no edge knows "maps-9"

  Scenario: A drained member is left in time
    Given a pooled fleet at work
    And senders with sessions are at work
    When the primary of "bookings" says that it drains
    And 12 s of the pooled fleet pass
    Then nothing began on it later than 7 s after a core acknowledged that
    And the checkers of the pooled mode find nothing

  Scenario: An edge that starts while a primary drains takes that for old news
    Given a pooled fleet at work
    When every replica of "bookings" is killed
    And the primary of "bookings" says that it drains
    And 3 s of the pooled fleet pass
    Then a get of "x1" in "bookings-lead" through edge-2 is served
    When edge-1 is killed and comes back at once
    And 1 s of the pooled fleet pass
    Then a get of "x1" in "bookings-lead" through edge-1 is denied as "read-only"

  Scenario: A statement that waits while its database moves follows it
    Given a pooled fleet whose edges hold 1 connection to each member
    And a session in "bookings-lead" through edge-1 has put "x1" as "open" within a transaction
    When a get of "x1" in "bookings-lead" waits at edge-1 while the database moves to "maps"
    Then it ran on a member of "maps"

  Scenario: A key that was withdrawn is denied within its time, to whoever is connected
    Given a pooled fleet at work
    And a session in "bookings-lead" through edge-1 under the spare key
    When the spare key is withdrawn
    And 3 s of the pooled fleet pass
    Then a get in that session is denied as "denied"
    And its open transaction of before had its end
