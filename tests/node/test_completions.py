"""Completions that start over on another chain."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import expression
import pytest

from almondshift import errors
from almondshift.model import chains
from almondshift.model import completions as completion_models
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.node import completions
from almondshift.node import kept_inputs
from almondshift.policy import actions
from almondshift.policy import events
from tests.node import fake_stages
from tests.node import test_pipeline

if TYPE_CHECKING:
    from almondshift.node import router_driver

LAYERS = 8
PROMPT = (20, 21, 22)
TOKENS = 4


def _chain(version: int) -> chains.Chain:
    stage = chains.Stage(f"v{version}", layers.LayerRange(0, LAYERS))
    return chains.Chain("m", version, "", (stage,))


class StagesWithoutReplacement(fake_stages.FakeStages):
    """Engines of the old version, none of which can be replaced."""

    async def replace(
        self, failure: events.StageFailed
    ) -> expression.Result[tuple[chains.Stage, ...], errors.AlmondshiftError]:
        del failure
        return expression.Error(errors.NoReplacement("Nobody holds it."))


class FakeDriver:
    """Dispatches to version 1 first, and to version 2 when asked again."""

    def __init__(self) -> None:
        self.arrivals: list[events.Arrival] = []
        self.notified: list[events.Event] = []

    async def decide(self, event: events.Arrival) -> router_driver.Decision:
        self.arrivals.append(event)
        chain = _chain(len(self.arrivals))
        return actions.Dispatch(event.request_id, chain)

    def notify(self, event: events.Event) -> None:
        self.notified.append(event)


class FakeGuard:
    def admit(
        self, request_id: str, fingerprint: str
    ) -> expression.Result[None, errors.Quarantined]:
        del request_id, fingerprint
        return expression.Ok(None)

    def forget(self, request_id: str) -> None:
        del request_id


def _request(idempotent: bool) -> completion_models.CompletionRequest:
    return completion_models.CompletionRequest(
        request_id="r",
        account="a",
        service="s",
        prompt=PROMPT,
        max_tokens=TOKENS,
        priority=fleet.Priority.NORMAL,
        deadline=time.monotonic() + 60.0,
        idempotent=idempotent,
        idempotency_key="",
        stream=False,
    )


@pytest.mark.parametrize(
    ("lost_steps", "idempotent", "is_answered", "dispatches"),
    [
        ({0: "unknown"}, True, True, 2),
        ({0: "unknown"}, False, False, 1),
        ({2: "unknown"}, True, False, 1),
        ({0: "unknown", 1: "unknown"}, True, False, 2),
    ],
    ids=["no token yet", "not idempotent", "begun", "lost again"],
)
def test_a_request_without_tokens_starts_over_if_its_stage_is_not_replaced(
    lost_steps: dict[int, str],
    idempotent: bool,
    is_answered: bool,
    dispatches: int,
) -> None:
    """Guards against refusing requests of a version that was just replaced."""

    async def scenario() -> None:
        stages = StagesWithoutReplacement(LAYERS, lost_steps)
        driver, guard = FakeDriver(), FakeGuard()
        any_driver: Any = driver
        any_guard: Any = guard
        service = completions.CompletionService(
            stages,
            any_driver,
            any_guard,
            kept_inputs.KeptInputsBudget(10**6, 8),
            test_pipeline.RealClock(),
            completions.CompletionSettings(),
        )
        started = await service.start(_request(idempotent), ())
        received: list[int] = []
        try:
            async for token in started.ok.tokens():
                received.append(token)
        except errors.AlmondshiftError as error:
            assert not is_answered
            assert error.execution is not errors.Execution.NOT_RUN
        else:
            assert is_answered
        expected = fake_stages.reference_tokens(LAYERS, PROMPT, TOKENS)
        assert received == expected[: len(received)]
        assert (len(received) == TOKENS) is is_answered
        assert len(driver.arrivals) == dispatches
        assert max(stages.ran.values()) == 1
        ends = (events.Completed, events.Abandoned)
        assert sum(isinstance(e, ends) for e in driver.notified) == 1

    asyncio.run(scenario())
