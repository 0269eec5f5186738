from __future__ import annotations

import asyncio
import pathlib
from typing import TYPE_CHECKING

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import systems
from tests.scenarios.datapath import faults
from tests.scenarios.datapath import raw_callers

if TYPE_CHECKING:
    from tests.scenarios.datapath import paths

scenarios("../features/own_answer.feature")

ANSWER_TOKENS = 20
SHORT_PROMPT_TOKENS = 8
LONG_PROMPT_TOKENS = 200
LONG_ANSWER_TOKENS = 300
CROSSED_CALLS = 4
MAX_REFUSALS = 10
RETRY_DELAY_S = 0.5
FAST_FACTOR = 0.1
CANCEL_LIMIT_S = 1.0
STAGES = ["first", "middle", "last"]
PAGE_BYTES = 4096


@when(parsers.parse("{count:d} callers ask for answers"))
def ask_many(world: paths.PathWorld, count: int) -> None:
    for index in range(count):
        world.ask(f"caller {index}", ANSWER_TOKENS, SHORT_PROMPT_TOKENS + index)


@when(parsers.parse("all callers have received {count:d} tokens"))
def all_received(world: paths.PathWorld, count: int) -> None:
    for name in list(world.requests):
        world.wait_tokens(name, count)
        for _ in range(MAX_REFUSALS):
            if not is_refused(world, name):
                break
            retry(world, name)
            world.wait_tokens(name, count)


def is_refused(world: paths.PathWorld, name: str) -> bool:
    task = world.requests[name].task
    return task.done() and task.result().execution == "not_run"


def retry(world: paths.PathWorld, name: str) -> None:
    """Retries after a refusal; the node may still count earlier faults."""
    refused = world.requests[name]
    assert refused.task.result().kind == "overloaded"
    world.run(asyncio.sleep(RETRY_DELAY_S))
    world.send(name, refused.count, prompt=refused.prompt)


@when(parsers.parse("the answers of {engines} are {disturbed}"))
def disturb(world: paths.PathWorld, engines: str, disturbed: str) -> None:
    stages = ["middle"] if engines == "one engine" else STAGES
    for stage in stages:
        engine = world.wait_stage("caller 0", stage)
        DISTURBANCES[disturbed](world, engine)


def cross(world: paths.PathWorld, engine: str) -> None:
    calls = CROSSED_CALLS
    world.run(world.system.control(engine, cross_answers=calls))


DISTURBANCES = {
    "crossed": cross,
    "held back for 1 s": faults.hold_answers_once,
    "cut off after the runs": faults.cut_after_run,
}


@then("all callers have their right answers")
def all_right(world: paths.PathWorld) -> None:
    for name in world.requests:
        world.check_answer(name)


@then("every layer ran once and in order for all callers")
def all_layers_once(world: paths.PathWorld) -> None:
    for name in world.requests:
        world.check_ledgers(name)


@when(parsers.parse("ann's {kind} request is in {phase}"))
def begin_raw(world: paths.PathWorld, kind: str, phase: str) -> None:
    world.run(world.system.wait_for(lambda: no_sessions(world), "no sessions"))
    marker = next(world.marker_tokens)
    caller = raw_callers.RawCaller(
        world.system.nodes["n1"].address,
        prompt=[marker, *[1] * LONG_PROMPT_TOKENS],
        max_tokens=LONG_ANSWER_TOKENS,
        stream=kind == "streamed",
    )
    world.notes["ann"] = caller
    min_position = 1 if phase == "prefill" else LONG_PROMPT_TOKENS + 10

    async def begun() -> bool:
        runs = world.runs_of_marker(marker)
        return any(run.stop >= min_position for run in runs)

    def seen() -> str:
        return f"{caller.received()!r}; {world.last_steps(marker)}"

    what = f"ann's {phase}"
    world.run(world.system.wait_for(begun, what, seen=seen))


async def no_sessions(world: paths.PathWorld) -> bool:
    counts = [
        (await world.system.load(engine)).get("sessions")
        for engine in world.system.engines
    ]
    return not any(counts)


@when("ann disconnects")
def disconnect(world: paths.PathWorld) -> None:
    world.notes["ann"].close()


@then("no engine has a session 1 s later")
def sessions_gone(world: paths.PathWorld) -> None:
    world.run(asyncio.sleep(CANCEL_LIMIT_S))
    assert world.run(no_sessions(world))


@when(
    parsers.parse(
        "{count:d} callers ask for {tokens:d} tokens and read nothing"
    )
)
def ask_unread(world: paths.PathWorld, count: int, tokens: int) -> None:
    for engine in world.system.engines:
        world.run(world.system.control(engine, slow_factor=FAST_FACTOR))
    node = world.system.nodes["n1"]
    world.notes["resident"] = resident_bytes(node.pid)
    world.notes["unread"] = [
        raw_callers.RawCaller(
            node.address, prompt=[5, index], max_tokens=tokens, stream=True
        )
        for index in range(count)
    ]


def resident_bytes(pid: int) -> int:
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


@then(parsers.parse("the node grew by less than {megabytes:d} MB"))
def node_grew(world: paths.PathWorld, megabytes: int) -> None:
    now = resident_bytes(world.system.nodes["n1"].pid)
    assert now - world.notes["resident"] < megabytes * 1_000_000


@when(parsers.parse("the {count:d} callers start to read"))
def read_at_last(world: paths.PathWorld, count: int) -> None:
    async def read_all() -> list[bytes]:
        callers = world.notes["unread"]
        assert len(callers) == count
        return await asyncio.gather(*[c.read_to_end() for c in callers])

    world.notes["read"] = world.run(read_all())


@then("each of them gets the end of the stream")
def all_ended(world: paths.PathWorld) -> None:
    ends = [raw_callers.END in received for received in world.notes["read"]]
    assert all(ends), ends


@when("the node is killed")
def kill_node(world: paths.PathWorld) -> None:
    world.system.nodes["n1"].kill()


@then(parsers.parse("{name}'s stream is visibly incomplete"))
def is_cut(world: paths.PathWorld, name: str) -> None:
    answer = world.answer(name)
    assert not answer.whole
    assert 0 < len(answer.tokens) < world.requests[name].count


@then(parsers.parse("all tokens that {name} received are right"))
def right_so_far(world: paths.PathWorld, name: str) -> None:
    request = world.requests[name]
    tokens = tuple(world.answer(name).tokens)
    wanted = systems.expected(request.prompt, request.count)
    assert tokens == wanted[: len(tokens)]
