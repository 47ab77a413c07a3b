Feature: Announced outages: reads are replied from a copy held at the site, nothing is settled from it

  Scenario: A cut edge replies through the whole window what its people read before, and settles nothing
    Given a pooled fleet with an outage of edge-1 ahead
    And "x1" was set to "again" in "bookings-late" through edge-1
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And edge-1 has served a get of "x1" in "bookings-lead"
    And edge-1 has served a get of "x1" in "bookings-own"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy
    And a put of "x1" in "bookings-late" through edge-1 is denied as "read-only"
    And a commit in "bookings-late" through edge-1 is denied
    And a get of "x1" in "bookings-lead" through edge-1 fails with "read-only"
    And a get of "x1" in "bookings-own" through edge-1 fails with "read-only"
    And a get of "x1" within a transaction in "bookings-late" through edge-1 is denied as "read-only"
    And a get of "x2" in "bookings-late" through edge-1 fails with "read-only"
    When 40 s pass in the pooled fleet
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy
    And a put of "x1" in "bookings-late" through edge-1 is denied as "read-only"
    And edge-1 counted 2 copies served and 1 missed

  Scenario: What can be placed goes to a member, in the window as always
    Given a pooled fleet with an outage of edge-1 ahead
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    And "x1" was set to "new" in "bookings-lead" through edge-2
    When the window begins
    Then a get of "x1" in "bookings-late" through edge-1 returns "new"

  Scenario: Another tenant's copy is never shown
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 by the other tenant is denied as "read-only"

  Scenario: Reads under other session values are not the same read
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 under the value "v1" of "else" is denied as "read-only"

  Scenario: A copy that was not completed is not used
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served 60 different gets in "bookings-late"
    When edge-1 loses its uplink while the copy is being made
    And the window begins
    Then every one of the 60 gets in "bookings-late" through edge-1 is denied, though some were copied

  Scenario: The first reads after the cut are replied from the copy too
    Given a pooled fleet with an outage of edge-1 ahead
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When the window begins
    Then a get of "x1" in "bookings-late" through edge-1 is served
    When edge-1 loses its uplink
    Then 20 gets of "x1" in "bookings-late" through edge-1, one after the other from now on, all give "old"

  Scenario: A clock that steps and steps back moves no window; one that is set on for good ends it, and seen twice it is harmless
    Given a pooled fleet with an outage of edge-1 ahead
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    And the clock of edge-1 is set on by 200 s
    And 6 s pass in the pooled fleet
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy
    When the clock of edge-1 is set back by 200 s
    And 1 s pass in the pooled fleet
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy
    When the clock of edge-1 is set on by 200 s
    And 32 s pass in the pooled fleet
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"
    And edge-1 holds no copy
    When the clock of edge-1 is set back by 200 s
    And 32 s pass in the pooled fleet
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"

  Scenario: A copy that is not ready when the window begins is not finished in it
    Given a pooled fleet with an outage of edge-1 ahead whose copy is made 1500 ms before
    And edge-1 has served 60 different gets in "bookings-late"
    When the window begins
    And edge-1 loses its uplink
    And 4 s pass in the pooled fleet
    Then every one of the 60 gets in "bookings-late" through edge-1 is denied, though some were copied

  Scenario: A database that has moved since is not read from its copy
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When "bookings-late" moves to "maps"
    And edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"

  Scenario: A copy is never made from another copy
    Given a pooled fleet with an outage of edge-1 ahead, and one of another site soon after
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy
    When the window and its grace are over
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"

  Scenario: Before its window a copy replies nothing
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"

  Scenario: After the window the copy is gone, though the uplink is still away
    Given a pooled fleet with an outage of edge-1 ahead
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy
    When the window and its grace are over
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"
    And edge-1 holds no copy

  Scenario: A session's own commit after the copy turns it away
    Given a pooled fleet with an outage of edge-1 ahead
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    And a session in "bookings-late" through edge-1 has put "x1" as "new"
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in that session is denied as "read-only"
    And a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy

  Scenario: A session whose commit came to an unknown end is turned away
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    And a session in "bookings-late" through edge-1 has put "x1" as "new" and the reply was lost
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in that session is denied as "read-only"

  Scenario: A copy keeps within its bound, and the least used give way
    Given a pooled fleet with an outage of edge-1 ahead that holds 4096 bytes
    And edge-1 has served 60 different gets in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then edge-1 holds at most 4096 bytes in fewer than 60 copies
    And the last of the 60 gets in "bookings-late" through edge-1 is replied from the copy, and the first is not

  Scenario: Named reads are held although nobody asked them
    Given a pooled fleet with an outage of edge-1 ahead that names a get of "x1" in "bookings-late"
    And "x1" was set to "old" in "bookings-lead" through edge-2
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 gives "old" from the copy

  Scenario: A proxy that restarts within the window has lost its copy
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 restarts and loses its uplink within the window
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"

  Scenario: A prepared read is held by its shape, whatever its name
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a prepared get "s1" of "x1" under the value "v1" of "deep" in "bookings-late"
    And the copy of edge-1 was made
    When edge-1 loses its uplink and the window begins
    Then a prepared get "s2" of "x1" under the value "v1" of "deep" in "bookings-late" through edge-1 is replied from the copy
    And a prepared get "s2" of "x2" under the value "v1" of "deep" in "bookings-late" through edge-1 is denied as "read-only"

  Scenario: Reads for the copy are nobody's usage
    Given a pooled fleet with an outage of edge-1 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-1 was made
    When 15 s pass in the pooled fleet
    Then the usage of all tenants comes to 1

  Scenario: An edge that the outage doesn't name holds nothing
    Given a pooled fleet with an outage of edge-2 ahead
    And edge-1 has served a get of "x1" in "bookings-late"
    And the copy of edge-2 was made
    And 2 s pass in the pooled fleet
    When edge-1 loses its uplink and the window begins
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"

  Scenario: With no outages named a cut edge denies as before
    Given a running pooled fleet
    And edge-1 has served a get of "x1" in "bookings-late"
    When edge-1 loses its uplink
    Then a get of "x1" in "bookings-late" through edge-1 fails with "read-only"
    And edge-1 holds no copy

  Scenario: The sheet's outages are checked whole
    Then these outages of a sheet are judged
      | outages                                                                                                   | fault                                      |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z"}                                               | none                                       |
      | {"weekly":[{"day":"monday","from":60,"to":120},{"day":"tuesday","from":60,"to":120}]}                     | none                                       |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z","site":"a"} {"from":"2027-01-15T08:30:00Z","to":"2027-01-15T10:00:00Z","site":"b"} | none   |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z"} {"from":"2027-01-15T09:00:00Z","to":"2027-01-15T10:00:00Z"} | none                         |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z"} {"from":"2027-01-15T08:30:00Z","to":"2027-01-15T10:00:00Z"} | overlap                      |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z"} {"weekly":[{"day":"friday","from":500,"to":520}]} | overlap                                |
      | {"weekly":[{"day":"saturday","from":1400,"to":1500}]} {"weekly":[{"day":"sunday","from":30,"to":90}]}     | overlap                                    |
      | {"weekly":[{"day":"monday","from":60,"to":120},{"day":"monday","from":90,"to":150}]}                      | overlap                                    |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z","databases":["elsewhere"]}                     | there is no database elsewhere             |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z","things":[{"database":"maps-late","tenant":"tenant-one","text":"get x"}]} | is not listed under databases of this outage |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z","things":[{"database":"bookings-late","tenant":"nobody","text":"get x"}]} | there is no tenant nobody |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T08:00:00Z"}                                               | ends before it begins                      |
      | {"from":"2027-01-15T08:00:00Z"}                                                                           | the outage has no window                   |
      | {}                                                                                                        | the outage has no window                   |
      | {"from":"2027-01-15T08:00:00Z","to":"2027-01-15T09:00:00Z","mostBytes":67108865}                             | Too big                                    |
      | {"from":"tomorrow","to":"2027-01-15T08:00:00Z"}                                                           | Invalid ISO datetime                       |
