Feature: A request that can't be served is refused before anything runs
  The caller gets one typed problem with its kind, a remedy and not_run. No
  engine and no plain service has run any part of it, as their own ledgers
  show.

  Background:
    Given two engines for each of three stages, behind proxies

  Scenario Outline: a request with <fault>
    When a request with <fault> is sent
    Then it is refused as <kind> with status <status>
    And the refusal says not_run and names a remedy
    And no endpoint ran anything
    And the node logged no traceback

    Examples: who asks
      | fault       | kind        | status |
      | no key      | missing_key | 401    |
      | a wrong key | wrong_key   | 401    |

    Examples: what is asked
      | fault                         | kind              | status |
      | half a JSON object            | malformed_request | 400    |
      | a body that is no JSON        | malformed_request | 400    |
      | an empty body                 | malformed_request | 400    |
      | a JSON list                   | malformed_request | 400    |
      | a deeply nested body          | malformed_request | 400    |
      | no prompt                     | malformed_request | 400    |
      | an empty prompt               | malformed_request | 400    |
      | a prompt of words and numbers | malformed_request | 400    |
      | a negative token              | malformed_request | 400    |
      | no tokens wanted              | malformed_request | 400    |
      | too many tokens wanted        | malformed_request | 400    |
      | a deadline that is no number  | malformed_request | 400    |
      | a path that is not served     | malformed_request | 404    |
      | a method that is not served   | malformed_request | 405    |
      | an unknown service            | unknown_service   | 404    |
      | an unknown plain service      | unknown_service   | 404    |
      | a plain service by completion | unknown_service   | 404    |
      | a model service by path       | unknown_service   | 404    |

    Examples: how much is asked
      | fault                         | kind            | status |
      | a prompt over the limit       | prompt_too_long | 413    |
      | a text over the limit         | prompt_too_long | 413    |
      | a body over the limit         | body_too_large  | 413    |
      | a chunked body over the limit | body_too_large  | 413    |
      | a plain body over the limit   | body_too_large  | 413    |

    Examples: non-idempotent work
      | fault                               | kind                     | status |
      | no Idempotency-Key for a completion | idempotency_key_required | 400    |
      | no Idempotency-Key for a call       | idempotency_key_required | 400    |
      | an Idempotency-Key that is too long | malformed_request        | 400    |

    Examples: time and endpoints
      | fault                       | kind              | status |
      | a deadline that is past     | deadline_past     | 504    |
      | a deadline before 1970      | deadline_past     | 504    |
      | a past deadline for a call  | deadline_past     | 504    |
      | a service without endpoints | service_not_ready | 503    |
      | a service that depends on it | service_not_ready | 503    |

  Scenario: a body that has no end
    The node stops reading it, so the caller may not see the answer.

    When a request with a body that has no end is sent
    Then no endpoint ran anything
    And the node stopped reading it
    And the node logged no traceback

  Scenario: all engines of a stage refuse to run anything
    When the engines refuse all steps
    And ann asks for an answer within 1500 ms
    Then ann is told not_run
    And no endpoint ran anything

  Scenario: all links to the engines are down
    When the links to all engines have refused connections for 1 s
    And ann asks for an answer within 1500 ms
    Then ann is told not_run
    And no endpoint ran anything
