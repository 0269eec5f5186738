from __future__ import annotations

import math

import pytest

from almondshift.coordination import facts
from almondshift.ports import peers

KIND = peers.FactKind.LEAVING


def fact(
    version: int, ttl_s: float = 10.0, value: bytes = b"1", origin: str = "n"
) -> peers.Fact:
    return peers.Fact(KIND, "e", version, origin, ttl_s, value)


@pytest.mark.parametrize(
    ("waited_s", "version", "origin", "is_accepted"),
    [
        (0.0, 5, "n", False),
        (0.0, 4, "n", False),
        (0.0, 6, "n", True),
        (0.0, 5, "o", True),
        (0.0, 5, "m", False),
        (11.0, 5, "n", False),
        (11.0, 6, "n", True),
        (9.0 + facts.TOMBSTONE_S, 5, "n", False),
        (11.0 + facts.TOMBSTONE_S, 5, "n", True),
    ],
)
def test_which_fact_is_accepted(
    waited_s: float, version: int, origin: str, is_accepted: bool
) -> None:
    store = facts.FactStore()
    assert store.accept(fact(5), 100.0, sends=1)
    now = 100.0 + waited_s
    store.expire(now)
    assert (
        store.accept(fact(version, origin=origin), now, sends=1) is is_accepted
    )


@pytest.mark.parametrize(
    "invalid_fact",
    [
        fact(0),
        fact(facts.MAX_VERSION),
        fact(1, ttl_s=0.0),
        fact(1, ttl_s=-1.0),
        fact(1, ttl_s=math.nan),
        fact(1, ttl_s=math.inf),
    ],
)
def test_invalid_numbers_are_rejected(invalid_fact: peers.Fact) -> None:
    store = facts.FactStore()
    assert not store.accept(invalid_fact, 0.0, sends=1)
    assert not store.entries


def test_fact_is_sent_a_limited_number_of_times_oldest_first() -> None:
    store = facts.FactStore()
    for key in ("a", "b"):
        item = peers.Fact(KIND, key, 1, "n", 10.0, b"1")
        store.accept(item, 0.0, sends=2)
    store.record_sends([(KIND, "a")])
    assert list(store.pending_facts) == [(KIND, "b"), (KIND, "a")]
    store.record_sends([(KIND, "a")])
    assert list(store.pending_facts) == [(KIND, "b")]


def test_rotation_returns_every_live_fact_in_turn() -> None:
    store = facts.FactStore()
    for number in range(5):
        item = peers.Fact(KIND, str(number), 1, "n", 10.0 * number, b"1")
        store.accept(item, 0.0, sends=1)
    first = [entry.key for entry in store.next_in_rotation(2, 15.0)]
    second = [entry.key for entry in store.next_in_rotation(2, 15.0)]
    assert (first, second) == (["2", "3"], ["4", "2"])
