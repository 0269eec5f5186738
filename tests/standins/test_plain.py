from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from tornado import httpclient

from almondshift import errors
from almondshift.adapters import http_plain_service
from almondshift.ports import plain_services
from almondshift.standins.plain import server as plain_server
from almondshift.standins.plain import settings as plain_settings
from tests import asynchronous

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Rig = tuple[plain_server.PlainServer, http_plain_service.HttpPlainService]


def make_call(
    method: str = "POST", repeatable: bool = False, timeout_s: float = 10.0
) -> plain_services.PlainCall:
    body = b"" if method in ("GET", "DELETE") else b"pause"
    return plain_services.PlainCall(
        "r", "a", method, "/o?x=1", "text/plain", body, timeout_s, repeatable
    )


@contextlib.asynccontextmanager
async def run_plain(**settings: Any) -> AsyncIterator[Rig]:
    server = plain_server.create_plain(plain_settings.PlainSettings(**settings))
    await server.start()
    service = http_plain_service.create_plain_service()
    await service.start()
    try:
        yield server, service
    finally:
        await service.close()
        await server.close()


async def control(server: plain_server.PlainServer, **switches: Any) -> None:
    url = f"http://{server.address}/control/switches"
    body = json.dumps(switches)
    await httpclient.AsyncHTTPClient().fetch(url, method="POST", body=body)


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "PATCH"])
@pytest.mark.parametrize("repeatable", [False, True])
@asynchronous.run
async def test_call_is_echoed_and_recorded(
    method: str, repeatable: bool
) -> None:
    async with run_plain(name="p1", service="portal") as (server, service):
        call = make_call(method, repeatable)
        answer = (await service.call(server.address, call)).ok
        (row,) = server.record.rows

    echoed = json.loads(answer.body)
    assert answer.status == 200
    assert (echoed["endpoint"], echoed["service"]) == ("p1", "portal")
    assert (echoed["attempt"], echoed["run"]) == ("a", 1)
    assert echoed["body_digest"] == row.digest
    assert (row.request_id, row.method, row.path) == ("r", method, "/o?x=1")


@pytest.mark.parametrize(
    ("switches", "error", "runs"),
    [
        ({"refuse": True}, errors.EndpointRefused, 0),
        ({}, errors.EndpointRefused, 0),
        ({"swallow_answers": 1}, errors.EndpointOutcomeUnknown, 1),
        ({"slow_s": 60.0}, errors.EndpointOutcomeUnknown, 1),
    ],
    ids=["refused before running", "leaving", "answer lost", "too slow"],
)
@pytest.mark.parametrize("repeatable", [False, True])
@asynchronous.run
async def test_error_tells_whether_the_call_ran(
    switches: dict[str, Any],
    error: type[errors.AlmondshiftError],
    runs: int,
    repeatable: bool,
) -> None:
    """The error tells whether the call may have run.

    A call over a pooled or new connection fails. The ledger must match the
    error: no execution after a refusal, and at most one after a lost
    response.
    """
    async with run_plain() as (server, service):
        first_call = make_call("GET", repeatable=True)
        assert (await service.call(server.address, first_call)).is_ok()
        await control(server, **switches)
        server.leaving = not switches
        call = make_call(repeatable=repeatable, timeout_s=0.5)
        outcome = await service.call(server.address, call)

        assert isinstance(outcome.error, error)
        assert server.record.total == 1 + runs


@pytest.mark.parametrize(("switch", "runs"), [("crash", 0), ("crash_after", 1)])
@asynchronous.run
async def test_crash_before_and_after_running(switch: str, runs: int) -> None:
    totals: list[int] = []
    async with run_plain() as (server, service):

        def exit_process(_: int) -> None:
            totals.append(server.record.total)
            raise SystemError

        server.settings.exit_process = exit_process
        await control(server, **{switch: True})
        await service.call(server.address, make_call())

    assert totals == [runs]
