"""When a node without responses takes its links for lost."""

from __future__ import annotations

import asyncio
import random
import types
from typing import Any

import pytest

from almondshift import log_events
from almondshift.policy import engine_tracker
from almondshift.policy import isolation
from almondshift.relay import engine_reach

SERVICE = "model"


class ScriptedEngines:
    """Accepts, refuses or ignores connections.

    Attributes:
        accepting: Addresses that accept connections.
        refusing: Addresses that refuse them; others don't respond.
        asked: Addresses in the order of connections.
    """

    def __init__(
        self, accepting: tuple[str, ...], refusing: tuple[str, ...]
    ) -> None:
        self.accepting = accepting
        self.refusing = refusing
        self.asked: list[str] = []

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        del timeout_s
        self.asked.append(address)
        if address in self.accepting:
            return True
        return False if address in self.refusing else None


def check(
    count: int,
    accepting: tuple[str, ...] = (),
    refusing: tuple[str, ...] = (),
    suspects: tuple[str, ...] = (),
) -> tuple[isolation.Isolation, list[str], list[log_events.Event]]:
    """Checks connections to endpoints of an isolated node.

    Returns:
        The state of the links, the addresses asked, and what was logged.
    """
    tracker = engine_tracker.EngineTracker()
    for instance in suspects:
        tracker.suspect(instance, engine_tracker.Suspicion.UNREACHABLE, 0.0)
    engines = ScriptedEngines(accepting, refusing)
    logged: list[log_events.Event] = []
    shared: Any = types.SimpleNamespace(
        tracker=tracker,
        engines=engines,
        rng=random.Random(1),
        observer=types.SimpleNamespace(emit=logged.append),
    )
    links = isolation.Isolation()
    for start in (0.0, 0.1):
        links.end_round(start, start + 0.1)
    endpoints: Any = [
        types.SimpleNamespace(instance=f"e{number}", address=f"e{number}")
        for number in range(count)
    ]
    reach = engine_reach.EngineReach(shared)
    asyncio.run(reach.check_connections(SERVICE, links, endpoints))
    assert not reach.connecting
    return links, engines.asked, logged


@pytest.mark.parametrize(
    ("count", "accepting", "refusing", "is_cut_off"),
    [
        (8, (), (), True),
        (8, (), ("e0", "e1", "e2", "e3"), True),
        (8, ("e7",), (), False),
        (8, ("e0",), ("e1", "e2", "e3", "e4", "e5", "e6", "e7"), False),
        (2, (), (), True),
        (2, ("e1",), (), False),
    ],
)
def test_links_are_lost_if_no_endpoint_accepts_a_connection(
    count: int,
    accepting: tuple[str, ...],
    refusing: tuple[str, ...],
    is_cut_off: bool,
) -> None:
    """Guards against a few full queues that are taken for a lost link."""
    links, asked, logged = check(count, accepting, refusing)
    assert links.is_cut_off is is_cut_off
    assert set(accepting) <= set(asked)
    [event] = logged
    assert isinstance(event, log_events.ConnectionsChecked)
    assert bool(event.accepted) is not is_cut_off
    found = event.accepted + event.refused + event.unanswered
    assert found == len(asked)


def test_endpoints_that_are_not_suspected_are_asked_first() -> None:
    """Guards against connections to engines whose queues have filled."""
    suspects = ("e0", "e1", "e2", "e3")
    _, asked, _ = check(8, suspects=suspects)
    assert set(asked[:4]) == {"e4", "e5", "e6", "e7"}
    assert set(asked[4:]) == set(suspects)
