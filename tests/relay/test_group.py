from __future__ import annotations

from typing import Any

import pytest

from almondshift.coordination import peer_types
from almondshift.ports import stores
from almondshift.relay import group
from tests import asynchronous
from tests.coordination import network
from tests.fakes import tables


async def announced(
    *names: str,
) -> tuple[tables.FakeTableStore, group.NodeRows]:
    store = tables.FakeTableStore()
    rows = group.NodeRows(store, network.ManualClock())
    for name in names:
        other = group.NodeRows(store, network.ManualClock())
        assert await other.announce(name, f"{name}:1")
    return store, rows


@pytest.mark.parametrize(
    ("known", "written_between", "removed"),
    [
        (("a", "b"), "", []),
        (("a",), "", ["b"]),
        (("a",), "b", []),
    ],
)
@asynchronous.run
async def test_rows_of_gone_nodes_are_removed(
    known: tuple[str, ...], written_between: str, removed: list[str]
) -> None:
    """Otherwise nodes would try to connect to every replaced node for ever.

    A row is removed if its node is unknown at two sweeps. A node that started
    in between has written its row again, and the row stays.
    """
    store, rows = await announced("a", "b")
    assert await rows.sweep(frozenset(known)) == []
    if written_between:
        other = group.NodeRows(store, network.ManualClock())
        assert await other.announce(written_between, "new:1")
    assert await rows.sweep(frozenset(known)) == removed
    left = await store.scan(group.TABLE, "", 10)
    assert [r.key for r in left.ok] == [
        name for name in ("a", "b") if name not in removed
    ]


@asynchronous.run
async def test_a_node_whose_row_was_removed_writes_it_again() -> None:
    """Otherwise new nodes would not find a node after a long partition."""
    store, rows = await announced()
    assert await rows.announce("a", "a:1")
    await store.transact([stores.Write(group.TABLE, "a", None, None)])
    await rows.peer_addresses()
    left = await store.scan(group.TABLE, "", 10)
    assert [r.key for r in left.ok] == ["a"]


class FakeMembers:
    """Members whose last heartbeats were given times ago.

    Attributes:
        heard: Seconds since the last heartbeat, by peer.
        lists: Number of times that the peers were listed.
    """

    def __init__(self, heard: list[float]) -> None:
        self.heard = heard
        self.lists = 0
        self.clock = network.ManualClock()

    def peers(self) -> list[peer_types.PeerInfo]:
        self.lists += 1
        return [
            peer_types.PeerInfo(
                f"n{i}", "", f"n{i}:80", "a", peer_types.PeerState.ALIVE, heard
            )
            for i, heard in enumerate(self.heard)
        ]


@pytest.mark.parametrize(
    ("heard", "expected"),
    [
        ([0.2, 1.0, 3.0, 3.4, 5.0, 8.0], 4),
        ([0.2, 1.0, 5.0, 8.0], 4),
        ([4.0, 5.0, 6.0, 7.0, 8.0], 5),
        ([], 0),
    ],
)
def test_peers_with_recent_heartbeats_are_advertised(
    heard: list[float], expected: int
) -> None:
    """Otherwise callers would connect to a node that lost power seconds ago.

    In a large group a node is suspected only after five seconds. A node with
    few recent heartbeats still advertises all peers that it does not suspect.
    """
    members: Any = FakeMembers(heard)
    found = group.Group(members).advertised()
    assert len(found) == expected
    if expected < len(heard):
        assert (
            max(peer.silence_s for peer in found)
            <= group.MAX_ADVERTISED_SILENCE_S
        )


@pytest.mark.parametrize(
    ("peers", "most_lists"), [(5, 100), (75, 100), (300, 34)]
)
def test_nodes_of_large_groups_rarely_list_their_peers(
    peers: int, most_lists: int
) -> None:
    """Listing hundreds of peers at each use would saturate a core."""
    members: Any = FakeMembers([0.1] * peers)
    joined = group.Group(members)
    for _ in range(1_000):
        members.clock.now += 0.01
        assert len(joined.serving()) == peers
    assert members.lists <= most_lists


def test_a_peer_that_came_or_went_is_logged_once_it_is_listed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Otherwise operators would not see which peers a node has lost."""
    caplog.set_level("INFO")
    members: Any = FakeMembers([0.1, 0.1])
    joined = group.Group(members)
    logged = []
    for heard in ([0.1, 0.1], [0.1], [0.1], [0.1, 0.1]):
        members.heard = heard
        members.clock.now += 1.0
        caplog.clear()
        joined.log_changes()
        joined.log_changes()
        logged.append(len(caplog.records))
    assert logged == [2, 1, 0, 1]


@pytest.mark.parametrize(
    ("name", "rows", "takes_part"),
    [
        ("n03", 75, True),
        ("n70", 75, False),
        ("n3", 4, True),
    ],
    ids=["among the first", "one of many", "small group"],
)
@asynchronous.run
async def test_few_of_many_nodes_that_start_together_are_first(
    name: str, rows: int, takes_part: bool
) -> None:
    """Otherwise 75 nodes without known peers would all poll the lease row."""
    width = len(name) - 1
    store, own = await announced(*(f"n{i:0{width}}" for i in range(rows)))
    own.name, own.peer_address = name, "a:1"
    assert not own.is_among_first(6)
    await own.peer_addresses()
    assert own.is_among_first(6) is takes_part
