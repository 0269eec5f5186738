Feature: The platform is away for a long time
  Nodes continue with the state that they have. What can't be done safely is
  refused at once, with not_run and a time to retry after. When the platform
  is back, nodes catch up without overloading it.

  Scenario Outline: the platform <fails> for longer than all leases
    Callers of idempotent services notice nothing, even if an engine dies
    meanwhile. A notice and a configuration change are refused.

    Given a system of 3 nodes behind proxies
    And all engines hold version 1
    And callers that follow the list of entries
    And the usual rate of reads and writes
    When the platform <fails>
    And no node holds the lease any more
    And the callers have received 20 more answers
    And e2 is <gone>
    And the callers have received 20 more answers
    And ann sends the notice through n1
    Then ann is told at once that it was not run
    And it ran 0 times
    When olga begins to apply a change through n2
    Then olga is told that nothing was changed
    When the platform answers again
    Then reads and writes stay below 3 times the usual rate
    And one node holds the lease
    When olga repeats the change through n2
    Then olga is finally told that version 2 is hers
    And version 2 is in force on all nodes
    And ann repeats the notice through n3 until it is answered
    And it ran 1 times
    And no node ever reverted to an older version
    And no request failed

    Examples:
      | fails                | gone       |
      | rejects all requests | killed     |
      | hangs                | killed     |
      | rejects all requests | terminated |

  Scenario: nodes come and go during an outage
    The new node can't read the configuration or the endpoints from the
    platform; it gets both from its peers and serves the callers sent to it.

    Given a system of 2 nodes behind proxies
    And callers that follow the list of entries
    When the platform rejects all requests
    And node n3 joins
    Then version 1 is in force on n3
    And n3 answers a caller
    When node n1 is stopped gracefully
    And the callers have received 20 more answers
    And the platform answers again
    Then n3 reports that its version is verified
    And no node ever reverted to an older version
    And no request failed
