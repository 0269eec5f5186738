Feature: A VM that is stopped gracefully costs no caller their work
  Callers cache the answer to /v1/entries for a while, and streams continue
  after SIGTERM. Nothing is aborted; late requests are refused as not_run and
  told which nodes to use.

  Scenario: a node is stopped while callers hold its address
    Ann's stream runs through n1 for longer than callers may cache its
    address. Others keep calling n1 until it exits.

    Given a system of 3 nodes behind proxies
    And engines that are slow
    When ann asks n1 for 100 tokens
    And ann has received 3 tokens
    And callers that hold the addresses of n1 and n2 begin
    And the callers have received 3 more answers
    And n1 is terminated
    Then n2 no longer lists n1 while the latter still serves
    And the callers are told by n1 that it is leaving and where to go
    And ann has the right answer
    And n1 has exited by itself
    And the callers have received 3 more answers
    And no request failed

  Scenario Outline: a node is stopped during a notice, to <service>
    The notice is running when n1 is told to stop. It completes, ann gets
    its answer, and a repeat at another node gets the stored one.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    And all endpoints are slow
    When ann sends the notice through n1
    And the notice has begun to run
    And n1 is terminated
    And ben sends the notice through n2
    Then all get the same answer
    And n1 has exited by itself
    When cat sends the notice through n2
    Then all get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: all nodes are replaced under steady load
    Each old node is stopped after a new one has joined.

    Given a system of 3 nodes behind proxies
    And callers that follow the list of entries
    When node n4 joins
    And node n1 is stopped gracefully
    And node n5 joins
    And node n2 is stopped gracefully
    And node n6 joins
    And node n3 is stopped gracefully
    And the callers have received 20 more answers
    Then no request failed
    And no node ever reverted to an older version

  Scenario: all engines are replaced under steady load
    Each old engine is told to leave after a new one has joined, and completes
    the work that it has begun.

    Given a system of 2 nodes behind proxies
    And all engines hold version 1
    And callers that follow the list of entries
    When f1 replaces e1
    And f2 replaces e2
    And f3 replaces e3
    And f4 replaces e4
    And the callers have received 20 more answers
    Then no request failed
