from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from tornado import httpclient

from almondshift import errors
from almondshift.adapters import http_plain_service
from almondshift.ports import plain_services
from almondshift.standins import plain

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


Outcome = "expression.Result[plain_services.PlainAnswer, Any]"


def make_call(
    method: str = "POST",
    body: bytes = b"pause",
    repeatable: bool = False,
    timeout_s: float = 10.0,
) -> plain_services.PlainCall:
    return plain_services.PlainCall(
        "r1",
        "a1",
        method,
        "/orders?x=1",
        "text/plain",
        body,
        timeout_s,
        repeatable,
    )


async def set_switches(server: plain.PlainServer, **switches: Any) -> None:
    await httpclient.AsyncHTTPClient().fetch(
        f"http://{server.address}/control/switches",
        method="POST",
        body=json.dumps(switches),
    )


def run_calls(
    use: Callable[
        [plain.PlainServer, http_plain_service.HttpPlainService],
        Awaitable[Any],
    ],
    **settings: Any,
) -> Any:
    async def run() -> Any:
        server = plain.create_plain(plain.PlainSettings(**settings))
        await server.start()
        service = http_plain_service.create_plain_service()
        await service.start()
        try:
            return await use(server, service)
        finally:
            await service.close()
            await server.close()

    return asyncio.run(run())


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "PATCH"])
@pytest.mark.parametrize("repeatable", [False, True])
def test_call_is_echoed_and_recorded(method: str, repeatable: bool) -> None:
    async def use(
        server: plain.PlainServer, service: http_plain_service.HttpPlainService
    ) -> tuple[Any, list[Any]]:
        body = b"" if method in ("GET", "DELETE") else b"pause"
        call = make_call(method, body, repeatable)
        answer = await service.call(server.address, call)
        return answer.ok, list(server.record.rows)

    answer, rows = run_calls(use, name="p1", service="portal")
    echoed = json.loads(answer.body)

    assert answer.status == 200
    assert echoed["endpoint"] == "p1"
    assert echoed["service"] == "portal"
    assert echoed["attempt"] == "a1"
    assert echoed["run"] == 1
    assert [(row.request_id, row.method, row.path) for row in rows] == [
        ("r1", method, "/orders?x=1")
    ]


@pytest.mark.parametrize(
    ("switches", "error", "runs"),
    [
        ({"refuse": True}, errors.EndpointRefused, 0),
        ({"swallow_answers": 1}, errors.EndpointOutcomeUnknown, 1),
        ({"slow_s": 60.0}, errors.EndpointOutcomeUnknown, 1),
    ],
    ids=["refused before running", "answer lost", "too slow"],
)
@pytest.mark.parametrize("repeatable", [False, True])
def test_failure_says_what_is_known_of_the_run(
    switches: dict[str, Any], error: type, runs: int, repeatable: bool
) -> None:
    """The caller learns the truth about whether the call ran.

    A call over a kept or a new connection meets a fault. What the ledger
    shows afterwards has to fit the error: none ran after a refusal, and one
    at most after an answer that was lost.
    """

    async def use(
        server: plain.PlainServer, service: http_plain_service.HttpPlainService
    ) -> tuple[Any, int]:
        warm = make_call("GET", b"", repeatable=True)
        assert (await service.call(server.address, warm)).is_ok()
        await set_switches(server, **switches)
        call = make_call(repeatable=repeatable, timeout_s=1.0)
        outcome = await service.call(server.address, call)
        return outcome.error, server.record.total - 1

    failure, ran = run_calls(use)

    assert isinstance(failure, error)
    assert ran == runs


def test_leaving_service_refuses_before_running() -> None:
    async def use(
        server: plain.PlainServer, service: http_plain_service.HttpPlainService
    ) -> tuple[Any, int]:
        server.begin_leaving()
        outcome = await service.call(server.address, make_call())
        return outcome.error, server.record.total

    failure, ran = run_calls(use)

    assert isinstance(failure, errors.EndpointRefused)
    assert failure.execution is errors.Execution.NOT_RUN
    assert ran == 0


@pytest.mark.parametrize(("switch", "runs"), [("crash", 0), ("crash_after", 1)])
def test_crash_before_and_after_running(switch: str, runs: int) -> None:
    exits: list[int] = []
    recorded: list[int] = []

    async def use(
        server: plain.PlainServer, service: http_plain_service.HttpPlainService
    ) -> None:
        def end(status: int) -> None:
            exits.append(status)
            recorded.append(server.record.total)
            raise RuntimeError

        server.settings.exit_process = end
        await set_switches(server, **{switch: True})
        await service.call(server.address, make_call())

    run_calls(use)

    assert len(exits) == 1
    assert recorded == [runs]
