Feature: An engine is frozen at any position of a chain
  The caller's stream pauses and continues with the correct tokens, each once.
  The unanswered step may run later, when the engine is thawed; no more steps
  are sent to its session, so a late response is harmless.

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
      | fault  | stage  | phase   |
      | frozen | first  | prefill |
      | frozen | middle | prefill |
      | frozen | last   | prefill |
      | frozen | first  | decode  |
      | frozen | middle | decode  |
      | frozen | last   | decode  |

  Scenario Outline: for a while the engine of the <stage> stage is <fault> in <phase>
    When ann asks for an answer
    And the <stage> stage of ann is in <phase>
    And the engine of ann's <stage> stage is <fault>
    Then ann has the right answer
    And every layer ran once and in order for ann

    Examples:
      | fault          | stage  | phase   |
      | frozen for 1 s | first  | prefill |
      | frozen for 1 s | middle | prefill |
      | frozen for 1 s | last   | prefill |
      | frozen for 1 s | first  | decode  |
      | frozen for 1 s | middle | decode  |
      | frozen for 1 s | last   | decode  |
