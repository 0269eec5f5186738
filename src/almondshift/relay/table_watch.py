"""Follows a table of the store, through peers if the store is unreachable.

A node that cannot reach the store while others can would act on outdated keys
and send work to engines that are shutting down. Its peers hold the same rows,
so it asks them for newer ones.

The store may return from an older copy, in a new era. All rows are then read
again. Contents that their writers have since replaced are not taken back, and
a node that starts compares its first read with the copies of its peers.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING

import expression

from almondshift import log_events
from almondshift.model import revisions
from almondshift.ports import row_feeds
from almondshift.relay import feed_log
from almondshift.relay import peer_rows
from almondshift.relay import row_merge
from almondshift.relay import row_order

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks
    from almondshift.ports import stores

WAIT_S = 2.5
"""Long-poll time of requests for changes, in seconds; bounds the time until a
lost response is noticed."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.6
"""Range of the pause after a failure, in seconds; randomised so that nodes do
not retry together."""

CONFIRM_AGE_S = 0.5
"""Maximum age of a copy that is given to peers as fresh, in seconds."""

MAX_TOMBSTONES = 512
"""Maximum number of tombstones kept for peers; covers a few hours of engine
replacements."""

LOST_POLL_READ_S = 0.4
"""Time-out of the full read after a poll that got no response, in seconds."""

MAX_DROPPED_READS = 3
"""Number of successive full reads that may be older than the copy. Then the
store went back without a new era, or its eras began again."""

logger = logging.getLogger(__name__)


