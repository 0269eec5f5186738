"""Detection of dead engines before their silent streams are late."""

from __future__ import annotations

import asyncio
import math
import random
import time
import types
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift import log_events
from almondshift.model import relayed
from almondshift.policy import engine_tracker
from almondshift.relay import background
from almondshift.relay import link_activity
from almondshift.relay import path_probe
from tests import asynchronous
from tests import unscheduled_time
from tests.platform import loop_delays
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.relay import stream_run


MAX_RUNS = 5
"""Number of runs of which one has to be without stalls by the machine."""


def scheduled_silence_s(
    is_silent: bool, stall_at_s: float = 0.0, stall_s: float = 0.0
) -> float:
    """Returns how long a stream over a dead engine is silent before it moves.

    Time in which this process was not scheduled does not count. A run with
    another stall than the given one is repeated, whatever its result, as each
    stall also makes the node query the engine again.
    """
    silence_s = 0.0
    for _ in range(MAX_RUNS):
        silence_s, unscheduled_s = asyncio.run(
            measure_silence(is_silent, stall_at_s, stall_s)
        )
        if unscheduled_s <= stall_s + path_probe.PROMPT_RESPONSE_S:
            break
    return silence_s


async def measure_silence(
    is_silent: bool, stall_at_s: float, stall_s: float
) -> tuple[float, float]:
    """Returns a stream's scheduled silence, and the time not scheduled.

    Args:
        is_silent: Whether the engine's port does not respond; otherwise it
            refuses connections.
        stall_at_s: Time from the engine's death to a stall of this process.
        stall_s: Length of the stall.
    """
    async with (
        system.running_system(zones="a") as running,
        unscheduled_time.measured() as unscheduled,
    ):
        await running.nodes[0].node.keeper.close()
        spare = await running.add_engine("a9", "model", "a", "big")
        spare.layers = (20, 60)
        spare.on_change()
        shared = running.nodes[0].node.shared
        await running.until(lambda: "a9" in shared.catalogue.engines)
        for engine in running.engines.values():
            engine.gap_s = 0.02
            engine.events = 60
        moves = system.record_moves(shared)
        # Reports of the first engine are delayed.
        running.nodes[0].node.silence.query_first_engines = lambda: None  # type: ignore[method-assign]
        stream = asyncio.create_task(whole.chat(running, "r1"))
        await running.until(lambda: whole.times_run(running, "r1") == 1)
        await asyncio.sleep(0.2)
        [run] = shared.running
        part = run.attempt.path[1]  # type: ignore[attr-defined]
        dead = running.cluster.engines[part.address]
        dead.is_dead = True
        if not is_silent:
            await dead.close()
        unscheduled_before_s = unscheduled.total_s()
        unscheduled_s: list[float] = []
        emit = shared.observer.emit

        def record(event: log_events.Event) -> None:
            if isinstance(event, log_events.RequestMoved):
                total_s = unscheduled.total_s()
                unscheduled_s.append(total_s - unscheduled_before_s)
            emit(event)

        shared.observer.emit = record  # type: ignore[method-assign]
        if stall_s:
            loop = asyncio.get_running_loop()
            loop.call_later(stall_at_s, time.sleep, stall_s)
        status, _, body = await stream
        assert status == 200
        assert len(whole.tokens(body)) == 60
        assert moves[0].outcome == "done"
        return moves[0].silent_s - unscheduled_s[0], unscheduled_s[0]


SILENT_ENGINE_S = 0.30
"""0.1 s for two unanswered queries, and the silence before them."""


@pytest.mark.parametrize("is_silent", [False, True])
def test_streams_leave_a_dead_engine_before_they_are_late(
    is_silent: bool,
) -> None:
    """A stream is late after a gap of 200 ms.

    An engine in the middle of the path dies; its port refuses connections or
    does not respond. Reports of the first engine come too late. Once the stream
    has been silent for a few of its usual intervals, all engines of its path
    are queried, and the stream leaves the one that misses two queries.
    """
    silence_s = scheduled_silence_s(is_silent)
    assert silence_s < (SILENT_ENGINE_S if is_silent else 0.20)


@pytest.mark.parametrize(
    ("stall_at_s", "stall_s"),
    [(0.12, 0.06), (0.18, 0.06), (0.13, 0.1), (0.16, 0.1), (0.19, 0.1)],
)
def test_a_stall_delays_the_probe_by_no_more_than_its_length(
    stall_at_s: float, stall_s: float
) -> None:
    """Guards against callers who wait for a backoff after a short stall.

    The node's process stalls while the dead engine is queried.
    """
    silence_s = scheduled_silence_s(True, stall_at_s, stall_s)
    assert silence_s < SILENT_ENGINE_S


CALLERS_LEAVE_S = 2.0
"""Silence of a stream after which its caller leaves, in seconds."""


