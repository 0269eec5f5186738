Feature: The link to an engine falls silent or slow
  The caller's stream goes on with the right tokens, each once.
  No connection breaks; the node learns only by a step that takes too long.
  What was held back may arrive later and must change nothing.

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
      | not heard               | first  | prefill |
      | not heard               | middle | prefill |
      | not heard               | last   | prefill |
      | not heard               | first  | decode  |
      | not heard               | middle | decode  |
      | not heard               | last   | decode  |
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
      | not heard for 1 s | first  | decode  |
      | not heard for 1 s | middle | decode  |
      | not heard for 1 s | last   | decode  |
