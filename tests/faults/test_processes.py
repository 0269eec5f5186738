from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.faults import processes

if TYPE_CHECKING:
    import pathlib

MODULE = "tests.faults.echo"


async def echoes(address: str, wait_s: float) -> bool:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"x")
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read(1) == b"x"
    except TimeoutError:
        return False
    finally:
        writer.close()


def test_frozen_process_responds_after_thawing(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        with processes.running(tmp_path) as runner:
            process = await runner.start("one", MODULE)
            assert await echoes(process.address, 5.0)
            process.freeze()
            assert not await echoes(process.address, 0.2)
            process.thaw()
            assert await echoes(process.address, 5.0)

    asyncio.run(scenario())


def test_failing_test_leaves_no_process(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        with processes.running(tmp_path) as runner:
            started.append(await runner.start("one", MODULE))
            started.append(await runner.start("two", MODULE))
            started[1].freeze()
            raise RuntimeError("the test failed")

    started: list[processes.ChildProcess] = []
    with pytest.raises(RuntimeError, match="the test failed"):
        asyncio.run(scenario())
    assert [process.is_running() for process in started] == [False, False]


def test_early_exit_is_reported_with_the_log(tmp_path: pathlib.Path) -> None:
    async def scenario() -> None:
        with processes.running(tmp_path) as runner:
            await runner.start("one", MODULE, "--no-such-option")

    with pytest.raises(RuntimeError, match="no-such-option"):
        asyncio.run(scenario())