class TableWatch:
    """Keeps a copy of a table.

    Attributes:
        rows: The copy by key, tombstones included.
        revision: Newest revision that the copy covers; None before the first
            read.
        confirmed_at: Monotonic time at which the store last confirmed the copy.
        outage_ended_at: Monotonic time at which the last store outage ended;
            far in the past before the first one.
        complete_since: Revision after which the copy has all changes, removals
            included. A peer with an older copy needs all rows.
        newest_row_revision: Revision of the newest change in the copy.
        wait_s: Long-poll time of requests for changes.
        changed: Set at each change, and then replaced by a new event.
        outage_since: Monotonic time at which the current store outage began;
            None without an outage.
        on_rows: Called with changed rows, and whether they came from the store
            itself.
        on_full_read: Called with all rows of a full read.
        ask_peers: Requests newer rows from peers; None without peers.
        pause_s: Pause after each successful read, in seconds, so that the
            next one carries several changes.
        order: Orders the contents of rows where revisions don't.
        removed: The last contents of removed rows, the latest last.
        newest_era: The newest known era of the store.
        era_risen: Set while the copy is of an earlier era and no full read has
            begun since that became known.
        log: Logs refused polls and dropped reads.
        dropped_reads: Successive full reads that were older than the copy.
        ask_at_start: Requests rows from peers for the first full read.
    """

    def __init__(
        self,
        feed: row_feeds.RowFeed,
        table: str,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.feed = feed
        self.table = table
        self.clock = clock
        self.rng = rng
        self.rows: dict[str, row_feeds.FeedRow] = {}
        self.revision: revisions.Revision | None = None
        self.confirmed_at = -1e9
        self.outage_ended_at = -1e9
        self.complete_since = revisions.BEGINNING
        self.newest_row_revision = revisions.BEGINNING
        self.wait_s = WAIT_S
        self.changed = asyncio.Event()
        self.confirmation: asyncio.Task[bool] | None = None
        self.outage_since: float | None = None
        self.on_rows: Callable[[list[row_feeds.FeedRow], bool], None] = (
            lambda rows, verified: None
        )
        self.on_full_read: Callable[[tuple[row_feeds.FeedRow, ...]], None] = (
            lambda rows: None
        )
        self.ask_peers: Callable[[str, bytes], Awaitable[list[bytes]]] | None
        self.ask_peers = None
        self.ask_at_start: Callable[[str, bytes], Awaitable[list[bytes]]] | None
        self.ask_at_start = None
        self.order = row_order.UNORDERED
        self.removed: dict[str, bytes] = {}
        self.newest_era = 0
        self.era_risen = asyncio.Event()
        self.dropped_reads = 0
        self.pause_s = 0.0
        self.log = feed_log.create_feed_log(table, clock)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to follow the table."""
        self.task = asyncio.get_running_loop().create_task(self._follow())

    async def close(self) -> None:
        """Stops following the table."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    def held(self) -> revisions.Revision:
        """Returns the copy's revision; the beginning before the first read."""
        return revisions.BEGINNING if self.revision is None else self.revision

    def note_era(self, era: int) -> None:
        """Ends a poll for changes of a former era; rows are read again."""
        if era <= self.newest_era:
            return
        self.newest_era = era
        if self.revision is not None and era > self.revision.era:
            self.era_risen.set()

    def age_s(self) -> float:
        """Returns how long ago the copy was last known to be current."""
        if self.outage_since is None and self.revision is not None:
            # A long poll is pending and would have returned any change; it
            # lasts up to ``WAIT_S``, with a second of margin.
            return min(self.clock.monotonic() - self.confirmed_at, WAIT_S + 1)
        return self.clock.monotonic() - self.confirmed_at

    async def confirm(self, max_age_s: float) -> bool:
        """Returns whether the copy is current; asks the store if necessary."""
        if self.clock.monotonic() - self.confirmed_at <= max_age_s:
            return True
        if self.revision is None or self.outage_since is not None:
            return False
        if self.confirmation is None or self.confirmation.done():
            # Concurrent callers, such as requests with an unknown key and
            # peers, share one request to the store.
            loop = asyncio.get_running_loop()
            self.confirmation = loop.create_task(self._confirm(max_age_s))
        return await asyncio.shield(self.confirmation)

    async def _confirm(self, max_age_s: float) -> bool:
        assert self.revision is not None
        sent_at = self.clock.monotonic()
        result = await self.feed.wait_for_changes(self.table, self.revision, 0)
        if result.is_error():
            return False
        if result.ok is None or not self._apply(result.ok):
            return False
        confirmed_at = sent_at - result.ok.age_s
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return result.ok.age_s <= max_age_s

    async def reply_to_peer(self, body: bytes) -> bytes:
        """Handles a peer's request; waits until there are newer rows."""
        request = peer_rows.decode_request(body)
        after = request.revision(self.held().era)
        self.note_era(request.era or 0)
        if self.revision is None or self.outage_since is not None:
            return self.encode_rows_after(after, request.takes_unchanged)
        if request.is_fresh:
            await self.confirm(CONFIRM_AGE_S)
        until = self.clock.monotonic() + min(request.wait_s, WAIT_S)
        while self.newest_row_revision <= after and self.outage_since is None:
            left_s = until - self.clock.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
        return self.encode_rows_after(after, request.takes_unchanged)

    def encode_rows_after(
        self, revision: revisions.Revision, takes_unchanged: bool = False
    ) -> bytes:
        """Returns the encoded rows that changed after a revision, for a peer.

        Returns all rows if this copy may lack changes after that revision. Else
        the peer would keep for ever rows that were removed before this copy
        began. If the peer supports it, rows that are not newer than its
        revision are then listed by key only. This case is common when nodes
        restart together, as their revisions are slightly older than the first
        one of this copy.
        """
        is_whole = self.revision is not None and revision < self.complete_since
        rows = list(self.rows.values())
        unchanged: frozenset[str] = frozenset()
        if is_whole:
            rows = [row for row in rows if row.value is not None]
        if takes_unchanged and is_whole:
            unchanged = frozenset(r.key for r in rows if r.revision <= revision)
        if takes_unchanged or not is_whole:
            rows = [row for row in rows if row.revision > revision]
        is_outage = self.revision is None or self.outage_since is not None
        age_s = self.clock.monotonic() - self.confirmed_at
        change = row_feeds.TableChange(
            rows=tuple(rows),
            revision=self.held(),
            is_whole=is_whole,
            age_s=peer_rows.NEVER_CONFIRMED_AGE_S
            if is_outage
            else max(0.0, age_s),
            unchanged=unchanged,
        )
        return peer_rows.encode_reply(change)

    async def _follow(self) -> None:
        while True:
            pause_s = self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            try:
                if await self._step():
                    self._note_recovery()
                    pause_s = self.pause_s
                else:
                    self._note_outage()
                    await self._read_from_peers()
            except Exception:
                # An error in a callback must not end the watch: the node would
                # act on outdated rows until it restarts. The next step reads
                # the whole table, since only some rows may have been applied.
                logger.exception("failed to apply rows of %s", self.table)
                self._note_outage()
            await asyncio.sleep(pause_s)

    async def _step(self) -> bool:
        sent_at = self.clock.monotonic()
        if self.revision is None or self.outage_since is not None:
            return await self._read_whole(sent_at)
        result = await self._poll(self.revision)
        if result.is_error():
            return await self._read_after_lost_poll()
        if result.ok is None:
            if self.newest_era <= self.revision.era:
                self.log.history_gone(self.revision)
            return await self._read_whole(self.clock.monotonic())
        if not self._apply(result.ok):
            return await self._read_whole(self.clock.monotonic())
        self.confirmed_at = self.clock.monotonic() - result.ok.age_s
        return True

    async def _poll(
        self, after: revisions.Revision
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        """Waits for changes; ends early if the store has a newer era."""
        loop = asyncio.get_running_loop()
        poll = loop.create_task(
            self.feed.wait_for_changes(self.table, after, self.wait_s)
        )
        risen = loop.create_task(self.era_risen.wait())
        try:
            await asyncio.wait(
                {poll, risen}, return_when=asyncio.FIRST_COMPLETED
            )
            return poll.result() if poll.done() else expression.Ok(None)
        finally:
            poll.cancel()
            risen.cancel()

    async def _read_after_lost_poll(self) -> bool:
        """Reads the whole table, as the store may have lost only the poll.

        It cuts polls when it drops its history, and doesn't answer them shortly
        before. If readers took that for an outage, they would send all nodes of
        their group to the store.
        """
        try:
            async with asyncio.timeout(LOST_POLL_READ_S):
                return await self._read_whole(self.clock.monotonic())
        except TimeoutError:
            return False

    async def _read_whole(self, sent_at: float) -> bool:
        """Reads the whole table, as changes may be missing after a gap."""
        self.era_risen.clear()
        result = await self.feed.read_whole(self.table)
        if result.is_error():
            return False
        change = result.ok
        if self._is_outdated(change.revision):
            self.log.read_dropped(self.held(), change.revision)
            return False
        if self.revision is None:
            change = await self._compare_with_peers(change)
        self.confirmed_at = sent_at - change.age_s
        self._note_recovery()
        self._apply_whole(change)
        return True

    def _is_outdated(self, found: revisions.Revision) -> bool:
        """Returns whether a full read must be dropped, as it is too old."""
        if self.revision is None or found >= self.revision:
            return False
        self.dropped_reads += 1
        return self.dropped_reads <= MAX_DROPPED_READS

    async def _compare_with_peers(
        self, change: row_feeds.TableChange
    ) -> row_feeds.TableChange:
        """Returns the first full read, with contents that peers know better."""
        if self.ask_at_start is None:
            return change
        request = peer_rows.RowRequest(after=-1, era=change.revision.era)
        body = peer_rows.encode_request(request)
        for reply in self._decode_replies(
            await self.ask_at_start(self.table, body)
        ):
            change = row_merge.with_peers_copy(change, reply, self.order)
        return change

    def _apply(self, change: row_feeds.TableChange) -> bool:
        """Applies changes or a full read; returns whether it could."""
        if change.is_whole and not change.unchanged:
            if change.revision < self.held():
                return False
            self._apply_whole(change)
            return True
        if change.revision.era != self.held().era:
            # The answer of a former era to a request that was overtaken.
            return False
        if change.is_whole:
            self._apply_with_unchanged(change)
        else:
            self._apply_changes(change)
        return True

    def _apply_with_unchanged(self, change: row_feeds.TableChange) -> None:
        """Applies changes that come with the keys of all unchanged rows."""
        rows = (*self._removals_in(change), *change.rows)
        self._apply_changes(dataclasses.replace(change, rows=rows))
        self.complete_since = max(self.complete_since, change.revision)

    def _removals_in(
        self, change: row_feeds.TableChange
    ) -> list[row_feeds.FeedRow]:
        """Returns tombstones of known rows that are missing in a full read."""
        present = change.unchanged.union(row.key for row in change.rows)
        return [
            row_feeds.FeedRow(key, None, change.revision)
            for key, row in self.rows.items()
            if key not in present and row.value is not None
        ]

    def _apply_whole(self, change: row_feeds.TableChange) -> None:
        """Applies a full read; rows that are missing in it were removed."""
        if self.revision is not None and (
            change.revision.era != self.revision.era
            or change.revision < self.revision
        ):
            change = self._start_over(self.revision, change)
        else:
            self._keep_contents(self._removals_in(change))
        self._keep_contents(list(change.rows))
        for row in (*self._removals_in(change), *change.rows):
            self.rows[row.key] = row
        self.revision = change.revision
        self.complete_since = change.revision
        self.dropped_reads = 0
        if change.revision.era >= self.newest_era:
            self.newest_era = change.revision.era
            self.era_risen.clear()
        self._note_changed(change.revision)
        self.on_full_read(change.rows)

    def _start_over(
        self, held: revisions.Revision, change: row_feeds.TableChange
    ) -> row_feeds.TableChange:
        """Prepares the copy for the rows of another era.

        Rows that are missing may be written again soon, as after an outage.

        Returns:
            The full read, with the contents that are kept.
        """
        merged = row_merge.with_own_copy(
            change, self.rows, self.removed, self.order
        )
        log_events.emit(
            logger,
            log_events.StoreFollowed(
                self.table,
                *held,
                *change.revision,
                len(self._removals_in(merged)),
            ),
        )
        # Tombstones of the former era would outrank rows in this one if the
        # store went back without a new era.
        self.rows = {k: r for k, r in self.rows.items() if r.value is not None}
        self.newest_row_revision = revisions.BEGINNING
        self.outage_ended_at = self.clock.monotonic()
        return merged

    def _note_changed(self, revision: revisions.Revision) -> None:
        """Wakes peers' requests that wait for a change."""
        self.newest_row_revision = max(self.newest_row_revision, revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply_changes(self, change: row_feeds.TableChange) -> None:
        newer = [
            self._without_regression(row)
            for row in change.rows
            if self._is_newer(row)
        ]
        self._keep_contents(newer)
        for row in newer:
            self.rows[row.key] = row
        self.revision = max(self.held(), change.revision)
        self.dropped_reads = 0
        self._drop_tombstones()
        if newer:
            self._note_changed(max(row.revision for row in newer))
            self.on_rows(newer, True)

    def _is_newer(self, row: row_feeds.FeedRow) -> bool:
        known = self.rows.get(row.key)
        return known is None or known.revision < row.revision

    def _without_regression(self, row: row_feeds.FeedRow) -> row_feeds.FeedRow:
        """Returns a newer row, with the known content if that is to stay."""
        known = self.rows.get(row.key)
        if (
            known is not None
            and self.order.is_lasting
            and self.order.is_earlier(row.value, known.value)
        ):
            return dataclasses.replace(row, value=known.value)
        return row

    def _keep_contents(self, rows: list[row_feeds.FeedRow]) -> None:
        """Keeps the contents of rows that are now removed."""
        for row in rows:
            known = self.rows.get(row.key)
            if row.value is not None:
                self.removed.pop(row.key, None)
            elif known is not None and known.value is not None:
                self.removed[row.key] = known.value
        while len(self.removed) > MAX_TOMBSTONES:
            del self.removed[next(iter(self.removed))]

    def _drop_tombstones(self) -> None:
        tombstones = [r for r in self.rows.values() if r.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda row: row.revision)
        for row in tombstones[: len(tombstones) - MAX_TOMBSTONES]:
            del self.rows[row.key]
            self.complete_since = max(self.complete_since, row.revision)

    async def _read_from_peers(self) -> None:
        if self.ask_peers is None:
            return
        held = self.held()
        request = peer_rows.RowRequest(held.number, era=held.era)
        body = peer_rows.encode_request(request)
        replies = await self.ask_peers(self.table, body)
        for change in self._decode_replies(replies):
            self._apply_peer_rows(change.rows)

    def _decode_replies(
        self, replies: list[bytes]
    ) -> list[row_feeds.TableChange]:
        """Returns the well-formed replies of peers; logs the others."""
        decoded = []
        for reply in replies:
            try:
                decoded.append(peer_rows.decode_reply(reply, self.held().era))
            except ValueError as error:
                log_events.emit(
                    logger,
                    log_events.PeerRowsUnreadable(self.table, str(error)),
                )
        return decoded

    def _apply_peer_rows(self, rows: tuple[row_feeds.FeedRow, ...]) -> None:
        newer = []
        for row in rows:
            known = self.rows.get(row.key)
            merged = row_merge.merged_row(
                known, row, self.removed.get(row.key), self.order
            )
            if merged is not known and merged is not None:
                newer.append(merged)
        self._keep_contents(newer)
        for row in newer:
            self.rows[row.key] = row
        # The copy's revision stays: only responses of the store show that
        # no earlier change is missing. Older rows are rejected by their own
        # revisions.
        if newer:
            self.on_rows(newer, False)

    def _note_outage(self) -> None:
        if self.outage_since is not None:
            return
        self.outage_since = self.clock.monotonic()
        self._note_changed(revisions.BEGINNING)
        log_events.emit(
            logger,
            log_events.StoreOutageBegan(
                f"follow {self.table}", "store_unavailable", ""
            ),
        )

    def _note_recovery(self) -> None:
        if self.outage_since is None:
            return
        now = self.clock.monotonic()
        seconds = now - self.outage_since
        self.outage_since = None
        self.outage_ended_at = now
        log_events.emit(logger, log_events.StoreOutageEnded(round(seconds, 3)))


def create_table_watch(
    feed: row_feeds.RowFeed,
    table: str,
    clock: clocks.Clock,
    rng: random.Random,
) -> TableWatch:
    """Creates a watch; ``start`` begins following the table."""
    return TableWatch(feed, table, clock, rng)
