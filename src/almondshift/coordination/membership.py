"""Membership: who the peers are, and the facts that all nodes share.

About once a second a node exchanges with a few random peers (push-pull), so
that its messages do not grow with the number of nodes and a fact reaches all
in about log n rounds. A message carries, within a byte budget, urgent facts
first, then nodes, heartbeats, a rotating part of the digests, and with what
is left the bulk kinds.

A heartbeat is a digest: a node's fact keeps its value and only the low bits
of its version grow. A node whose heartbeat stops is suspect, then dropped.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import logging
import math
from typing import TYPE_CHECKING
from typing import Any

import expression
import msgspec

from almondshift import errors
from almondshift.coordination import drafts
from almondshift.coordination import facts as fact_store
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

    from almondshift.ports import clocks

    Callback = Callable[[str, peer_port.Fact | None], None]
    Handler = Callable[[str, bytes], Awaitable[bytes]]

WITHDRAWN_S = 60.0
"""How long a withdrawal is told; longer than a round reaches everyone."""

MAX_REMEMBERED = 500
"""Addresses of dropped nodes that are kept, to find them again."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What a node says of itself.

    Attributes:
        peer_address: ``host:port`` for peers; ``""`` to take the link's.
        entry_address: ``host:port`` for callers.
        zone: Availability zone.
    """

    name: str
    peer_address: str
    entry_address: str
    zone: str


class PeerState(enum.StrEnum):
    """What is believed of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInfo:
    """A peer as this node sees it.

    Attributes:
        heard_s: Seconds since it was last heard of.
    """

    name: str
    peer_address: str
    entry_address: str
    zone: str
    state: PeerState
    heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Figures of the exchange.

    Attributes:
        interval_s: Time between rounds.
        fan_out: Peers called in each round.
        urgent_gap_s: Least time between a round and an urgent extra one.
        call_timeout_s: Time that a peer has to answer an exchange.
        message_bytes: Most bytes in one exchange message.
        bytes_per_s: Most bytes sent a second, answers included.
        rotated_digests: Digests in a message beside heartbeats.
        beats_per_s: Heartbeats a second in the whole system; with more
            nodes each beats less often, so that bytes stay constant.
        silent_beats: Heartbeats missed until a node is suspect.
        dropped_beats: Heartbeats missed until it is dropped.
        spread_s: Allowance for the way of a heartbeat through the system.
        failed_calls: Calls failed in a row that make a peer suspect here.
        paused_s: Time without a round after which this process must have
            been frozen, and messages that waited meanwhile are stale.
        seeds_s: Time between calls to an address outside the membership.
        max_value_bytes: Longest value of a published fact.
    """

    interval_s: float = 1.0
    fan_out: int = 2
    urgent_gap_s: float = 0.2
    call_timeout_s: float = 1.0
    message_bytes: int = 3_000
    bytes_per_s: float = 14_000.0
    rotated_digests: int = 20
    beats_per_s: float = 20.0
    silent_beats: int = 3
    dropped_beats: int = 10
    spread_s: float = 2.0
    failed_calls: int = 2
    paused_s: float = 5.0
    seeds_s: float = 10.0
    max_value_bytes: int = 1_500


class NodeValue(msgspec.Struct):
    """The value of a fact about a node."""

    peer: str
    entry: str
    zone: str
    leaving: bool = False


class Membership:
    """One node's part in the exchange.

    Attributes:
        node: What this node says of itself.
        store: The facts that it holds.
        is_leaving: Whether this node told that it is leaving.
    """

    def __init__(
        self,
        link: peer_port.PeerLink,
        clock: clocks.Clock,
        rng: random.Random,
        node: NodeIdentity,
        seeds: Callable[[], Awaitable[list[str]]],
        settings: MembershipSettings,
    ) -> None:
        self.link = link
        self.clock = clock
        self.rng = rng
        self.node = node
        self.seeds = seeds
        self.settings = settings
        self.store = fact_store.FactStore()
        self.is_leaving = False
        self.budget = drafts.ByteBudget(
            settings.bytes_per_s, 2 * settings.bytes_per_s, clock.monotonic()
        )
        self.callbacks: dict[peer_port.FactKind, list[Callback]] = {}
        self.handlers: dict[str, Handler] = {}
        self.failures: dict[str, int] = {}
        self.direct: dict[str, float] = {}
        self.outside: list[str] = []
        self.remembered: dict[str, str] = {}
        self.parsed: dict[str, tuple[int, NodeValue | None]] = {}
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.beat_at = 0.0
        self.seeds_at = 0.0
        self.round_at: float | None = None

    # Life.

    async def start(self) -> None:
        """Starts the link, tells of this node and begins the rounds."""
        await self.link.start(self.handle)
        if not self.node.peer_address:
            self.node = dataclasses.replace(
                self.node, peer_address=self.link.address
            )
        self.join()
        self.spawn(self.exchange_forever())
        self.spawn(self.refresh_forever())

    async def close(self) -> None:
        """Tells peers that this node is gone and closes the link."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.withdraw(peer_port.FactKind.NODE, self.node.name)
        await self.run_round(urgent=True)
        await self.link.close()

    def join(self) -> None:
        """Publishes the fact about this node."""
        value = NodeValue(
            peer=self.node.peer_address,
            entry=self.node.entry_address,
            zone=self.node.zone,
            leaving=self.is_leaving,
        )
        self.publish(
            peer_port.FactKind.NODE,
            self.node.name,
            msgspec.json.encode(value),
            self.dropped_after_s(),
        )

    def leave(self) -> None:
        """Tells peers at once that this node is leaving."""
        self.is_leaving = True
        self.join()
        self.wake.set()

    async def announce_leaving(self) -> None:
        """Tells some peers now, which tell the others; for the drain."""
        self.leave()
        await self.run_round(urgent=True)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work beside the caller until it ends or ``close``."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def exchange_forever(self) -> None:
        """Does a round each interval, and extra ones for urgent facts."""
        while True:
            urgent = self.wake.is_set()
            self.wake.clear()
            self.spawn(self.run_round(urgent=urgent))
            await self.clock.sleep(self.settings.urgent_gap_s)
            rest = self.settings.interval_s - self.settings.urgent_gap_s
            await self.wait_for_wake(rest * self.rng.uniform(0.9, 1.1))

    async def wait_for_wake(self, seconds: float) -> None:
        """Waits until an urgent fact wakes this node, or for a time."""
        waits = [
            asyncio.ensure_future(self.wake.wait()),
            asyncio.ensure_future(self.clock.sleep(seconds)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def refresh_forever(self) -> None:
        """Keeps the addresses outside the membership up to date."""
        while True:
            await self.refresh_seeds()
            await self.clock.sleep(self.settings.seeds_s)

    async def refresh_seeds(self) -> None:
        """Asks for seeds; on failure the former ones stay."""
        found = await self.seeds()
        if not found:
            return
        self.outside = found
        if self.size() == 1:
            self.wake.set()

    # Facts.

    def publish(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """States a fact; it ends after ``ttl_s`` unless stated again.

        Args:
            kind: What it is about.
            key: Unique in its kind.
            value: JSON text, not empty.
            ttl_s: Seconds for which it holds.

        Raises:
            ValueError: If the value is empty or too long to be exchanged;
                publish a reference and answer a question with the rest.
        """
        if not 0 < len(value) <= self.settings.max_value_bytes:
            raise ValueError(f"a value of {len(value)} bytes for {kind} {key}")
        self.state(kind, key, value, ttl_s)

    def withdraw(self, kind: peer_port.FactKind, key: str) -> None:
        """Takes a fact back everywhere."""
        if self.store.get(kind, key) is not None:
            self.state(kind, key, b"", WITHDRAWN_S)

    def state(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """Takes an own fact with a version over all that are known."""
        fact = peer_port.Fact(
            kind=kind,
            key=key,
            version=self.next_version(kind, key),
            origin=self.node.name,
            ttl_s=ttl_s,
            value=value,
        )
        self.take(fact, self.clock.monotonic())

    def next_version(self, kind: peer_port.FactKind, key: str) -> int:
        """Returns a version over the held one and over former lives.

        A restarted node remembers nothing. Its versions start from the
        wall clock, so that they stand over those of its former life; with
        a clock that went back, it learns the old version and goes over it.
        """
        started = int(self.clock.wall() * 1000)
        held = self.store.get(kind, key)
        if held is None:
            return fact_store.version_of(started)
        following = fact_store.generation(held.version) + 1
        return fact_store.version_of(max(started, following))

    def facts(self, kind: peer_port.FactKind) -> Mapping[str, peer_port.Fact]:
        """Returns the facts of a kind that hold now, by key."""
        now = self.clock.monotonic()
        return {e.key: e.fact(now) for e in self.store.live(kind, now)}

    def subscribe(self, kind: peer_port.FactKind, callback: Callback) -> None:
        """Calls back with key and fact on each change.

        The fact is None when it ended, by withdrawal or by time.
        Heartbeats are no changes.
        """
        self.callbacks.setdefault(kind, []).append(callback)

    def tell(
        self, kind: peer_port.FactKind, key: str, fact: peer_port.Fact | None
    ) -> None:
        """Tells the subscribers of a change.

        A subscriber that fails on one fact must not end the exchange that
        brought it: with it would end all news from that peer, leaving and
        configuration included.
        """
        for callback in self.callbacks.get(kind, ()):
            try:
                callback(key, fact)
            except Exception:
                logger.exception("a subscriber failed on %s %s", kind, key)

    def take(self, fact: peer_port.Fact, now: float) -> bool:
        """Takes a fact if it is news; returns whether it was."""
        if not self.store.accept(fact, now, self.sends(fact.kind)):
            return False
        if self.is_urgent(fact):
            self.wake.set()
        self.tell(fact.kind, fact.key, fact if fact.value else None)
        return True

    def is_urgent(self, fact: peer_port.Fact) -> bool:
        """Returns whether a fact is worth an extra round.

        A node that goes is: callers and peers still use its address.
        """
        if fact.kind is not peer_port.FactKind.NODE:
            return fact.kind in fact_store.URGENT_KINDS
        if not fact.value:
            self.parsed.pop(fact.key, None)
            return True
        entry = self.store.entries[(fact.kind, fact.key)]
        value = self.node_value(entry)
        return value is not None and value.leaving

    def sends(self, kind: peer_port.FactKind) -> int:
        """Returns how often a fact is told on by each node.

        With log2 n + 2 sends by each who learns it, the share of nodes
        that miss it is below one in n; digests find those. Other kinds are
        told less often: a node that misses a fact about a node learns of it
        by the next heartbeat, and loads are stated anew.
        """
        if kind not in fact_store.URGENT_KINDS:
            return 3
        return math.ceil(math.log2(self.size() + 1)) + 2

    # Peers.

    def size(self) -> int:
        """Returns the number of nodes known, this one included."""
        return max(1, len(self.parsed))

    def beat_s(self) -> float:
        """Returns the time between heartbeats at the present size."""
        return max(
            self.settings.interval_s, self.size() / self.settings.beats_per_s
        )

    def suspect_after_s(self) -> float:
        """Returns the silence after which a node is suspect."""
        beats = self.settings.silent_beats * self.beat_s()
        return beats + self.settings.spread_s

    def dropped_after_s(self) -> float:
        """Returns the silence after which a node is dropped."""
        beats = self.settings.dropped_beats * self.beat_s()
        return beats + self.settings.spread_s

    def peers(self) -> list[PeerInfo]:
        """Returns all peers but this node, by name."""
        now = self.clock.monotonic()
        found = []
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is None or entry.key == self.node.name:
                continue
            found.append(self.peer_info(entry, value, now))
        return sorted(found, key=lambda peer: peer.name)

    def peer_info(
        self, entry: fact_store.Entry, value: NodeValue, now: float
    ) -> PeerInfo:
        """Returns what is believed of one peer.

        Its silence counts from its last heartbeat, which its time to live
        tells, and not from when this node learnt of it: a node that starts
        after another died would give out the dead one's address for as long
        as it takes to call a peer silent.
        """
        beat_at = entry.expires_at - self.dropped_after_s()
        heard_at = min(entry.heard_at, beat_at)
        heard_at = max(heard_at, self.direct.get(entry.key, -math.inf))
        return PeerInfo(
            name=entry.key,
            peer_address=value.peer,
            entry_address=value.entry,
            zone=value.zone,
            state=self.peer_state(entry.key, value, now - heard_at),
            heard_s=now - heard_at,
        )

    def peer_state(
        self, name: str, value: NodeValue, silent_s: float
    ) -> PeerState:
        """Returns the state of a peer that was silent for a time."""
        if value.leaving:
            return PeerState.LEAVING
        is_failing = self.failures.get(name, 0) >= self.settings.failed_calls
        if is_failing or silent_s > self.suspect_after_s():
            return PeerState.SUSPECT
        return PeerState.ALIVE

    def node_value(self, entry: fact_store.Entry) -> NodeValue | None:
        """Returns the value of a node's fact, None if it makes no sense."""
        number = fact_store.generation(entry.version)
        known = self.parsed.get(entry.key)
        if known is not None and known[0] == number:
            return known[1]
        try:
            value = msgspec.json.decode(entry.value, type=NodeValue)
        except msgspec.DecodeError:
            value = None
        self.parsed[entry.key] = (number, value)
        return value

    def heard_from(self, name: str, now: float) -> None:
        """Notes that a peer spoke to this node itself."""
        self.direct[name] = now
        self.failures.pop(name, None)

    # Questions.

    def answer(self, topic: str, handler: Handler) -> None:
        """Lets ``handler(sender, body)`` answer questions on a topic."""
        self.handlers[topic] = handler

    async def ask(
        self, peer_name: str, topic: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.PeerUnreachable]:
        """Asks a peer.

        Returns:
            The body of its answer, or ``PeerUnreachable``: ``NOT_RUN`` if
            the question never left or the peer knows no such topic.
        """
        address = self.address_of(peer_name)
        if address is None:
            return expression.Error(not_asked(f"No peer {peer_name} is known."))
        question = peer_port.Question(self.node.name, "", topic, body)
        result = await self.link.call(address, question, timeout_s)
        if result.is_error():
            self.note_failure(peer_name)
            return expression.Error(result.error)
        self.heard_from(peer_name, self.clock.monotonic())
        reply = result.ok
        if not isinstance(reply, peer_port.Answer) or not reply.known:
            detail = f"Peer {peer_name} answers no questions on {topic}."
            return expression.Error(not_asked(detail))
        return expression.Ok(reply.body)

    def address_of(self, peer_name: str) -> str | None:
        """Returns the peer address of a node that is known."""
        entry = self.store.get(peer_port.FactKind.NODE, peer_name)
        if entry is None or not entry.value:
            return None
        value = self.node_value(entry)
        return None if value is None else value.peer

    def note_failure(self, name: str) -> None:
        """Counts a failed call to a peer."""
        self.failures[name] = self.failures.get(name, 0) + 1

    async def handle(
        self, message: peer_port.PeerMessage
    ) -> peer_port.PeerMessage:
        """Answers a message of a peer; the handler of the link."""
        match message:
            case peer_port.Question():
                return await self.handle_question(message)
            case peer_port.Exchange():
                return self.handle_exchange(message)
        return peer_port.Answer(known=False, body=b"")

    async def handle_question(
        self, question: peer_port.Question
    ) -> peer_port.Answer:
        """Answers a question, if a handler knows its topic."""
        handler = self.handlers.get(question.topic)
        if handler is None:
            return peer_port.Answer(known=False, body=b"")
        body = await handler(question.sender, question.body)
        return peer_port.Answer(known=True, body=body)

    # Exchange.

    def handle_exchange(
        self, message: peer_port.Exchange
    ) -> peer_port.Exchange:
        """Takes a peer's side of an exchange and returns this node's.

        Messages that waited while this process was frozen are not taken:
        the time that they waited is missing from their times to live, so
        that ended facts would stand again for a while.
        """
        now = self.clock.monotonic()
        if self.was_paused(now):
            return peer_port.Exchange(self.node.name, "", (), (), ())
        self.heard_from(message.sender, now)
        draft = self.new_draft(now)
        self.take_side(message, now, draft)
        is_new = len(message.digests) < self.settings.rotated_digests
        most = drafts.MAX_DIGESTS if is_new else self.settings.rotated_digests
        self.fill(draft, now, most)
        return self.finished(draft)

    def was_paused(self, now: float) -> bool:
        """Returns whether rounds stopped for longer than they may."""
        if self.round_at is None:
            return False
        return now - self.round_at > self.settings.paused_s

    def take_side(
        self, message: peer_port.Exchange, now: float, draft: drafts.Draft
    ) -> None:
        """Takes facts and heartbeats; drafts what the sender lacks."""
        for fact in message.facts:
            self.take_fact(fact, now, draft)
        for want in message.wants:
            self.draft_fact((want.kind, want.key), draft, now)
        for digest in message.digests:
            self.take_digest(digest, now, draft)

    def take_fact(
        self, fact: peer_port.Fact, now: float, draft: drafts.Draft
    ) -> None:
        """Takes a fact or notice; drafts what is newer here."""
        if self.take(fact, now):
            draft.named.add((fact.kind, fact.key))
            self.defend(fact)
            return
        if fact.ttl_s <= 0:
            self.take_notice(fact, now)
            return
        entry = self.store.get(fact.kind, fact.key)
        if entry is not None and drafts.knows_more(
            entry, drafts.digest_of(fact), now
        ):
            self.draft_newer(entry, drafts.digest_of(fact), draft, now)

    def take_digest(
        self, digest: peer_port.FactDigest, now: float, draft: drafts.Draft
    ) -> None:
        """Compares one digest with what is held."""
        identity = (digest.kind, digest.key)
        entry = self.store.entries.get(identity)
        if entry is not None and drafts.knows_more(entry, digest, now):
            self.draft_newer(entry, digest, draft, now)
            return
        if digest.kind is peer_port.FactKind.NODE and self.store.beat(
            digest, now, self.dropped_after_s(), self.beat_sends()
        ):
            return
        if self.store.lacks(digest):
            draft.add_want(digest)

    def draft_newer(
        self,
        entry: fact_store.Entry,
        digest: peer_port.FactDigest,
        draft: drafts.Draft,
        now: float,
    ) -> None:
        """Drafts a fact that the sender has in an older version.

        Of one that has ended a notice goes out: a fact without value or
        time. A sender with its clock behind learns from it why nobody takes
        its fact: others remember a newer version, of its former life or of
        another node. One whose clock stood still learns what has ended.
        """
        if now >= entry.expires_at:
            notice = dataclasses.replace(entry.fact(now), ttl_s=0.0, value=b"")
            draft.add_fact(notice)
            return
        is_beat = (
            entry.kind is peer_port.FactKind.NODE
            and fact_store.generation(entry.version)
            == fact_store.generation(digest.version)
        )
        if is_beat and entry.value:
            draft.add_digest(entry.digest())
            return
        self.draft_fact((entry.kind, entry.key), draft, now)

    def draft_fact(
        self, identity: fact_store.FactId, draft: drafts.Draft, now: float
    ) -> bool:
        """Drafts a held fact; returns whether there was room."""
        entry = self.store.entries.get(identity)
        if entry is None or now >= entry.expires_at:
            return True
        return draft.add_fact(entry.fact(now))

    def defend(self, fact: peer_port.Fact) -> None:
        """States this node's own fact again if another stood over it.

        Happens after a restart with a wall clock that went back, and to a
        node that others withdrew while it was frozen.
        """
        is_own = fact.kind is peer_port.FactKind.NODE
        if is_own and fact.key == self.node.name:
            self.join()

    def take_notice(self, notice: peer_port.Fact, now: float) -> None:
        """Takes the news that this or a newer version of a fact has ended.

        An own fact is stated again over a newer version; another one ends,
        so that all nodes agree until its origin states it again.
        """
        entry = self.store.get(notice.kind, notice.key)
        if entry is None or entry.order > (notice.version, notice.origin):
            return
        is_live = bool(entry.value) and now < entry.expires_at
        is_older = entry.order < (notice.version, notice.origin)
        if is_live and is_older and entry.origin == self.node.name:
            self.restate(entry, notice.version, now)
            return
        self.store.end(entry, notice.version, notice.origin, now)
        if is_live:
            self.tell(notice.kind, notice.key, None)

    def restate(
        self, entry: fact_store.Entry, version: int, now: float
    ) -> None:
        """States an own fact again, over a version of a former life."""
        number = fact_store.generation(version) + 1
        if number > fact_store.MAX_GENERATION:
            return
        fact = dataclasses.replace(
            entry.fact(now), version=fact_store.version_of(number)
        )
        self.take(fact, now)

    def beat_sends(self) -> int:
        """Returns how often each node tells a heartbeat on."""
        return self.sends(peer_port.FactKind.NODE)

    def new_draft(self, now: float) -> drafts.Draft:
        """Returns an empty message with the bytes that it may have."""
        most = self.settings.message_bytes - drafts.MESSAGE_BYTES
        return drafts.Draft(self.budget.allowance(most, now))

    def fill(self, draft: drafts.Draft, now: float, most_digests: int) -> None:
        """Fills a message: urgent, nodes, heartbeats, digests, bulk."""
        hot = list(self.store.hot)
        self.fill_facts(hot, fact_store.URGENT_KINDS, draft, now)
        self.fill_facts(hot, {peer_port.FactKind.NODE}, draft, now)
        self.fill_beats(draft)
        self.fill_digests(draft, now, most_digests)
        self.fill_facts(hot, fact_store.BULK_KINDS, draft, now)

    def fill_facts(
        self,
        hot: Iterable[fact_store.FactId],
        kinds: Iterable[peer_port.FactKind],
        draft: drafts.Draft,
        now: float,
    ) -> None:
        """Drafts facts of some kinds that are still to be told."""
        for identity in hot:
            if identity[0] in kinds and not self.draft_fact(
                identity, draft, now
            ):
                return

    def fill_beats(self, draft: drafts.Draft) -> None:
        """Drafts heartbeats that are still to be told."""
        for identity in self.store.beats:
            if not draft.add_digest(self.store.entries[identity].digest()):
                return

    def fill_digests(self, draft: drafts.Draft, now: float, most: int) -> None:
        """Drafts digests in rotation, on a third of what is left.

        They only find what telling missed, so few do; a node that named
        few itself is likely new, and gets many to ask for.
        """
        end = draft.left * 2 // 3
        for entry in self.store.next_in_rotation(most, now):
            if draft.left <= end or not draft.add_digest(entry.digest()):
                return

    def finished(self, draft: drafts.Draft) -> peer_port.Exchange:
        """Returns the message and counts what it tells as told."""
        self.budget.spend(drafts.MESSAGE_BYTES + draft.used)
        told = [(f.kind, f.key) for f in draft.facts]
        told += [(d.kind, d.key) for d in draft.digests]
        self.store.told(told)
        return peer_port.Exchange(
            sender=self.node.name,
            secret="",
            digests=tuple(draft.digests),
            facts=tuple(draft.facts),
            wants=tuple(draft.wants),
        )

    async def run_round(self, urgent: bool = False) -> None:
        """Exchanges with a few random peers.

        Args:
            urgent: An extra round; no heartbeat, nothing outside.
        """
        now = self.clock.monotonic()
        self.round_at = now
        self.expire(now)
        if not urgent:
            self.beat(now)
        addresses = self.targets(now, urgent)
        await asyncio.gather(*(self.exchange(a) for a in addresses))
        if addresses and self.has_urgent_facts():
            self.wake.set()

    def has_urgent_facts(self) -> bool:
        """Returns whether urgent facts are still to be told.

        With one extra round by each node that learns of a fact, a fifth of
        the nodes miss it until their next regular round.
        """
        return any(k in fact_store.URGENT_KINDS for k, _ in self.store.hot)

    def expire(self, now: float) -> None:
        """Ends facts whose time is over and tells the subscribers."""
        for entry in self.store.expire(now):
            if entry.kind is peer_port.FactKind.NODE:
                self.remember(entry.key)
            self.tell(entry.kind, entry.key, None)

    def remember(self, name: str) -> None:
        """Keeps the address of a dropped node, to find it again.

        Without it two halves that lost each other for an hour would each
        drop the other and, with the platform away, never meet again.
        """
        known = self.parsed.pop(name, None)
        self.failures.pop(name, None)
        self.direct.pop(name, None)
        if known is not None and known[1] is not None:
            self.remembered[name] = known[1].peer
        while len(self.remembered) > MAX_REMEMBERED:
            del self.remembered[next(iter(self.remembered))]

    def beat(self, now: float) -> None:
        """Raises the version of this node's own fact when it is time."""
        entry = self.store.get(peer_port.FactKind.NODE, self.node.name)
        if entry is None or not entry.value:
            self.join()
            return
        if now < self.beat_at:
            return
        self.beat_at = now + self.beat_s() - self.settings.interval_s / 2
        digest = dataclasses.replace(
            entry.digest(), version=entry.version + 1, origin=self.node.name
        )
        ttl_s = self.dropped_after_s()
        if not self.store.beat(digest, now, ttl_s, self.beat_sends()):
            self.join()

    def targets(self, now: float, urgent: bool) -> list[str]:
        """Returns the addresses to exchange with in this round."""
        known = self.peer_addresses(now)
        chosen = self.rng.sample(known, min(self.settings.fan_out, len(known)))
        is_due = not urgent and now >= self.seeds_at
        if is_due or not known:
            self.seeds_at = now + self.settings.seeds_s
            chosen += self.outside_target(known)
        return chosen

    def peer_addresses(self, now: float) -> list[str]:
        """Returns the peer addresses of all peers, in no order."""
        found = []
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is not None and entry.key != self.node.name:
                found.append(value.peer)
        return found

    def outside_target(self, known: list[str]) -> list[str]:
        """Returns one address outside the membership, if there is any."""
        candidates = {*self.outside, *self.remembered.values()}
        candidates -= {*known, self.node.peer_address}
        if not candidates:
            return []
        return [self.rng.choice(sorted(candidates))]

    async def exchange(self, address: str) -> None:
        """Does one exchange: push and pull, then what either asked for."""
        now = self.clock.monotonic()
        draft = self.new_draft(now)
        self.fill(draft, now, self.settings.rotated_digests)
        reply = await self.call(address, self.finished(draft))
        if reply is None:
            return
        now = self.clock.monotonic()
        draft = self.new_draft(now)
        self.take_side(reply, now, draft)
        if draft.facts or draft.wants:
            second = await self.call(address, self.finished(draft))
            if second is not None:
                self.take_facts(second)

    def take_facts(self, message: peer_port.Exchange) -> None:
        """Takes the facts of an answer and nothing else."""
        now = self.clock.monotonic()
        nothing = drafts.Draft(left=0)
        for fact in message.facts:
            self.take_fact(fact, now, nothing)

    async def call(
        self, address: str, message: peer_port.Exchange
    ) -> peer_port.Exchange | None:
        """Sends an exchange; returns the answer aged by its way."""
        sent_at = self.clock.monotonic()
        result = await self.link.call(
            address, message, self.settings.call_timeout_s
        )
        if result.is_error() or not isinstance(result.ok, peer_port.Exchange):
            self.note_failed_address(address)
            return None
        now = self.clock.monotonic()
        reply = result.ok
        self.heard_from(reply.sender, now)
        return drafts.aged(reply, now - sent_at)

    def note_failed_address(self, address: str) -> None:
        """Counts a failed exchange with the peer at an address."""
        now = self.clock.monotonic()
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is not None and value.peer == address:
                self.note_failure(entry.key)


def not_asked(detail: str) -> errors.PeerUnreachable:
    """Returns the error of a question that nobody took."""
    return errors.PeerUnreachable(detail, execution=errors.Execution.NOT_RUN)


def create_membership(
    link: peer_port.PeerLink,
    clock: clocks.Clock,
    rng: random.Random,
    node: NodeIdentity,
    seeds: Callable[[], Awaitable[list[str]]],
    settings: MembershipSettings | None = None,
) -> Membership:
    """Creates a node's part in the exchange.

    Args:
        link: Not started; ``start`` starts it with this as its handler.
        clock: Source of time.
        rng: Source of random choices.
        node: What this node says of itself.
        seeds: Returns addresses to find peers by, ``[]`` if it can't; must
            not raise.
        settings: Figures; the defaults if None.
    """
    return Membership(
        link, clock, rng, node, seeds, settings or MembershipSettings()
    )
