"""In which order a node sends the facts that it holds."""

from __future__ import annotations

import pytest

from almondshift.coordination import digest_rotation
from almondshift.coordination import facts
from almondshift.coordination import send_queue
from almondshift.ports import peers

LEAVING = peers.FactKind.LEAVING
NODE = peers.FactKind.NODE
QUARANTINE = peers.FactKind.QUARANTINE
LOAD = peers.FactKind.ENGINE_LOAD


def ids(*keys: str) -> list[send_queue.FactId]:
    return [(LEAVING, key) for key in keys]


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        ("", "cba"),
        ("c", "bac"),
        ("cb", "abc"),
        ("cba", "abc"),
        ("cbacba", "abc"),
        ("ccbb", "abc"),
        ("ccc", "ba"),
    ],
)
def test_facts_that_were_sent_least_often_come_first(
    sent: str, expected: str
) -> None:
    """Guards against new facts that wait behind repeats of older ones."""
    queue = send_queue.SendQueue()
    for identity in ids("a", "b", "c"):
        queue.add(identity, 3)
    for identity in ids(*sent):
        queue.record_send(identity)
    assert list(queue) == ids(*expected)
    assert len(queue) == len(expected)


@pytest.mark.parametrize(
    ("identity", "expected"),
    [
        ((LEAVING, "e"), send_queue.Priority.NOTICE),
        ((QUARANTINE, "struck/f/n"), send_queue.Priority.NOTICE),
        ((QUARANTINE, "crash/e/n/0"), send_queue.Priority.REPORT),
        ((LEAVING, "crash/e"), send_queue.Priority.NOTICE),
        ((NODE, "n"), send_queue.Priority.NODE),
        ((LOAD, "e"), send_queue.Priority.BULK),
    ],
)
def test_priority_of_a_fact(
    identity: send_queue.FactId, expected: send_queue.Priority
) -> None:
    pending = send_queue.PendingFacts()
    pending.report_topics.add((QUARANTINE, "crash"))
    pending.add(identity, 1)
    assert [p for p, queue in pending.queues.items() if queue] == [expected]
    pending.record_send(identity)
    assert not pending


def fact(
    version: int, value: bytes = b"1", kind: peers.FactKind = LEAVING
) -> peers.Fact:
    return peers.Fact(kind, "e", version, "n", 10.0, value)


@pytest.mark.parametrize(
    ("first", "second", "waited_s", "is_refresh"),
    [
        (fact(1), fact(2), 1.0, True),
        (fact(1), fact(2, b"2"), 1.0, False),
        (fact(1), fact(2, b""), 1.0, False),
        (fact(1), fact(2), 11.0, False),
        (fact(1, kind=NODE), fact(2, kind=NODE), 1.0, False),
        (fact(1, kind=LOAD), fact(2, kind=LOAD), 1.0, False),
    ],
)
def test_a_fact_that_only_extends_another_is_not_urgent(
    first: peers.Fact, second: peers.Fact, waited_s: float, is_refresh: bool
) -> None:
    """Guards against extended facts that crowd out new ones."""
    store = facts.FactStore()
    store.accept(first, 100.0, sends=1)
    store.record_sends([(first.kind, first.key)])
    store.accept(second, 100.0 + waited_s, sends=3)
    queue = store.pending_facts.queues[send_queue.Priority.REFRESH]
    assert bool(queue) is is_refresh
    assert len(store.pending_facts) == 1


def test_an_extended_fact_keeps_its_place_and_its_sends() -> None:
    """Guards against urgent facts that stop to spread as they are extended."""
    store = facts.FactStore()
    store.accept(fact(1), 100.0, sends=5)
    store.accept(fact(2), 100.1, sends=3)
    for _ in range(5):
        assert list(store.pending_facts) == ids("e")
        assert store.pending_facts.has_urgent()
        store.record_sends(ids("e"))
    assert not store.pending_facts


@pytest.mark.parametrize(
    ("nodes", "recent", "others", "expected"),
    [
        (100, 100, 100, (10, 5, 5)),
        (100, 0, 100, (10, 0, 10)),
        (3, 0, 100, (3, 0, 17)),
        (100, 2, 0, (18, 2, 0)),
        (4, 2, 1, (4, 2, 1)),
    ],
)
def test_heartbeats_and_recent_facts_have_a_share_of_the_digests(
    nodes: int, recent: int, others: int, expected: tuple[int, int, int]
) -> None:
    """Guards against heartbeats that are not repaired beside many facts."""
    rotation = digest_rotation.DigestRotation()
    for number in range(nodes):
        rotation.add((NODE, str(number)))
    for number in range(others):
        rotation.add((LOAD, str(number)))
    for number in range(recent):
        rotation.add((LEAVING, str(number)))
        rotation.note_accepted((LEAVING, str(number)), 100.0)
    found = rotation.take(20, 101.0, lambda _: True, lambda _: True)
    assert len(found) == len(set(found))
    kinds = [kind for kind, _ in found]
    counts = tuple(kinds.count(kind) for kind in (NODE, LEAVING, LOAD))
    assert counts == expected


def test_facts_are_recent_for_a_while_only() -> None:
    rotation = digest_rotation.DigestRotation()
    for key in ("a", "b"):
        rotation.add((LEAVING, key))
        rotation.note_accepted((LEAVING, key), 100.0)
    rotation.note_accepted((LEAVING, "b"), 105.0)
    now = 101.0 + digest_rotation.RECENT_S
    rotation.take(4, now, lambda _: True, lambda _: True)
    assert list(rotation.recent.queue) == ids("b")
    assert list(rotation.accepted_at) == ids("b")
