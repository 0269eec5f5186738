"""The other nodes: who they are, and what they know when the store is away."""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.coordination import shared_facts
from almondshift.policy import feed_readers
from almondshift.ports import peers as peer_port
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.ports import clocks

TABLE = "almondshift-nodes"
"""A row for each node that ever started; ``peer`` is where peers connect."""

SECRET_TABLE = "almondshift-keys"
SECRET_KEY = "peers"
SECRET_BYTES = 24

ASK_TIMEOUT_S = 0.4
"""Time for a peer's answer, in seconds."""

ASKED_PEERS = 2
"""Peers asked at a time; one of them is likely in contact with the store."""

NAMED_S = 3.5
"""Maximum silence of a peer whose address is given to callers, in seconds."""

FEWEST_NAMED = 4
"""Fewest fresh peers; with fewer, this node's own link is likely at fault and
all live peers are named."""

RETRY_S = 0.3
SEEDS_READ = 500

PEERS_FRESH_S = 0.1
"""Minimum age at which the list of peers is built again, in seconds. What it
says changes over seconds, and it is used for each answer to callers, each read
of the store for others and each tick."""

PEERS_FRESH_S_PER_PEER = 0.001
"""The same for each peer, if that is longer: building the list costs some
microseconds a peer, and this bounds its share of a core."""

SWEEP_EACH_S = 120.0
"""Nodes are replaced a few times a day; a node that starts is known to its
peers within seconds."""

READ_EACH_S = 60.0
"""A node writes its row before it reads, so that of any two that start
together one finds the other, and calls it. Reading again only helps groups
that lost each other."""

logger = logging.getLogger(__name__)


class NodeRows:
    """Rows in the store by which nodes find each other.

    Attributes:
        names: Names in the rows that were read last; empty before the first
            read.
        stale: Rows of nodes that no peer knew at the last sweep, with their
            revisions.
    """

    def __init__(self, store: stores.TableStore, clock: clocks.Clock) -> None:
        self.store = store
        self.clock = clock
        self.name = ""
        self.peer_address = ""
        self.stale: dict[str, int] = {}
        self.found: list[str] = []
        self.names: list[str] = []
        self.next_read_at = 0.0

    async def shared_secret(self) -> str:
        """Returns the secret that all nodes share, made by the first.

        Waits until the store answers: without it a node can neither prove
        itself to peers nor check them.
        """
        while True:
            secret = await self._secret_once()
            if secret:
                return secret
            await asyncio.sleep(RETRY_S)

    async def announce(self, name: str, peer_address: str) -> bool:
        """Writes this node's row; returns whether that is known to be done."""
        self.name, self.peer_address = name, peer_address
        value = {"peer": peer_address}
        write = stores.Write(TABLE, name, value, None)
        return (await self.store.transact([write])).is_ok()

    async def peer_addresses(self) -> list[str]:
        """Returns addresses to find peers by; those known last on failure."""
        if self.clock.monotonic() < self.next_read_at:
            return self.found
        rows = await self.store.scan(TABLE, "", SEEDS_READ)
        if rows.is_ok():
            self.next_read_at = self.clock.monotonic() + READ_EACH_S
            self.names = [row.key for row in rows.ok]
            found = [str(row.value.get("peer", "")) for row in rows.ok]
            self.found = [address for address in found if address]
            if self.name and self.name not in self.names:
                await self.announce(self.name, self.peer_address)
        return self.found

    def is_among_first(self, count: int) -> bool:
        """Returns whether few rows have names before this node's.

        False before the rows were read.
        """
        return bool(self.names) and _is_among_first(
            self.name, self.names, count
        )

    async def sweep(self, known: frozenset[str]) -> list[str]:
        """Removes the rows of nodes that are gone; returns their names.

        Each node that is replaced leaves a row, and all others try to reach
        it each second for ever. A row goes if no peer knew its node at two
        sweeps and nobody wrote it in between. A node that was only cut off
        finds its row missing and writes it anew.

        Args:
            known: Names of this node and of all that it knows.
        """
        read = await self.store.scan(TABLE, "", SEEDS_READ)
        if read.is_error():
            return []
        unknown = {r.key: r.revision for r in read.ok if r.key not in known}
        removed = []
        for name, revision in unknown.items():
            if self.stale.get(name) != revision:
                continue
            write = stores.Write(TABLE, name, None, revision)
            if (await self.store.transact([write])).is_ok():
                removed.append(name)
        self.stale = unknown
        return removed

    async def _secret_once(self) -> str:
        read = await self.store.read(SECRET_TABLE, SECRET_KEY)
        if read.is_error():
            return ""
        if read.ok is not None:
            return str(read.ok.value.get("secret", ""))
        made = secrets.token_hex(SECRET_BYTES)
        write = stores.Write(
            SECRET_TABLE, SECRET_KEY, {"secret": made}, stores.ABSENT
        )
        written = await self.store.transact([write])
        return made if written.is_ok() else ""


