"""End-to-end requests through a system of separate processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.faults import processes
from tests.faults import systems

if TYPE_CHECKING:
    import pathlib

PROMPT = list(range(40, 60))
TOKEN_COUNT = 16


def test_requests_are_served_end_to_end(tmp_path: pathlib.Path) -> None:
    async def run(system: systems.RealSystem) -> None:
        await system.start(nodes=2)
        caller = await system.caller()
        assert len(await caller.entries()) == 2
        for stream in (False, True):
            answer = await caller.complete(
                "chat", PROMPT, TOKEN_COUNT, stream=stream
            )
            assert answer.whole, answer
            assert tuple(answer.tokens) == systems.expected(PROMPT, TOKEN_COUNT)
        await _check_portal(system)
        await _check_refusals(system)
        await _check_engine_loss(system)

    with processes.running(tmp_path) as runner:
        asyncio.run(_run_and_close(systems.RealSystem(runner, tmp_path), run))
        for process in runner.processes.values():
            assert "Traceback" not in process.log(), process.log()


async def _run_and_close(system, run) -> None:  # type: ignore[no-untyped-def]
    try:
        await run(system)
    finally:
        await system.close()


async def _check_portal(system: systems.RealSystem) -> None:
    caller = await system.caller()
    first, second = [node.address for node in system.nodes.values()]
    answers = [
        await caller.call(
            "portal", "/pause", b"{}", idempotency_key="p1", address=address
        )
        for address in (first, second, first)
    ]
    assert [a.status for a in answers] == [200, 200, 200]
    assert len({a.text for a in answers}) == 1
    rows = [await system.ledger(name) for name in ("portal1", "portal2")]
    assert sum(len(part) for part in rows) == 1


REFUSALS = [
    ("unknown", [1], {}, "unknown_service"),
    ("chat", [1] * 5000, {}, "prompt_too_long"),
    ("chat", [], {}, "malformed_request"),
    ("chat", [1], {"deadline_ms": 0}, "deadline_past"),
    ("chat", "x" * 1_100_000, {}, "body_too_large"),
    ("once", [1], {}, "idempotency_key_required"),
    ("portal", [1], {}, "unknown_service"),
]


async def _check_refusals(system: systems.RealSystem) -> None:
    caller = await system.caller()
    for service, prompt, options, kind in REFUSALS:
        answer = await caller.complete(service, prompt, 4, **options)
        assert (answer.kind, answer.execution) == (kind, "not_run")
        assert answer.problem is not None
        assert answer.problem["remedy"]
    unknown_caller = await system.caller("no-such-key")
    answer = await unknown_caller.complete("chat", [1], 4)
    assert (answer.kind, answer.execution) == ("wrong_key", "not_run")


async def _check_engine_loss(system: systems.RealSystem) -> None:
    # An engine is killed in the middle of a stream. The stream continues to
    # its correct end: the node replays the stored inputs to a replacement of
    # that stage only.
    caller = await system.caller()
    received: list[int] = []

    def on_token(token: int) -> None:
        received.append(token)
        if len(received) == TOKEN_COUNT:
            system.engines["e1"].kill()

    answer = await caller.complete("chat", PROMPT, 60, on_token=on_token)
    assert answer.whole, answer
    assert tuple(answer.tokens) == systems.expected(PROMPT, 60)
