from __future__ import annotations

import asyncio
import random

import expression
import pytest

from almondshift import errors
from almondshift import log_events
from almondshift.model import revisions
from almondshift.ports import row_feeds
from almondshift.ports import stores
from almondshift.relay import peer_rows
from almondshift.relay import row_merge
from almondshift.relay import row_order
from almondshift.relay import table_watch
from tests import asynchronous
from tests.coordination import network

Row = row_feeds.FeedRow

CALL_TIMEOUT_S = 1.0
"""Time-out of other calls of the store, in seconds."""


class FakeFeed(row_feeds.RowFeed):
    """A store whose responses tests set.

    Attributes:
        whole: Rows of a full read.
        revision: Revision of a full read.
        changes: Responses to requests for changes, in order.
        is_away: Whether all calls fail.
        loses_poll: Whether the open or next request for changes fails.
        is_silent: Whether full reads get no response.
        whole_reads: Number of full reads.
    """

    def __init__(self) -> None:
        self.whole: list[Row] = []
        self.revision = 1
        self.changes: list[row_feeds.TableChange | None] = []
        self.is_away = False
        self.loses_poll = False
        self.is_silent = False
        self.whole_reads = 0
        self.wake = asyncio.Event()

    async def read_whole(
        self, table: str
    ) -> expression.Result[row_feeds.TableChange, stores.StoreError]:
        if self.is_away:
            return expression.Error(errors.StoreUnavailable("away"))
        if self.is_silent:
            await asyncio.sleep(60)
        self.whole_reads += 1
        change = row_feeds.TableChange(
            tuple(self.whole), revisions.Revision(0, self.revision)
        )
        return expression.Ok(change)

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        while not (self.changes or self.is_away or self.loses_poll):
            await asyncio.sleep(0.005)
        if self.loses_poll:
            self.loses_poll = False
            return expression.Error(errors.StoreUnavailable("poll cut"))
        if self.is_away:
            return expression.Error(errors.StoreUnavailable("away"))
        return expression.Ok(self.changes.pop(0))


class Recorder:
    def __init__(self, feed: FakeFeed) -> None:
        self.rows: dict[str, bytes | None] = {}
        self.clock = network.ManualClock()
        self.watch = table_watch.create_table_watch(
            feed, "t", self.clock, random.Random(1)
        )
        self.watch.on_rows = lambda rows, verified: self.take(rows)
        self.watch.on_full_read = self.take_whole

    def take(self, rows: list[Row]) -> None:
        self.rows.update({row.key: row.value for row in rows})

    def take_whole(self, rows: tuple[Row, ...]) -> None:
        self.rows = {row.key: row.value for row in rows}


@asynchronous.run
async def test_a_dropped_history_causes_a_full_read() -> None:
    """Otherwise a node would act on rows that were removed in the gap.

    The store dropped its history, so it cannot serve the next request for
    changes. The node reads the whole table, which lacks the removed row.
    """
    feed = FakeFeed()
    feed.whole = [
        Row("a", b"1", revisions.Revision(0, 1)),
        Row("b", b"1", revisions.Revision(0, 1)),
    ]
    seen = Recorder(feed)
    await seen.watch.start()
    await asynchronous.wait_until(lambda: len(seen.rows) == 2)
    feed.whole, feed.revision = [Row("b", b"2", revisions.Revision(0, 7))], 7
    feed.changes.append(None)
    await asynchronous.wait_until(lambda: seen.rows == {"b": b"2"})
    assert seen.watch.rows["a"].value is None
    await seen.watch.close()


@asynchronous.run
async def test_a_lost_poll_is_no_store_outage() -> None:
    """Guards against readers that send a whole group of nodes to the store.

    The store cuts the poll, or doesn't answer it, and answers reads.
    """
    feed = FakeFeed()
    seen = Recorder(feed)
    await seen.watch.start()
    await asynchronous.wait_until(lambda: feed.whole_reads == 1)
    feed.whole = [Row("a", b"1", revisions.Revision(0, 2))]
    feed.revision = 2
    feed.loses_poll = True
    await asynchronous.wait_until(lambda: seen.rows == {"a": b"1"})
    assert feed.whole_reads == 2
    assert seen.watch.outage_since is None
    assert seen.watch.outage_ended_at < 0.0
    await seen.watch.close()


