Feature: Each caller gets the whole answer to the own request
  Six callers stream at once, so steps of several requests share one call.
  Responses arrive late, swapped or on connections that break meanwhile. Each
  caller gets the correct tokens for its own prompt, or a visibly incomplete
  stream; never another caller's tokens.

  Background:
    Given two engines for each of three stages, behind proxies

  Scenario Outline: answers are <disturbed>
    When 6 callers ask for answers
    And all callers have received 3 tokens
    And the answers of <engines> are <disturbed>
    Then all callers have their right answers
    And every layer ran once and in order for all callers

    Examples:
      | disturbed               | engines               |
      | crossed                 | one engine            |
      | crossed                 | an engine of each stage |
      | held back for 1 s       | one engine            |
      | held back for 1 s       | an engine of each stage |
      | cut off after the runs  | one engine            |
      | cut off after the runs  | an engine of each stage |

  Scenario Outline: a caller goes away in <phase>
    The work is cancelled, which frees the engines for other requests.

    When ann's <kind> request is in <phase>
    And ann disconnects
    Then no engine has a session 1 s later

    Examples:
      | kind     | phase   |
      | streamed | prefill |
      | streamed | decode  |
      | whole    | prefill |
      | whole    | decode  |

  Scenario: readers that don't read
    Their streams stall; others continue, and the node buffers no more data.

    When 20 callers ask for 300 tokens and read nothing
    And ann asks for an answer
    Then ann has the right answer
    And the node grew by less than 30 MB
    When the 20 callers start to read
    Then each of them gets the end of the stream

  Scenario: the node is killed in the middle of a stream
    When ann asks for an answer
    And ann has received 6 more tokens
    And the node is killed
    Then ann's stream is visibly incomplete
    And all tokens that ann received are right
