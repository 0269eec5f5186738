"""Refuses, on all nodes, prompts with a part that crashes endpoints.

Each node sees the crashes of its own requests only, so nodes tell each other
which parts were in flight, which ones they refuse and which ones were answered.
"""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

import msgspec

from almondshift import log_events
from almondshift.policy import part_strikes
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.model import routed_requests
    from almondshift.policy import crash_strikes
    from almondshift.ports import clocks
    from almondshift.relay import group as relay_group

STRUCK = "part-strikes"
REFUSED = "refused-parts"
ANSWERED = "answered-parts"
"""Topics of facts, the first part of keys of the form topic//node/name. Nodes
of earlier releases take the empty second part for an endpoint's instance."""

SEPARATOR = "/"
"""Separates the part, the prompt and, if the part is beside a proven one,
``BESIDE_PROVEN`` in an item of a ``STRUCK`` fact."""

BESIDE_PROVEN = "p"

ITEMS_PER_FACT = 40
"""Maximum number of items in one fact. Each has up to 27 characters, and a
fact is limited to 1,500 bytes."""

MAX_FACTS = 4
"""Maximum number of ``STRUCK`` facts about one crash."""

FRESH_PROOF_S = 3.0
"""Maximum age of the proof of a part that is not reported, in seconds; it is
answered all the time."""

SHARED_PROOF_S = 60.0
"""Maximum age of a proof that is told to peers, in seconds."""

PROOF_INTERVAL_S = 1.0
"""Minimum time between two facts that prove a part, in seconds."""

PUBLISH_DELAY_S = 1.0
SPREAD_S_PER_NODE = 0.02
"""Time for which a node leaves it to its peers to tell of a refusal, in
seconds: a fixed part and the maximum of a random one, per node of the group."""

LEARN_TOPIC = "refused-parts"
"""Topic of a new node's question for the parts that peers refuse."""

MAX_LEARNED = 100
"""Maximum number of parts in the reply to it."""

ITEMS_DECODER = msgspec.json.Decoder(list[str])
AGES_DECODER = msgspec.json.Decoder(dict[str, float])

logger = logging.getLogger(__name__)


