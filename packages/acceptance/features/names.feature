Feature: Names reach members and are read from clients as UTF-8, whatever letters they have

  # UNASKED by a name's letters: a letter lost its upper byte, so that a tenant's writes were run as those of another one.
  Scenario: A tenant is not taken for another one whose name differs in letters outside Latin-1
    Given a running pooled fleet with the tenants "ana" and "šna", whose keys are "ključ-ana" and "ключ-šna"
    When a session with each of their keys, sent as UTF-8, puts a value
    Then members ran the puts for "ana" and "šna"

  # UNASKED by a name's letters, in general: no two accepted names may look the same to a member.
  Scenario: Accepted names that differ are different words of a line, and a client's key finds its tenant
    When two arbitrary names are taken as tenants and as keys 2000 times
    Then each accepted pair gave two different openings of four words, and each key was read back from its bytes
    And each name with white space or half of a surrogate pair was refused with its place

  Scenario: Arbitrary bytes of a client are read as different texts, and pass unchanged
    When two arbitrary sequences of bytes are read as names 2000 times
    Then different bytes were different texts, and only valid UTF-8 became a text that a configuration may have

  Scenario: A key with letters outside ASCII is found in a header
    Given a server that returns the header "x-stallstall-key" it receives
    When a client sends the header with "ключ-šna" over each kind of connection
    Then the server received "ключ-šna" and so did the client

  Scenario: A configuration that is not valid UTF-8 is refused
    Given a server that returns the header "x-stallstall-key" it receives
    When a body with a byte that is not UTF-8 is sent to each kind of server
    Then both replied with status 400
