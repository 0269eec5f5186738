Feature: A request crashes every endpoint that runs it
  Without quarantine one request, replayed here and resent through other
  nodes, would take down one engine after another.

  Scenario: two endpoints are lost at most
    The request crashes an engine, is retried at once and crashes a second.
    It is then refused here and by every other node that it is resent to.
    Concurrent requests get their right answers.
    Given a system of 3 nodes and spare engines
    And every engine crashes on token 666
    When bob asks n1 for 60 tokens
    And cid asks n2 for 60 tokens
    And bob has received 5 tokens
    And a request with token 666 is sent to n1
    And it is sent again to n2 and n3
    Then it was refused as quarantined each time
    And at most 2 engines are lost
    And bob has the right answer
    And cid has the right answer

  Scenario: a rack of engines dying at once convicts nobody
    Several engines of one zone die at once while requests run on them. All
    requests get their right answers from the remaining engines.
    Given a system of 2 nodes and spare engines
    When ann asks n1 for 80 tokens
    And bob asks n2 for 80 tokens
    And ann has received 20 tokens
    And the engines of zone zb are killed
    Then ann has the right answer
    And bob has the right answer
    And no request is convicted

  Scenario Outline: a sound request runs on the engines that crash, on <node>
    Both requests are in flight when the first engine crashes, so each node
    retries a suspect, and both choose the same slow engine.
    Given a system of 3 nodes with one fast engine and slow ones
    And every engine crashes on token 666
    When cid asks <node> for 20 tokens
    And cid has received 3 tokens
    And a request with token 666 is sent to n1
    Then the request with token 666 was refused as quarantined
    And at most 2 engines are lost
    And cid has the right answer

    Examples:
      | node |
      | n1   |
      | n2   |
      | n3   |
