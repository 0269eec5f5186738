"""Engines whose responses say that they are shutting down."""

from __future__ import annotations

import asyncio
import enum

import pytest

from tests.platform import standin_system as system
from tests.platform import test_engine_backoff

DRAIN_S = 2.0
"""Time after which an engine that announced its end gets no request."""

SECONDS = 7.0

SPREAD_S = 1.0
"""Time in which peers and nodes learn of a change."""


@pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/look/x"])
def test_an_engine_that_says_it_leaves_gets_no_new_requests(path: str) -> None:
    """Guards against requests to leaving engines that are registered as ready.

    Callers are served by the others.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            engine = await test_engine_backoff.find_used_engine(running, path)
            engine.says_leaving = True
            address = running.nodes[0].settings.entry.address
            answers = await test_engine_backoff.send_steadily(
                address, path, SECONDS
            )
            late = [
                at
                for at in engine.arrivals
                if at - engine.arrivals[0] > DRAIN_S
            ]
            assert not late
            assert {status for status, _ in answers} == {200}

    asyncio.run(scenario())


class Later(enum.StrEnum):
    """What becomes of an engine that said that it shuts down."""

    READY = "its entry says ready"
    RESTARTED = "it starts again"
    BACK = "its entry is removed and comes back"


@pytest.mark.parametrize("later", list(Later), ids=str)
def test_what_an_engine_said_binds_only_that_start(later: Later) -> None:
    """Guards against entries that revive an engine, and starts never used."""

    async def scenario() -> None:
        async with system.running_system() as running:
            catalogue = running.nodes[0].node.catalogue
            engine = running.engines["pa"]
            engine.says_leaving = True
            address = running.nodes[0].settings.entry.address
            while not any(e.leaving for e in catalogue.engines.values()):
                head = system.request("/once/x", "r")
                assert (await system.send(address, head, b"x"))[0] == 200
            version = catalogue.version
            engine.says_leaving = False
            if later is Later.BACK:
                running.store.remove("servers", "pa")
                await running.until(lambda: "pa" not in catalogue.engines)
                engine.on_change()
            elif later is Later.RESTARTED:
                await engine.restart()
            else:
                entry = engine.entry(system.PLAIN_SERVICE, "b")
                running.store.put("servers", "pa", entry)
            await running.until(lambda: catalogue.version > version)
            await asyncio.sleep(SPREAD_S)
            is_leaving = {
                e.leaving
                for e in catalogue.engines.values()
                if e.instance.partition("@")[0] == "pa"
            }
            assert is_leaving == {later is not Later.RESTARTED}

    asyncio.run(scenario())


def test_peers_learn_that_an_engine_leaves() -> None:
    """Guards against peers that each have to be told by a response."""

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            running.engines["pa"].says_leaving = True
            running.engines["pa"].is_draining = True
            address = running.nodes[0].settings.entry.address
            for number in range(20):
                head = system.request("/once/x", f"r-{number}")
                await system.send(address, head, b"x")
            await asyncio.sleep(SPREAD_S)
            for process in running.nodes:
                assert process.node.catalogue.engines["pa"].leaving

    asyncio.run(scenario())
