Feature: What the caller is told of execution is true
  A non-idempotent call meets a faulty link or endpoint. The caller is told
  not_run only if nothing can have run. If the request was sent and no
  complete answer came, the caller is told unknown, and the call is not
  retried. The service's own ledger shows what ran.

  Background:
    Given two engines for each of three stages, behind proxies
    And a plain service slip, which is not idempotent, behind a proxy

  Scenario Outline: the endpoint <trouble>
    When slip <trouble>
    And ann calls slip within <deadline> ms
    Then ann's call ended as <kind> and <execution>
    And slip ran <runs> calls

    Examples: before the request leaves
      | trouble               | deadline | kind                 | execution | runs |
      | refuses connections   | 3000     | endpoint_unreachable | not_run   | 0    |
      | accepts no connection   | 3000     | endpoint_unreachable | not_run   | 0    |

    Examples: while it is sent
      | trouble               | deadline | kind            | execution | runs |
      | gets no request       | 1000     | outcome_unknown | unknown   | 0    |
      | gets half the request | 1000     | outcome_unknown | unknown   | 0    |
      | is cut mid-request    | 3000     | outcome_unknown | unknown   | 0    |

    Examples: while its answer is awaited
      | trouble               | deadline | kind            | execution | runs |
      | sends no answer       | 1000     | outcome_unknown | unknown   | 1    |
      | sends half an answer  | 1000     | outcome_unknown | unknown   | 1    |
      | closes after the run  | 3000     | outcome_unknown | unknown   | 1    |
      | is slow               | 1000     | outcome_unknown | unknown   | 1    |
      | refuses the call      | 3000     | endpoint_refused | not_run  | 0    |

  Scenario Outline: the caller sends the same again after the endpoint <trouble>
    Data in transit when the caller was told unknown may still arrive.

    When slip <trouble>
    And ann calls slip within 1000 ms
    And the link to slip and the service are healthy again
    And ann sends the same again
    Then slip ran <runs> calls
    And ann's second answer is <second>

    Examples:
      | trouble              | runs | second  |
      | sends no answer      | 1    | unknown |
      | closes after the run | 1    | unknown |
      | gets no request      | 1    | unknown |
      | refuses connections  | 1    | whole   |
      | refuses the call     | 1    | whole   |

  Scenario: a non-idempotent completion takes longer than its caller allows
    It ran in part, so the caller must not be told not_run: it would retry
    with a new key. A repeat with the same key gets the same answer and runs
    nothing.

    When the engines are 40 times slower
    And ann asks once for 10 tokens within 700 ms
    Then ann is told unknown
    And engines ran a part of ann's request
    When the engines are as fast as before
    And ann asks once for the same within 5000 ms
    Then ann is told unknown
    And engines ran ann's request once
