Feature: The adapter between the platform's words and the product

  Scenario: A whole configuration is put into a sheet, and fields that are not known are passed over
    Given the configuration of the stories
    Then its sheet is the one the pages mean
    And with fields that are not known at every level it is the same sheet
    And of two prefixes of one host the shorter one's route stands for the database
    And a key that stands twice with one tenant is sound

  Scenario: Announced outages in a configuration are put into the sheet
    Given the configuration of the stories
    Then outages that it names stand in its sheet, and a fault in one is told

  Scenario: An invalid configuration is refused whole, with a typed fault that names the remedy
    Given the configuration of the stories
    Then each of these makes it invalid:
      | case                                       |
      | nothing at all                             |
      | a text                                     |
      | a list                                     |
      | no version                                 |
      | a version that is a text                   |
      | a version that is no whole number          |
      | a version below 0                          |
      | no routes                                  |
      | routes that are no list                    |
      | no services                                |
      | a route without a host                     |
      | a route without a label                    |
      | a route without a service                  |
      | a route without a deadline                 |
      | a route of an unknown service              |
      | a route of an unknown kind                 |
      | two routes with the same host and prefix   |
      | the same prefix said and left out          |
      | a deadline of 0                            |
      | a deadline below 0                         |
      | a deadline that is a text                  |
      | an aim that is a text                      |
      | a staleness below 0                        |
      | a service without a limit                  |
      | a limit of 0                               |
      | a service that stands twice                |
      | a key shared by two tenants                |
      | a tenant without keys                      |
      | a tenant without a label                   |
      | a key that is a number                     |
      | a rest of 0                                |

  Scenario: Three cores take configurations under the operator's own versions
    Given three cores that speak the platform's words
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

  Scenario: Before anything was sent there is nothing to read back, and a core of no fleet takes no beat
    Given three cores that speak the platform's words
    Then no configuration can be read back
    And a core that met no other replies 503 to a beat and to a leave

  Scenario: The settings file of the pages is read
    Given a settings file as the pages show it
    Then the product's settings are those of the file, and fields that are not known are passed over
    And without its optional fields the file can be read as well

  Scenario: A settings file that lacks a field, or holds a wrong one, is refused with the field's name
    Given a settings file as the pages show it
    Then without each of these it is refused, naming the field:
      | field     |
      | NodeName  |
      | IpAddr    |
      | ZoneName  |
      | PortRange |
      | SeedNodes |
    And with each of these it is refused, naming the field:
      | field     | line                           |
      | NodeName  | NodeName = 7                   |
      | IpAddr    | IpAddr = 7                     |
      | PortRange | PortRange = [7200]             |
      | PortRange | PortRange = "7200"             |
      | SeedNodes | SeedNodes = []                 |
      | SeedNodes | SeedNodes = ["core.name:8089"] |
      | SeedNodes | SeedNodes = ["10.1.0.28:99999"] |
      | SeedNodes | SeedNodes = ["10.1.0.999:8089"] |
    And a file that is not there, or is no TOML, is refused with a remedy

  Scenario: A reload while a program starts does not end it
    When a program of the platform gets SIGHUP three times while it starts
    Then it goes on to run

  Scenario: Settings that change while a program starts are not missed
    Given a settings file as the pages show it
    When the file changes after it was first read and before it is followed
    Then the process knows the changed seeds at once

  Scenario: Changed settings are followed at SIGHUP and without it, and a half-written file keeps what stood
    Given a settings file as the pages show it
    And a program that follows it
    When the file names other seeds and SIGHUP comes
    Then the other seeds are obeyed
    When the file names its first seeds again and no signal comes
    Then its first seeds are obeyed
    When the file is cut at every place in turn and SIGHUP comes
    Then each time the seeds and the platform are wholly the old ones or wholly the new ones
    And the log told of what was denied

  Scenario: Readiness is told by status
    Then readiness is 200 when ready, and 503 when not

  Scenario: Beats and leaves are put into the product's words
    Given the routes of a core with a platform API that records its calls
    When a member sends a beat in service and one that is draining, and leaves
    Then the platform API was called with both beats and the leave

  Scenario: Beats that cannot be read get a 4xx, and the platform API is not called
    Given the routes of a core with a platform API that records its calls
    Then each of these beats gets a 4xx:
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
      | a CallSeq beyond all numbers |
      | a Capacity that is a text    |
    And a beat, and a leave, of each of these ids gets a 4xx:
      | id  |
      | %zz |
      | %   |
      | %E0%A4%A |
      |     |
      | a%20b |
      | a%0D%0Ab |
      | 201 characters |
    And 3000 spoilt beats, leaves and configurations from seed 5 get a reply each, and nothing throws
    And the platform API was called only with what cores can send one another
