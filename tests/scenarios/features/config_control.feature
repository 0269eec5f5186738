Feature: A configuration that was accepted is in force everywhere
  Operators apply texts through any node. What was accepted is in force on
  all nodes within 5 seconds, no node goes back to an older version, and a
  text that was refused changes nothing. Each node's log is the judge of
  what was in force, the platform's rows of what was accepted.

  Scenario: two operators race
    Both base their change on version 1, and both writes are on the way to
    the platform before one arrives. The platform takes one; the other
    operator hears what to do, and no change is lost.

    Given a system of 3 nodes behind proxies
    When olga and piet apply changes at the same time through n1 and n2
    Then one is accepted, the other must rebase on 2
    And version 2 is in force on all nodes
    When the one with the conflict rebases and applies again
    Then version 3 is in force on all nodes
    And all nodes serve the account of olga
    And all nodes serve the account of piet
    And the platform holds versions 1, 2, 3
    And no node ever went back

  Scenario: the answer to a change is lost after it took effect
    The write takes effect and its answers are lost. The node writes again,
    is refused, and must find its own change in the platform: olga must not
    hear of a conflict with herself.

    Given a system of 2 nodes behind proxies
    When the answer to every write is lost
    And olga begins to apply a change through n1
    And the platform holds version 2
    And the platform answers again
    Then olga hears at last that version 2 is hers
    And version 2 is in force on all nodes
    And the platform holds versions 1, 2
    And no node ever went back

  Scenario: every answer to a change is lost
    No write is answered for longer than the node tries. Olga hears that
    nothing is known, with the change id to repeat; repeating is safe.

    Given a system of 2 nodes behind proxies
    When the answer to every write is lost
    And olga begins to apply a change through n1
    Then olga hears that the outcome is unknown
    When the platform answers again
    And olga repeats the change through n2
    Then olga hears at last that version 2 is hers
    And version 2 is in force on all nodes
    And the platform holds versions 1, 2
    And no node ever went back

  Scenario: the writes of a change arrive late
    The node gives up, and its writes are still on the way. They arrive after
    olga was told that nothing is known: one takes effect, the others don't.

    Given a system of 2 nodes behind proxies
    When changes that n1 writes are held back on the way
    And olga begins to apply a change through n1
    Then olga hears that the outcome is unknown
    When what n1 wrote arrives late
    And olga repeats the change through n2
    Then olga hears at last that version 2 is hers
    And version 2 is in force on all nodes
    And the platform holds versions 1, 2
    And no node ever went back

  Scenario: the writes of a change arrive after another change
    Olga's writes are on the way while piet's change is accepted. When hers
    arrive they must not undo his; she hears that she must rebase.

    Given a system of 2 nodes behind proxies
    When changes that n1 writes are held back on the way
    And olga begins to apply a change through n1
    Then olga hears that the outcome is unknown
    When piet applies a change through n2
    And version 2 is in force on all nodes
    And what n1 wrote arrives late
    And every node has read the platform again
    Then all nodes serve the account of piet
    And no node serves the account of olga
    And the platform holds versions 1, 2
    When olga repeats the change through n1
    Then one is accepted, the other must rebase on 2
    And no node ever went back

  Scenario Outline: the platform is <state> during a change
    Olga hears that nothing was changed, and her repeat is accepted.

    Given a system of 2 nodes behind proxies
    When the platform is <state>
    And olga begins to apply a change through n1
    Then olga hears that nothing was changed
    When the platform is up
    Then the platform holds versions 1
    When olga repeats the change through n1
    Then olga hears at last that version 2 is hers
    And version 2 is in force on all nodes
    And no node ever went back

    Examples:
      | state |
      | down  |
      | hung  |

  Scenario: a node is frozen over two changes
    The node wakes up two versions behind, with old questions and answers
    still in its connections. It goes to the newest, and never back.

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
    And no node ever went back

  Scenario: a node joins while the platform is down
    The node takes the newest version from its peers and says that it could
    not verify it; later the platform confirms it.

    Given a system of 2 nodes behind proxies
    When olga applies a change through n1
    And version 2 is in force on all nodes
    And the platform refuses everything
    And node n3 joins
    Then version 2 is in force on n3
    And n3 says that its version is unverified
    When the platform answers again
    Then n3 says that its version is verified
    And no node ever went back

  Scenario Outline: all nodes are replaced with the platform <state>
    Each new node joins before an old one is stopped, until none of the first
    is left. The version outlives them all.

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
    And no node ever went back

    Examples:
      | state |
      | up    |
      | down  |

  Scenario: the platform's table is restored from an older copy
    The platform names version 1 again, after version 2 was in force. Nodes
    stay with the newer one that operators were told is accepted.

    Given a system of 2 nodes behind proxies
    When olga applies a change through n1
    And version 2 is in force on all nodes
    And the platform's table goes back to an older copy
    And every node has read the platform again
    Then all nodes serve the account of olga
    And no node ever went back

  Scenario Outline: a text that <fault> is refused
    Nothing of it comes into force, also not the part before the fault.

    Given a system of 2 nodes behind proxies
    When olga applies a text that <fault>
    Then olga hears what to correct
    And every node has read the platform again
    And no node serves the account of olga
    And the platform holds versions 1
    And no node ever went back

    Examples:
      | fault                         |
      | has an unknown key            |
      | depends on a missing service  |
      | has a cycle of dependencies   |
      | names a missing model         |
      | has a wrong number at its end |
