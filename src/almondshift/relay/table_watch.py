"""Follows a table of the store, through peers where the store turns away.

A node that the store refuses while it serves the others would act on old
keys and send work to engines that are leaving. Its peers hold the same rows,
so it asks them for what is newer than its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.ports import row_feeds
from almondshift.relay import peer_rows

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks

WAIT_S = 2.5
"""Long-poll time of a question for changes, in seconds; bounds how late a lost
answer is noticed."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.6
"""Range of the pause after a failure, in seconds; randomised so that nodes do
not retry together."""

CONFIRM_AGE_S = 0.5
"""Maximum age, in seconds, of a copy that is given to peers as fresh."""

TOMBSTONES_KEPT = 512
"""Removed rows that peers are told of; some hours of replaced engines."""

logger = logging.getLogger(__name__)


class TableWatch:
    """Keeps a copy of a table.

    Attributes:
        revision: Newest revision that the copy covers; None before the
            first read.
        confirmed_at: When the store last answered; monotonic seconds.
        back_at: When the store came back after it was away.
        complete_since: All changes after this revision are in the copy,
            removals too; who knows less has to read the table whole.
        newest_row: Revision of the newest change in the copy.
        wait_s: How long the store holds a question for changes.
        on_rows: Called with changed rows, and whether they came from the
            store itself.
        on_whole: Called with all rows of a whole read.
        pause_s: Pause after changes, so that more come with one answer.
        ask_peers: Asks peers for newer rows; None without peers.
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
        self.revision: int | None = None
        self.confirmed_at = -1e9
        self.back_at = -1e9
        self.complete_since = 0
        self.newest_row = 0
        self.wait_s = WAIT_S
        self.changed = asyncio.Event()
        self.confirming: asyncio.Task[bool] | None = None
        self.away_since: float | None = None
        self.on_rows: Callable[[list[row_feeds.FeedRow], bool], None] = (
            lambda rows, verified: None
        )
        self.on_whole: Callable[[tuple[row_feeds.FeedRow, ...]], None] = (
            lambda rows: None
        )
        self.ask_peers: Callable[[str, bytes], Awaitable[list[bytes]]] | None
        self.ask_peers = None
        self.pause_s = 0.0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to follow the table."""
        self.task = asyncio.get_running_loop().create_task(self._follow())

    async def close(self) -> None:
        """Stops."""
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    def age_s(self) -> float:
        """Returns how long ago the copy was last known to be current."""
        if self.away_since is None and self.revision is not None:
            # A question for changes is open: an answer would have come.
            return min(self.clock.monotonic() - self.confirmed_at, WAIT_S + 1)
        return self.clock.monotonic() - self.confirmed_at

    async def confirm(self, max_age_s: float) -> bool:
        """Returns whether the copy is current, asking the store if need be."""
        if self.clock.monotonic() - self.confirmed_at <= max_age_s:
            return True
        if self.revision is None or self.away_since is not None:
            return False
        if self.confirming is None or self.confirming.done():
            # Many denials at once, here or at peers, need but one question.
            loop = asyncio.get_running_loop()
            self.confirming = loop.create_task(self._confirm(max_age_s))
        return await asyncio.shield(self.confirming)

    async def _confirm(self, max_age_s: float) -> bool:
        assert self.revision is not None
        sent_at = self.clock.monotonic()
        answer = await self.feed.wait_for_changes(self.table, self.revision, 0)
        if answer.is_error() or answer.ok is None:
            return False
        self._take(answer.ok)
        confirmed_at = sent_at - answer.ok.age_s
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return answer.ok.age_s <= max_age_s

    async def answer_peer(self, body: bytes) -> bytes:
        """Answers a peer's question for rows, once there are some."""
        question = peer_rows.decode_question(body)
        if self.revision is None or self.away_since is not None:
            return self.rows_after(question.after, question.takes_unchanged)
        if question.is_fresh:
            await self.confirm(CONFIRM_AGE_S)
        until = self.clock.monotonic() + min(question.wait_s, WAIT_S)
        while self.newest_row <= question.after and self.away_since is None:
            left_s = until - self.clock.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
        return self.rows_after(question.after, question.takes_unchanged)

    def rows_after(self, revision: int, takes_unchanged: bool = False) -> bytes:
        """Returns the rows that changed after a revision, for a peer.

        All rows, if changes after that revision may be missing here: a peer
        would keep for ever what was removed before this copy began. Nodes that
        restart together ask for revisions just before their reader's first, so
        rows that the peer has are then named by their keys alone.
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
        is_away = self.revision is None or self.away_since is not None
        age_s = self.clock.monotonic() - self.confirmed_at
        change = row_feeds.TableChange(
            rows=tuple(rows),
            revision=self.revision or 0,
            is_whole=is_whole,
            age_s=peer_rows.NEVER_S if is_away else max(0.0, age_s),
            unchanged=unchanged,
        )
        return peer_rows.encode_answer(change)

    async def _follow(self) -> None:
        while True:
            pause_s = self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            try:
                if await self._step():
                    self._note_back()
                    pause_s = self.pause_s
                else:
                    self._note_away()
                    await self._learn_from_peers()
            except Exception:
                # What rows bring about must not end the watch: the node
                # would act on old rows for the rest of its life. The next
                # step reads the table whole, since rows may be half taken.
                logger.exception("rows of %s could not be taken", self.table)
                self._note_away()
            await asyncio.sleep(pause_s)

    async def _step(self) -> bool:
        sent_at = self.clock.monotonic()
        if self.revision is None or self.away_since is not None:
            return await self._read_whole(sent_at)
        answer = await self.feed.wait_for_changes(
            self.table, self.revision, self.wait_s
        )
        if answer.is_error():
            return False
        if answer.ok is None:
            return await self._read_whole(sent_at)
        self.confirmed_at = self.clock.monotonic() - answer.ok.age_s
        self._take(answer.ok)
        return True

    async def _read_whole(self, sent_at: float) -> bool:
        """Reads the table anew: after a gap, changes may be missing."""
        answer = await self.feed.read_whole(self.table)
        if answer.is_error():
            return False
        self.confirmed_at = sent_at - answer.ok.age_s
        self._note_back()
        self._take_whole(answer.ok)
        return True

    def _take(self, change: row_feeds.TableChange) -> None:
        if change.is_whole and change.unchanged:
            self._take_completed(change)
        elif change.is_whole:
            self._take_whole(change)
        else:
            self._take_changes(change)

    def _take_completed(self, change: row_feeds.TableChange) -> None:
        """Takes changes together with the keys of all other rows."""
        rows = (*self._removed_in(change), *change.rows)
        self._take_changes(dataclasses.replace(change, rows=rows))
        self.complete_since = max(self.complete_since, change.revision)

    def _removed_in(
        self, change: row_feeds.TableChange
    ) -> list[row_feeds.FeedRow]:
        """Returns the removal of each known row that is not among all rows."""
        present = change.unchanged.union(row.key for row in change.rows)
        return [
            row_feeds.FeedRow(key, None, change.revision)
            for key, row in self.rows.items()
            if key not in present and row.value is not None
        ]

    def _take_whole(self, change: row_feeds.TableChange) -> None:
        """Takes all rows: what is missing among them was removed."""
        if self.revision is not None and change.revision < self.revision:
            return
        for row in (*self._removed_in(change), *change.rows):
            self.rows[row.key] = row
        self.revision = change.revision
        self.complete_since = change.revision
        self._note_changed(change.revision)
        self.on_whole(change.rows)

    def _note_changed(self, revision: int) -> None:
        """Wakes peers that wait for a change."""
        self.newest_row = max(self.newest_row, revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def _take_changes(self, change: row_feeds.TableChange) -> None:
        fresh = [row for row in change.rows if self._is_news(row)]
        for row in fresh:
            self.rows[row.key] = row
        self.revision = max(self.revision or 0, change.revision)
        self._drop_tombstones()
        if fresh:
            self._note_changed(max(row.revision for row in fresh))
            self.on_rows(fresh, True)

    def _is_news(self, row: row_feeds.FeedRow) -> bool:
        known = self.rows.get(row.key)
        return known is None or known.revision < row.revision

    def _drop_tombstones(self) -> None:
        removed = [r for r in self.rows.values() if r.value is None]
        if len(removed) <= TOMBSTONES_KEPT:
            return
        removed.sort(key=lambda row: row.revision)
        for row in removed[: len(removed) - TOMBSTONES_KEPT]:
            del self.rows[row.key]
            self.complete_since = max(self.complete_since, row.revision)

    async def _learn_from_peers(self) -> None:
        if self.ask_peers is None:
            return
        question = peer_rows.RowQuestion(self.revision or 0)
        body = peer_rows.encode_question(question)
        for answer in await self.ask_peers(self.table, body):
            try:
                rows = peer_rows.decode_answer(answer).rows
            except ValueError as error:
                log_events.emit(
                    logger,
                    log_events.PeerRowsUnreadable(self.table, str(error)),
                )
                continue
            self._take_peer_rows(rows)

    def _take_peer_rows(self, rows: tuple[row_feeds.FeedRow, ...]) -> None:
        fresh = []
        for row in rows:
            if self._is_news(row):
                self.rows[row.key] = row
                fresh.append(row)
        # The revision stays: only the store's own answers prove that
        # nothing before it is missing. The rows' revisions keep old ones out.
        if fresh:
            self.on_rows(fresh, False)

    def _note_away(self) -> None:
        if self.away_since is not None:
            return
        self.away_since = self.clock.monotonic()
        self._note_changed(0)
        log_events.emit(
            logger,
            log_events.StoreOutageBegan(
                f"follow {self.table}", "store_unavailable", ""
            ),
        )

    def _note_back(self) -> None:
        if self.away_since is None:
            return
        now = self.clock.monotonic()
        seconds = now - self.away_since
        self.away_since = None
        self.back_at = now
        log_events.emit(logger, log_events.StoreOutageEnded(round(seconds, 3)))


def create_table_watch(
    feed: row_feeds.RowFeed,
    table: str,
    clock: clocks.Clock,
    rng: random.Random,
) -> TableWatch:
    """Creates a watch; ``start`` begins to follow the table."""
    return TableWatch(feed, table, clock, rng)
