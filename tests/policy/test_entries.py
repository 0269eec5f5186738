from __future__ import annotations

import collections
import random

import pytest

from almondshift.policy import entries


def _node(
    index: int,
    *,
    leaving: bool = False,
    age_s: float = 0.5,
    load: float = 0.2,
) -> entries.EntryNode:
    zone = f"z{index % 3}"
    return entries.EntryNode(
        f"n{index}", f"10.0.0.{index}:80", zone, leaving, age_s, load
    )


def _entries(
    nodes: list[entries.EntryNode], account: str = "a", share: float = 0.1
) -> entries.Entries:
    return entries.entries_for(nodes, account, share, random.Random(1))


def test_first_addresses_are_in_different_zones() -> None:
    nodes = [_node(i) for i in range(9)]
    zones = {node.address: node.zone for node in nodes}
    first = _entries(nodes).addresses[:3]
    assert len({zones[address] for address in first}) == 3


@pytest.mark.parametrize(
    ("bad", "place"),
    [
        ({"leaving": True}, "out"),
        ({"age_s": 60.0}, "out"),
        ({"load": 1.0}, "last"),
    ],
)
def test_unusable_nodes_are_omitted_or_last(
    bad: dict[str, float], place: str
) -> None:
    nodes = [_node(0, **bad), *(_node(i) for i in range(1, 4))]  # type: ignore[arg-type]
    addresses = _entries(nodes).addresses
    if place == "out":
        assert nodes[0].address not in addresses
    else:
        assert addresses[-1] == nodes[0].address
    assert len(addresses) >= 3


def test_leaving_nodes_are_returned_if_there_are_no_others() -> None:
    nodes = [_node(i, leaving=True) for i in range(3)]
    assert len(_entries(nodes).addresses) == 3


def test_answers_are_valid_for_less_time_while_a_node_leaves() -> None:
    steady = [_node(i) for i in range(6)]
    leaving = [*steady, _node(6, leaving=True)]
    assert _entries(leaving).hold_seconds < _entries(steady).hold_seconds


def test_accounts_rarely_share_all_their_nodes() -> None:
    nodes = [_node(i) for i in range(24)]
    shards = {frozenset(_entries(nodes, f"a{i}").addresses) for i in range(100)}
    assert len(shards) > 80


def test_a_large_account_gets_more_nodes() -> None:
    nodes = [_node(i) for i in range(9)]
    assert len(_entries(nodes, share=0.45).addresses) == 9


def test_accounts_are_spread_evenly() -> None:
    nodes = [_node(i) for i in range(9)]
    first = collections.Counter(
        entries.entries_for(nodes, f"a{i}", 0.01, random.Random(i)).addresses[0]
        for i in range(900)
    )
    assert max(first.values()) < 1.6 * min(first.values())


def test_a_leaving_node_moves_only_the_accounts_it_served() -> None:
    nodes = [_node(i) for i in range(24)]
    moved = 0
    for i in range(200):
        before = set(_entries(nodes, f"a{i}").addresses)
        after = set(_entries(nodes[:-1], f"a{i}").addresses)
        if nodes[-1].address not in before:
            moved += before != after
    assert moved == 0
