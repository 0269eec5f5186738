Feature: The link to an engine falls silent or slow
  The caller's stream continues with the correct tokens, each once.
  No connection breaks; the node notices only that a step takes too long.
  Data that was held back may arrive later and must have no effect.

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
      | fault                   | stage  | phase   |
      | not reached by requests | first  | prefill |
      | not reached by requests | middle | prefill |
      | not reached by requests | last   | prefill |
      | not reached by requests | first  | decode  |
      | not reached by requests | middle | decode  |
      | not reached by requests | last   | decode  |
      | muted                   | first  | prefill |
      | muted                   | middle | prefill |
      | muted                   | last   | prefill |
      | muted                   | first  | decode  |
      | muted                   | middle | decode  |
      | muted                   | last   | decode  |
      | trickling               | first  | decode  |
      | trickling               | middle | decode  |
      | trickling               | last   | decode  |

  Scenario Outline: for a while the engine of the <stage> stage is <fault> in <phase>
    When ann asks for an answer
    And the <stage> stage of ann is in <phase>
    And the engine of ann's <stage> stage is <fault>
    Then ann has the right answer
    And every layer ran once and in order for ann

    Examples:
      | fault             | stage  | phase   |
      | muted for 1 s     | first  | decode  |
      | muted for 1 s     | middle | decode  |
      | muted for 1 s     | last   | decode  |
