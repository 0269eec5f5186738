"""Builds and merges the messages of a push-pull exchange.

Within its byte budget, a message carries some notices, reports and heartbeats,
then the other notices, facts about nodes, heartbeats, some of the other digests
in rotation, and in the remaining space refreshed facts, reports and bulk facts.
A heartbeat is a digest: the node's fact keeps its value and only the low bits
of its version increase.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.coordination import drafts
from almondshift.coordination import facts as fact_store
from almondshift.coordination import send_queue
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.coordination import peer_table
    from almondshift.coordination import peer_types
    from almondshift.coordination import shared_facts
    from almondshift.ports import exchange_observers


REPUBLISH_GROWTH_FACTOR = 1.5
"""A node republishes its fact, with a longer time to live, when the group has
grown by this factor: heartbeats are then less frequent, and the fact would
expire between two of them."""


SHARE_DIVISOR = 4
"""Heartbeats and reports each get at least one part in this many of a
message."""


class FactExchange:
    """Builds and merges one node's messages.

    Attributes:
        observer: Is told what this node sends and leaves out.
        budget: Limits what this node sends per second.
        next_heartbeat_at: Monotonic time of this node's next heartbeat.
    """

    def __init__(
        self,
        facts: shared_facts.SharedFacts,
        table: peer_table.PeerTable,
        settings: peer_types.MembershipSettings,
        rejoin: Callable[[], None],
        observer: exchange_observers.ExchangeObserver,
    ) -> None:
        self.facts = facts
        self.store = facts.store
        self.table = table
        self.clock = table.clock
        self.settings = settings
        self.rejoin = rejoin
        self.observer = observer
        rate = settings.bytes_per_s
        self.budget = drafts.ByteBudget(rate, 2 * rate, self.clock.monotonic())
        self.next_heartbeat_at = 0.0

    def create_request(self, now: float) -> peer_port.Exchange:
        """Returns the first message of an exchange."""
        draft = self.new_draft(now)
        self.fill(draft, now, self.settings.rotated_digests)
        return self.finish_message(draft)

    def create_reply(
        self, message: peer_port.Exchange, now: float
    ) -> peer_port.Exchange:
        """Merges a peer's message and returns this node's reply."""
        draft = self.new_draft(now)
        self.merge_message(message, now, draft)
        is_sender_new = len(message.digests) < self.settings.rotated_digests
        max_digests = (
            drafts.MAX_DIGESTS
            if is_sender_new
            else self.settings.rotated_digests
        )
        self.fill(draft, now, max_digests)
        return self.finish_message(draft)

    def create_follow_up(
        self, reply: peer_port.Exchange, now: float
    ) -> peer_port.Exchange | None:
        """Merges the reply; returns what either side still lacks, if any."""
        draft = self.new_draft(now)
        self.merge_message(reply, now, draft)
        if draft.facts or draft.wants:
            return self.finish_message(draft)
        return None

    def merge_message(
        self, message: peer_port.Exchange, now: float, draft: drafts.Draft
    ) -> None:
        """Merges a message; adds to the draft what the sender lacks."""
        for fact in message.facts:
            self.merge_fact(fact, now, draft)
        for want in message.wants:
            self.add_held_fact((want.kind, want.key), draft, now)
        for digest in message.digests:
            self.merge_digest(digest, now, draft)

    def merge_facts(self, message: peer_port.Exchange) -> None:
        """Merges only the facts of a reply."""
        now = self.clock.monotonic()
        unsent_draft = drafts.Draft(remaining=0)
        for fact in message.facts:
            self.merge_fact(fact, now, unsent_draft)

    def merge_fact(
        self, fact: peer_port.Fact, now: float, draft: drafts.Draft
    ) -> None:
        """Merges a fact or an expiry notice; adds a newer fact to the draft."""
        if self.facts.merge(fact, now):
            draft.included.add((fact.kind, fact.key))
            self.reassert_own_fact(fact)
            return
        if fact.ttl_s <= 0:
            self.merge_expiry_notice(fact, now)
            return
        entry = self.store.get(fact.kind, fact.key)
        if entry is None:
            return
        if entry.order == (fact.version, fact.origin):
            self.observer.fact_repeated(fact.kind)
            # The sender has it, so that it needs not be sent back.
            draft.included.add((fact.kind, fact.key))
        if drafts.supersedes(entry, drafts.digest_of(fact), now):
            self.add_newer(entry, drafts.digest_of(fact), draft, now)

    def merge_digest(
        self, digest: peer_port.FactDigest, now: float, draft: drafts.Draft
    ) -> None:
        """Merges a digest; adds a newer version or a request to the draft."""
        identity = (digest.kind, digest.key)
        entry = self.store.entries.get(identity)
        if entry is not None and drafts.supersedes(entry, digest, now):
            self.add_newer(entry, digest, draft, now)
            return
        if (
            digest.kind is peer_port.FactKind.NODE
            and entry is not None
            and self.store.apply_heartbeat(
                digest,
                now,
                self.table.heartbeat_ttl_s(entry),
                self.heartbeat_sends(),
            )
        ):
            return
        if self.store.is_missing(digest):
            draft.add_want(digest)

    def add_newer(
        self,
        entry: fact_store.Entry,
        digest: peer_port.FactDigest,
        draft: drafts.Draft,
        now: float,
    ) -> None:
        """Adds to the draft a fact of which the sender has an older version.

        If the fact has expired, an expiry notice is sent instead: the fact
        without value and with no time to live. It tells a sender whose wall
        clock is behind why its fact is rejected: others hold a tombstone of a
        newer version, from before its restart or from another node. It also
        tells a sender whose clock stood still which facts have expired.
        """
        if now >= entry.expires_at:
            notice = dataclasses.replace(entry.fact(now), ttl_s=0.0, value=b"")
            draft.add_fact(notice)
            return
        is_heartbeat = (
            entry.kind is peer_port.FactKind.NODE
            and fact_store.generation(entry.version)
            == fact_store.generation(digest.version)
        )
        if is_heartbeat and entry.value:
            draft.add_digest(entry.digest())
            return
        self.add_held_fact((entry.kind, entry.key), draft, now)

    def add_held_fact(
        self, identity: send_queue.FactId, draft: drafts.Draft, now: float
    ) -> bool:
        """Adds a held fact to the draft; returns False if there is no room."""
        entry = self.store.entries.get(identity)
        if entry is None or now >= entry.expires_at:
            return True
        return draft.add_fact(entry.fact(now))

    def reassert_own_fact(self, fact: peer_port.Fact) -> None:
        """Republishes this node's own fact if a newer version replaced it.

        This happens after a restart with a wall clock that went back, and to
        a node that others withdrew while it was frozen.
        """
        is_own = fact.kind is peer_port.FactKind.NODE
        if is_own and fact.key == self.table.name:
            self.rejoin()

    def merge_expiry_notice(self, notice: peer_port.Fact, now: float) -> None:
        """Merges a notice that this or a newer version of a fact has expired.

        A fact of this node is republished with a newer version; any other
        is expired, so that all nodes agree until its origin republishes it.
        """
        entry = self.store.get(notice.kind, notice.key)
        if entry is None or entry.order > (notice.version, notice.origin):
            return
        is_live = bool(entry.value) and now < entry.expires_at
        is_older = entry.order < (notice.version, notice.origin)
        if is_live and is_older and entry.origin == self.table.name:
            self.republish(entry, notice.version, now)
            return
        self.store.expire_entry(entry, notice.version, notice.origin, now)
        if is_live:
            self.facts.notify_subscribers(notice.kind, notice.key, None)

    def republish(
        self, entry: fact_store.Entry, version: int, now: float
    ) -> None:
        """Republishes an own fact.

        Its version is above the given one, which is from before a restart.
        """
        generation_number = fact_store.generation(version) + 1
        if generation_number > fact_store.MAX_GENERATION:
            return
        fact = dataclasses.replace(
            entry.fact(now),
            version=fact_store.first_version_of(generation_number),
        )
        self.facts.merge(fact, now)

    def update_heartbeat(self, now: float) -> None:
        """Increments the version of this node's fact if that is due."""
        entry = self.store.get(peer_port.FactKind.NODE, self.table.name)
        if entry is None or not entry.value:
            self.rejoin()
            return
        ttl_s = self.table.heartbeat_ttl_s(entry)
        if self.table.dropped_after_s() > REPUBLISH_GROWTH_FACTOR * ttl_s:
            self.rejoin()
            return
        if now < self.next_heartbeat_at:
            return
        self.next_heartbeat_at = (
            now
            + self.table.heartbeat_interval_s()
            - self.settings.interval_s / 2
        )
        digest = dataclasses.replace(
            entry.digest(), version=entry.version + 1, origin=self.table.name
        )
        if not self.store.apply_heartbeat(
            digest, now, ttl_s, self.heartbeat_sends()
        ):
            self.rejoin()

    def heartbeat_sends(self) -> int:
        """Returns how many times each node forwards a heartbeat."""
        return self.facts.send_limit(peer_port.FactKind.NODE)

    def new_draft(self, now: float) -> drafts.Draft:
        """Returns an empty draft with the byte limit that applies now."""
        max_bytes = self.settings.message_bytes - drafts.MESSAGE_OVERHEAD_BYTES
        return drafts.Draft(self.budget.allowance(max_bytes, now))

    def fill(self, draft: drafts.Draft, now: float, max_digests: int) -> None:
        """Fills a draft by priority.

        Heartbeats and reports have a share in any case. Otherwise nodes that
        are busy with notices would be suspected, and reports would wait for as
        long as nodes start or fail.
        """
        share = draft.remaining // SHARE_DIVISOR
        self.fill_facts(send_queue.Priority.NOTICE, draft, now, 2 * share)
        self.fill_facts(send_queue.Priority.REPORT, draft, now, share)
        self.fill_heartbeats(draft, share)
        self.fill_facts(send_queue.Priority.NOTICE, draft, now)
        self.fill_facts(send_queue.Priority.NODE, draft, now)
        self.fill_heartbeats(draft, draft.remaining)
        self.fill_digests(draft, now, max_digests)
        self.fill_facts(send_queue.Priority.REFRESH, draft, now)
        self.fill_facts(send_queue.Priority.REPORT, draft, now)
        self.fill_facts(send_queue.Priority.BULK, draft, now)

    def fill_facts(
        self,
        priority: send_queue.Priority,
        draft: drafts.Draft,
        now: float,
        max_bytes: int | None = None,
    ) -> None:
        """Adds the pending facts of a priority to the draft.

        Args:
            priority: Which facts.
            draft: The message.
            now: Monotonic time in seconds.
            max_bytes: Size from which no further fact is added; None for the
                room that is left.
        """
        end = 0 if max_bytes is None else draft.remaining - max_bytes
        for identity in self.store.pending_facts.queues[priority]:
            if draft.remaining <= end:
                return
            if not self.add_held_fact(identity, draft, now):
                draft.is_limited = True
                return

    def fill_heartbeats(self, draft: drafts.Draft, max_bytes: int) -> None:
        """Adds pending heartbeats to the draft, up to a size in all."""
        end = draft.remaining - max_bytes
        for identity in self.store.pending_heartbeats:
            digest = self.store.entries[identity].digest()
            if draft.remaining <= end or not draft.add_digest(digest):
                return

    def fill_digests(
        self, draft: drafts.Draft, now: float, max_digests: int
    ) -> None:
        """Adds digests in rotation, in a third of the remaining space.

        Digests only repair what forwarding missed, so a few suffice. A node
        that sent few digests itself has probably just started, and gets many,
        so that it can request the facts.
        """
        end = draft.remaining * 2 // 3
        for entry in self.store.next_in_rotation(max_digests, now):
            if draft.remaining <= end or not draft.add_digest(entry.digest()):
                return

    def finish_message(self, draft: drafts.Draft) -> peer_port.Exchange:
        """Returns the message and counts its facts and digests as sent."""
        self.budget.spend(drafts.MESSAGE_OVERHEAD_BYTES + draft.used)
        sent = [(f.kind, f.key) for f in draft.facts]
        sent += [(d.kind, d.key) for d in draft.digests]
        self.store.record_sends(sent)
        self.observe_sends(draft)
        return peer_port.Exchange(
            sender=self.table.name,
            secret="",
            digests=tuple(draft.digests),
            facts=tuple(draft.facts),
            wants=tuple(draft.wants),
        )

    def observe_sends(self, draft: drafts.Draft) -> None:
        """Reports the facts of a message, and whether any were left out."""
        now = self.clock.monotonic()
        for fact in draft.facts:
            entry = self.store.get(fact.kind, fact.key)
            if entry is None:
                continue
            waited_s = None if entry.is_sent else now - entry.accepted_at
            entry.is_sent = True
            self.observer.fact_sent(fact.kind, waited_s)
        if draft.is_limited:
            self.observer.message_limited()
