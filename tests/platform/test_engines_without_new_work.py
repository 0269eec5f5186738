"""Engines that take no new work, as any part of a path."""

from __future__ import annotations

import asyncio
import enum

import pytest

from tests.platform import standin_system as system

BACKOFF_S = 60.0
CHOICES = 50


class Reason(enum.StrEnum):
    """Why an engine takes no new work."""

    BACKOFF = "backoff"
    LEAVING = "leaving"


@pytest.mark.parametrize("index", [0, 1, 2])
@pytest.mark.parametrize("reason", list(Reason), ids=str)
def test_no_new_path_uses_the_engine(reason: Reason, index: int) -> None:
    """Guards against new paths over such an engine, first or later."""

    async def scenario() -> None:
        async with system.running_system() as running:
            shared = running.nodes[0].node.shared
            view = shared.catalogue.view(system.MODEL_SERVICE)
            assert view is not None
            now = shared.clock.monotonic()
            chosen = shared.paths.choose(view, 1.0, now)
            assert chosen is not None
            instance = chosen.path[min(index, len(chosen.path) - 1)].instance
            if reason is Reason.BACKOFF:
                shared.tracker.note_backoff(instance, BACKOFF_S, now)
            else:
                shared.refusing_engines.note_leaving(instance)
            view = shared.catalogue.view(system.MODEL_SERVICE)
            assert view is not None
            for _ in range(CHOICES):
                found = shared.paths.choose(view, 1.0, now)
                assert found is not None
                assert all(part.instance != instance for part in found.path)

    asyncio.run(scenario())
