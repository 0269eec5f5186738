from __future__ import annotations

import asyncio
import time

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import ledgers
from tests.scenarios.datapath import paths

scenarios("../features/leaving_endpoint.feature")

PROMPT_TOKENS = 20
SHORT_PROMPT_TOKENS = 6
SHORT_ANSWER_TOKENS = 4
REQUEST_INTERVAL_S = 0.25
NEW_WORK_GRACE_S = 3.0
EXIT_TIMEOUT_S = 10.0
LIST_TIMEOUT_S = 15.0


@given(parsers.parse("a system whose VM list lags by {lag_s:d} s"))
def start_lagging(world: paths.PathWorld, lag_s: int) -> None:
    if world.system.nodes:
        return
    world.system.vm_lag_s = lag_s
    world.run(world.system.start(nodes=2, engines=paths.engines(6)))


@when(parsers.parse("{name} asks for {count:d} tokens"))
def ask(world: paths.PathWorld, name: str, count: int) -> None:
    world.ask(name, count, PROMPT_TOKENS)


@when(parsers.parse("the engine of {name}'s {stage} stage gets SIGTERM"))
def terminate(world: paths.PathWorld, name: str, stage: str) -> None:
    engine = world.stage_of(name, stage)
    world.run(world.system.control(engine, opens_while_leaving=True))
    record_leaving(world, engine)
    world.system.engines[engine].terminate()


def record_leaving(world: paths.PathWorld, engine: str) -> None:
    world.notes["engine"] = engine
    world.notes["left_at"] = time.monotonic()


@when(
    parsers.parse(
        "the VM list is told that the engine of {name}'s {stage} stage leaves"
    )
)
def list_leaving(world: paths.PathWorld, name: str, stage: str) -> None:
    engine = world.stage_of(name, stage)
    world.notes["engine"] = engine
    world.run(world.system.list_leaving(engine))


@when("the list shows it")
def list_shows(world: paths.PathWorld) -> None:
    engine = world.notes["engine"]
    shown = world.system.is_listed_leaving
    world.run(
        world.system.wait_for(
            lambda: shown(engine), "list shows it", LIST_TIMEOUT_S
        )
    )
    record_leaving(world, engine)


@when(parsers.parse("new requests come for {seconds:d} s"))
def new_requests(world: paths.PathWorld, seconds: int) -> None:
    nodes = sorted(world.system.nodes)
    for index in range(round(seconds / REQUEST_INTERVAL_S)):
        world.ask(
            f"new {index}",
            SHORT_ANSWER_TOKENS,
            SHORT_PROMPT_TOKENS,
            node=nodes[index % len(nodes)],
        )
        world.run(asyncio.sleep(REQUEST_INTERVAL_S))


@then("no session began on that engine later than 3 s")
def no_new_session(world: paths.PathWorld) -> None:
    engine = world.notes["engine"]
    limit = world.notes["left_at"] + NEW_WORK_GRACE_S
    runs = ledgers.read(world.system.ledger_path(engine), engine)
    late = [s.first for s in ledgers.sessions(runs) if s.first.at > limit]
    assert not late


@then("all new requests have the right answers")
def all_new_right(world: paths.PathWorld) -> None:
    for name in world.requests:
        world.check_answer(name)
        world.check_ledgers(name)


@then("that engine exited by itself")
def engine_exited(world: paths.PathWorld) -> None:
    process = world.system.engines[world.notes["engine"]]

    async def ended() -> bool:
        return not process.is_running()

    world.run(world.system.wait_for(ended, "the engine's end", EXIT_TIMEOUT_S))
    assert process.popen.returncode == 0
