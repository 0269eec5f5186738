"""Engines that one node finds dead, and how the other nodes react."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from almondshift import log_events
from almondshift.policy import engine_tracker
from almondshift.ports import peers
from almondshift.relay import lost_engines
from tests import asynchronous
from tests.coordination import network
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole


def test_a_dead_engine_costs_the_second_node_no_request() -> None:
    """Otherwise each node would lose a request to an engine known to be dead.

    The first engine of a chain dies and one node notices. The other node, which
    has no request on that engine, is notified, queries the engine, and sends
    its next request elsewhere.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            first, second = (process.node.shared for process in running.nodes)
            await running.wait_for_peers()
            dead = running.engines["a0"]
            dead.is_dead = True
            await dead.close()
            first.lost_engines.suspect(
                "a0", engine_tracker.Suspicion.UNREACHABLE
            )
            await running.until(lambda: second.tracker.is_suspect("a0"), 1.5)
            alive = [e for e in running.engines.values() if e is not dead]
            assert (await whole.chat(running, "r1", node=1))[0] == 200
            assert sum(e.ran.count("r1") for e in alive) == 1

    asyncio.run(scenario())


def test_a_healthy_engine_is_kept_despite_a_peers_report() -> None:
    """Otherwise a node with a faulty link would eject healthy engines for all.

    It reports an engine as dead. Its peers query the engine, which responds,
    and continue to use it.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            first, second = (process.node.shared for process in running.nodes)
            await running.wait_for_peers()
            seen: list[log_events.Event] = []
            second.observer.emit = seen.append  # type: ignore[method-assign]
            first.lost_engines.suspect(
                "a0", engine_tracker.Suspicion.UNREACHABLE
            )
            await running.until(
                lambda: any(
                    isinstance(e, log_events.EndpointRechecked) for e in seen
                ),
                1.5,
            )
            assert not second.tracker.is_suspect("a0")

    asyncio.run(scenario())


class FakeGroup:
    """A group that records published facts.

    Attributes:
        already_published: Keys that some node already publishes.
        sent: Keys that this node published.
    """

    name = "n1"

    def __init__(self, already_published: set[str]) -> None:
        self.already_published = already_published
        self.sent: list[str] = []

    def subscribe_facts(self, kind: peers.FactKind, callback: Any) -> None:
        assert kind is peers.FactKind.ENGINE_LOST

    def is_published(self, kind: peers.FactKind, key: str) -> bool:
        return key in self.already_published

    def publish_fact(
        self, kind: peers.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        assert ttl_s == engine_tracker.SUSPECT_S
        self.sent.append(key)


@pytest.mark.parametrize(
    ("reason", "already_published", "sent"),
    [
        ("unreachable", set(), ["e"]),
        ("stalled", set(), ["e"]),
        ("refused", set(), []),
        ("gone", set(), []),
        ("unreachable", {"e"}, []),
    ],
)
@asynchronous.run
async def test_suspicions_that_peers_can_check_are_published_once(
    reason: str, already_published: set[str], sent: list[str]
) -> None:
    """Load: 200 nodes find the same seven engines dead within a second."""
    lost, group = _lost(already_published)
    for _ in range(3):
        lost.suspect("e", engine_tracker.Suspicion(reason))
    assert group.sent == sent


@pytest.mark.parametrize(
    ("origin", "is_suspect", "is_known", "asked"),
    [
        ("n2", False, True, 1),
        ("n1", False, True, 0),
        ("n2", True, True, 0),
        ("n2", False, False, 0),
    ],
    ids=["new report", "own report", "known dead", "not registered"],
)
@asynchronous.run
async def test_only_new_reports_trigger_a_query(
    origin: str, is_suspect: bool, is_known: bool, asked: int
) -> None:
    lost, _ = _lost(set())
    if is_known:
        lost.catalogue.engines["e"] = object()  # type: ignore[assignment]
    if is_suspect:
        lost.tracker.suspect("e", engine_tracker.Suspicion.STALLED, 0.0)
    queried = []
    lost.on_peer_report = lambda engine, peer: queried.append(peer)
    fact = peers.Fact(
        peers.FactKind.ENGINE_LOST, "e", 1, origin, 3.0, b'"stalled"'
    )
    lost.handle_fact("e", fact)
    lost.handle_fact("e", None)
    assert queried == [origin] * asked


class FakeObserver:
    def emit(self, event: log_events.Event) -> None:
        del event


class FakeCatalogue:
    def __init__(self) -> None:
        self.engines: dict[str, Any] = {}


def _lost(
    already_published: set[str],
) -> tuple[lost_engines.LostEngines, FakeGroup]:
    registry: Any = FakeCatalogue()
    seen: Any = FakeObserver()
    created = lost_engines.create_lost_engines(
        network.ManualClock(), registry, engine_tracker.EngineTracker(), seen
    )
    group = FakeGroup(already_published)
    joined: Any = group
    created.join(joined)
    return created, group
