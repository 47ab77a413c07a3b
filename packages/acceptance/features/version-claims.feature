Feature: Configuration versions and send ids, each bound to one document

  Scenario: A version stays bound to one document on every core, after higher versions, lost disks and a restart of all cores
    Given a pooled fleet that has stored configuration versions 3 and 8
    Then every core acknowledges version 3 again, also with its fields reordered, and rejects another configuration under it
    And every core acknowledges version 5 that nobody sent before, rejects another configuration under it, and reads back version 8
    When each core in turn restarts with an empty disk
    Then every core acknowledges version 3 again, also with its fields reordered, and rejects another configuration under it
    And every core acknowledges version 5 again, rejects another configuration under it, and reads back version 8
    When all cores are stopped and restarted
    Then every core acknowledges version 3 again, also with its fields reordered, and rejects another configuration under it
    And every core acknowledges version 5 again, rejects another configuration under it, and reads back version 8

  Scenario: Of two configurations under one version exactly one is stored, whenever the core that received the first is cut off
    Given a pooled fleet that has stored configuration versions 3 and 8
    When 24 pairs of configurations are sent under one version each, and the core that receives the first is cut off after a delay that grows by 2 ms
    Then of each pair one is acknowledged by every core and the other rejected, and all replies are consistent with a single register

  Scenario: A version that was acknowledged by a release without claims stays bound to its document
    Given a pooled fleet that has stored configuration versions 3 and 8
    When all cores restart with data folders that contain no claims
    Then every core rejects another configuration under version 8, and acknowledges version 8 again

  Scenario: A version whose claim has been dropped is reported as expired, and never accepted or rejected
    Given a claim table that has recorded more version claims than it keeps
    Then the newest versions are recognized, and the oldest are reported as expired for any document

  Scenario: A send id stays bound to one configuration, however many others are sent after it
    Given a fleet of Red Común with its placement configuration applied and its primaries elected
    When an operator sends a configuration under a send id, again through another core, and another configuration under the same send id
    Then both replies to the same configuration contain the same version, and the other configuration is rejected as "version-conflict"
    When 205 more configurations are sent
    Then the reply to the same configuration under the send id is still its first version, and the other is still rejected