class Group:
    """The nodes that serve together.

    Attributes:
        members: The exchange between nodes.
    """

    def __init__(self, members: membership.Membership) -> None:
        self.members = members
        self.states: dict[str, peer_types.PeerState] = {}
        self.known: list[peer_types.PeerInfo] = []
        self.logged: list[peer_types.PeerInfo] = []
        self.known_readers: feed_readers.Readers | None = None
        self.known_until = -math.inf

    async def start(self) -> None:
        """Joins the exchange."""
        await self.members.start()

    async def close(self) -> None:
        """Leaves the exchange."""
        await self.members.close()

    @property
    def zone(self) -> str:
        """This node's availability zone."""
        return self.members.node.zone

    def readers(self) -> feed_readers.Readers:
        """Returns the nodes that follow the store's tables for all."""
        serving = self.serving()
        if self.known_readers is None:
            nodes = [feed_readers.GroupNode(self.name, self.zone)]
            nodes += [
                feed_readers.GroupNode(peer.name, peer.zone) for peer in serving
            ]
            self.known_readers = feed_readers.chosen_readers(nodes)
        return self.known_readers

    def peers(self) -> list[peer_types.PeerInfo]:
        """Returns all peers, as of a moment ago."""
        now = self.members.clock.monotonic()
        if now >= self.known_until:
            self.known = self.members.peers()
            self.known_readers = None
            per_peer_s = len(self.known) * PEERS_FRESH_S_PER_PEER
            self.known_until = now + max(PEERS_FRESH_S, per_peer_s)
        return self.known

    def names(self) -> frozenset[str]:
        """Returns this node and all peers that are not taken for gone."""
        return frozenset({self.name, *(peer.name for peer in self.peers())})

    def serving(self) -> list[peer_types.PeerInfo]:
        """Returns the peers that callers may be sent to."""
        alive = peer_types.PeerState.ALIVE
        return [peer for peer in self.peers() if peer.state is alive]

    def named(self) -> list[peer_types.PeerInfo]:
        """Returns the peers that callers are told of.

        Those heard of lately, if there are some: in a large group heartbeats
        are seldom, and a node that lost power would be given to callers for
        as long as it takes to suspect it.
        """
        serving = self.serving()
        fresh = [peer for peer in serving if peer.heard_s <= NAMED_S]
        return fresh if len(fresh) >= FEWEST_NAMED else serving

    def is_alive(self, name: str) -> bool:
        """Returns whether a peer is known to live and to stay."""
        return any(peer.name == name for peer in self.serving())

    def is_among_first(self, count: int) -> bool:
        """Returns whether this node is among the first by name.

        All nodes that see the same peers agree on which are first.
        """
        others = (peer.name for peer in self.serving())
        return _is_among_first(self.name, others, count)

    async def ask(self, topic: str, body: bytes) -> list[bytes]:
        """Asks a few peers; returns the answers that came."""
        known = [peer.name for peer in self.serving()]
        chosen = self.members.rng.sample(known, min(ASKED_PEERS, len(known)))
        answers = await asyncio.gather(
            *(
                self.members.ask(name, topic, body, ASK_TIMEOUT_S)
                for name in chosen
            )
        )
        return [answer.ok for answer in answers if answer.is_ok()]

    def answer(
        self, topic: str, handler: Callable[[str, bytes], Awaitable[bytes]]
    ) -> None:
        """Answers peers' questions on a topic."""
        self.members.answer(topic, handler)

    @property
    def name(self) -> str:
        """This node's name."""
        return self.members.node.name

    def tell(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """Tells all peers, at once."""
        self.members.publish(kind, key, value, ttl_s)

    def is_told(self, kind: peer_port.FactKind, key: str) -> bool:
        """Returns whether peers are being told of this, by any node."""
        return key in self.members.facts(kind)

    def on_told(
        self, kind: peer_port.FactKind, callback: shared_facts.Callback
    ) -> None:
        """Calls back with what peers tell."""
        self.members.subscribe(kind, callback)

    def log_changes(self) -> None:
        """Logs peers that came, fell silent or went since the last call."""
        peers = self.peers()
        if peers is self.logged:
            return
        self.logged = peers
        present = {peer.name: peer for peer in peers}
        for name, peer in present.items():
            former = self.states.get(name)
            if former is None:
                event: log_events.Event = log_events.PeerJoined(
                    name, peer.zone, peer.peer_address
                )
                log_events.emit(logger, event)
            if (
                peer.state is peer_types.PeerState.LEAVING
                and former is not peer_types.PeerState.LEAVING
            ):
                log_events.emit(logger, log_events.PeerLeaving(name))
            if (
                peer.state is peer_types.PeerState.SUSPECT
                and former is not peer_types.PeerState.SUSPECT
            ):
                log_events.emit(
                    logger, log_events.PeerSuspect(name, round(peer.heard_s, 2))
                )
        for name in self.states.keys() - present.keys():
            log_events.emit(logger, log_events.PeerGone(name, "silent or left"))
        self.states = {name: peer.state for name, peer in present.items()}


def _is_among_first(name: str, others: Iterable[str], count: int) -> bool:
    return sum(other < name for other in others) < count
