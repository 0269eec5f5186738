Feature: A stage is lost in the middle of a request
  The caller gets the correct tokens, each once, whatever happens to a stage.

  Scenario Outline: one engine is <what> in decode
    Given a system of 2 nodes
    When ann asks n1 for 80 tokens
    And ann has received 20 tokens
    And e1 is <what>
    Then ann has the right answer
    And ann waited less than 6 seconds for any token

    Examples:
      | what   |
      | killed |
      | frozen |
