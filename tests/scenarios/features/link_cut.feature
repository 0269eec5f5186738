Feature: The link to an engine is cut at any position of a chain
  The caller's stream continues with the correct tokens, each once.
  Whether the engine ran the step before the cut is unknown, so the step
  isn't resent to that session: it could append to its KV cache twice.

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
      | fault              | stage  | phase   |
      | cut before a run   | first  | prefill |
      | cut before a run   | middle | prefill |
      | cut before a run   | last   | prefill |
      | cut before a run   | first  | decode  |
      | cut before a run   | middle | decode  |
      | cut before a run   | last   | decode  |
      | cut after a run    | first  | prefill |
      | cut after a run    | middle | prefill |
      | cut after a run    | last   | prefill |
      | cut after a run    | first  | decode  |
      | cut after a run    | middle | decode  |
      | cut after a run    | last   | decode  |
      | cut off            | first  | prefill |
      | cut off            | middle | prefill |
      | cut off            | last   | prefill |
      | cut off            | first  | decode  |
      | cut off            | middle | decode  |
      | cut off            | last   | decode  |
      | swallowing answers | first  | prefill |
      | swallowing answers | middle | prefill |
      | swallowing answers | last   | prefill |
      | swallowing answers | first  | decode  |
      | swallowing answers | middle | decode  |
      | swallowing answers | last   | decode  |

  Scenario: the link to a stage is cut again and again on an idle system
    Each recovery replays the prompt, which uses up the retry budget of a node
    with little traffic.
    When ann asks for an answer to a long prompt
    And the links to ann's last stage are cut 4 times
    Then ann has the right answer
    And every layer ran once and in order for ann

  Scenario: the links to all engines are cut when a request ends
    The node cancels the request's sessions, but the engines don't get that. An
    engine that keeps a session is not emptied for another version of the model.
    When ann asks for an answer
    And the links are cut as ann's answer ends
    Then ann has the right answer
    And no engine keeps a session