class PartWatch:
    """Counts strikes against parts of prompts, and exchanges them with peers.

    Attributes:
        group: The other nodes; None before this node has joined them.
        proof_told_at: Monotonic time of the latest fact that proves a part,
            this node's or a peer's, by part.
        unpublished: Monotonic time at which peers are told of a refusal that
            this node derived from their reports, unless one tells it first.
        fact_numbers: Numbers of this node's ``STRUCK`` facts.
        on_refused: Called after parts were refused.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.strikes = part_strikes.PartStrikes()
        self.group: relay_group.Group | None = None
        self.proof_told_at: dict[str, float] = {}
        self.unpublished: dict[str, float] = {}
        self.fact_numbers = itertools.count()
        self.on_refused: Callable[[], None] = lambda: None

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to exchange facts about parts with peers."""
        self.group = node_group
        node_group.subscribe_facts(peers.FactKind.QUARANTINE, self.handle_fact)
        node_group.register_handler(LEARN_TOPIC, self.reply_to_peer)
        node_group.treat_as_reports(peers.FactKind.QUARANTINE, STRUCK)

    async def learn(self) -> int:
        """Learns from peers which parts are refused; returns their number."""
        if self.group is None:
            return 0
        learned = set()
        now = self.clock.monotonic()
        for reply in await self.group.ask(LEARN_TOPIC, b"{}"):
            for part, age_s in AGES_DECODER.decode(reply).items():
                learned.add(part)
                self.refuse_for_peer("", part, now - age_s)
        return len(learned)

    async def reply_to_peer(self, sender: str, body: bytes) -> bytes:
        """Replies to a new node with the parts that this node refuses."""
        del sender, body
        now = self.clock.monotonic()
        latest = itertools.islice(
            reversed(self.strikes.refused.items()), MAX_LEARNED
        )
        return msgspec.json.encode({part: now - at for part, at in latest})

    def find_refused(self, routed: routed_requests.RoutedRequest) -> str:
        """Returns a refused part of a request's prompt; "" for none."""
        if not self.strikes.refused:
            return ""
        return self.strikes.find_refused(
            routed.request.shared_parts, self.clock.monotonic()
        )

    def note_answered(self, routed: routed_requests.RoutedRequest) -> None:
        """Records that endpoints answered a request."""
        parts = routed.request.shared_parts
        if not parts:
            return
        now = self.clock.monotonic()
        for part in self.strikes.note_answered(parts, now):
            self.publish_proof(part, now)

    def note_progress(self, routed: routed_requests.RoutedRequest) -> None:
        """Records that an endpoint has been answering a request for a while.

        Long responses would prove their parts only when they are complete.
        """
        now = self.clock.monotonic()
        for part in routed.request.shared_parts:
            if self.strikes.prove(part, now):
                self.publish_proof(part, now)

    def crashed(
        self,
        instance: str,
        prompts: tuple[crash_strikes.UnansweredPrompt, ...],
    ) -> None:
        """Records prompts that an endpoint had not begun to answer."""
        if not prompts:
            return
        now = self.clock.monotonic()
        self.strikes.strike(instance, prompts, now)
        if instance not in self.strikes.explained:
            self.publish_strikes(instance, prompts, now)
        self.review(is_own_crash=True)

    def review(self, is_own_crash: bool = False) -> None:
        """Refuses parts that crash endpoints, and tells peers.

        Args:
            is_own_crash: Whether this node saw the latest crash. Others wait,
                as hundreds of nodes may come to the same result at once.
        """
        now = self.clock.monotonic()
        found = self.strikes.review(now)
        for refused in found:
            log_events.emit(
                logger,
                log_events.PromptPartRefused(
                    part=refused.part,
                    crashes=refused.crashes,
                    prompts=refused.prompts,
                    peer="",
                    expires_s=part_strikes.REFUSED_S,
                ),
            )
            delay_s = 0.0 if is_own_crash else self.publish_delay_s()
            self.unpublished[refused.part] = now + delay_s
        self.publish_refusals(now)
        if found:
            self.on_refused()

    def publish_delay_s(self) -> float:
        """Returns a delay that few nodes of a large group draw at a time."""
        if self.group is None:
            return 0.0
        spread_s = SPREAD_S_PER_NODE * len(self.group.names())
        return PUBLISH_DELAY_S + self.group.members.rng.uniform(0.0, spread_s)

    def publish_refusals(self, now: float) -> None:
        """Tells peers of refusals that are due."""
        for part, due_at in list(self.unpublished.items()):
            if now < due_at:
                continue
            del self.unpublished[part]
            if part in self.strikes.refused:
                self.publish(REFUSED, part, [part], part_strikes.REFUSED_S)

    def publish_strikes(
        self,
        instance: str,
        prompts: Iterable[crash_strikes.UnansweredPrompt],
        now: float,
    ) -> None:
        """Tells peers which parts were in flight at a crash.

        Parts that were answered just now are left out.
        """
        items = [
            self.format_item(part, prompt.prompt)
            for prompt in prompts
            for part in prompt.parts
            if self.strikes.proof_age_s(part, now) > FRESH_PROOF_S
        ]
        for index in range(MAX_FACTS):
            chunk = items[index * ITEMS_PER_FACT :][:ITEMS_PER_FACT]
            if chunk:
                # A later fact about the same crash must not replace this one.
                name = f"{instance}{SEPARATOR}{next(self.fact_numbers)}"
                self.publish(STRUCK, name, chunk, part_strikes.STRIKE_S)

    def format_item(self, part: str, prompt: str) -> str:
        """Formats a part and a prompt for a fact about a crash."""
        item = f"{part}{SEPARATOR}{prompt}"
        if part in self.strikes.beside_proven:
            item += f"{SEPARATOR}{BESIDE_PROVEN}"
        return item

    def publish_proof(self, part: str, now: float) -> None:
        """Tells peers that a part was answered, unless somebody just did."""
        told_at = self.proof_told_at.get(part)
        if told_at is not None and now - told_at < PROOF_INTERVAL_S:
            return
        left_s = SHARED_PROOF_S - self.strikes.proof_age_s(part, now)
        if left_s > 0:
            self.proof_told_at[part] = now
            self.publish(ANSWERED, part, [part], left_s)

    def publish(
        self, topic: str, name: str, items: list[str], ttl_s: float
    ) -> None:
        """Publishes a fact to peers."""
        if self.group is None:
            return
        key = f"{topic}//{self.group.name}/{name}"
        value = msgspec.json.encode(items)
        kind = peers.FactKind.QUARANTINE
        self.group.publish_fact(kind, key, value, ttl_s)

    def handle_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Handles a peer's fact about parts; its age shows by its lifetime."""
        if fact is None or self.group is None:
            return
        if fact.origin == self.group.name:
            return
        topic, _, rest = key.partition("//")
        if topic not in (STRUCK, REFUSED, ANSWERED):
            return
        items = ITEMS_DECODER.decode(fact.value)
        now = self.clock.monotonic()
        if topic == STRUCK:
            instance = rest.split(SEPARATOR)[1]
            self.add_strikes(instance, items, now)
            return
        for part in items:
            if topic == REFUSED:
                age_s = max(0.0, part_strikes.REFUSED_S - fact.ttl_s)
                self.refuse_for_peer(fact.origin, part, now - age_s)
            else:
                age_s = max(0.0, SHARED_PROOF_S - fact.ttl_s)
                self.proof_told_at[part] = now
                self.strikes.prove(part, now - age_s)

    def add_strikes(
        self, instance: str, items: Iterable[str], now: float
    ) -> None:
        """Adds the strikes of a crash that a peer saw."""
        for item in items:
            part, _, rest = item.partition(SEPARATOR)
            prompt, _, beside_proven = rest.partition(SEPARATOR)
            self.strikes.add(part, instance, prompt, bool(beside_proven), now)
            if self.strikes.proof_age_s(part, now) <= SHARED_PROOF_S:
                self.publish_proof(part, now)
        self.review()

    def refuse_for_peer(self, peer: str, part: str, at: float) -> None:
        """Refuses a part that a peer refuses, unless it was answered since."""
        now = self.clock.monotonic()
        self.unpublished.pop(part, None)
        if part in self.strikes.refused or now - at > part_strikes.REFUSED_S:
            return
        proof = self.strikes.proofs.get(part)
        if proof is not None and proof.at >= at:
            self.publish_proof(part, now)
            return
        log_events.emit(
            logger,
            log_events.PromptPartRefused(
                part=part,
                crashes=0,
                prompts=0,
                peer=peer,
                expires_s=part_strikes.REFUSED_S - (now - at),
            ),
        )
        self.strikes.refuse(part, at)
        self.on_refused()

    def tick(self) -> None:
        """Does periodic work."""
        now = self.clock.monotonic()
        self.strikes.forget_old(now)
        for part, told_at in list(self.proof_told_at.items()):
            if now - told_at > PROOF_INTERVAL_S:
                del self.proof_told_at[part]
        self.publish_refusals(now)
        if self.strikes.strikes:
            self.review()


def create_part_watch(clock: clocks.Clock) -> PartWatch:
    """Creates a watch without recorded crashes."""
    return PartWatch(clock)
