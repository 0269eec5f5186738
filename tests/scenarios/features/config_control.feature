Feature: A configuration that was accepted is in force everywhere
  Operators apply configuration texts through any node. An accepted text is
  in force on all nodes within 5 seconds, no node reverts to an older
  version, and a rejected text changes nothing. Each node's log shows what
  was in force; the platform's rows show what was accepted.

  Scenario: two operators race
    Both base their change on version 1, and both writes are in transit
    before either reaches the platform. The platform accepts one; the other
    operator is told what to do, and no change is lost.

    Given a system of 3 nodes behind proxies
    When olga and piet apply changes at the same time through n1 and n2
    Then one is accepted, the other must rebase on 2
    And version 2 is in force on all nodes
    When the operator with the conflict rebases and applies again
    Then version 3 is in force on all nodes
    And all nodes serve the account of olga
    And all nodes serve the account of piet
    And the platform holds versions 1, 2, 3
    And no node ever reverted to an older version

  Scenario: the answer to a change is lost after it took effect
    The write takes effect, but its responses are lost. The node retries,
    is rejected, and must find its own change on the platform: olga must not
    be told of a conflict with her own change.

    Given a system of 2 nodes behind proxies
    When the answer to every write is lost
    And olga begins to apply a change through n1
    And the platform holds version 2
    And the platform answers again
    Then olga is finally told that version 2 is hers
    And version 2 is in force on all nodes
    And the platform holds versions 1, 2
    And no node ever reverted to an older version

  Scenario: every answer to a change is lost
    No write is answered until the node stops retrying. Olga is told that
    the outcome is unknown and which change id to repeat; repeating is safe.

    Given a system of 2 nodes behind proxies
    When the answer to every write is lost
    And olga begins to apply a change through n1
    Then olga is told that the outcome is unknown
    When the platform answers again
    And olga repeats the change through n2
    Then olga is finally told that version 2 is hers
    And version 2 is in force on all nodes
    And the platform holds versions 1, 2
    And no node ever reverted to an older version

  Scenario: the writes of a change arrive late
    The node gives up while its writes are still in transit. They arrive after
    olga was told that the outcome is unknown: only one takes effect.

    Given a system of 2 nodes behind proxies
    When config writes of n1 are held in transit
    And olga begins to apply a change through n1
    Then olga is told that the outcome is unknown
    When the held writes of n1 are delivered
    And olga repeats the change through n2
    Then olga is finally told that version 2 is hers
    And version 2 is in force on all nodes
    And the platform holds versions 1, 2
    And no node ever reverted to an older version

  Scenario: the writes of a change arrive after another change
    Olga's writes are in transit while piet's change is accepted. When hers
    arrive they must not undo his; she is told that she must rebase.

    Given a system of 2 nodes behind proxies
    When config writes of n1 are held in transit
    And olga begins to apply a change through n1
    Then olga is told that the outcome is unknown
    When piet applies a change through n2
    And version 2 is in force on all nodes
    And the held writes of n1 are delivered
    And every node has read the platform again
    Then all nodes serve the account of piet
    And no node serves the account of olga
    And the platform holds versions 1, 2
    When olga repeats the change through n1
    Then one is accepted, the other must rebase on 2
    And no node ever reverted to an older version

  Scenario Outline: the platform is <state> during a change
    Olga is told that nothing was changed, and her retry is accepted.

    Given a system of 2 nodes behind proxies
    When the platform is <state>
    And olga begins to apply a change through n1
    Then olga is told that nothing was changed
    When the platform is up
    Then the platform holds versions 1
    When olga repeats the change through n1
    Then olga is finally told that version 2 is hers
    And version 2 is in force on all nodes
    And no node ever reverted to an older version

    Examples:
      | state |
      | down  |
      | hung  |

  Scenario: a node is frozen over two changes
    The node resumes two versions behind, with old requests and responses
    still in its connections. It applies the newest version and never reverts.

    Given a system of 3 nodes behind proxies
    When n3 is frozen
    And olga applies a change through n1
    And version 2 is in force on n1 and n2
    And piet applies a change through n2
    And version 3 is in force on n1 and n2
    And n3 is thawed
    Then version 3 is in force on all nodes
    And all nodes serve the account of olga
    And all nodes serve the account of piet
    And no node ever reverted to an older version

  Scenario: a node joins while the platform is down
    The node gets the newest version from its peers and reports it as
    unverified until the platform confirms it.

    Given a system of 2 nodes behind proxies
    When olga applies a change through n1
    And version 2 is in force on all nodes
    And the platform rejects all requests
    And node n3 joins
    Then version 2 is in force on n3
    And n3 reports that its version is unverified
    When the platform answers again
    Then n3 reports that its version is verified
    And no node ever reverted to an older version

  Scenario Outline: all nodes are replaced with the platform <state>
    Each new node joins before an old one is stopped, until all of the
    original nodes are gone. The version must not be lost.

    Given a system of 2 nodes behind proxies
    When olga applies a change through n1
    And version 2 is in force on all nodes
    And the platform is <state>
    And node n3 joins
    And version 2 is in force on n3
    And node n1 is stopped gracefully
    And node n4 joins
    And version 2 is in force on n4
    And node n2 is stopped gracefully
    And the platform is up
    And piet applies a change through n3
    Then version 3 is in force on all nodes
    And all nodes serve the account of olga
    And no node ever reverted to an older version

    Examples:
      | state |
      | up    |
      | down  |

  Scenario: the platform's table is restored from an older copy
    The platform reports version 1 again after version 2 was in force. Nodes
    keep version 2, since operators were told that it was accepted.

    Given a system of 2 nodes behind proxies
    When olga applies a change through n1
    And version 2 is in force on all nodes
    And the platform's table is restored from an older copy
    And every node has read the platform again
    Then all nodes serve the account of olga
    And no node ever reverted to an older version

  Scenario Outline: a text that <fault> is refused
    No part of it takes effect, not even the part before the error.

    Given a system of 2 nodes behind proxies
    When olga applies a text that <fault>
    Then olga is told what to correct
    And every node has read the platform again
    And no node serves the account of olga
    And the platform holds versions 1
    And no node ever reverted to an older version

    Examples:
      | fault                         |
      | has an unknown key            |
      | depends on a missing service  |
      | has a cycle of dependencies   |
      | names a missing model         |
      | has a wrong number at its end |
