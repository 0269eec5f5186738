"""Sound engines that fall silent for about a second and then continue."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import pytest

from almondshift.adapters import relay_settings
from tests import unscheduled_time
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from tests.platform import standin_engines

EVENTS = 60
EVENT_GAP_S = 0.05
STREAMS = 80
STREAM_GAP_S = 0.1
PAUSE_GAP_S = 0.7
MIN_PAUSE_S, MAX_PAUSE_S = 0.9, 1.4
TIMEOUT_S = 20.0
HOLD_S, GRACE_S = 2.9, 8.0
MAX_ATTEMPTS = 2
MAX_REQUESTS_OVER_LIMIT = 3
"""Number of requests that may run on more engines than their route allows."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A response, with loop times; status 0 if it is incomplete."""

    entry: str
    sent_at: float
    ended_at: float
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class Stop:
    """A node's planned stop, and the loop time of its SIGTERM."""

    entry: str
    began_at: float


@dataclasses.dataclass(frozen=True)
class Result:
    """What callers received, and what engines ran.

    Attributes:
        broken: Streams that ended before their last event, without need.
        refused: Requests that got an error response.
        over_limit: Requests that ran on more than ``MAX_ATTEMPTS`` engines.
    """

    broken: list[str]
    refused: list[str]
    over_limit: list[str]


def configuration(max_attempts: int = MAX_ATTEMPTS) -> dict[str, object]:
    """Returns a configuration whose streams may take twenty seconds."""
    chat = system.route(
        "chat",
        "/chat/",
        "streaming",
        system.MODEL_SERVICE,
        canResume=True,
        maxAttempts=max_attempts,
        timeoutMs=int(TIMEOUT_S * 1000),
    )
    return system.config(2, routes=[chat])


async def prepare(
    running: system.StandinSystem, max_attempts: int = MAX_ATTEMPTS
) -> None:
    """Has all engines send streams of three seconds."""
    running.store.put("op", "config", configuration(max_attempts))
    for engine in running.engines.values():
        engine.events = EVENTS
        engine.gap_s = EVENT_GAP_S

    def is_applied() -> bool:
        return all(
            process.node.catalogue.config is not None
            and process.node.catalogue.config.version == 2
            for process in running.nodes
        )

    await running.until(is_applied)
    await running.wait_for_peers()


def model_engines(
    running: system.StandinSystem,
) -> list[standin_engines.StandinEngine]:
    return [e for e in running.engines.values() if e.kind]


async def pause(engine: standin_engines.StandinEngine, seconds: float) -> None:
    engine.is_paused = True
    try:
        await asyncio.sleep(seconds)
    finally:
        engine.is_paused = False


async def pause_in_turn(
    running: system.StandinSystem, rng: random.Random
) -> None:
    """Pauses one engine after the other until it is cancelled."""
    async with asyncio.TaskGroup() as pauses:
        while True:
            engine = rng.choice(
                [e for e in model_engines(running) if not e.is_paused]
            )
            seconds = rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            pauses.create_task(pause(engine, seconds))
            await asyncio.sleep(PAUSE_GAP_S)


async def pause_zones(
    running: system.StandinSystem, rng: random.Random
) -> None:
    """Pauses all engines of one zone after the other."""
    for zone in "abc" * 2:
        await asyncio.sleep(2 * MAX_PAUSE_S)
        seconds = rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        await asyncio.gather(
            *(
                pause(engine, seconds)
                for engine in model_engines(running)
                if engine.instance.startswith(zone)
            )
        )


async def restart_node(
    running: system.StandinSystem, starts_another: bool
) -> Stop:
    """Stops the last node as after SIGTERM; may start another one."""
    await asyncio.sleep(2.0)
    process = running.nodes.pop()
    stop = Stop(
        process.settings.entry.address, asyncio.get_running_loop().time()
    )
    process.node.settings.drain = relay_settings.DrainSection(HOLD_S, GRACE_S)
    stopping = asyncio.create_task(process.stop_gracefully())
    if starts_another:
        await running.add_node("c")
    await stopping
    await process.close()
    return stop


