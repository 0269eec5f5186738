"""The group of nodes: discovery through the store, and calls to peers."""

from __future__ import annotations

import asyncio
import logging
import math
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
"""Table with a row for each node that has started; ``peer`` is the address for
connections of peers."""

ASK_TIMEOUT_S = 0.4
"""Time-out of a request to a peer, in seconds."""

PEERS_PER_REQUEST = 2
"""Number of peers asked at once; one of them is likely to reach the store."""

MAX_ADVERTISED_SILENCE_S = 3.5
"""Maximum time since the last heartbeat of a peer whose address is given to
callers, in seconds."""

MIN_ADVERTISED_PEERS = 4
"""Minimum number of peers with a recent heartbeat. With fewer, this node's own
link is likely at fault, and callers are given all live peers."""

RETRY_S = 0.3
"""Interval between attempts to write this node's row, in seconds."""

MAX_NODE_ROWS = 500
"""Maximum number of node rows in one read."""

PEER_LIST_TTL_S = 0.1
"""Time for which the list of peers is cached, in seconds. Its content changes
over seconds, while it is used for each response to callers, each read of the
store on behalf of peers and each tick."""

PEER_LIST_TTL_PER_PEER_S = 0.001
"""Time for which the list of peers is cached, in seconds per peer, if that is
longer. Building the list takes a few microseconds per peer; this bounds its
share of a core."""

SWEEP_INTERVAL_S = 120.0
"""Interval between sweeps of node rows, in seconds. Nodes are replaced a few
times a day, and peers know a node that starts within seconds."""

READ_INTERVAL_S = 60.0
"""Interval between reads of all node rows, in seconds. A node writes its row
before it reads, so of any two that start together at least one finds the other.
Later reads only help groups that lost contact."""

ALONE_READ_INTERVAL_S = 1.0
ALONE_PERIOD_S = 10.0
"""Interval between these reads while no peer is known, and the time after a
write of this node's row for which that applies, in seconds. Rows that the store
lost when it returned from a copy are written again a little later."""

logger = logging.getLogger(__name__)


class NodeRows:
    """Rows in the store by which nodes discover each other.

    Attributes:
        stale: Eras and revisions of the rows whose nodes were unknown at the
            last sweep, by node name.
        addresses: Peer addresses in the rows that were read last.
        names: Node names in the rows that were read last; empty before the
            first read.
        announced_at: Monotonic time of the last write of this node's row.
        is_alone: Returns whether this node knows no peer.
    """

    def __init__(self, store: stores.TableStore, clock: clocks.Clock) -> None:
        self.store = store
        self.clock = clock
        self.name = ""
        self.peer_address = ""
        self.stale: dict[str, tuple[int, int]] = {}
        self.addresses: list[str] = []
        self.names: list[str] = []
        self.next_read_at = 0.0
        self.announced_at = -math.inf
        self.is_alone: Callable[[], bool] = lambda: False

    async def announce(self, name: str, peer_address: str) -> bool:
        """Writes this node's row; returns whether the write is confirmed."""
        self.name, self.peer_address = name, peer_address
        return await self.announce_again()

    def position(self) -> int:
        """Returns how many registered nodes have a name before this node's."""
        return sum(name < self.name for name in self.names)

    async def announce_again(self) -> bool:
        """Writes the row of ``announce`` again."""
        value = {"peer": self.peer_address}
        write = stores.Write(TABLE, self.name, value, None)
        self.announced_at = self.clock.monotonic()
        return (await self.store.transact([write])).is_ok()

    async def peer_addresses(self) -> list[str]:
        """Returns peer addresses; the last known ones if the store fails."""
        if self.clock.monotonic() < self._next_read_at():
            return self.addresses
        rows = await self.store.scan(TABLE, "", MAX_NODE_ROWS)
        if rows.is_ok():
            self.next_read_at = self.clock.monotonic() + READ_INTERVAL_S
            self.names = [row.key for row in rows.ok]
            found = [str(row.value.get("peer", "")) for row in rows.ok]
            self.addresses = [address for address in found if address]
            if self.name and self.name not in self.names:
                await self.announce_again()
        return self.addresses

    def _next_read_at(self) -> float:
        is_recent = self.clock.monotonic() - self.announced_at < ALONE_PERIOD_S
        if is_recent and self.is_alone():
            return self.next_read_at - READ_INTERVAL_S + ALONE_READ_INTERVAL_S
        return self.next_read_at

    def is_among_first(self, count: int) -> bool:
        """Returns whether fewer than ``count`` rows have smaller names.

        Limits which nodes contend for the lease. False before the rows have
        been read.
        """
        return bool(self.names) and _is_among_first(
            self.name, self.names, count
        )

    async def sweep(self, known: frozenset[str]) -> list[str]:
        """Removes the rows of nodes that are gone; returns their names.

        Each replaced node leaves a row, and all others would try to connect to
        it every second for ever. A row is removed if this node did not know
        its node at two sweeps in a row and nobody wrote it in between. A node
        that was only partitioned notices that its row is missing and writes it
        again.

        Args:
            known: Names of this node and of all its peers.
        """
        read = await self.store.scan(TABLE, "", MAX_NODE_ROWS)
        if read.is_error():
            return []
        unknown = {
            r.key: (r.era, r.revision) for r in read.ok if r.key not in known
        }
        removed = []
        for name, (era, revision) in unknown.items():
            if self.stale.get(name) != (era, revision):
                continue
            write = stores.Write(TABLE, name, None, revision, era)
            if (await self.store.transact([write])).is_ok():
                removed.append(name)
        self.stale = unknown
        return removed


