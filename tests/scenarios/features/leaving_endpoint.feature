Feature: A leaving endpoint gets no new work, and its work is not lost
  The platform's list lags by 10 s. An engine that is told to stop announces
  it in its load report. Here it would still accept new sessions, so only the
  nodes' own knowledge keeps new work away. From 3 s later no new session may
  begin there; running streams complete correctly.

  Background:
    Given a system whose VM list lags by 10 s

  Scenario Outline: the engine of the <stage> stage is told to stop
    When ann asks for 150 tokens
    And the <stage> stage of ann is in decode
    And the engine of ann's <stage> stage gets SIGTERM
    And new requests come for 6 s
    Then no session began on that engine later than 3 s
    And ann has the right answer
    And every layer ran once and in order for ann
    And another session took over ann's <stage> stage
    And all new requests have the right answers
    And that engine exited by itself

    Examples:
      | stage  |
      | first  |
      | middle |

  Scenario: only the VM list says that an engine leaves
    The engine itself doesn't know; the list shows it 10 s late.

    When ann asks for 10 tokens
    And the last stage of ann is in decode
    And the VM list is told that the engine of ann's last stage leaves
    And the list shows it
    And new requests come for 6 s
    Then no session began on that engine later than 3 s
    And all new requests have the right answers
