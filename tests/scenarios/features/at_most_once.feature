Feature: What must not be done twice runs at most once
  A caller sends a notice with an Idempotency-Key, and again through other
  nodes when she hears nothing. The endpoints' ledgers say what really ran.

  Scenario Outline: repeats at the same time, to <service>
    Three nodes get the notice at once. One runs it; the others wait for its
    answer.

    Given a system of 3 nodes behind proxies
    And a notice for the service <service>
    And runs take long
    When the notice is sent through n1, n2 and n3 at once
    Then all get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario Outline: repeats during the run and later, to <service>
    A repeat waits for the run, and a later one gets the kept answer.

    Given a system of 3 nodes behind proxies
    And a notice for the service <service>
    And runs take long
    When ann sends the notice through n1
    And the notice has begun to run
    And ben sends the notice through n2
    And ann gets an answer
    And cat sends the notice through n3
    Then all get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario Outline: the node is killed during the run, to <service>
    Ann's connection breaks. Nobody can say whether the run came to its end,
    so that repeats hear that, and nothing runs again.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    And runs take long
    When ann sends the notice through n1
    And the notice has begun to run
    And n1 is killed
    And ben sends the notice through n2
    Then ben hears that it may have run
    When cat sends the notice through n2
    Then cat hears that it may have run
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: the node is killed before it knows that it has the claim
    The claim was written and its answer never came. Nobody can say that the
    dead node did not go on, so that the notice is not run by another.

    Given a system of 2 nodes behind proxies
    When the claim's answer does not reach n1
    And ann sends the notice through n1
    And the platform holds the claim of the notice
    And n1 is killed
    And ben sends the notice through n2
    Then ben hears that it may have run
    And it ran 0 times

  Scenario Outline: the node is frozen during the run, to <service>
    Ben hears that nothing is known while the node is silent. When it goes
    on, the run's answer reaches ann, and every repeat after it.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    And runs take long
    When ann sends the notice through n1
    And the notice has begun to run
    And n1 is frozen
    And ben sends the notice through n2
    Then ben hears that it may have run
    When n1 is thawed
    And ann gets an answer
    And cat repeats the notice through n2 until she knows
    Then ann and cat get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: the node is frozen between its claim and the run
    The node is paused past the deadline with the claim in hand. When it goes
    on it must not run the notice any more, since ann has given up and may
    have asked elsewhere; it gives the claim back.

    Given a system of 2 nodes behind proxies
    When the claim's answer does not reach n1
    And ann sends the notice through n1 for 1500 ms
    And the platform holds the claim of the notice
    And n1 is frozen
    And ben sends the notice through n2
    Then ben hears that it may have run
    When 1.6 seconds pass
    And the claim's answer reaches n1 late
    And n1 is thawed
    Then ann hears that the deadline had passed
    And it ran 0 times
    When cat repeats the notice through n2 until she knows
    Then it ran 1 times

  Scenario Outline: answers to all writes are lost, to <service>
    The claim is written and its answer lost. The node finds its own claim
    in the platform, runs the notice and keeps the answer.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    When the answer to every write is lost
    And ann sends the notice through n1
    And ann gets an answer
    And ben sends the notice through n2
    Then all get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario Outline: the platform <fails> before the notice
    Without the platform nothing could stop a second run: the notice is
    refused at once. The same key runs when the platform is back.

    Given a system of 2 nodes behind proxies
    When the platform <fails>
    And ann sends the notice through n1
    Then ann hears at once that it was not run
    And it ran 0 times
    When the platform answers again
    And ann repeats the notice through n2 until she knows
    Then it ran 1 times

    Examples:
      | fails              |
      | refuses everything |
      | hangs              |

  Scenario Outline: the platform <fails> during the run
    Ann gets the answer of the run. A repeat elsewhere can't be checked, and
    is refused; when the platform is back it gets the kept answer.

    Given a system of 2 nodes behind proxies
    And runs take long
    When ann sends the notice through n1
    And the notice has begun to run
    And the platform <fails>
    And ben sends the notice through n2
    Then ben hears at once that it was not run
    And ann gets an answer
    When the platform answers again
    And ben repeats the notice through n2 until she knows
    Then ann and ben get the same answer
    And it ran 1 times

    Examples:
      | fails              |
      | refuses everything |
      | hangs              |

  Scenario: the platform is down after the run
    The answer was kept before; nobody can read it now. The repeat is refused
    until the platform is back.

    Given a system of 2 nodes behind proxies
    When ann sends the notice through n1
    And ann gets an answer
    And the platform refuses everything
    And ben sends the notice through n2
    Then ben hears at once that it was not run
    When the platform answers again
    And ben repeats the notice through n2 until she knows
    Then ann and ben get the same answer
    And it ran 1 times

  Scenario Outline: the same key with another body, to <service>
    Another notice under the same key is an error of the caller; neither the
    kept answer nor a second run would be right.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    When ann sends the notice through n1
    And ann gets an answer
    And ben sends the other notice through n2
    Then ben hears that the key was used for another body
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: the endpoint runs the notice and cuts the connection
    On a kept connection an HTTP library takes this for a connection that had
    been dead before, and sends again by itself. Ann hears that it may have
    run, and so does her repeat.

    Given a system of 2 nodes behind proxies
    And kept connections to all endpoints
    And the next answer of all endpoints is cut off
    When ann sends the notice through n1
    Then ann hears that it may have run
    When ben sends the notice through n2
    Then ben hears that it may have run
    And it ran 1 times
