"""Fast detection of peers that stop responding.

With hundreds of nodes each sends a heartbeat only every few seconds. By missing
heartbeats alone, a node that lost power would be noticed only after two or
three times as long. Meanwhile all nodes would give its address to callers, and
each caller that uses it would wait a second for a connection.

Each peer is called by some node about twice a second, and such a call fails
within half a second. So the first node whose call fails reports it to all, and
each node calls the peer itself before it considers it suspect. Otherwise the
reports of a node that is slow, or has lost its own link, would withhold the
addresses of live nodes from all callers. A node that has not reached any peer
recently reports nothing.
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
"""No node has a handler for this topic; the reply that the topic is unknown is
enough to show that the node is alive."""

NOTICE_TTL_S = 3.0
"""Time to live of a report; after that, missing heartbeats are noticed."""

REACHED_WITHIN_S = 0.6
"""A node that reached a peer this recently has a working link: it calls two
peers per second, and more while there are urgent facts."""

HEARD_WITHIN_S = 0.3
"""A peer that communicated with this node this recently is not probed."""

PROBE_TIMEOUT_S = 0.3

MAX_OVERDUE_PROBES = 16
"""Maximum number of peers that are probed in one round since their heartbeats
are overdue."""

PROBE_BYTES = 200
"""Size of a probe and of its reply with their headers, rounded up."""


class SilentPeers:
    """Reports and probes peers that stop responding, on one node.

    Attributes:
        reached_at: When a peer last replied to this node.
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
        facts.subscribe(peer_port.FactKind.NODE_SILENT, self.on_silent_fact)

    def note_reached(self, now: float) -> None:
        """Records that a peer replied."""
        self.reached_at = now

    def note_call_failed(self, address: str) -> None:
        """Records a failed call; reports the peer unless it was suspect."""
        name = self.table.name_of_address(address)
        if not name:
            return
        was_suspect = self.table.is_suspect(name)
        self.table.record_failure(name)
        now = self.clock.monotonic()
        if was_suspect or now - self.reached_at > REACHED_WITHIN_S:
            return
        kind = peer_port.FactKind.NODE_SILENT
        if name not in self.facts.facts(kind):
            self.facts.publish(kind, name, b"true", NOTICE_TTL_S)
            self.spawn(self.probe(name))

    def on_silent_fact(self, name: str, fact: peer_port.Fact | None) -> None:
        """Probes a peer that another node could not reach."""
        if fact is None or name == self.table.name:
            return
        if fact.origin == self.table.name or self.table.is_suspect(name):
            return
        now = self.clock.monotonic()
        if (
            now - self.table.last_contact_at.get(name, -math.inf)
            > HEARD_WITHIN_S
        ):
            self.spawn(self.probe(name))

    def probe_overdue(self) -> int:
        """Probes peers whose heartbeats are overdue; returns their number.

        A heartbeat may reach all nodes but this one, so that a peer is suspect
        only if it doesn't respond either.
        """
        overdue = self.table.overdue()[:MAX_OVERDUE_PROBES]
        for name in overdue:
            self.spawn(self.probe(name))
        return len(overdue)

    async def probe(self, name: str) -> None:
        """Probes a peer; if that fails, also counts the call that was reported.

        The failure of the probe itself is recorded by ``ask``.
        """
        asked_at = self.clock.monotonic()
        await self.ask(name, TOPIC, b"", PROBE_TIMEOUT_S)
        if self.table.last_contact_at.get(name, -math.inf) < asked_at:
            self.table.record_failure(name)