@asynchronous.run
async def test_a_silent_store_after_a_lost_poll_is_an_outage() -> None:
    """Guards against a late outage: peers are asked for rows only then."""
    feed = FakeFeed()
    seen = Recorder(feed)
    await seen.watch.start()
    await asynchronous.wait_until(lambda: feed.whole_reads == 1)
    loop = asyncio.get_running_loop()
    feed.is_silent = feed.loses_poll = True
    lost_at = loop.time()
    await asynchronous.wait_until(lambda: seen.watch.outage_since is not None)
    assert loop.time() - lost_at < CALL_TIMEOUT_S
    await seen.watch.close()


@asynchronous.run
async def test_rows_come_from_peers_during_a_store_outage() -> None:
    feed = FakeFeed()
    feed.whole = [Row("a", b"1", revisions.Revision(0, 1))]
    seen, other = Recorder(feed), Recorder(FakeFeed())
    other.watch.revision = revisions.Revision(0, 9)
    other.watch.rows = {
        "a": Row("a", b"2", revisions.Revision(0, 9)),
        "c": Row("c", None, revisions.Revision(0, 8)),
    }

    async def ask(topic: str, body: bytes) -> list[bytes]:
        spoilt = b'{"revision":9,"rows":[{"key":"a","value":"x","revision":9}]}'
        return [b"not json", spoilt, await other.watch.reply_to_peer(body)]

    seen.watch.ask_peers = ask
    await seen.watch.start()
    await asynchronous.wait_until(lambda: seen.rows == {"a": b"1"})
    feed.is_away = True
    await asynchronous.wait_until(lambda: seen.rows.get("a") == b"2")
    assert seen.watch.revision == revisions.Revision(0, 1)
    feed.is_away = False
    feed.revision = 4
    await asynchronous.wait_until(lambda: feed.whole_reads == 2)
    await seen.watch.close()


@asynchronous.run
async def test_an_error_in_a_callback_does_not_end_the_watch() -> None:
    feed = FakeFeed()
    seen = Recorder(feed)
    taken: list[str] = []

    def fail_first(rows: list[Row], verified: bool) -> None:
        taken.extend(row.key for row in rows)
        if len(taken) == 1:
            raise RuntimeError("bad row")

    seen.watch.on_rows = fail_first
    await seen.watch.start()
    feed.changes.append(
        row_feeds.TableChange(
            (Row("a", b"1", revisions.Revision(0, 2)),),
            revisions.Revision(0, 2),
        )
    )
    await asynchronous.wait_until(lambda: taken == ["a"])
    await asynchronous.wait_until(lambda: feed.whole_reads == 2)
    feed.changes.append(
        row_feeds.TableChange(
            (Row("b", b"1", revisions.Revision(0, 3)),),
            revisions.Revision(0, 3),
        )
    )
    await asynchronous.wait_until(lambda: taken == ["a", "b"])
    await seen.watch.close()


@asynchronous.run
async def test_old_rows_never_replace_newer_ones() -> None:
    feed = FakeFeed()
    seen = Recorder(feed)
    await seen.watch.start()
    feed.changes = [
        row_feeds.TableChange(
            (Row("a", b"2", revisions.Revision(0, 5)),),
            revisions.Revision(0, 5),
        ),
        row_feeds.TableChange(
            (
                Row("a", b"1", revisions.Revision(0, 3)),
                Row("b", b"1", revisions.Revision(0, 6)),
            ),
            revisions.Revision(0, 6),
        ),
    ]
    await asynchronous.wait_until(lambda: "b" in seen.rows)
    assert seen.rows["a"] == b"2"
    await seen.watch.close()


@asynchronous.run
async def test_a_dropped_read_is_logged_without_a_line_for_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the log would not show why a node doesn't follow the store."""
    events: list[log_events.Event] = []
    monkeypatch.setattr(
        log_events, "emit", lambda logger, event: events.append(event)
    )
    feed = FakeFeed()
    feed.revision = 7
    feed.whole = [Row("a", b"1", revisions.Revision(0, 7))]
    seen = Recorder(feed)
    await seen.watch.start()
    await asynchronous.wait_until(lambda: feed.whole_reads == 1)
    feed.revision = 5
    feed.whole = [Row("a", b"2", revisions.Revision(0, 5))]
    feed.changes = [None]
    await asynchronous.wait_until(lambda: feed.whole_reads == 4)
    dropped = log_events.StoreReadDropped("t", 0, 7, 0, 5, 1)
    assert events[:2] == [log_events.StoreHistoryGone("t", 7, 1), dropped]
    assert events.count(dropped) == 1
    assert seen.rows == {"a": b"1"}
    await asynchronous.wait_until(lambda: seen.rows == {"a": b"2"})
    assert feed.whole_reads == table_watch.MAX_DROPPED_READS + 2
    assert log_events.StoreFollowed("t", 0, 7, 0, 5, 0) in events
    assert seen.watch.newest_row_revision == revisions.Revision(0, 5)
    await seen.watch.close()


class EraFeed(FakeFeed):
    """A store with eras, whose polls stay open until they are cancelled."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.polls = 0

    async def read_whole(
        self, table: str
    ) -> expression.Result[row_feeds.TableChange, stores.StoreError]:
        self.whole_reads += 1
        revision = revisions.Revision(self.era, self.revision)
        return expression.Ok(row_feeds.TableChange(tuple(self.whole), revision))

    async def wait_for_changes(
        self, table: str, after: revisions.Revision, wait_s: float
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        self.polls += 1
        await asyncio.Event().wait()
        raise AssertionError


@asynchronous.run
async def test_a_poll_ends_when_a_new_era_becomes_known() -> None:
    """Otherwise a change would be known only after the poll's whole wait."""
    feed = EraFeed()
    feed.revision = 500
    feed.whole = [Row("a", b"1", revisions.Revision(1, 400))]
    seen = Recorder(feed)
    await seen.watch.start()
    await asynchronous.wait_until(lambda: feed.polls == 1)
    feed.era, feed.revision = 2, 30
    feed.whole = [Row("a", b"2", revisions.Revision(2, 30))]
    request = peer_rows.RowRequest(after=29, era=2)
    await seen.watch.reply_to_peer(peer_rows.encode_request(request))
    await asynchronous.wait_until(lambda: feed.polls == 2)
    assert seen.rows == {"a": b"2"}
    seen.watch.note_era(2)
    seen.watch.note_era(1)
    await asyncio.sleep(0.05)
    assert (feed.whole_reads, feed.polls) == (2, 2)
    await seen.watch.close()


@asynchronous.run
async def test_an_overtaken_answer_of_a_former_era_has_no_effect() -> None:
    """Otherwise a late answer would bring back what the new era replaced."""
    seen = Recorder(FakeFeed())
    watch = seen.watch
    now = revisions.Revision(2, 30)
    watch._apply_whole(row_feeds.TableChange((Row("a", b"2", now),), now))
    former = revisions.Revision(1, 500)
    late = row_feeds.TableChange((Row("a", b"1", former),), former)
    whole = row_feeds.TableChange((Row("a", b"1", former),), former, True)
    listed = row_feeds.TableChange((), former, True, 0.0, frozenset({"b"}))
    for change in (late, whole, listed):
        assert not watch._apply(change)
    watch._apply_peer_rows(late.rows)
    assert seen.rows == {"a": b"2"}
    assert watch.revision == now


def numbered(content: bytes) -> revisions.Rank | None:
    """Ranks contents such as ``7`` by their number."""
    return revisions.Rank(0, int(content)) if content.isdigit() else None


@pytest.mark.parametrize("is_lasting", [True, False])
def test_a_new_era_takes_back_no_later_contents(is_lasting: bool) -> None:
    """Otherwise a revoked key or a leaving engine would be used again."""
    seen = Recorder(FakeFeed())
    watch = seen.watch
    watch.order = row_order.RowOrder(numbered, is_lasting)
    old, new = revisions.Revision(1, 500), revisions.Revision(2, 30)
    before = ("later", b"5"), ("earlier", b"5"), ("gone", b"5"), ("lost", b"5")
    watch._apply_whole(
        row_feeds.TableChange(tuple(Row(k, v, old) for k, v in before), old)
    )
    removal = Row("gone", None, revisions.Revision(1, 501))
    watch._apply_changes(row_feeds.TableChange((removal,), removal.revision))
    after = ("later", b"6"), ("earlier", b"4"), ("gone", b"5"), ("x", b"1")
    watch._apply_whole(
        row_feeds.TableChange(tuple(Row(k, v, new) for k, v in after), new)
    )
    expected = {"later": b"6", "earlier": b"5", "x": b"1"}
    if is_lasting:
        expected["lost"] = b"5"
    assert seen.rows == expected
    assert watch.revision == watch.complete_since == new
    assert all(r.revision.era == 2 for r in watch.rows.values() if r.value)
    later = Row("gone", b"6", revisions.Revision(2, 31))
    again = Row("earlier", b"4", revisions.Revision(2, 31))
    watch._apply_changes(row_feeds.TableChange((later, again), later.revision))
    assert watch.rows["gone"].value == b"6"
    assert watch.rows["earlier"].value == (b"5" if is_lasting else b"4")


@pytest.mark.parametrize(
    ("known", "removed", "row", "expected"),
    [
        (None, None, (1, 5, b"1"), b"1"),
        ((2, 3, b"5"), None, (1, 500, b"6"), b"6"),
        ((2, 3, b"5"), None, (1, 500, b"4"), b"5"),
        ((1, 500, b"5"), None, (2, 3, b"4"), b"5"),
        ((1, 500, b"5"), None, (2, 3, b"6"), b"6"),
        ((1, 500, b"x"), None, (2, 3, b"y"), b"y"),
        ((1, 500, None), b"5", (2, 3, b"4"), None),
        ((1, 500, None), b"5", (2, 3, b"6"), b"6"),
        ((2, 3, b"5"), None, (1, 500, None), b"5"),
    ],
)
def test_the_later_of_two_rows_is_taken_from_peers(
    known: tuple[int, int, bytes | None] | None,
    removed: bytes | None,
    row: tuple[int, int, bytes | None],
    expected: bytes | None,
) -> None:
    """Guards against rows of peers that missed an era or just noticed it."""

    def made(parts: tuple[int, int, bytes | None]) -> Row:
        return Row("k", parts[2], revisions.Revision(*parts[:2]))

    merged = row_merge.merged_row(
        None if known is None else made(known),
        made(row),
        removed,
        row_order.RowOrder(numbered),
    )
    assert merged is not None
    assert merged.value == expected


def test_messages_of_releases_without_eras_are_of_the_own_era() -> None:
    """Otherwise nodes of two releases would send each other all rows."""
    request = peer_rows.decode_request(b'{"after":4000,"wait_s":1.0}')
    assert request.revision(3) == revisions.Revision(3, 4000)
    body = b'{"revision":9,"rows":[{"key":"a","value":null,"revision":8}]}'
    reply = peer_rows.decode_reply(body, 3)
    assert reply.revision == revisions.Revision(3, 9)
    assert reply.rows[0].revision == revisions.Revision(3, 8)
    mixed = row_feeds.TableChange(
        (
            Row("a", b"1", revisions.Revision(2, 5)),
            Row("b", None, revisions.Revision(1, 500)),
        ),
        revisions.Revision(2, 6),
    )
    encoded = peer_rows.encode_reply(mixed)
    assert peer_rows.decode_reply(encoded).rows == mixed.rows
    assert b'"revision":5}' in encoded
