Feature: Orders come from the holder of the lease only
  One node at a time holds the control lease and orders engines what to
  load. A holder that was paused does not know that its lease is over.

  Scenario Outline: the holder is frozen past its lease, engines <check>
    The former holder wakes up with the old configuration and without the
    platform, so that nobody tells it that its lease is over. It sees engines
    that hold what the new holder ordered and would order them back.

    Given a system of 3 nodes with engines that <check> fencing numbers
    When the lease holder freezes
    And callers of the other nodes begin
    And another node holds the lease
    And the model goes to version 2
    Then all engines hold version 2
    When the platform is cut off from the former holder
    And the former holder thaws
    And the former holder sees that engines hold version 2
    And the callers have had 20 more answers
    Then no engine got an order with a smaller number than before
    And all engines hold version 2
    And no request failed

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: a former holder's order is late, and engines check numbers
    The order was on the way when the lease ended. Engines refuse it.

    Given a system of 3 nodes with engines that check fencing numbers
    When the lease holder freezes
    And callers of the other nodes begin
    And another node holds the lease
    And the model goes to version 2
    Then all engines hold version 2
    When an order of the former holder for version 1 reaches e1
    Then e1 refused it as stale
    And all engines hold version 2
    And no request failed

  Scenario: a former holder's order is late, and engines ignore numbers
    The engine takes the old order. The holder sees in the engine's report
    that it holds something else, and orders it back; routing follows what
    engines report, so that no caller notices.

    Given a system of 3 nodes with engines that ignore fencing numbers
    When the lease holder freezes
    And callers of the other nodes begin
    And another node holds the lease
    And the model goes to version 2
    Then all engines hold version 2
    When an order of the former holder for version 1 reaches e1
    Then e1 took it
    And all engines hold version 2
    When the callers have had 20 more answers
    Then no request failed
