from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from tornado import httpclient

from almondshift.adapters import platform_messages
from almondshift.adapters import platform_store
from almondshift.model import endpoints
from almondshift.standins.platform import __main__ as main
from almondshift.standins.platform import faults
from almondshift.standins.platform import server
from almondshift.standins.platform import settings as settings_module
from almondshift.standins.platform import vms
from almondshift.standins.platform import weights
from tests.fakes import clocks

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib

BODY = platform_messages.VmBody(
    "e1", "127.0.0.1:1", "zone-a", endpoints.EndpointKind.ENGINE
)
VM = endpoints.Vm(
    "e1",
    "127.0.0.1:1",
    "zone-a",
    endpoints.EndpointKind.ENGINE,
    "",
    endpoints.VmState.LIVE,
)


def run(
    settings: settings_module.PlatformSettings,
    case: Callable[[server.PlatformServer], Awaitable[None]],
) -> None:
    async def with_platform() -> None:
        platform = server.create_platform(settings)
        await platform.start()
        try:
            await asyncio.wait_for(case(platform), 10.0)
        finally:
            await platform.close()

    asyncio.run(with_platform())


async def send(
    platform: server.PlatformServer,
    method: str,
    path: str,
    body: bytes | None = None,
) -> httpclient.HTTPResponse:
    url = f"http://{platform.address}{path}"
    request = httpclient.HTTPRequest(url, method=method, body=body)
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()


def test_vm_list_shows_changes_after_the_lag() -> None:
    async def case() -> None:
        clock = clocks.VirtualClock()
        listed = vms.LaggingVms(clock, lag_s=2.0)
        listed.change("e1", BODY)
        await clock.advance(1.9)
        assert listed.list() == []
        listed.change("e1", None)
        await clock.advance(0.2)
        assert listed.list() == [BODY]
        await clock.advance(2.0)
        assert listed.list() == []

    asyncio.run(case())


def test_vm_list_over_http() -> None:
    async def case(platform: server.PlatformServer) -> None:
        body = msgspec.json.encode(BODY)
        await send(platform, "PUT", "/v1/vms/e1", body)
        listed = platform_store.create_vm_list(platform.address, 1.0)
        await listed.start()
        assert (await listed.list()).ok == [VM]
        await send(platform, "DELETE", "/v1/vms/e1")
        assert (await listed.list()).ok == []
        await listed.close()

    run(settings_module.PlatformSettings(vm_lag_s=0.0), case)


def test_weights_are_served_at_the_rate() -> None:
    async def case() -> None:
        clock = clocks.VirtualClock()
        limiter = weights.WeightsRateLimiter(
            clock, layers_per_s=10.0, max_wait_s=0.5
        )
        tasks = [asyncio.create_task(limiter.acquire()) for _ in range(7)]
        await clocks.settle()
        assert limiter.is_full()
        await clock.advance(0.31)
        assert [task.done() for task in tasks].count(True) == 4
        await clock.advance(1.0)
        assert all(task.done() for task in tasks)

    asyncio.run(case())


def test_weights_refuse_when_the_queue_is_long() -> None:
    async def case(platform: server.PlatformServer) -> None:
        path = "/v1/weights/m/1/0"
        assert (await send(platform, "GET", path)).code == 200
        refused = await send(platform, "GET", path)
        assert refused.code == 429
        assert float(refused.headers["Retry-After"]) >= 1.0

    settings = settings_module.PlatformSettings(
        weights_per_s=0.1, weights_queue_s=1.0
    )
    run(settings, case)


@pytest.mark.parametrize(
    ("group", "tables_code", "vms_code"),
    [
        (faults.Group.TABLES, 503, 200),
        (faults.Group.VMS, 404, 503),
        (None, 503, 503),
    ],
)
def test_switches_act_on_their_group(
    group: faults.Group | None, tables_code: int, vms_code: int
) -> None:
    async def case(platform: server.PlatformServer) -> None:
        groups = [] if group is None else [group]
        switch = faults.Switch(groups=groups, down=faults.Down.REFUSE)
        body = msgspec.json.encode(switch)
        assert (await send(platform, "POST", "/v1/control", body)).code == 204
        row = await send(platform, "GET", "/v1/tables/t/rows/k")
        listed = await send(platform, "GET", "/v1/vms")
        assert (row.code, listed.code) == (tables_code, vms_code)

    run(settings_module.PlatformSettings(), case)


def test_port_file_is_written_atomically(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "port"
    main.write_port_file(path, "127.0.0.1:1234")
    assert path.read_text() == "127.0.0.1:1234\n"
    assert list(tmp_path.iterdir()) == [path]
