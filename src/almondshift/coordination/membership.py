"""Gossip membership: exchanges facts with random peers.

About once a second a node does a push-pull exchange with a few random peers,
so that its messages do not grow with the number of nodes and a fact reaches
all of them in about log n rounds. This module has the node's lifecycle, its
rounds and the questions between peers; ``shared_facts`` publishes and merges
facts, ``fact_exchange`` builds messages and ``peer_table`` tracks the peers.
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
from almondshift.ports import exchange_observers
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
    """One node's membership.

    Attributes:
        node: What this node publishes about itself.
        store: The facts that it holds.
        table: Its view of its peers.
        wake: Set when an extra round is due.
        startup_until: Monotonic time until which rounds are more frequent.
        is_leaving: Whether this node announced that it is leaving.
    """

    def __init__(
        self,
        link: peer_port.PeerLink,
        clock: clocks.Clock,
        rng: random.Random,
        node: peer_types.NodeIdentity,
        seeds: Callable[[], Awaitable[list[str]]],
        settings: peer_types.MembershipSettings,
        observer: exchange_observers.ExchangeObserver,
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
            self.shared, self.table, settings, self.join, observer
        )
        self.wake = self.shared.wake
        self.is_leaving = False
        self.silent = silent_peers.SilentPeers(
            self.shared, self.table, clock, self.ask, self.spawn
        )
        self.handlers: dict[str, Handler] = {}
        self.seed_addresses: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.next_seed_call_at = 0.0
        self.last_round_at: float | None = None
        self.startup_until = 0.0

    # Lifecycle.

    async def start(self) -> None:
        """Starts the link, publishes this node and starts the rounds."""
        await self.link.start(self.handle)
        if not self.node.peer_address:
            self.node = dataclasses.replace(
                self.node, peer_address=self.link.address
            )
        self.join()
        self.startup_until = self.clock.monotonic() + self.settings.startup_s
        self.spawn(self.run_exchange_loop())
        self.spawn(self.run_seed_refresh_loop())

    async def close(self) -> None:
        """Withdraws this node's fact and closes the link."""
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
        """Publishes that this node is leaving, as an urgent fact."""
        self.is_leaving = True
        self.join()
        self.wake.set()

    async def announce_leaving(self) -> None:
        """Notifies some peers now, which notify the others; for the drain."""
        self.leave()
        await self.run_round(urgent=True)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a background task until it ends or ``close`` cancels it."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_exchange_loop(self) -> None:
        """Runs a round each interval, and extra rounds for urgent facts.

        Extra rounds don't replace regular ones: urgent facts may follow each
        other for a long time, and only regular rounds have heartbeats.
        """
        gap_s = self.settings.urgent_gap_s
        regular_at = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            is_regular = now >= regular_at or not self.wake.is_set()
            if is_regular:
                remaining_s = self.interval_s() - gap_s
                regular_at = (
                    now + gap_s + remaining_s * self.rng.uniform(0.9, 1.1)
                )
            self.wake.clear()
            self.spawn(self.run_round(urgent=not is_regular))
            await self.clock.sleep(gap_s)
            await self.wait_for_wake(regular_at - self.clock.monotonic())

    def interval_s(self) -> float:
        """Returns the time between rounds; shorter just after the start.

        Nodes that start together without knowing each other need about log2 n
        rounds to discover all others.
        """
        if self.is_starting_up():
            return self.settings.startup_interval_s
        return self.settings.interval_s

    def is_starting_up(self) -> bool:
        """Returns whether this node has just started."""
        return self.clock.monotonic() < self.startup_until

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

    async def run_seed_refresh_loop(self) -> None:
        """Refreshes the seed addresses periodically."""
        while True:
            await self.refresh_seeds()
            await self.clock.sleep(self.settings.seed_interval_s)

    async def refresh_seeds(self) -> None:
        """Fetches the seed addresses; keeps the previous ones on failure."""
        found = await self.seeds()
        if not found:
            return
        self.seed_addresses = found
        if self.table.size() == 1:
            self.wake.set()

    # Facts and peers.

    def publish(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """Publishes a fact; see ``SharedFacts.publish``."""
        self.shared.publish(kind, key, value, ttl_s)

    def withdraw(self, kind: peer_port.FactKind, key: str) -> None:
        """Withdraws a fact on all nodes."""
        self.shared.withdraw(kind, key)

    def facts(self, kind: peer_port.FactKind) -> Mapping[str, peer_port.Fact]:
        """Returns the facts of a kind that are valid now, by key."""
        return self.shared.facts(kind)

    def subscribe(
        self, kind: peer_port.FactKind, callback: shared_facts.Callback
    ) -> None:
        """Registers a callback; see ``SharedFacts.subscribe``."""
        self.shared.subscribe(kind, callback)

    def notify_subscribers(
        self, kind: peer_port.FactKind, key: str, fact: peer_port.Fact | None
    ) -> None:
        """Notifies the subscribers of a change."""
        self.shared.notify_subscribers(kind, key, fact)

    def peers(self) -> list[peer_types.PeerInfo]:
        """Returns all peers except this node, sorted by name."""
        return self.table.peers()

    def address_of(self, peer_name: str) -> str | None:
        """Returns the peer address of a node; None if it is not known."""
        return self.table.address_of(peer_name)

    # Questions.

    def answer(self, topic: str, handler: Handler) -> None:
        """Registers ``handler(sender, body)`` for questions on a topic."""
        self.handlers[topic] = handler

    async def ask(
        self, peer_name: str, topic: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.PeerUnreachable]:
        """Asks a peer a question.

        Returns:
            The body of its reply, or ``PeerUnreachable``: ``NOT_RUN`` if
            the question was never sent or the peer does not know the topic.
        """
        address = self.table.address_of(peer_name)
        if address is None:
            return expression.Error(
                not_run_error(f"No peer {peer_name} is known.")
            )
        question = peer_port.Question(self.node.name, "", topic, body)
        result = await self.link.call(address, question, timeout_s)
        if result.is_error():
            self.table.record_failure(peer_name)
            return expression.Error(result.error)
        self.table.record_contact(peer_name, self.clock.monotonic())
        reply = result.ok
        if not isinstance(reply, peer_port.Answer) or not reply.known:
            detail = f"Peer {peer_name} has no handler for topic {topic}."
            return expression.Error(not_run_error(detail))
        return expression.Ok(reply.body)

    async def handle(
        self, message: peer_port.PeerMessage
    ) -> peer_port.PeerMessage:
        """Returns the reply to a peer's message; the handler of the link."""
        match message:
            case peer_port.Question():
                return await self.handle_question(message)
            case peer_port.Exchange():
                return self.handle_exchange(message)
        return peer_port.Answer(known=False, body=b"")

    async def handle_question(
        self, question: peer_port.Question
    ) -> peer_port.Answer:
        """Returns the reply to a question, if its topic has a handler."""
        handler = self.handlers.get(question.topic)
        if handler is None:
            return peer_port.Answer(known=False, body=b"")
        body = await handler(question.sender, question.body)
        return peer_port.Answer(known=True, body=body)

    # Rounds.

    def handle_exchange(
        self, message: peer_port.Exchange
    ) -> peer_port.Exchange:
        """Merges a peer's message of an exchange and returns the reply.

        Messages that waited while this process was frozen are discarded:
        their times to live do not account for the wait, so that expired facts
        would be valid again for a while.
        """
        now = self.clock.monotonic()
        if self.was_paused(now):
            return peer_port.Exchange(self.node.name, "", (), (), ())
        self.table.record_contact(message.sender, now)
        return self.messages.create_reply(message, now)

    def was_paused(self, now: float) -> bool:
        """Returns whether this process was frozen since its last round."""
        if self.last_round_at is None:
            return False
        return now - self.last_round_at > self.settings.pause_threshold_s

    async def run_round(self, urgent: bool = False) -> None:
        """Exchanges with a few random peers.

        Args:
            urgent: Whether this is an extra round, which has no heartbeat
                and calls non-members only if no peer is known.
        """
        now = self.clock.monotonic()
        self.last_round_at = now
        self.shared.expire(now)
        if not urgent:
            self.messages.update_heartbeat(now)
            probes = self.silent.probe_overdue()
            self.messages.budget.spend(probes * silent_peers.PROBE_BYTES)
        addresses = self.targets(now, urgent)
        await asyncio.gather(*(self.exchange(a) for a in addresses))
        if addresses and self.shared.has_urgent_facts():
            self.wake.set()

    def start_extra_round(self) -> None:
        """Starts a round now; the regular ones, with heartbeats, stay due."""
        self.spawn(self.run_round(urgent=True))

    def targets(self, now: float, urgent: bool) -> list[str]:
        """Returns the addresses to exchange with in this round."""
        known = self.table.addresses(now)
        chosen = self.rng.sample(known, min(self.settings.fan_out, len(known)))
        is_due = not urgent and now >= self.next_seed_call_at
        if is_due or not known:
            seed_interval_s = self.settings.seed_interval_s
            if self.is_starting_up():
                seed_interval_s = self.settings.startup_interval_s
            self.next_seed_call_at = now + seed_interval_s
            chosen += self.pick_non_member_address(known)
        return chosen

    def pick_non_member_address(self, known: list[str]) -> list[str]:
        """Returns one random address that is not a member's, if any."""
        candidates = {
            *self.seed_addresses,
            *self.table.dropped_addresses.values(),
        }
        candidates -= {*known, self.node.peer_address}
        if not candidates:
            return []
        return [self.rng.choice(sorted(candidates))]

    async def exchange(self, address: str) -> None:
        """Does one push-pull exchange, then sends what is still lacking."""
        now = self.clock.monotonic()
        reply = await self.call(address, self.messages.create_request(now))
        if reply is None:
            return
        follow_up = self.messages.create_follow_up(
            reply, self.clock.monotonic()
        )
        if follow_up is None:
            return
        second = await self.call(address, follow_up)
        if second is not None:
            self.messages.merge_facts(second)

    async def call(
        self, address: str, message: peer_port.Exchange
    ) -> peer_port.Exchange | None:
        """Sends a message; returns the reply, aged by its time in transit."""
        sent_at = self.clock.monotonic()
        result = await self.link.call(
            address, message, self.settings.call_timeout_s
        )
        if result.is_error() or not isinstance(result.ok, peer_port.Exchange):
            self.silent.note_call_failed(address)
            return None
        now = self.clock.monotonic()
        self.silent.note_reached(now)
        reply = result.ok
        self.table.record_contact(reply.sender, now)
        return drafts.deduct_transit_time(reply, now - sent_at)


def not_run_error(detail: str) -> errors.PeerUnreachable:
    """Returns the error for a question that no peer handled."""
    return errors.PeerUnreachable(detail, execution=errors.Execution.NOT_RUN)


def create_membership(
    link: peer_port.PeerLink,
    clock: clocks.Clock,
    rng: random.Random,
    node: peer_types.NodeIdentity,
    seeds: Callable[[], Awaitable[list[str]]],
    settings: peer_types.MembershipSettings | None = None,
    observer: exchange_observers.ExchangeObserver | None = None,
) -> Membership:
    """Creates the membership of a node.

    Args:
        link: Not started; ``start`` starts it with ``handle``.
        clock: Source of time.
        rng: Source of random choices.
        node: What this node publishes about itself.
        seeds: Returns addresses through which to join, ``[]`` if it can't;
            must not raise.
        settings: None for the defaults.
        observer: Is told what the node sends; None to record nothing.
    """
    return Membership(
        link,
        clock,
        rng,
        node,
        seeds,
        settings or peer_types.MembershipSettings(),
        observer or exchange_observers.NullExchangeObserver(),
    )
