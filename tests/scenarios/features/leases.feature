Feature: Orders come from the holder of the lease only
  One node at a time holds the control lease and tells engines what to
  load. A holder that was paused does not know that its lease has expired.

  Scenario Outline: the holder is frozen past its lease, engines <check>
    The former holder resumes with the old configuration and without access
    to the platform, so it can't learn that its lease has expired. It sees
    engines that hold what the new holder ordered and would revert them.

    Given a system of 3 nodes with engines that <check> fencing numbers
    When the lease holder freezes
    And callers of the other nodes begin
    And another node holds the lease
    And the model is changed to version 2
    Then all engines hold version 2
    When the platform is cut off from the former holder
    And the former holder thaws
    And the former holder sees that engines hold version 2
    And the callers have received 20 more answers
    Then no engine got an order with a lower fencing number than before
    And all engines hold version 2
    And no request failed

    Examples:
      | check  |
      | check  |
      | ignore |

  Scenario: a former holder's order is late, and engines check numbers
    The order was in transit when the lease expired. Engines reject it.

    Given a system of 3 nodes with engines that check fencing numbers
    When the lease holder freezes
    And callers of the other nodes begin
    And another node holds the lease
    And the model is changed to version 2
    Then all engines hold version 2
    When an order of the former holder for version 1 reaches e1
    Then e1 rejected it as stale
    And all engines hold version 2
    And no request failed

  Scenario: a former holder's order is late, and engines ignore numbers
    The engine accepts the old order. The holder sees from the engine's report
    that it holds the wrong version, and orders the right one; routing follows
    the engines' reports, so no caller notices.

    Given a system of 3 nodes with engines that ignore fencing numbers
    When the lease holder freezes
    And callers of the other nodes begin
    And another node holds the lease
    And the model is changed to version 2
    Then all engines hold version 2
    When an order of the former holder for version 1 reaches e1
    Then e1 accepted it
    And all engines hold version 2
    When the callers have received 20 more answers
    Then no request failed