class Group:
    """The group of nodes that serve together.

    Attributes:
        members: Membership and message exchange with peers.
        states: State of each peer as last logged, by name.
        cached_readers: Readers among the nodes of the cached list; None if
            they have not been determined yet.
        cache_expires_at: Monotonic time at which the cached list expires.
    """

    def __init__(self, members: membership.Membership) -> None:
        self.members = members
        self.states: dict[str, peer_types.PeerState] = {}
        self.cached_peers: list[peer_types.PeerInfo] = []
        self.logged_peers: list[peer_types.PeerInfo] = []
        self.cached_readers: feed_readers.Readers | None = None
        self.cache_expires_at = -math.inf

    async def start(self) -> None:
        """Starts the exchange with peers."""
        await self.members.start()

    async def close(self) -> None:
        """Stops the exchange with peers."""
        await self.members.close()

    @property
    def zone(self) -> str:
        """This node's availability zone."""
        return self.members.node.zone

    def readers(self) -> feed_readers.Readers:
        """Returns the nodes that follow the store's tables for the group."""
        serving = self.serving()
        if self.cached_readers is None:
            nodes = [feed_readers.GroupNode(self.name, self.zone)]
            nodes += [
                feed_readers.GroupNode(peer.name, peer.zone) for peer in serving
            ]
            self.cached_readers = feed_readers.chosen_readers(nodes)
        return self.cached_readers

    def peers(self) -> list[peer_types.PeerInfo]:
        """Returns all peers, from a list that is cached briefly."""
        now = self.members.clock.monotonic()
        if now >= self.cache_expires_at:
            self.cached_peers = self.members.peers()
            self.cached_readers = None
            per_peer_s = len(self.cached_peers) * PEER_LIST_TTL_PER_PEER_S
            self.cache_expires_at = now + max(PEER_LIST_TTL_S, per_peer_s)
        return self.cached_peers

    def names(self) -> frozenset[str]:
        """Returns the names of this node and of all peers not yet removed."""
        return frozenset({self.name, *(peer.name for peer in self.peers())})

    def serving(self) -> list[peer_types.PeerInfo]:
        """Returns the peers that are alive and not shutting down."""
        alive = peer_types.PeerState.ALIVE
        return [peer for peer in self.peers() if peer.state is alive]

    def advertised(self) -> list[peer_types.PeerInfo]:
        """Returns the peers whose addresses are given to callers.

        Only peers with a recent heartbeat, if there are enough of them. In a
        large group heartbeats are rare, and callers would be sent to a node
        that lost power until it is suspected.
        """
        serving = self.serving()
        recently_heard = [
            peer
            for peer in serving
            if peer.silence_s <= MAX_ADVERTISED_SILENCE_S
        ]
        return (
            recently_heard
            if len(recently_heard) >= MIN_ADVERTISED_PEERS
            else serving
        )

    def is_alive(self, name: str) -> bool:
        """Returns whether a peer is alive and not shutting down."""
        return any(peer.name == name for peer in self.serving())

    def is_among_first(self, count: int) -> bool:
        """Returns whether this node is among the first ``count`` by name.

        Limits which nodes contend for the lease. All nodes that see the same
        peers agree on which these are.
        """
        others = (peer.name for peer in self.serving())
        return _is_among_first(self.name, others, count)

    async def ask(self, topic: str, body: bytes) -> list[bytes]:
        """Sends a request to a few random peers.

        Returns:
            Replies that arrived within ``ASK_TIMEOUT_S``.
        """
        known = [peer.name for peer in self.serving()]
        chosen = self.members.rng.sample(
            known, min(PEERS_PER_REQUEST, len(known))
        )
        replies = await asyncio.gather(
            *(
                self.members.ask(name, topic, body, ASK_TIMEOUT_S)
                for name in chosen
            )
        )
        return [reply.ok for reply in replies if reply.is_ok()]

    def register_handler(
        self, topic: str, handler: Callable[[str, bytes], Awaitable[bytes]]
    ) -> None:
        """Registers the function that replies to peers' requests on a topic."""
        self.members.answer(topic, handler)

    @property
    def name(self) -> str:
        """This node's name."""
        return self.members.node.name

    def publish_fact(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """Publishes a fact to all peers."""
        self.members.publish(kind, key, value, ttl_s)

    def withdraw_fact(self, kind: peer_port.FactKind, key: str) -> None:
        """Withdraws a fact on all nodes."""
        self.members.withdraw(kind, key)

    def treat_as_reports(self, kind: peer_port.FactKind, topic: str) -> None:
        """Sends facts whose keys start with a topic after more urgent ones."""
        self.members.store.pending_facts.report_topics.add((kind, topic))

    def is_published(self, kind: peer_port.FactKind, key: str) -> bool:
        """Returns whether some node currently publishes this fact."""
        return key in self.members.facts(kind)

    def subscribe_facts(
        self, kind: peer_port.FactKind, callback: shared_facts.Callback
    ) -> None:
        """Subscribes to facts that peers publish."""
        self.members.subscribe(kind, callback)

    def log_changes(self) -> None:
        """Logs peers that joined, left or changed state since the last call."""
        peers = self.peers()
        if peers is self.logged_peers:
            return
        self.logged_peers = peers
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
                    logger,
                    log_events.PeerSuspect(name, round(peer.silence_s, 2)),
                )
        for name in self.states.keys() - present.keys():
            log_events.emit(logger, log_events.PeerGone(name, "silent or left"))
        self.states = {name: peer.state for name, peer in present.items()}


def _is_among_first(name: str, others: Iterable[str], count: int) -> bool:
    return sum(other < name for other in others) < count
