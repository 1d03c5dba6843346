Feature: Guarantees
  The guarantees that the users require. All invariants are checked after every event.

  Scenario Outline: No budget is overspent, even in a long partition
    Given a fleet with seed <seed>
    And a credit of 1200 tokens
    When a partition isolates kagoshima
    And repeatable calls arrive for 120 seconds
    And 3600 seconds pass
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

  Scenario Outline: Each call is billed once while messages are lost, duplicated and delayed
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    And messages are lost, duplicated and delayed
    When calls arrive for 60 seconds
    And 90 seconds pass
    Then once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A non-repeatable call runs at most once when its upstream stops answering
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When upstream 3 stops answering
    And calls arrive for 20 seconds
    Then the invariants held at every step
    And some calls were answered

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A leaving upstream gets no new call after two seconds
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When repeatable calls arrive for 20 seconds
    And 8 seconds pass
    And upstream 0 announces that it is leaving
    Then the leaving upstream gets no new call after 2 seconds
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: Entry instances learn of a leaving upstream while the control instance of its data centre is down
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When the control instance of kagoshima crashes
    And 8 seconds pass
    And repeatable calls arrive for 20 seconds
    And 5 seconds pass
    And upstream 2 announces that it is leaving
    Then the leaving upstream gets no new call after 2 seconds
    And the invariants held at every step

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A drain interrupts no call
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    And calls take 1500 milliseconds
    When repeatable calls arrive for 30 seconds
    And 6 seconds pass
    And entry instance 0 drains
    Then entry instance 0 is idle within 8 seconds and stops
    And every call was answered
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: All entry instances restart in turn under load and no call is interrupted
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When repeatable calls arrive for 60 seconds
    And 2 seconds pass
    And every entry instance drains, stops and restarts in turn
    Then every call was answered
    And once the fleet is idle, every answer is on exactly one bill and nothing is reserved

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: An accepted configuration is in force everywhere within seconds and never reverts
    Given a fleet with seed <seed>
    And 20 rule changes are made in kagoshima
    Then every entry instance has the accepted version within 3 seconds
    When entry instance 2 crashes
    And entry instance 2 restarts
    Then every entry instance has the accepted version within 3 seconds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: A minority accepts no configuration
    Given a fleet with seed <seed>
    And 2 rule changes are made in kokura
    When a partition isolates kagoshima
    And 3 seconds pass
    And a rule change is attempted in kagoshima
    Then the change is not accepted
    And the invariants held at every step

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: No call is refused while links between data centres are slow but not partitioned
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    And the links between data centres are slow but not partitioned
    When repeatable calls arrive for 30 seconds
    Then every call was answered
    And no call was refused for lack of budget

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
      | 15   |
      | 16   |

  Scenario Outline: One upstream crashes and another takes over its calls
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When repeatable calls arrive for 30 seconds
    And 5 seconds pass
    And upstream 1 crashes
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

  Scenario Outline: A repeatable call is never reported as not run once an attempt may have run
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When upstream 0 stops answering
    And upstream 1 stops answering
    And upstream 2 stops answering
    And repeatable calls arrive for 10 seconds
    Then the invariants held at every step
    And no call that ran was refused as not run

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario Outline: Entry instances keep the known upstreams when a control instance restarts
    Given a fleet with seed <seed>
    And a credit of 20000 tokens
    When repeatable calls arrive for 20 seconds
    And 5 seconds pass
    And the control instance of kagoshima crashes
    And 6 seconds pass
    And the control instance of kagoshima restarts
    And 10 seconds pass
    Then every entry instance uses the control instance of its own data centre
    And no call was refused for lack of an upstream
    And every call was answered

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
