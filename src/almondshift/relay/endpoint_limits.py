"""Keeps the rate limits that endpoints name, together with the other nodes.

A limit applies to the requests of all nodes together. A node learns it from
any response of the endpoint, or from a peer: otherwise each node would send
requests until it has got such a response itself. Before each request to a
limited endpoint it gets a permit from the node that decides on that endpoint
(see ``rate_permits``). Without one the request goes elsewhere or is refused at
once.

Reports, health checks and orders can't wait for a permit, so the deciding node
deducts them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.model import rate_limits
from almondshift.policy import rate_permits
from almondshift.ports import peers
from almondshift.relay import background
from almondshift.relay import permits

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks
    from almondshift.relay import catalogue
    from almondshift.relay import group as relay_group
    from almondshift.relay import observer

FACT_PREFIX = "limit/"
"""Prefix of the keys of facts about limits. They share the kind of facts about
lost engines: nodes of earlier releases ignore unknown keys of that kind, while
they reject messages with an unknown kind."""

FACT_TTL_S = 60.0
REPUBLISH_S = 20.0
"""Age of the latest publication at which a limit that is still named is
published again, in seconds."""

ASK_TIMEOUT_S = 0.2
"""Time-out of a question to the deciding node, in seconds; peers respond within
milliseconds."""

UNREACHABLE_WAIT_S = 0.3
"""Time for which an endpoint gets no requests after its deciding node did not
respond, or does not see itself as deciding, in seconds."""

NOT_JOINED_WAIT_S = 0.3
"""The same for a node that has no peers to ask yet, in seconds."""

CHARGE_DELAY_S = 0.05
"""Delay within which calls without a permit are reported together, in
seconds."""

DECIDER_TTL_S = 0.5
"""Time for which the deciding node of an endpoint is cached, in seconds."""

INVALID_LOG_GAP_S = 10.0
"""Minimum interval between log lines for one endpoint's invalid limits, in
seconds."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class KnownLimit:
    """A limit in force.

    Attributes:
        per_s: Requests per second from all nodes.
        named_at: Loop time of the latest response that named it; 0 if this
            node got none.
        published_at: Monotonic time of the latest publication by any node.
    """

    per_s: float
    named_at: float = 0.0
    published_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A denied permit.

    Attributes:
        until: Monotonic time from which this node may ask again.
        priority: Priority of the request; more urgent ones may ask before.
    """

    until: float
    priority: int


class EndpointLimits:
    """The limits in force, and the permits of this node.

    Attributes:
        group: The other nodes; None before this node has joined them.
        known_nodes: Returns the largest number of nodes lately known.
        is_leaving: Returns whether this node is shutting down.
        known: Limits in force, by instance.
        buckets: Permits of the endpoints that this node has decided on.
        denials: Denied permits of this node, by instance.
        unreported: Calls without a permit that the deciding node has not been
            told of yet, by instance.
        deciders: Deciding nodes and the monotonic time until which they are
            cached, by instance.
        invalid_logged_at: Monotonic time of the last log line, by address.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        registry: catalogue.Catalogue,
        relay_observer: observer.RelayObserver,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.catalogue = registry
        self.observer = relay_observer
        self.group: relay_group.Group | None = None
        self.known_nodes: Callable[[], int] = lambda: 1
        self.is_leaving: Callable[[], bool] = lambda: False
        self.known: dict[str, KnownLimit] = {}
        self.buckets: dict[str, rate_permits.PermitBucket] = {}
        self.denials: dict[str, Denial] = {}
        self.unreported: dict[str, float] = {}
        self.deciders: dict[str, tuple[str, float]] = {}
        self.invalid_logged_at: dict[str, float] = {}
        self.work = background.Background()

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to share limits and permits with peers."""
        self.group = node_group
        node_group.subscribe_facts(peers.FactKind.ENGINE_LOST, self.handle_fact)
        node_group.register_handler(permits.TOPIC, self.reply_to_peer)

    async def close(self) -> None:
        """Cancels questions to peers."""
        await self.work.close()

    def forget(self, instance: str) -> None:
        """Drops an endpoint that is gone."""
        for by_instance in (
            self.known,
            self.buckets,
            self.denials,
            self.unreported,
            self.deciders,
        ):
            by_instance.pop(instance, None)

    # Limits.

    def on_call(self, purpose: rate_limits.CallPurpose, address: str) -> None:
        """Notes a call that was made without a permit."""
        if purpose is rate_limits.CallPurpose.REQUEST or not self.known:
            return
        instance = self.instance_at(address)
        if instance in self.known:
            self.note_call_without_permit(instance)

    def on_limit(self, notice: rate_limits.LimitNotice) -> None:
        """Records what a response says about its endpoint's limit."""
        if notice.invalid:
            self.record_invalid(notice)
            return
        instance = notice.instance or self.instance_at(notice.address)
        if not instance:
            return
        if notice.per_s is not None:
            is_change = self.set_limit(
                instance, notice.per_s, notice.purpose.value
            )
            known = self.known[instance]
            known.named_at = asyncio.get_running_loop().time()
            age_s = self.clock.monotonic() - known.published_at
            if is_change or age_s > REPUBLISH_S:
                self.publish(instance, known)
        elif self.has_ended(instance, notice):
            self.end_limit(instance, notice.purpose.value)
            if self.group is not None:
                self.group.withdraw_fact(
                    peers.FactKind.ENGINE_LOST, FACT_PREFIX + instance
                )

    def instance_at(self, address: str) -> str:
        """Returns the instance registered at an address; "" for none."""
        engine = self.catalogue.by_address(address)
        return engine.instance if engine is not None else ""

    def record_invalid(self, notice: rate_limits.LimitNotice) -> None:
        """Counts and logs a limit that can't be used; it changes nothing."""
        self.observer.invalid_limits.inc()
        now = self.clock.monotonic()
        logged_at = self.invalid_logged_at.get(notice.address, -math.inf)
        if now - logged_at < INVALID_LOG_GAP_S:
            return
        self.invalid_logged_at[notice.address] = now
        self.observer.emit(
            log_events.EndpointLimitInvalid(notice.address, notice.invalid)
        )

    def has_ended(self, instance: str, notice: rate_limits.LimitNotice) -> bool:
        """Returns whether a response without a limit ends the known one.

        Responses overtake each other. Only one to a request that was sent
        after the limit was last named shows that it is no longer in force.
        """
        known = self.known.get(instance)
        return (
            known is not None
            and notice.is_genuine
            and notice.sent_at > known.named_at
        )

    def set_limit(self, instance: str, per_s: float, told_by: str) -> bool:
        """Records a limit; returns whether it is new or has changed."""
        known = self.known.get(instance)
        if known is None:
            self.known[instance] = KnownLimit(per_s)
            self.log_change(instance, None, per_s, told_by)
            return True
        if known.per_s == per_s:
            return False
        self.log_change(instance, known.per_s, per_s, told_by)
        known.per_s = per_s
        return True

    def end_limit(self, instance: str, told_by: str) -> None:
        """Drops a limit that the endpoint no longer names."""
        known = self.known.get(instance)
        if known is not None:
            self.log_change(instance, known.per_s, None, told_by)
        self.forget(instance)

    def log_change(
        self,
        instance: str,
        previous_per_s: float | None,
        per_s: float | None,
        told_by: str,
    ) -> None:
        """Logs a change of an endpoint's limit."""
        self.observer.emit(
            log_events.EndpointLimitChanged(
                endpoint=instance,
                per_s=per_s,
                previous_per_s=previous_per_s,
                told_by=told_by,
            )
        )

    def publish(self, instance: str, known: KnownLimit) -> None:
        """Publishes a limit to all peers."""
        if self.group is not None:
            known.published_at = self.clock.monotonic()
            self.group.publish_fact(
                peers.FactKind.ENGINE_LOST,
                FACT_PREFIX + instance,
                permits.encode(known.per_s),
                FACT_TTL_S,
            )

    def handle_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Handles a peer's fact about a limit.

        A limit that was withdrawn or has expired stays known to a node that
        was told of it by a response; the next response ends it if need be.
        """
        instance = key.removeprefix(FACT_PREFIX)
        if self.group is None or instance == key:
            return
        if fact is None:
            known = self.known.get(instance)
            if known is not None and not known.named_at:
                self.end_limit(instance, "peer")
            return
        per_s = permits.decode_per_s(fact.value)
        if per_s is None or fact.origin == self.group.name:
            return
        if instance in self.catalogue.engines:
            self.set_limit(instance, per_s, "peer")
            self.known[instance].published_at = self.clock.monotonic()

    # Permits of this node.

    def is_limited(self, instance: str) -> bool:
        """Returns whether requests to an endpoint need a permit."""
        return instance in self.known

    def withheld(self, priority: int) -> frozenset[str]:
        """Returns the endpoints that were lately denied to this node.

        Args:
            priority: Priority of the request to send; 0 is the most urgent.
        """
        if not self.denials:
            return frozenset()
        now = self.clock.monotonic()
        return frozenset(
            instance
            for instance, denial in self.denials.items()
            if denial.until > now and priority >= denial.priority
        )

    def retry_s(self) -> float:
        """Returns the time until this node may first ask for a permit again."""
        now = self.clock.monotonic()
        waits = [d.until - now for d in self.denials.values() if d.until > now]
        return min(waits, default=0.0)

    async def request(self, instance: str, priority: int) -> bool:
        """Requests a permit; returns whether the request may be sent."""
        decider = self.decider(instance)
        if decider is None:
            self.deny(instance, priority, NOT_JOINED_WAIT_S, "not joined")
            return False
        if self.group is not None and decider == self.group.name:
            return self.request_here(instance, priority)
        reply = await self.ask(
            decider, self.question(instance, priority, is_request=True)
        )
        if reply is None:
            self.deny(instance, priority, UNREACHABLE_WAIT_S, decider)
            return False
        if not reply.granted:
            self.deny(instance, priority, reply.wait_s, decider)
        else:
            self.observer.permits.labels("granted").inc()
        return reply.granted

    def decides_here(self, instance: str) -> bool:
        """Returns whether this node decides on an endpoint's permits."""
        return self.group is not None and (
            self.decider(instance) == self.group.name
        )

    def request_here(self, instance: str, priority: int) -> bool:
        """Decides on a request of this node, as its deciding node."""
        assert self.group is not None
        now = self.clock.monotonic()
        decision = self.bucket(instance).request(self.group.name, priority, now)
        if not decision.is_granted:
            self.deny(instance, priority, decision.wait_s, self.group.name)
        else:
            self.observer.permits.labels("granted").inc()
        return decision.is_granted

    def deny(
        self, instance: str, priority: int, wait_s: float, decider: str
    ) -> None:
        """Records and logs a denied permit."""
        known = self.known.get(instance)
        # Nodes that were denied together must not ask again together.
        wait_s *= self.rng.uniform(1.0, 1.3)
        until = self.clock.monotonic() + wait_s
        self.denials[instance] = Denial(until, priority)
        self.observer.permits.labels("denied").inc()
        self.observer.emit(
            log_events.PermitDenied(
                endpoint=instance,
                per_s=known.per_s if known is not None else None,
                priority=priority,
                decided_by=decider,
                wait_s=round(wait_s, 3),
            )
        )

    def question(
        self, instance: str, priority: int, is_request: bool
    ) -> permits.PermitQuestion:
        """Creates a question, with the calls that are not reported yet."""
        known = self.known.get(instance)
        return permits.PermitQuestion(
            endpoint=instance,
            per_s=known.per_s if known is not None else 0.0,
            priority=priority,
            calls=self.unreported.pop(instance, 0.0),
            is_request=is_request,
        )

    async def ask(
        self, decider: str, question: permits.PermitQuestion
    ) -> permits.PermitReply | None:
        """Asks the deciding node; returns None if it did not reply."""
        if self.group is None:
            return None
        reply = await self.group.members.ask(
            decider, permits.TOPIC, permits.encode(question), ASK_TIMEOUT_S
        )
        return permits.decode_reply(reply.ok) if reply.is_ok() else None

    def note_call_without_permit(self, instance: str) -> None:
        """Deducts a call that was made without a permit."""
        if self.decides_here(instance):
            self.bucket(instance).charge(1.0, self.clock.monotonic())
            return
        is_first = instance not in self.unreported
        self.unreported[instance] = self.unreported.get(instance, 0.0) + 1.0
        if is_first:
            self.work.run(self.report_calls(instance))

    async def report_calls(self, instance: str) -> None:
        """Reports calls without a permit to the deciding node."""
        await asyncio.sleep(CHARGE_DELAY_S)
        decider = self.decider(instance)
        if decider is not None and self.unreported.get(instance):
            await self.ask(decider, self.question(instance, 0, False))

    # Permits of all nodes.

    def decider(self, instance: str) -> str | None:
        """Returns the node that decides on an endpoint; None if unknown."""
        if self.group is None:
            return None
        now = self.clock.monotonic()
        cached = self.deciders.get(instance)
        if cached is not None and cached[1] > now:
            return cached[0]
        nodes = [peer.name for peer in self.group.serving()]
        if not self.is_leaving() or not nodes:
            nodes.append(self.group.name)
        chosen = rate_permits.deciding_node(instance, nodes)
        self.deciders[instance] = (chosen, now + DECIDER_TTL_S)
        return chosen

    def granted_per_s(self, per_s: float) -> float:
        """Returns the part of a limit that this node may grant.

        If the group is partitioned, each part has a deciding node.
        """
        if self.group is None:
            return 0.0
        heard = 1 + len(self.group.serving())
        return per_s * heard / max(heard, self.known_nodes())

    def bucket(self, instance: str) -> rate_permits.PermitBucket:
        """Returns an endpoint's bucket at the rate of now; creates it."""
        now = self.clock.monotonic()
        known = self.known.get(instance)
        per_s = self.granted_per_s(known.per_s if known is not None else 0.0)
        found = self.buckets.get(instance)
        if found is None:
            found = rate_permits.PermitBucket(per_s, now)
            self.buckets[instance] = found
        else:
            found.set_rate(per_s, now)
        return found

    async def reply_to_peer(self, sender: str, body: bytes) -> bytes:
        """Replies to a peer's question."""
        question = permits.decode_question(body)
        if question is None or not self.decides_here(question.endpoint):
            return permits.encode(
                permits.PermitReply(False, UNREACHABLE_WAIT_S)
            )
        instance = question.endpoint
        if instance not in self.known:
            if instance not in self.catalogue.engines:
                refusal = permits.PermitReply(False, UNREACHABLE_WAIT_S)
                return permits.encode(refusal)
            self.set_limit(instance, question.per_s, "peer")
        bucket = self.bucket(instance)
        now = self.clock.monotonic()
        if question.calls:
            bucket.charge(question.calls, now)
        if not question.is_request:
            return permits.encode(permits.PermitReply(False))
        decision = bucket.request(sender, question.priority, now)
        return permits.encode(
            permits.PermitReply(decision.is_granted, decision.wait_s)
        )


def create_endpoint_limits(
    clock: clocks.Clock,
    rng: random.Random,
    registry: catalogue.Catalogue,
    relay_observer: observer.RelayObserver,
) -> EndpointLimits:
    """Creates a record without known limits; ``join`` connects it to peers."""
    return EndpointLimits(clock, rng, registry, relay_observer)