async def send_stream(entry: str, request_id: str) -> Response:
    """Sends a stream's request to a node; returns the response."""
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    head = system.request(
        "/chat/x",
        request_id,
        X_Deadline_Ms=str(int(TIMEOUT_S * 1000)),
        X_Token_Usage=f"100,{EVENTS}",
    )
    status, _, body = await system.send(entry, head, b"prompt")
    return Response(entry, sent_at, loop.time(), status, body)


async def send_streams(running: system.StandinSystem) -> dict[str, Response]:
    """Sends all streams, to the nodes that callers know; returns responses."""
    tasks = {}
    for number in range(STREAMS):
        node = running.nodes[number % len(running.nodes)]
        tasks[f"r{number}"] = asyncio.create_task(
            send_stream(node.settings.entry.address, f"r{number}")
        )
        await asyncio.sleep(STREAM_GAP_S)
    return {name: await task for name, task in tasks.items()}


def may_be_cut(response: Response, stop: Stop | None) -> bool:
    """Returns whether a node may end an incomplete response.

    At its route's timeout, or in the last sixth of the node's grace time.
    """
    if response.ended_at - response.sent_at >= TIMEOUT_S:
        return True
    return (
        stop is not None
        and response.entry == stop.entry
        and response.ended_at - stop.began_at >= GRACE_S * 5 / 6
    )


def engines_by_request(running: system.StandinSystem) -> dict[str, set[str]]:
    """Returns the engines that ran each request."""
    engines = collections.defaultdict(set)
    for engine in running.engines.values():
        for request_id in engine.ran:
            engines[request_id].add(engine.instance)
    return engines


def evaluate(
    running: system.StandinSystem,
    responses: dict[str, Response],
    stop: Stop | None,
) -> Result:
    """Compares what callers received with what engines ran."""
    ran = engines_by_request(running)
    complete = [f"token {number}" for number in range(1, EVENTS + 1)]
    served = {n: r for n, r in responses.items() if r.status < 500}
    return Result(
        broken=[
            name
            for name, response in served.items()
            if whole.tokens(response.body) != complete
            and not may_be_cut(response, stop)
        ],
        refused=[n for n in responses if n not in served],
        over_limit=[n for n in responses if len(ran[n]) > MAX_ATTEMPTS],
    )


DAYS = [
    # seed, whether a node stops, whether another starts, whole zones pause
    (1, False, False, False),
    (2, False, False, False),
    (1, True, False, False),
    (2, True, False, False),
    (1, True, True, False),
    (2, True, True, False),
    (1, False, False, True),
]
IDS = [
    "steady-1",
    "steady-2",
    "stop-1",
    "stop-2",
    "restart-1",
    "restart-2",
    "zones-1",
]


