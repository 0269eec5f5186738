Feature: An engine is killed at any position of a chain
  The caller's stream pauses and continues with the correct tokens, each once.
  The engine dies during a step, or after a step but before it answers.
  Its session is abandoned; a new one on another engine replays its inputs.

  Background:
    Given two engines for each of three stages, behind proxies

  Scenario Outline: the engine of the <stage> stage is <fault> in <phase>
    When ann asks for an answer
    And the <stage> stage of ann is in <phase>
    And the engine of ann's <stage> stage is <fault>
    Then ann has the right answer
    And every layer ran once and in order for ann
    And another session took over ann's <stage> stage

    Examples:
      | fault               | stage  | phase   |
      | killed              | first  | prefill |
      | killed              | middle | prefill |
      | killed              | last   | prefill |
      | killed              | first  | decode  |
      | killed              | middle | decode  |
      | killed              | last   | decode  |
      | closing after a run | first  | prefill |
      | closing after a run | middle | prefill |
      | closing after a run | last   | prefill |
      | closing after a run | first  | decode  |
      | closing after a run | middle | decode  |
      | closing after a run | last   | decode  |

  Scenario Outline: two engines are lost in one request, <order>
    When ann asks for an answer
    And the <one> stage of ann is in decode
    And the engine of ann's <one> stage is killed
    And ann has received <between> more tokens
    And the engine of ann's <other> stage is killed
    Then ann has the right answer
    And every layer ran once and in order for ann

    Examples:
      | order              | one    | other  | between |
      | at once            | first  | middle | 0       |
      | at once            | middle | last   | 0       |
      | at once            | last   | first  | 0       |
      | one after another  | first  | last   | 6       |
      | one after another  | middle | first  | 6       |

  Scenario: the replacement is lost too, and its first engine is back
    When ann asks for an answer
    And the middle stage of ann is in decode
    And the engine of ann's middle stage is killed
    And ann has received 6 more tokens
    And all engines run again
    And the engine of ann's middle stage is killed
    Then ann has the right answer
    And every layer ran once and in order for ann

  Scenario Outline: a long prompt is in its second part, <stage> stage
    When ann asks for an answer to a long prompt
    And the <stage> stage of ann has run 257 positions
    And the engine of ann's <stage> stage is killed
    Then ann has the right answer
    And every layer ran once and in order for ann
    And another session took over ann's <stage> stage

    Examples:
      | stage  |
      | middle |
      | last   |
