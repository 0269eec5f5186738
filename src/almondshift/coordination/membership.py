"""Membership: one node's part in the exchange that joins all nodes.

About once a second a node exchanges with a few random peers (push-pull), so
that its messages do not grow with the number of nodes and a fact reaches all
in about log n rounds. Here stand its life, its rounds and the questions that
peers ask each other; ``shared_facts`` has what is stated, ``fact_exchange``
the messages and ``peer_table`` who the peers are.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import expression
import msgspec

from almondshift import errors
from almondshift.coordination import drafts
from almondshift.coordination import fact_exchange
from almondshift.coordination import facts as fact_store
from almondshift.coordination import peer_table
from almondshift.coordination import peer_types
from almondshift.coordination import shared_facts
from almondshift.coordination import silent_peers
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping
    import random

    from almondshift.ports import clocks

    Handler = Callable[[str, bytes], Awaitable[bytes]]


class Membership:
    """One node's part in the exchange.

    Attributes:
        node: What this node says of itself.
        store: The facts that it holds.
        table: What it believes of its peers.
        wake: Set when an extra round is due.
        meets_until: Rounds come more often until then; monotonic seconds.
        is_leaving: Whether this node told that it is leaving.
    """

    def __init__(
        self,
        link: peer_port.PeerLink,
        clock: clocks.Clock,
        rng: random.Random,
        node: peer_types.NodeIdentity,
        seeds: Callable[[], Awaitable[list[str]]],
        settings: peer_types.MembershipSettings,
    ) -> None:
        self.link = link
        self.clock = clock
        self.rng = rng
        self.node = node
        self.seeds = seeds
        self.settings = settings
        self.store = fact_store.FactStore()
        self.table = peer_table.PeerTable(
            self.store, clock, node.name, settings
        )
        self.shared = shared_facts.SharedFacts(
            self.store, self.table, clock, settings.max_value_bytes
        )
        self.messages = fact_exchange.FactExchange(
            self.shared, self.table, settings, self.join
        )
        self.wake = self.shared.wake
        self.is_leaving = False
        self.silent = silent_peers.SilentPeers(
            self.shared, self.table, clock, self.ask, self.spawn
        )
        self.handlers: dict[str, Handler] = {}
        self.outside: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.seeds_at = 0.0
        self.round_at: float | None = None
        self.meets_until = 0.0

    # Life.

    async def start(self) -> None:
        """Starts the link, tells of this node and begins the rounds."""
        await self.link.start(self.handle)
        if not self.node.peer_address:
            self.node = dataclasses.replace(
                self.node, peer_address=self.link.address
            )
        self.join()
        self.meets_until = self.clock.monotonic() + self.settings.meeting_s
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
        value = peer_types.NodeValue(
            peer=self.node.peer_address,
            entry=self.node.entry_address,
            zone=self.node.zone,
            leaving=self.is_leaving,
            holds_s=self.table.dropped_after_s(),
        )
        self.publish(
            peer_port.FactKind.NODE,
            self.node.name,
            msgspec.json.encode(value),
            value.holds_s,
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
            rest = self.interval_s() - self.settings.urgent_gap_s
            await self.wait_for_wake(rest * self.rng.uniform(0.9, 1.1))

    def interval_s(self) -> float:
        """Returns the time between rounds; shorter just after the start.

        Nodes that start together, each knowing none of the others, need as
        many rounds to meet as the group has doublings.
        """
        if self.is_meeting():
            return self.settings.meeting_interval_s
        return self.settings.interval_s

    def is_meeting(self) -> bool:
        """Returns whether this node has just started."""
        return self.clock.monotonic() < self.meets_until

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
        if self.table.size() == 1:
            self.wake.set()

    # Facts and peers.

    def publish(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """States a fact; see ``SharedFacts.publish``."""
        self.shared.publish(kind, key, value, ttl_s)

    def withdraw(self, kind: peer_port.FactKind, key: str) -> None:
        """Takes a fact back everywhere."""
        self.shared.withdraw(kind, key)

    def facts(self, kind: peer_port.FactKind) -> Mapping[str, peer_port.Fact]:
        """Returns the facts of a kind that hold now, by key."""
        return self.shared.facts(kind)

    def subscribe(
        self, kind: peer_port.FactKind, callback: shared_facts.Callback
    ) -> None:
        """Calls back on changes; see ``SharedFacts.subscribe``."""
        self.shared.subscribe(kind, callback)

    def tell(
        self, kind: peer_port.FactKind, key: str, fact: peer_port.Fact | None
    ) -> None:
        """Tells the subscribers of a change."""
        self.shared.tell(kind, key, fact)

    def peers(self) -> list[peer_types.PeerInfo]:
        """Returns all peers but this node, by name."""
        return self.table.peers()

    def address_of(self, peer_name: str) -> str | None:
        """Returns the peer address of a node that is known."""
        return self.table.address_of(peer_name)

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
        address = self.table.address_of(peer_name)
        if address is None:
            return expression.Error(not_asked(f"No peer {peer_name} is known."))
        question = peer_port.Question(self.node.name, "", topic, body)
        result = await self.link.call(address, question, timeout_s)
        if result.is_error():
            self.table.note_failure(peer_name)
            return expression.Error(result.error)
        self.table.heard_from(peer_name, self.clock.monotonic())
        reply = result.ok
        if not isinstance(reply, peer_port.Answer) or not reply.known:
            detail = f"Peer {peer_name} answers no questions on {topic}."
            return expression.Error(not_asked(detail))
        return expression.Ok(reply.body)

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

    # Rounds.

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
        self.table.heard_from(message.sender, now)
        return self.messages.reply(message, now)

    def was_paused(self, now: float) -> bool:
        """Returns whether rounds stopped for longer than they may."""
        if self.round_at is None:
            return False
        return now - self.round_at > self.settings.paused_s

    async def run_round(self, urgent: bool = False) -> None:
        """Exchanges with a few random peers.

        Args:
            urgent: An extra round; no heartbeat, nothing outside.
        """
        now = self.clock.monotonic()
        self.round_at = now
        self.shared.expire(now)
        if not urgent:
            self.messages.beat(now)
        addresses = self.targets(now, urgent)
        await asyncio.gather(*(self.exchange(a) for a in addresses))
        if addresses and self.shared.has_urgent_facts():
            self.wake.set()

    def targets(self, now: float, urgent: bool) -> list[str]:
        """Returns the addresses to exchange with in this round."""
        known = self.table.addresses(now)
        chosen = self.rng.sample(known, min(self.settings.fan_out, len(known)))
        is_due = not urgent and now >= self.seeds_at
        if is_due or not known:
            seeds_s = self.settings.seeds_s
            if self.is_meeting():
                seeds_s = self.settings.meeting_interval_s
            self.seeds_at = now + seeds_s
            chosen += self.outside_target(known)
        return chosen

    def outside_target(self, known: list[str]) -> list[str]:
        """Returns one address outside the membership, if there is any."""
        candidates = {*self.outside, *self.table.remembered.values()}
        candidates -= {*known, self.node.peer_address}
        if not candidates:
            return []
        return [self.rng.choice(sorted(candidates))]

    async def exchange(self, address: str) -> None:
        """Does one exchange: push and pull, then what either asked for."""
        now = self.clock.monotonic()
        reply = await self.call(address, self.messages.opening(now))
        if reply is None:
            return
        rest = self.messages.rest(reply, self.clock.monotonic())
        if rest is None:
            return
        second = await self.call(address, rest)
        if second is not None:
            self.messages.take_facts(second)

    async def call(
        self, address: str, message: peer_port.Exchange
    ) -> peer_port.Exchange | None:
        """Sends an exchange; returns the answer aged by its way."""
        sent_at = self.clock.monotonic()
        result = await self.link.call(
            address, message, self.settings.call_timeout_s
        )
        if result.is_error() or not isinstance(result.ok, peer_port.Exchange):
            self.silent.note_failed(address)
            return None
        now = self.clock.monotonic()
        self.silent.reached(now)
        reply = result.ok
        self.table.heard_from(reply.sender, now)
        return drafts.aged(reply, now - sent_at)


def not_asked(detail: str) -> errors.PeerUnreachable:
    """Returns the error of a question that nobody took."""
    return errors.PeerUnreachable(detail, execution=errors.Execution.NOT_RUN)


def create_membership(
    link: peer_port.PeerLink,
    clock: clocks.Clock,
    rng: random.Random,
    node: peer_types.NodeIdentity,
    seeds: Callable[[], Awaitable[list[str]]],
    settings: peer_types.MembershipSettings | None = None,
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
        link,
        clock,
        rng,
        node,
        seeds,
        settings or peer_types.MembershipSettings(),
    )
