"""Peers that fall silent, told to the other nodes and checked by each.

Load pattern: with hundreds of nodes each beats once in some seconds, so that a
node that lost power is missed only after two or three times that. Meanwhile
all nodes give its address to callers, and each caller who takes it waits a
second for a connection.

Some node calls each peer about twice a second, and such a call fails within
half a second. So the first that fails is told to all, and each node calls the
peer itself before it takes it for silent: a node that is slow, or has lost its
own link, would take live nodes from all callers. A node that lately reached
nobody tells nothing.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from almondshift.coordination import peer_table
    from almondshift.coordination import shared_facts
    from almondshift.ports import clocks

TOPIC = "alive"
"""Answered by any node, as a topic that it does not know."""

TOLD_S = 3.0
"""How long it is told; after that the heartbeat is missed."""

REACHED_S = 0.6
"""A node that reached a peer so lately has a link that works: it calls two of
them a second, and more while there is news."""

HEARD_S = 0.3
"""A peer that spoke to this node so lately is not asked."""

ANSWER_S = 0.3


class SilentPeers:
    """One node's part.

    Attributes:
        reached_at: When a peer last answered this node.
    """

    def __init__(
        self,
        facts: shared_facts.SharedFacts,
        table: peer_table.PeerTable,
        clock: clocks.Clock,
        ask: Callable[[str, str, bytes, float], Awaitable[Any]],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self.facts = facts
        self.table = table
        self.clock = clock
        self.ask = ask
        self.spawn = spawn
        self.reached_at = -math.inf
        facts.subscribe(peer_port.FactKind.NODE_SILENT, self.take_fact)

    def reached(self, now: float) -> None:
        """Notes that a peer answered."""
        self.reached_at = now

    def note_failed(self, address: str) -> None:
        """Notes a call that got no answer, and tells of it if that is news."""
        name = self.table.name_at(address)
        if not name:
            return
        was_suspect = self.table.is_suspect(name)
        self.table.note_failure(name)
        now = self.clock.monotonic()
        if was_suspect or now - self.reached_at > REACHED_S:
            return
        kind = peer_port.FactKind.NODE_SILENT
        if name not in self.facts.facts(kind):
            self.facts.publish(kind, name, b"true", TOLD_S)
            self.spawn(self.check(name))

    def take_fact(self, name: str, fact: peer_port.Fact | None) -> None:
        """Checks a peer that another node could not reach."""
        if fact is None or name == self.table.name:
            return
        if fact.origin == self.table.name or self.table.is_suspect(name):
            return
        now = self.clock.monotonic()
        if now - self.table.direct.get(name, -math.inf) > HEARD_S:
            self.spawn(self.check(name))

    async def check(self, name: str) -> None:
        """Calls a peer; the other node's call counts too if this one fails."""
        asked_at = self.clock.monotonic()
        await self.ask(name, TOPIC, b"", ANSWER_S)
        if self.table.direct.get(name, -math.inf) < asked_at:
            self.table.note_failure(name)
