Feature: A VM that is stopped gracefully costs no caller their work
  Callers keep the answer to /v1/entries for a while, and streams run on
  after SIGTERM. Nothing is cut; who comes late hears not_run and where to
  go.

  Scenario: a node is stopped while callers hold its address
    Ann's stream runs through n1 for longer than callers may hold its
    address. Others go on calling n1 until its end.

    Given a system of 3 nodes behind proxies
    And engines that are slow
    When ann asks n1 for 100 tokens
    And ann has received 3 tokens
    And callers that hold the addresses of n1 and n2 begin
    And the callers have had 3 more answers
    And n1 is terminated
    Then n2 lists n1 no more while that still serves
    And the callers hear from n1 that it leaves and where to go
    And ann has the right answer
    And n1 has ended by itself
    And the callers have had 3 more answers
    And no request failed

  Scenario Outline: a node is stopped during a notice, to <service>
    The notice runs when n1 is told to stop. It is carried through, ann gets
    its answer, and a repeat at another node gets the kept one.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    And runs take long
    When ann sends the notice through n1
    And the notice has begun to run
    And n1 is terminated
    And ben sends the notice through n2
    Then all get the same answer
    And n1 has ended by itself
    When cat sends the notice through n2
    Then all get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: all nodes are replaced under steady load
    Each old node is stopped when a new one has joined.

    Given a system of 3 nodes behind proxies
    And callers that follow the list of entries
    When node n4 joins
    And node n1 is stopped gracefully
    And node n5 joins
    And node n2 is stopped gracefully
    And node n6 joins
    And node n3 is stopped gracefully
    And the callers have had 20 more answers
    Then no request failed
    And no node ever went back

  Scenario: all engines are replaced under steady load
    Each old engine is told to leave when a new one has joined, and serves
    what it has begun.

    Given a system of 2 nodes behind proxies
    And all engines hold version 1
    And callers that follow the list of entries
    When f1 takes the place of e1
    And f2 takes the place of e2
    And f3 takes the place of e3
    And f4 takes the place of e4
    And the callers have had 20 more answers
    Then no request failed
