from __future__ import annotations

import asyncio
import time

import hypothesis
from hypothesis import strategies
import pytest

from almondshift import errors
from almondshift.model import chains
from almondshift.model import completions
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.node import kept_inputs
from almondshift.node import pipeline
from almondshift.ports import clocks
from tests.node import fake_stages

LAYERS = 8
BOUNDS = ((0, 3), (3, 4), (4, 8))
PROMPT = tuple(range(20, 25))
TOKENS = 12


class RealClock(clocks.Clock):
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def __init__(self) -> None:
        self.pauses: list[float] = []

    async def sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)
        await asyncio.sleep(0)


def _request(deadline_s: float = 60.0) -> completions.CompletionRequest:
    return completions.CompletionRequest(
        request_id="r",
        account="a",
        service="s",
        prompt=PROMPT,
        max_tokens=TOKENS,
        priority=fleet.Priority.NORMAL,
        deadline=time.monotonic() + deadline_s,
        idempotent=True,
        idempotency_key="",
        stream=False,
    )


def _pipeline(
    stages: fake_stages.FakeStages, *, limit: int = 10**6, keep: bool = True
) -> pipeline.Pipeline:
    chain = chains.Chain(
        "m",
        1,
        "",
        tuple(
            chains.Stage(f"e{i}", layers.LayerRange(*bounds))
            for i, bounds in enumerate(BOUNDS)
        ),
    )
    return pipeline.Pipeline(
        _request(),
        chain,
        stages,
        kept_inputs.create_kept_inputs_budget(limit),
        RealClock(),
        keep_inputs=keep,
    )


def _collect(work: pipeline.Pipeline) -> list[int]:
    async def collect() -> list[int]:
        return [token async for token in work.generate()]

    return asyncio.run(collect())


def _expected() -> list[int]:
    return fake_stages.reference_tokens(LAYERS, PROMPT, TOKENS)


KINDS = ("unknown", "unreachable", "wrong", "split", "leaving", "refused")


@pytest.mark.parametrize("keep", [True, False])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("step", [0, 1, 2, 3, 7, 20, 35])
def test_one_stage_lost(step: int, kind: str, keep: bool) -> None:
    # The caller gets the expected tokens, each once, although one step of
    # one stage fails, in prefill or decode, run or not run. A failed session
    # is never used again, since it may have run the step.
    stages = fake_stages.FakeStages(LAYERS, {step: kind})
    work = _pipeline(stages, keep=keep)
    assert _collect(work) == _expected()
    assert len(work.recoveries) == 1
    assert max(stages.ran.values()) == 1
    assert work.budget.used_bytes == 0


def test_replay_touches_only_the_replaced_stage() -> None:
    # The last stage is lost in decode. Its inputs were kept, so only its own
    # session is replaced; the other stages run each position once.
    stages = fake_stages.FakeStages(LAYERS, {20: "unknown"})
    work = _pipeline(stages)
    assert _collect(work) == _expected()
    sessions = {session for session, _ in stages.ran}
    assert sessions == {"r.0.0", "r.0.3", "r.0.4", "r.1.4"}
    assert not work.recoveries[0].restarted


@pytest.mark.parametrize("keep", [True, False])
def test_a_replay_ends_before_the_step_that_failed(keep: bool) -> None:
    """Guards against blaming a replay for a crash by another request."""
    stages = fake_stages.FakeStages(LAYERS, {20: "unknown"})
    work = _pipeline(stages, keep=keep)
    assert _collect(work) == _expected()
    lost_at = max(
        position for session, position in stages.ran if session == "r.0.4"
    )
    replays = [
        item
        for item in stages.items
        if item.session == "r.1.4" and item.position <= lost_at
    ]
    ends = [item.position + len(item.inputs) for item in replays]
    assert ends == [lost_at, lost_at + 1]


@pytest.mark.parametrize(
    ("kind", "may_reopen"),
    [("unknown", ["r.0.4"]), ("leaving", []), ("refused", [])],
)
def test_only_a_session_with_an_unanswered_step_may_be_opened_again(
    kind: str, may_reopen: list[str]
) -> None:
    """Guards against sessions that a late step opens after their cancel."""
    stages = fake_stages.FakeStages(LAYERS, {20: kind})
    assert _collect(_pipeline(stages)) == _expected()
    assert stages.may_reopen == may_reopen


def test_recovery_without_kept_inputs_restarts_from_the_tokens() -> None:
    # Without memory for kept inputs the lost stage can't be replayed alone,
    # so all stages before it run again from the tokens. The tokens are the
    # same; only the time differs.
    stages = fake_stages.FakeStages(LAYERS, {20: "unknown"})
    work = _pipeline(stages, limit=0)
    assert _collect(work) == _expected()
    assert work.recoveries[0].restarted


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    failures=strategies.dictionaries(
        strategies.integers(0, 80), strategies.sampled_from(KINDS), max_size=8
    ),
    limit=strategies.sampled_from([0, 100, 10**6]),
    keep=strategies.booleans(),
    leaving=strategies.sets(
        strategies.sampled_from(["e0", "e1", "e2", "s1", "s2"])
    ),
    move_ok=strategies.booleans(),
)
def test_any_losses_give_the_reference(
    failures: dict[int, str],
    limit: int,
    keep: bool,
    leaving: set[str],
    move_ok: bool,
) -> None:
    # Stages are lost any number of times, also during a replay, endpoints
    # leave with and without a KV copy, and memory is short. The caller gets
    # the reference tokens in any order of events.
    stages = fake_stages.FakeStages(LAYERS, failures)
    stages.leaving = leaving
    stages.move_ok = move_ok
    work = _pipeline(stages, limit=limit, keep=keep)
    assert _collect(work) == _expected()
    assert max(stages.ran.values()) == 1
    assert work.budget.used_bytes == 0


def test_all_sessions_are_cancelled_when_the_caller_disconnects() -> None:
    # The caller disconnects after two tokens. Every engine session has to be
    # cancelled; otherwise it would occupy KV memory until evicted.
    stages = fake_stages.FakeStages(LAYERS, {})
    work = _pipeline(stages)

    async def take_two() -> None:
        source = work.generate()
        await anext(source)
        await anext(source)
        await source.aclose()

    asyncio.run(take_two())
    assert sorted(stages.cancelled) == ["r.0.0", "r.0.3", "r.0.4"]
    assert work.budget.used_bytes == 0


def test_consecutive_refusals_back_off_exponentially() -> None:
    # Engines are being replaced, and those known to hold the stage refuse it
    # until their reports catch up. The caller gets its tokens a little late;
    # immediate retries would use up the request's retries.
    refused = dict.fromkeys(range(3, 9), "refused")
    stages = fake_stages.FakeStages(LAYERS, refused)
    work = _pipeline(stages)
    assert _collect(work) == _expected()
    assert isinstance(work.clock, RealClock)
    assert work.clock.pauses == [0.05, 0.1, 0.2, 0.4, 0.8, 0.8]


def test_deadline_ends_the_work() -> None:
    # The deadline passes between tokens; the caller gets an error, and
    # nothing more is sent to the engines.
    stages = fake_stages.FakeStages(LAYERS, {})
    work = _pipeline(stages)
    work.request = _request(deadline_s=-1.0)
    with pytest.raises(errors.DeadlineExceeded):
        _collect(work)
    assert stages.step_count == 0