@pytest.mark.parametrize(
    ("delay_s", "gap_s"), [(0.0, 1.0), (0.1, 0.03), (0.2, 0.05), (0.3, 0.1)]
)
def test_a_process_that_is_always_late_finds_a_dead_engine(
    delay_s: float, gap_s: float
) -> None:
    """Guards against streams that wait for a dead engine on a busy machine."""

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.events = 60
                engine.gap_s = 0.02
            shared = running.nodes[0].node.shared
            async with loop_delays.delays_of_the_process(delay_s, gap_s):
                streams = [
                    asyncio.create_task(whole.chat(running, f"r{number}"))
                    for number in range(4)
                ]
                await running.until(
                    lambda: (
                        sum(len(e.ran) for e in running.engines.values()) == 4
                    )
                )
                await asyncio.sleep(0.3)
                run = next(iter(shared.running))
                dead = run.attempt.first.instance  # type: ignore[attr-defined]
                running.engines[dead].is_dead = True
                await running.until(
                    lambda: shared.tracker.is_lost(dead), CALLERS_LEAVE_S
                )
                for status, _, body in await asyncio.gather(*streams):
                    assert status == 200
                    assert len(whole.tokens(body)) == 60

    asyncio.run(scenario())


REFERENCE = "reference"


class FakeQueries:
    """Engines whose responses the test controls; one always responds.

    Attributes:
        queried: Outcomes of queries, set by the test, by engine.
    """

    def __init__(self) -> None:
        self.queried: dict[str, list[asyncio.Future[bool]]] = {}

    async def report(
        self, instance: str, address: str, timeout_s: float
    ) -> relayed.EngineReport | None:
        del address, timeout_s
        outcome = asyncio.get_running_loop().create_future()
        self.queried.setdefault(instance, []).append(outcome)
        if instance == REFERENCE:
            outcome.set_result(True)
        if not await outcome:
            return None
        return relayed.EngineReport(1.0, 0.0, 0.0, 0, 0, False, 0, ())


@pytest.mark.parametrize(
    ("outcomes", "is_lost"),
    [
        ([None, True], False),
        ([False, True], False),
        ([True, False], False),
        ([False, False], True),
    ],
)
@asynchronous.run
async def test_an_engine_is_queried_again_before_the_first_query_ends(
    outcomes: list[bool | None], is_lost: bool
) -> None:
    """Otherwise streams would be late before their dead engine is found."""
    shared: Any = FakeShared()
    moves: Any = FakeMoves(shared.tracker)
    fake = FakeQueries()
    queries: Any = fake
    work = background.Background()
    probe_round = path_probe.ProbeRound(shared, work, queries, moves)
    probe_round.any_responded.set()
    part = relayed.PathPart("e", "e:1", 0, 1)
    checked = asyncio.create_task(probe_round.check(part))
    await asynchronous.wait_until(lambda: len(fake.queried.get("e", [])) == 2)
    for query, outcome in zip(fake.queried["e"], outcomes, strict=True):
        if outcome is not None:
            query.set_result(outcome)
    await checked
    assert probe_round.lost == (["e"] if is_lost else [])


@asynchronous.run
async def test_a_busy_engine_does_not_delay_the_probe_of_another() -> None:
    """Otherwise streams on a dead engine would wait for another's backoff."""
    shared: Any = FakeShared()
    moves: Any = FakeMoves(shared.tracker)
    queries: Any = FakeQueries()
    work = background.Background()
    probe = path_probe.PathProbe(shared, work, moves, queries)
    moves.runs = [FakeRun(0.35, ["busy"])]
    probe.start_due_round(2.0)
    probe.start_due_round(2.05)
    assert len(work) == 1
    moves.runs.append(FakeRun(0.35, ["dead"]))
    probe.start_due_round(2.1)
    assert len(work) == 2
    await asynchronous.wait_until(lambda: "dead" in queries.queried)
    await work.close()


class FakeMoves:
    def __init__(self, tracker: engine_tracker.EngineTracker) -> None:
        self.tracker = tracker
        self.runs: list[FakeRun] = []

    def scheduled_s(self) -> float:
        return math.inf

    def streams(self) -> list[FakeRun]:
        return self.runs

    def on_engine_lost(
        self,
        instance: str,
        reason: engine_tracker.Suspicion,
        found_by: engine_tracker.Evidence,
    ) -> None:
        assert found_by is engine_tracker.Evidence.PROBE
        self.tracker.suspect(instance, reason, 0.0)


class FakeAttempt:
    def __init__(self, active_at: float, names: Iterable[str]) -> None:
        self.active_at = active_at
        self.is_moving = False
        self.path = tuple(
            relayed.PathPart(name, f"{name}:1", 0, 1) for name in names
        )


class FakeRun:
    """A stream with an event every 0.1 s from second 0 to second 1."""

    def __init__(
        self, silent_s: float, names: Iterable[str], events: int = 11
    ) -> None:
        self.events_sent = events
        self.first_at = 0.0
        self.progress_at = 1.0
        self.attempt = FakeAttempt(2.0 - silent_s, names)