@pytest.mark.parametrize(
    ("seed", "stops", "starts", "pauses_zones"), DAYS, ids=IDS
)
def test_streams_survive_engines_that_pause(
    seed: int, stops: bool, starts: bool, pauses_zones: bool
) -> None:
    """Guards against treating a paused engine as one that has ended.

    A stream that leaves a paused engine still ran there. If that does not
    count, each further pause costs another engine, until none is left and the
    stream is broken off.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=3, zones="abc") as running:
            await prepare(running)
            pauses = pause_zones if pauses_zones else pause_in_turn
            pausing = asyncio.create_task(pauses(running, random.Random(seed)))
            stopping = None
            if stops:
                stopping = asyncio.create_task(restart_node(running, starts))
            responses = await send_streams(running)
            pausing.cancel()
            await asyncio.gather(pausing, return_exceptions=True)
            stop = None if stopping is None else await stopping
            result = evaluate(running, responses, stop)
            assert result.broken == []
            assert len(result.over_limit) <= MAX_REQUESTS_OVER_LIMIT

    asyncio.run(scenario())


async def start_stream(
    running: system.StandinSystem, request_id: str
) -> tuple[
    asyncio.Task[tuple[int, dict[str, str], bytes]],
    standin_engines.StandinEngine,
]:
    """Starts a stream; returns it and its first engine."""
    stream = asyncio.create_task(
        whole.chat(running, request_id, X_Deadline_Ms="20000")
    )
    await running.until(lambda: whole.times_run(running, request_id) == 1)
    await asyncio.sleep(5 * EVENT_GAP_S)
    return stream, running.engines[
        engines_by_request(running)[request_id].pop()
    ]


async def next_engine(
    running: system.StandinSystem, request_id: str, seconds: float
) -> standin_engines.StandinEngine:
    """Waits until a stream runs on a second engine, and returns it.

    Args:
        running: The system.
        request_id: Id of the stream's request.
        seconds: Longest wait; time in which this process was not scheduled does
            not count.
    """
    [first] = engines_by_request(running)[request_id]
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with unscheduled_time.measured() as unscheduled:
        while len(engines_by_request(running)[request_id]) < 2:
            waited_s = loop.time() - started_at - unscheduled.total_s()
            assert waited_s < seconds
            await asyncio.sleep(0.02)
    [second] = engines_by_request(running)[request_id] - {first}
    return running.engines[second]


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_a_stream_on_its_last_engine_waits_for_it(max_attempts: int) -> None:
    """Guards against a stream that runs on more engines than its route allows.

    Each engine that runs the stream pauses for 1.2 s. The stream leaves the
    first one only if its route allows two engines, and never the last one.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="abc") as running:
            await prepare(running, max_attempts)
            # The other stream keeps showing that the node's own link works.
            other = asyncio.create_task(whole.chat(running, "r0"))
            stream, engine = await start_stream(running, "r1")
            pauses = [asyncio.create_task(pause(engine, 1.2))]
            if max_attempts == 2:
                engine = await next_engine(running, "r1", 1.0)
                await asyncio.sleep(5 * EVENT_GAP_S)
                pauses.append(asyncio.create_task(pause(engine, 1.2)))
            status, _, body = await stream
            await asyncio.gather(other, *pauses)
            assert status == 200
            assert len(whole.tokens(body)) == EVENTS
            assert whole.times_run(running, "r1") == max_attempts

    asyncio.run(scenario())


@pytest.mark.parametrize("pause_s", [2.0, 3.0])
@pytest.mark.parametrize("max_attempts", [1, 2])
def test_a_stream_on_its_last_engine_outlasts_a_long_pause(
    max_attempts: int, pause_s: float
) -> None:
    """Guards against taking an engine that is silent for seconds for ended.

    The engines that run the stream pause one after the other, and run it all
    the same. More nodes share the system than requests may exceed the limit.
    """

    async def scenario() -> None:
        nodes = MAX_REQUESTS_OVER_LIMIT + 1
        async with system.running_system(nodes=nodes, zones="abc") as running:
            await prepare(running, max_attempts)
            other = asyncio.create_task(whole.chat(running, "r0"))
            stream, engine = await start_stream(running, "r1")
            pauses = [asyncio.create_task(pause(engine, pause_s))]
            if max_attempts == 2:
                engine = await next_engine(running, "r1", 1.0)
                await asyncio.sleep(5 * EVENT_GAP_S)
                pauses.append(asyncio.create_task(pause(engine, pause_s)))
            status, _, body = await stream
            await asyncio.gather(other, *pauses)
            assert len(engines_by_request(running)["r1"]) == max_attempts
            assert status == 200
            assert len(whole.tokens(body)) == EVENTS

    asyncio.run(scenario())


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_a_stream_leaves_engines_that_stay_silent(max_attempts: int) -> None:
    """Guards against a stream that waits for a dead engine until it is late.

    The engines that run the stream lose power one after the other. Nothing
    tells them from paused ones but the length of their silence, which must
    end the wait before callers disconnect after two seconds.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="abc") as running:
            await prepare(running, max_attempts)
            other = asyncio.create_task(whole.chat(running, "r0"))
            stream, engine = await start_stream(running, "r1")
            for _ in range(max_attempts - 1):
                engine.is_dead = True
                engine = await next_engine(running, "r1", 0.5)
                await asyncio.sleep(5 * EVENT_GAP_S)
            engine.is_dead = True
            status, _, body = await stream
            assert status == 200
            assert len(whole.tokens(body)) == EVENTS
            await other

    asyncio.run(scenario())
