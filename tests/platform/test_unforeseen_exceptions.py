"""Exceptions that no part of a node foresees."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from almondshift.relay import plain_run
from almondshift.relay import stream_run
from tests.platform import standin_system as system

PATHS = ["/chat/x", "/once/x", "/look/x"]


def fail(*args: Any, **kwargs: Any) -> Any:
    raise KeyError("an unforeseen cause")


async def ask(running: system.StandinSystem, path: str, key: str) -> int:
    entry = running.nodes[0].settings.entry.address
    head = system.request(path, path, Authorization=f"Bearer {key}")
    status, _, _ = await system.send(entry, head)
    return status


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("owner", "method", "key", "status"),
    [
        ("gateway", "route", system.KEY, 503),
        ("gateway", "route", "unknown", 503),
        ("gateway", "confirm_route", "unknown", 503),
        ("run", "dispatch", system.KEY, 503),
        ("run", "send", system.KEY, 503),
        ("run", "retry_or_end", system.KEY, 502),
    ],
)
def test_an_exception_is_answered_and_leaves_no_run(
    path: str,
    owner: str,
    method: str,
    key: str,
    status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closed connections, and runs that stay registered."""

    async def scenario() -> None:
        async with system.running_system() as running:
            gateway = running.nodes[0].node.gateway
            if method == "confirm_route":
                serve = gateway.serve
                calls: list[Any] = []

                def serve_once(*args: Any) -> Any:
                    calls.append(args)
                    return serve(*args) if len(calls) == 1 else fail()

                monkeypatch.setattr(gateway, "serve", serve_once)
            elif owner == "gateway":
                monkeypatch.setattr(gateway, method, fail)
            for run in (plain_run.PlainRun, stream_run.StreamRun):
                if owner == "run":
                    monkeypatch.setattr(run, method, fail)
            if method == "retry_or_end":
                for engine in running.engines.values():
                    engine.resets = True
                    engine.cut_after = 0
            found = await ask(running, path, key)
            assert found == status
            assert not gateway.shared.running

    asyncio.run(scenario())