class FakeShared:
    def __init__(self) -> None:
        self.tracker = engine_tracker.EngineTracker()
        self.paths = types.SimpleNamespace(nodes=1)
        self.clock = types.SimpleNamespace(monotonic=lambda: 0.0)
        self.link = link_activity.LinkActivity()
        self.catalogue = FakeCatalogue()
        self.rng = random.Random(1)


class FakeCatalogue:
    """Two engines of one service."""

    def __init__(self) -> None:
        self.engines = {
            name: types.SimpleNamespace(
                instance=name, address=f"{name}:1", service="model"
            )
            for name in ("e", REFERENCE)
        }

    def of_service(self, service: str) -> list[types.SimpleNamespace]:
        assert service == "model"
        return list(self.engines.values())


@pytest.mark.parametrize(
    ("runs", "asked"),
    [
        ([FakeRun(0.15, "abc")], ""),
        ([FakeRun(0.25, "abc")], "abc"),
        ([FakeRun(0.15, "abc", events=0)], ""),
        ([FakeRun(0.25, "abc", events=0)], "abc"),
        ([FakeRun(0.35, "abc"), FakeRun(0.05, "ab")], "c"),
        ([FakeRun(0.35, "abc"), FakeRun(0.05, "abc")], ""),
        ([FakeRun(0.35, "ab"), FakeRun(0.40, "bc")], "abc"),
    ],
)
@asynchronous.run
async def test_only_engines_without_recent_events_are_queried(
    runs: list[FakeRun], asked: str
) -> None:
    """Queries to engines that work are useless.

    A gap in one stream does not involve an engine if another stream over it has
    no gap. A slow stream counts as silent only after a longer time.
    """
    shared: Any = FakeShared()
    nothing: Any = None
    probe = path_probe.PathProbe(shared, nothing, nothing, nothing)
    streams: list[stream_run.StreamRun] = runs  # type: ignore[assignment]
    assert set(probe.silent_parts(streams, 2.0)) == set(asked)


STALL_S = 0.1


async def _note_data(link: link_activity.LinkActivity, stall_s: float) -> None:
    """Receives data all the time, except for a stall."""
    loop = asyncio.get_running_loop()
    link.note(loop.time() - path_probe.AFTER_STALL_S)
    link.last_at = loop.time()
    await asyncio.sleep(stall_s)
    while True:
        link.note(loop.time())
        await asyncio.sleep(link_activity.MAX_GAP_S / 4)


@pytest.mark.parametrize(
    ("stall_s", "outcomes", "is_lost"),
    [
        (STALL_S, [False, False, True], False),
        (STALL_S, [False, False, False, False], True),
        (0.0, [False, False], True),
    ],
    ids=["stalled link", "dead behind a stalled link", "dead"],
)
@asynchronous.run
async def test_an_engine_is_kept_if_the_link_stalled_during_its_queries(
    stall_s: float, outcomes: list[bool], is_lost: bool
) -> None:
    """Guards against ejecting all engines after a stall of the node's link.

    When the stall ends, data of streams may be read before the responses.
    """
    shared: Any = FakeShared()
    moves: Any = FakeMoves(shared.tracker)
    fake = FakeQueries()
    queries: Any = fake
    feed = asyncio.create_task(_note_data(shared.link, stall_s))
    work = background.Background()
    probe_round = path_probe.ProbeRound(shared, work, queries, moves)
    checked = asyncio.create_task(
        probe_round.check(relayed.PathPart("e", "e:1", 0, 1))
    )
    for number, outcome in enumerate(outcomes):
        await asynchronous.wait_until(
            lambda count=number + 1: len(fake.queried.get("e", [])) >= count
        )
        if not outcome:
            await asyncio.sleep(path_probe.QUERY_TIMEOUT_S)
        fake.queried["e"][number].set_result(outcome)
    await checked
    feed.cancel()
    assert probe_round.lost == (["e"] if is_lost else [])


@asynchronous.run
async def test_an_engine_is_kept_if_no_other_shows_that_the_link_works() -> (
    None
):
    """Guards against ejecting engines, or querying on, without a link."""
    shared: Any = FakeShared()
    del shared.catalogue.engines[REFERENCE]
    moves: Any = FakeMoves(shared.tracker)
    fake = FakeQueries()
    queries: Any = fake
    work = background.Background()
    probe_round = path_probe.ProbeRound(shared, work, queries, moves)
    checked = asyncio.create_task(
        probe_round.check(relayed.PathPart("e", "e:1", 0, 1))
    )
    for number in range(2 * path_probe.MAX_TRIES):
        await asynchronous.wait_until(
            lambda count=number + 1: len(fake.queried.get("e", [])) >= count
        )
        await asyncio.sleep(path_probe.QUERY_TIMEOUT_S)
        fake.queried["e"][number].set_result(False)
    await checked
    assert probe_round.lost == []
    assert len(fake.queried["e"]) == 2 * path_probe.MAX_TRIES
