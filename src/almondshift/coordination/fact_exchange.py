"""The messages of an exchange: what one tells, and what is taken of it.

A message carries, within a byte budget, urgent facts first, then nodes,
heartbeats, a rotating part of the digests, and with what is left the bulk
kinds. A heartbeat is a digest: a node's fact keeps its value and only the
low bits of its version grow.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.coordination import drafts
from almondshift.coordination import facts as fact_store
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.coordination import peer_table
    from almondshift.coordination import peer_types
    from almondshift.coordination import shared_facts


GROWN = 1.5
"""A node states anew for how long its fact holds when its group has grown by
so much: heartbeats come less often then, and the fact would end between two."""


class FactExchange:
    """Writes and reads one node's messages.

    Attributes:
        budget: Bounds what this node sends a second.
        beat_at: When this node's next heartbeat is due.
    """

    def __init__(
        self,
        facts: shared_facts.SharedFacts,
        table: peer_table.PeerTable,
        settings: peer_types.MembershipSettings,
        rejoin: Callable[[], None],
    ) -> None:
        self.facts = facts
        self.store = facts.store
        self.table = table
        self.clock = table.clock
        self.settings = settings
        self.rejoin = rejoin
        rate = settings.bytes_per_s
        self.budget = drafts.ByteBudget(rate, 2 * rate, self.clock.monotonic())
        self.beat_at = 0.0

    def opening(self, now: float) -> peer_port.Exchange:
        """Returns the message that begins an exchange."""
        draft = self.new_draft(now)
        self.fill(draft, now, self.settings.rotated_digests)
        return self.finished(draft)

    def reply(
        self, message: peer_port.Exchange, now: float
    ) -> peer_port.Exchange:
        """Takes a peer's side and returns this node's."""
        draft = self.new_draft(now)
        self.take_side(message, now, draft)
        is_new = len(message.digests) < self.settings.rotated_digests
        most = drafts.MAX_DIGESTS if is_new else self.settings.rotated_digests
        self.fill(draft, now, most)
        return self.finished(draft)

    def rest(
        self, reply: peer_port.Exchange, now: float
    ) -> peer_port.Exchange | None:
        """Takes the answer; returns what either still asked for, if any."""
        draft = self.new_draft(now)
        self.take_side(reply, now, draft)
        if draft.facts or draft.wants:
            return self.finished(draft)
        return None

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

    def take_facts(self, message: peer_port.Exchange) -> None:
        """Takes the facts of an answer and nothing else."""
        now = self.clock.monotonic()
        nothing = drafts.Draft(left=0)
        for fact in message.facts:
            self.take_fact(fact, now, nothing)

    def take_fact(
        self, fact: peer_port.Fact, now: float, draft: drafts.Draft
    ) -> None:
        """Takes a fact or notice; drafts what is newer here."""
        if self.facts.take(fact, now):
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
        if (
            digest.kind is peer_port.FactKind.NODE
            and entry is not None
            and self.store.beat(
                digest, now, self.table.holds_s(entry), self.beat_sends()
            )
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
        if is_own and fact.key == self.table.name:
            self.rejoin()

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
        if is_live and is_older and entry.origin == self.table.name:
            self.restate(entry, notice.version, now)
            return
        self.store.end(entry, notice.version, notice.origin, now)
        if is_live:
            self.facts.tell(notice.kind, notice.key, None)

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
        self.facts.take(fact, now)

    def beat(self, now: float) -> None:
        """Raises the version of this node's own fact when it is time."""
        entry = self.store.get(peer_port.FactKind.NODE, self.table.name)
        if entry is None or not entry.value:
            self.rejoin()
            return
        ttl_s = self.table.holds_s(entry)
        if self.table.dropped_after_s() > GROWN * ttl_s:
            self.rejoin()
            return
        if now < self.beat_at:
            return
        self.beat_at = now + self.table.beat_s() - self.settings.interval_s / 2
        digest = dataclasses.replace(
            entry.digest(), version=entry.version + 1, origin=self.table.name
        )
        if not self.store.beat(digest, now, ttl_s, self.beat_sends()):
            self.rejoin()

    def beat_sends(self) -> int:
        """Returns how often each node tells a heartbeat on."""
        return self.facts.sends(peer_port.FactKind.NODE)

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
            sender=self.table.name,
            secret="",
            digests=tuple(draft.digests),
            facts=tuple(draft.facts),
            wants=tuple(draft.wants),
        )
