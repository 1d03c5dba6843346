Feature: Faults
  Every failure that the users listed, alone and in pairs. All invariants are checked after every
  event.

  Scenario Outline: A credit is added during a long partition
    Given a fleet with seed <seed>
    And a credit of 30000 tokens
    When a partition isolates kagoshima
    And repeatable calls arrive for 120 seconds
    And 60 seconds pass
    And a credit of 3000 tokens is added in kokura
    And 3600 seconds pass
    And repeatable calls arrive for 60 seconds
    And 90 seconds pass
    And the partition heals
    And repeatable calls arrive for 20 seconds
    Then every call was answered
    And the credit is in the log exactly once
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A budget is exhausted on both sides of a partition
    Given a fleet with seed <seed>
    And a credit of 900 tokens
    When a partition isolates kagoshima
    And calls arrive for 60 seconds
    And 90 seconds pass
    And the partition heals
    Then some calls were refused for lack of budget
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: Entry instances crash with open streams and callers retry at other entry instances
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When calls arrive for 40 seconds
    And 5 seconds pass
    And entry instance 0 crashes
    And 7 seconds pass
    And entry instance 1 crashes
    And entry instance 4 crashes
    And 9 seconds pass
    And entry instance 0 restarts
    And entry instance 1 restarts
    And entry instance 4 restarts
    Then some calls were answered
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: An entry instance pauses, its incarnation is sealed, and it resumes with an acknowledgement in flight
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When calls arrive for 30 seconds
    And 5 seconds pass
    And entry instance 2 pauses for 8 seconds
    And entry instance 3 pauses for 12 seconds
    And 40 seconds pass
    Then some calls were answered
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: An entry instance crashes and its upstreams keep no tombstones
    Given a fleet with seed <seed> whose upstreams keep no tombstones
    And a credit of 20000 tokens
    When calls arrive for 30 seconds
    And 5 seconds pass
    And entry instance 2 crashes
    And entry instance 3 pauses for 10 seconds
    And 20 seconds pass
    And entry instance 2 restarts
    And 20 seconds pass
    Then some calls were answered
    And the invariants held at every step

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A control instance rejoins after a long partition that drops its messages without an error
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When a partition isolates kokura-c
    And calls arrive for 30 seconds
    And 3 seconds pass
    And 5 rule changes are made in yahata
    And 3600 seconds pass
    And the partition heals
    And 5 seconds pass
    Then every entry instance has the accepted version within 16 seconds
    And the control log has 3 voters and a leader
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: Two operators change the rules concurrently with the same expected version
    Given a fleet with seed <seed>
    And 2 rule changes are made in kokura
    When two operators change the rules with the same expected version in kokura and kagoshima
    Then exactly one change is accepted and the other gets the current version
    And every entry instance has the accepted version within 5 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A change is resent after a lost answer
    Given a fleet with seed <seed>
    And messages are lost, duplicated and delayed
    When the answer to a rule change is lost in kokura and the change is resent in kagoshima
    Then every entry instance has the accepted version within 10 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A credit is resent after a lost answer and a change of leader
    Given a fleet with seed <seed>
    And a credit of 5000 tokens
    When the leader crashes
    And 3 seconds pass
    And the same credit is resent in yahata
    And every control instance that is down restarts
    And 5 seconds pass
    Then the credit is in the log exactly once

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A second control instance crashes right after a repair
    Given a fleet with seed <seed>
    And a credit of 5000 tokens
    And 3 rule changes are made in kokura
    When the disk of the control instance of yahata is lost and it restarts
    Then the control log has 3 voters and a leader
    When the control instance of kagoshima crashes
    And 5 seconds pass
    And 2 rule changes are made in kokura
    And the control instance of kagoshima restarts
    Then the control log has 3 voters and a leader
    And every entry instance has the accepted version within 10 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: The leader loses its disk, is repaired, and another control instance crashes
    Given a fleet with seed <seed>
    And 3 rule changes are made in kokura
    When the disk of the control instance of kokura is lost and it restarts
    Then the control log has 3 voters and a leader
    When the leader crashes
    And 5 seconds pass
    And 2 rule changes are made in kagoshima
    And every control instance that is down restarts
    Then the control log has 3 voters and a leader
    And every entry instance has the accepted version within 10 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: Processes restart after hundreds of changes
    Given a fleet with seed <seed>
    And 300 rule changes are made in kokura
    When the control instance of kokura crashes
    And the control instance of yahata crashes
    And entry instance 0 crashes
    And 2 seconds pass
    And every control instance that is down restarts
    And entry instance 0 restarts
    And 5 seconds pass
    And 3 rule changes are made in yahata
    Then every entry instance has the accepted version within 10 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: The leader and an entry instance crash at the same time, twice
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When calls arrive for 40 seconds
    And 4 seconds pass
    And the leader crashes
    And entry instance 5 crashes
    And 5 seconds pass
    And every control instance that is down restarts
    And entry instance 5 restarts
    And 8 seconds pass
    And the leader crashes
    And entry instance 5 crashes
    And 6 seconds pass
    And every control instance that is down restarts
    And entry instance 5 restarts
    Then some calls were answered
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A partition and the loss of a disk on its larger side
    Given a fleet with seed <seed>
    And a credit of 9000 tokens
    When a partition isolates kagoshima
    And repeatable calls arrive for 60 seconds
    And 10 seconds pass
    And the disk of the control instance of yahata is lost and it restarts
    And 60 seconds pass
    And the partition heals
    Then the control log has 3 voters and a leader
    And the invariants held at every step

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: The disk of a control instance fails every sync
    Given a fleet with seed <seed>
    And a credit of 9000 tokens
    When calls arrive for 30 seconds
    And 5 seconds pass
    And the disk of the control instance of kokura fails every sync
    And 60 seconds pass
    Then some calls were answered
    And the invariants held at every step

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A control instance pauses for longer than an election
    Given a fleet with seed <seed>
    And a credit of 9000 tokens
    When calls arrive for 30 seconds
    And 3 seconds pass
    And the control instance of kokura pauses for 5 seconds
    And 10 seconds pass
    And the control instance of yahata pauses for 5 seconds
    And 30 seconds pass
    Then some calls were answered
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |
