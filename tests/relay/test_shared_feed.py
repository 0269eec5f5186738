"""Large groups that follow the store's tables through a few readers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import Any

import expression
import pytest

from almondshift import errors
from almondshift.model import revisions
from almondshift.policy import feed_readers
from almondshift.ports import row_feeds
from almondshift.relay import peer_rows
from almondshift.relay import shared_feed
from almondshift.relay import table_watch
from tests import asynchronous
from tests.coordination import network

if TYPE_CHECKING:
    from almondshift.ports import stores

ZONES = ("a", "b", "c", "d")
MANY = [feed_readers.GroupNode(f"n{i:02}", ZONES[i % 4]) for i in range(76)]
ROW = row_feeds.FeedRow("k", b"v", revisions.Revision(0, 7))


class CountingFeed(row_feeds.RowFeed):
    """A store that counts calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.is_away = False

    async def read_whole(
        self, table: str
    ) -> expression.Result[row_feeds.TableChange, stores.StoreError]:
        self.calls += 1
        if self.is_away:
            return expression.Error(errors.StoreUnavailable("away"))
        return expression.Ok(
            row_feeds.TableChange((ROW,), revisions.Revision(0, 7))
        )

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        self.calls += 1
        if self.is_away:
            return expression.Error(errors.StoreUnavailable("away"))
        return expression.Ok(
            row_feeds.TableChange((), revisions.Revision(0, 8))
        )


class FakeGroup:
    """The group as one node sees it.

    Attributes:
        ages: Age of a reader's copy by name; None if it does not reply.
        eras: Era of a reader's copy by name; 0 if not listed.
        asked: Names of the readers that were asked.
    """

    def __init__(self, name: str, nodes: list[feed_readers.GroupNode]) -> None:
        self.name = name
        self.zone = next(n.zone for n in nodes if n.name == name)
        self.nodes = nodes
        self.members = self
        self.ages: dict[str, float | None] = {}
        self.eras: dict[str, int] = {}
        self.asked: list[str] = []

    def readers(self) -> feed_readers.Readers:
        return feed_readers.chosen_readers(self.nodes)

    def names(self) -> frozenset[str]:
        return frozenset(node.name for node in self.nodes)

    async def ask(
        self, name: str, topic: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.PeerUnreachable]:
        self.asked.append(name)
        age_s = self.ages.get(name, 0.1)
        if age_s is None:
            return expression.Error(errors.PeerUnreachable("silent"))
        reply = peer_rows.encode_reply(
            row_feeds.TableChange(
                (ROW,),
                revisions.Revision(self.eras.get(name, 0), 7),
                age_s=age_s,
            )
        )
        return expression.Ok(reply)


class Asker:
    def __init__(
        self, name: str, nodes: list[feed_readers.GroupNode] = MANY
    ) -> None:
        self.store = CountingFeed()
        self.clock = network.ManualClock()
        self.feed = shared_feed.create_shared_feed(
            self.store, self.clock, random.Random(name)
        )
        self.group = FakeGroup(name, nodes)
        group: Any = self.group
        self.feed.group = group

    async def ask(self) -> bool:
        result = await self.feed.wait_for_changes(
            "t", revisions.Revision(0, 3), 1.0
        )
        return result.is_ok()


@pytest.mark.parametrize(
    ("nodes", "zones", "chosen", "stand_ins"),
    [
        (16, 4, 16, 0),
        (17, 4, 3, 3),
        (22, 5, 3, 3),
        (76, 1, 3, 3),
        (195, 5, 5, 5),
        (390, 6, 10, 10),
    ],
)
def test_readers_grow_with_nodes_and_not_with_zones(
    nodes: int, zones: int, chosen: int, stand_ins: int
) -> None:
    known = [
        feed_readers.GroupNode(f"n{i:03}", f"z{i % zones}")
        for i in range(nodes)
    ]
    readers = feed_readers.chosen_readers(reversed(known))
    assert len(readers.chosen) == chosen
    assert len(readers.stand_ins) == stand_ins
    assert not set(readers.chosen) & set(readers.stand_ins)
    assert len({n.zone for n in readers.chosen}) == min(zones, chosen)
    assert readers == feed_readers.chosen_readers(known)


def test_requests_are_spread_evenly_over_readers() -> None:
    """A reader that most nodes prefer would be overloaded and reply late."""
    readers = feed_readers.chosen_readers(MANY).chosen
    first = [feed_readers.own_order(n.name, readers)[0] for n in MANY]
    assert all(first.count(r.name) <= len(MANY) / 2 for r in readers)


@pytest.mark.parametrize(
    ("ages", "asked", "store_calls"),
    [
        ({}, 1, 0),
        ({0: None}, 2, 0),
        ({0: 5.0}, 2, 0),
        ({0: 5.0, 1: None}, 2, 1),
    ],
)
@asynchronous.run
async def test_a_node_asks_its_two_readers_and_then_the_store(
    ages: dict[int, float | None], asked: int, store_calls: int
) -> None:
    """Otherwise a reader that lost the store would withhold changes.

    If its copy is too old or it does not reply, the node asks its other
    reader at once, and then the store itself.
    """
    asker = Asker("n40")
    readers = asker.group.readers().chosen
    own = feed_readers.own_order("n40", readers)[
        : shared_feed.MAX_READERS_TRIED
    ]
    asker.group.ages = {own[place]: age for place, age in ages.items()}
    if asked == 2:
        # The order is random; use the one in which the first reader fails.
        asker.feed.rng = NoShuffle()
    assert await asker.ask()
    assert len(asker.group.asked) == asked
    assert set(asker.group.asked) <= set(own)
    assert asker.store.calls == store_calls


@asynchronous.run
async def test_stand_ins_answer_while_all_readers_lost_the_store() -> None:
    """Load: the store rejects a third of 76 nodes, including all readers.

    If all other nodes polled the store themselves, each would make two calls
    per second. Instead they ask stand-ins once no reader is left. A stand-in
    itself asks only readers, and then reads the store.
    """
    readers = feed_readers.chosen_readers(MANY)
    lost: dict[str, float | None] = {n.name: 9.0 for n in readers.chosen}
    other, stand_in = Asker("n40"), Asker(readers.stand_ins[0].name)
    for asker in (other, stand_in):
        asker.group.ages = lost
        for _ in range(4):
            assert await asker.ask()
    assert other.store.calls == 2
    assert {n.name for n in readers.stand_ins} >= set(other.group.asked[-2:])
    assert stand_in.store.calls == 4
    assert set(stand_in.group.asked) == set(lost)


@asynchronous.run
async def test_a_silent_reader_is_skipped_for_longer() -> None:
    """Each request to a reader without power delays changes by over 1 s."""
    asker = Asker("n40")
    readers = asker.group.readers().chosen
    silent = feed_readers.own_order("n40", readers)[0]
    asker.group.ages = {silent: None}
    asker.feed.rng = NoShuffle()
    for step in range(5):
        asker.clock.now = 100.0 + step
        assert await asker.ask()
    assert asker.group.asked.count(silent) == 1


class NoShuffle(random.Random):
    def shuffle(self, x: Any) -> None:
        del x


def test_an_unavailable_store_is_not_overloaded_by_many_nodes() -> None:
    """Load: 76 nodes lose the store at once and retry for 10 s.

    Each follows two tables and retries about 2.5 times a second, which would be
    380 calls a second, all of them billed. Only three readers keep their rate.
    The others together make about 20 calls a second, and learn from the readers
    when the store is back.
    """

    async def scenario() -> None:
        askers = [Asker(node.name) for node in MANY]
        ages: dict[str, float | None] = {n.name: 9.0 for n in MANY}
        for asker in askers:
            asker.store.is_away = True
            asker.group.ages = ages
        for step in range(25):
            for asker in askers:
                asker.clock.now = 100.0 + 0.4 * step
                assert not await asker.ask()
        readers = sum(a.store.calls for a in askers if a.feed.is_reader())
        others = sum(a.store.calls for a in askers) - readers
        assert readers == 3 * 25
        assert others <= 73 + 25 * 0.4 * feed_readers.PROBES_PER_S * 1.5
        ages.clear()
        for asker in askers:
            asker.clock.now += feed_readers.AWAY_S
            is_served = await asker.ask()
            assert is_served != asker.feed.is_reader()

    asyncio.run(scenario())


@asynchronous.run
async def test_the_only_node_that_reaches_the_store_keeps_using_it() -> None:
    asker = Asker("n40")
    asker.group.ages = {n.name: 9.0 for n in MANY}
    for _ in range(3):
        assert await asker.ask()
    assert asker.store.calls == 3


@pytest.mark.parametrize(
    ("after", "is_whole", "keys"),
    [(40, True, ["live"]), (100, False, ["gone"]), (120, False, [])],
)
@asynchronous.run
async def test_a_peer_with_an_older_copy_gets_all_rows(
    after: int, is_whole: bool, keys: list[str]
) -> None:
    """Otherwise a node would use removed engines for ever.

    A reader started at revision 100 and has no tombstones of earlier removals.
    A peer at revision 40 gets all rows, and drops those that are missing.
    """
    watch = table_watch.create_table_watch(
        CountingFeed(), "t", network.ManualClock(), random.Random(1)
    )
    live = row_feeds.FeedRow("live", b"1", revisions.Revision(0, 30))
    gone = row_feeds.FeedRow("gone", b"1", revisions.Revision(0, 60))
    watch._apply_whole(
        row_feeds.TableChange((live, gone), revisions.Revision(0, 100))
    )
    removed = row_feeds.FeedRow("gone", None, revisions.Revision(0, 110))
    watch._apply_changes(
        row_feeds.TableChange((removed,), revisions.Revision(0, 115))
    )
    watch.confirmed_at = watch.clock.monotonic()
    change = peer_rows.decode_reply(
        watch.encode_rows_after(revisions.Revision(0, after))
    )
    assert change.is_whole is is_whole
    assert [row.key for row in change.rows] == keys
    assert change.revision == revisions.Revision(0, 115)
    assert change.age_s == 0.0


@asynchronous.run
async def test_a_peers_request_waits_for_a_change() -> None:
    watch = table_watch.create_table_watch(
        CountingFeed(), "t", network.ManualClock(), random.Random(1)
    )
    watch._apply_whole(row_feeds.TableChange((ROW,), revisions.Revision(0, 7)))
    watch.confirmed_at = watch.clock.monotonic()
    body = peer_rows.encode_request(peer_rows.RowRequest(7, 1.0))
    request = asyncio.create_task(watch.reply_to_peer(body))
    await asyncio.sleep(0.02)
    assert not request.done()
    newer = row_feeds.FeedRow("k", b"w", revisions.Revision(0, 9))
    watch._apply_changes(
        row_feeds.TableChange((newer,), revisions.Revision(0, 9))
    )
    change = peer_rows.decode_reply(await request)
    assert change.rows == (newer,)


@asynchronous.run
async def test_concurrent_denials_confirm_with_the_store_once() -> None:
    feed = CountingFeed()
    clock = network.ManualClock()
    watch = table_watch.create_table_watch(feed, "t", clock, random.Random(1))
    watch._apply_whole(row_feeds.TableChange((ROW,), revisions.Revision(0, 7)))
    results = await asyncio.gather(*(watch.confirm(0.5) for _ in range(9)))
    assert results == [True] * 9
    assert feed.calls == 1


@pytest.mark.parametrize(
    ("eras", "calls", "is_skipped"),
    [([0, 0], 0, False), ([1, 1], 0, False), ([0, 1], 0, True),
     ([0, 0], 1, True)],
)  # fmt: skip
@asynchronous.run
async def test_readers_that_missed_an_era_are_skipped(
    eras: list[int], calls: int, is_skipped: bool
) -> None:
    """Otherwise a node would go back to what the store had lost."""
    asker = Asker("n40")
    if is_skipped:
        asker.feed.note_era(1)
    chosen = asker.feed._readers(asker.feed.group)  # type: ignore[arg-type]
    asker.group.eras = dict(zip(chosen, eras, strict=True))
    result = await asker.feed.read_whole("t")
    assert result.is_ok()
    assert asker.store.calls == calls
    if not calls:
        assert result.ok.revision.era == max(eras)
        assert asker.feed.era == max(eras)
