Feature: The adapter between the platform's formats and the product

  Scenario: A complete configuration is translated into a sheet, and unknown fields are ignored
    Given the sample configuration
    Then its sheet is the expected one
    And with unknown fields at every level it gives the same sheet
    And of two prefixes of one host the shorter one's route defines the database
    And a key listed twice for one tenant is valid

  Scenario: Announced outages in a configuration are copied to the sheet
    Given the sample configuration
    Then its outages are in its sheet, and an invalid outage is reported

  Scenario: An invalid configuration is rejected as a whole, with a typed fault that names the remedy
    Given the sample configuration
    Then each of these makes it invalid:
      | case                                       |
      | nothing at all                             |
      | a text                                     |
      | a list                                     |
      | no version                                 |
      | a version that is a text                   |
      | a version that is not an integer          |
      | a version below 0                          |
      | no routes                                  |
      | routes that are not a list                    |
      | no services                                |
      | a route without a host                     |
      | a route without a label                    |
      | a route without a service                  |
      | a route without a deadline                 |
      | a route of an unknown service              |
      | a route of an unknown kind                 |
      | two routes with the same host and prefix   |
      | the same prefix given and defaulted          |
      | a deadline of 0                            |
      | a deadline below 0                         |
      | a deadline that is a text                  |
      | an aim that is a text                      |
      | a staleness below 0                        |
      | a service without a limit                  |
      | a limit of 0                               |
      | a service listed twice                |
      | a key shared by two tenants                |
      | a tenant without keys                      |
      | a tenant without a label                   |
      | a key that is a number                     |
      | a rest of 0                                |

  Scenario: Three cores store configurations under the operator's own versions
    Given three cores that use the platform's API
    When version 5 is sent to core 1
    Then it is acknowledged, and every core reads back version 5
    When version 5 is sent to core 2 with another deadline
    Then it is refused with 409 and a remedy, and every core reads back version 5 as it was
    When version 5 is sent to core 3
    Then it is acknowledged, and every core reads back version 5 as it was
    When version 4 is sent to core 3
    Then it is acknowledged, and every core reads back version 5 as it was
    When each invalid configuration is sent as version 9 to core 1
    Then each was replied 400 with a remedy, and every core reads back version 5 as it was
    When versions 7 and 8 are sent to cores 1 and 2 at the same moment, ten times over with rising versions
    Then each time both are acknowledged, and every core reads back the higher one

  Scenario: Before a configuration is sent none can be read back, and a core outside a fleet rejects heartbeats
    Given three cores that use the platform's API
    Then no configuration can be read back
    And a core that has not reached any other replies 503 to a heartbeat and to a leave request

  Scenario: The documented settings file is read
    Given a settings file as documented
    Then the settings are those of the file, and unknown fields are ignored
    And the file is also valid without its optional fields

  Scenario: A settings file with a missing or invalid field is rejected with the field's name
    Given a settings file as documented
    Then without each of these it is rejected, naming the field:
      | field     |
      | NodeName  |
      | IpAddr    |
      | ZoneName  |
      | PortRange |
      | SeedNodes |
    And with each of these it is rejected, naming the field:
      | field     | line                           |
      | NodeName  | NodeName = 7                   |
      | IpAddr    | IpAddr = 7                     |
      | PortRange | PortRange = [7200]             |
      | PortRange | PortRange = "7200"             |
      | SeedNodes | SeedNodes = []                 |
      | SeedNodes | SeedNodes = ["core.name:8089"] |
      | SeedNodes | SeedNodes = ["10.1.0.28:99999"] |
      | SeedNodes | SeedNodes = ["10.1.0.999:8089"] |
    And a missing file, or one that is not TOML, is rejected with a remedy

  Scenario: A reload while a program starts does not end it
    When a program of the platform gets SIGHUP three times while it starts
    Then it keeps running

  Scenario: Settings that change while a program starts are not missed
    Given a settings file as documented
    When the file changes after it was first read and before it is followed
    Then the process applies the changed seeds at once

  Scenario: Changed settings are applied on SIGHUP and without it, and a half-written file changes nothing
    Given a settings file as documented
    And a program that follows it
    When the file names other seeds and SIGHUP arrives
    Then the other seeds are applied
    When the file names its first seeds again and no signal arrives
    Then its first seeds are applied
    When the file is truncated at every length in turn and SIGHUP arrives
    Then each time the seeds and the platform are all the old ones or all the new ones
    And the log reports the rejected settings

  Scenario: Readiness is reported by the status code
    Then readiness is 200 when ready, and 503 when not

  Scenario: Heartbeats and leave requests are translated for the core
    Given the routes of a core with a platform API that records its calls
    When a member sends a heartbeat in service and one while draining, and leaves
    Then the platform API was called with both heartbeats and the leave request

  Scenario: Malformed heartbeats get a 4xx, and the platform API is not called
    Given the routes of a core with a platform API that records its calls
    Then each of these heartbeats gets a 4xx:
      | case                         |
      | no body                      |
      | a text                       |
      | a list                       |
      | no Plant                     |
      | no Address                   |
      | no ZoneName                  |
      | no Phase                     |
      | no DbPosition                |
      | no CallSeq                   |
      | an empty Plant               |
      | a Plant of 201 characters    |
      | a Plant with a line end      |
      | an Address by name           |
      | an Address without a port    |
      | an Address of port 99999     |
      | an Address of 10.1.0.999     |
      | an unknown DbPosition        |
      | a CallSeq below 0            |
      | a CallSeq that is a text     |
      | a CallSeq beyond the safe integers |
      | a Capacity that is a text    |
    And a heartbeat and a leave request of each of these ids get a 4xx:
      | id  |
      | %zz |
      | %   |
      | %E0%A4%A |
      |     |
      | a%20b |
      | a%0D%0Ab |
      | 201 characters |
    And 3000 corrupted heartbeats, leave requests and configurations from seed 5 each get a reply, and nothing throws
    And the platform API was called only with what cores can send one another
