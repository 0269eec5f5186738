Feature: What must not be done twice runs at most once
  A caller sends a notice with an Idempotency-Key and retries through other
  nodes if there is no answer. The endpoints' ledgers show what really ran.

  Scenario Outline: repeats at the same time, to <service>
    Three nodes receive the notice at once. One runs it; the others wait for
    the answer.

    Given a system of 3 nodes behind proxies
    And a notice for the service <service>
    And all endpoints are slow
    When the notice is sent through n1, n2 and n3 at once
    Then all get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario Outline: repeats during the run and later, to <service>
    A repeat waits for the run, and a later one gets the stored answer.

    Given a system of 3 nodes behind proxies
    And a notice for the service <service>
    And all endpoints are slow
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
    Ann's connection breaks. Whether the run completed is unknown, so repeats
    are told so and nothing runs again.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    And all endpoints are slow
    When ann sends the notice through n1
    And the notice has begun to run
    And n1 is killed
    And ben sends the notice through n2
    Then ben is told that it may have run
    When cat sends the notice through n2
    Then cat is told that it may have run
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: the node is killed before it knows that it has the claim
    The claim was written, but the response never arrived. The other node
    can't rule out that the dead one went on, so it doesn't run the notice.

    Given a system of 2 nodes behind proxies
    When the response to the claim is held back from n1
    And ann sends the notice through n1
    And the platform holds the claim of the notice
    And n1 is killed
    And ben sends the notice through n2
    Then ben is told that it may have run
    And it ran 0 times

  Scenario Outline: the node is frozen during the run, to <service>
    While the node is silent, ben is told that the outcome is unknown. Once
    it resumes, ann and all later repeats get the run's answer.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    And all endpoints are slow
    When ann sends the notice through n1
    And the notice has begun to run
    And n1 is frozen
    And ben sends the notice through n2
    Then ben is told that it may have run
    When n1 is thawed
    And ann gets an answer
    And cat repeats the notice through n2 until it is answered
    Then ann and cat get the same answer
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: the node is frozen between its claim and the run
    The node holds the claim and is paused past the deadline. After it
    resumes it must not run the notice, since ann has given up and may have
    sent it elsewhere; it releases the claim.

    Given a system of 2 nodes behind proxies
    When the response to the claim is held back from n1
    And ann sends the notice through n1 for 1500 ms
    And the platform holds the claim of the notice
    And n1 is frozen
    And ben sends the notice through n2
    Then ben is told that it may have run
    When 1.6 seconds pass
    And the response to the claim reaches n1 late
    And n1 is thawed
    Then ann is told that the deadline has passed
    And it ran 0 times
    When cat repeats the notice through n2 until it is answered
    Then it ran 1 times

  Scenario Outline: answers to all writes are lost, to <service>
    The claim is written, but the response is lost. The node finds its own
    claim on the platform, runs the notice and stores the answer.

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
    Without the platform nothing could prevent a second run, so the notice is
    refused at once. The same key runs when the platform is back.

    Given a system of 2 nodes behind proxies
    When the platform <fails>
    And ann sends the notice through n1
    Then ann is told at once that it was not run
    And it ran 0 times
    When the platform answers again
    And ann repeats the notice through n2 until it is answered
    Then it ran 1 times

    Examples:
      | fails                |
      | rejects all requests |
      | hangs                |

  Scenario Outline: the platform <fails> during the run
    Ann gets the answer of the run. A repeat elsewhere can't be checked and
    is refused; when the platform is back it gets the stored answer.

    Given a system of 2 nodes behind proxies
    And all endpoints are slow
    When ann sends the notice through n1
    And the notice has begun to run
    And the platform <fails>
    And ben sends the notice through n2
    Then ben is told at once that it was not run
    And ann gets an answer
    When the platform answers again
    And ben repeats the notice through n2 until it is answered
    Then ann and ben get the same answer
    And it ran 1 times

    Examples:
      | fails                |
      | rejects all requests |
      | hangs                |

  Scenario: the platform is down after the run
    The answer was stored but can't be read now. The repeat is refused until
    the platform is back.

    Given a system of 2 nodes behind proxies
    When ann sends the notice through n1
    And ann gets an answer
    And the platform rejects all requests
    And ben sends the notice through n2
    Then ben is told at once that it was not run
    When the platform answers again
    And ben repeats the notice through n2 until it is answered
    Then ann and ben get the same answer
    And it ran 1 times

  Scenario Outline: the same key with another body, to <service>
    Another notice under the same key is the caller's error; neither the
    stored answer nor a second run would be correct.

    Given a system of 2 nodes behind proxies
    And a notice for the service <service>
    When ann sends the notice through n1
    And ann gets an answer
    And ben sends the other notice through n2
    Then ben is told that the key was used for another body
    And it ran 1 times

    Examples:
      | service |
      | portal  |
      | once    |

  Scenario: the endpoint runs the notice and cuts the connection
    On a keep-alive connection an HTTP library takes this for a stale
    connection and resends automatically. Ann is told that the notice may
    have run, and so is the repeat.

    Given a system of 2 nodes behind proxies
    And kept connections to all endpoints
    And the next answer of all endpoints is cut off
    When ann sends the notice through n1
    Then ann is told that it may have run
    When ben sends the notice through n2
    Then ben is told that it may have run
    And it ran 1 times
