from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.datapath import bad_requests

if TYPE_CHECKING:
    from tests.scenarios.datapath import paths

scenarios("../features/refusals.feature")

LATE_RUN_S = 0.05
STALE_CONNECTIONS_S = 1.0
"""Until then a keep-alive connection may be used whose reset has not been seen
yet; whether a request written to it has run is unknown."""
ANSWER_TOKENS = 5
PROMPT_TOKENS = 8


@when(parsers.parse("a request with {fault} is sent"))
def send(world: paths.PathWorld, fault: str) -> None:
    wanted = bad_requests.BAD_REQUESTS[fault]
    world.record_executions()
    address = world.system.nodes["n1"].address
    sent = bad_requests.send(world.system.http, address, wanted)
    world.notes["answer"] = world.run(sent)


@then(parsers.parse("it is refused as {kind} with status {status:d}"))
def refused(world: paths.PathWorld, kind: str, status: int) -> None:
    answer = world.notes["answer"]
    assert (answer.status, answer.problem["kind"]) == (status, kind)
    assert answer.content_type.startswith("application/problem+json")


@then("the refusal says not_run and names a remedy")
def not_run(world: paths.PathWorld) -> None:
    problem = world.notes["answer"].problem
    assert problem["execution"] == "not_run"
    assert problem["remedy"]
    assert "Traceback" not in str(problem)


@then("no endpoint ran anything")
def nothing_ran(world: paths.PathWorld) -> None:
    world.run(asyncio.sleep(LATE_RUN_S))
    world.check_no_executions()


@then("the node logged no traceback")
def no_traceback(world: paths.PathWorld) -> None:
    assert "Traceback" not in world.system.nodes["n1"].log()


@when("the engines refuse all steps")
def refuse_steps(world: paths.PathWorld) -> None:
    world.record_executions()
    for engine in world.system.engines:
        world.run(world.system.control(engine, refuse_all=True))


@when("the links to all engines have refused connections for 1 s")
def refuse_connections(world: paths.PathWorld) -> None:
    world.record_executions()
    for proxy in world.system.proxies.values():
        world.run(proxy.refuse())
        proxy.cut()
    world.run(asyncio.sleep(STALE_CONNECTIONS_S))


@when(parsers.parse("{name} asks for an answer within {deadline_ms:d} ms"))
def ask_within(world: paths.PathWorld, name: str, deadline_ms: int) -> None:
    world.ask(name, ANSWER_TOKENS, PROMPT_TOKENS, deadline_ms=deadline_ms)


@then(parsers.parse("{name} is told {execution}"))
def told(world: paths.PathWorld, name: str, execution: str) -> None:
    answer = world.answer(name)
    assert answer.execution == execution, answer.problem


@then("the node stopped reading it")
def stopped_reading(world: paths.PathWorld) -> None:
    assert world.notes["answer"].status in (413, bad_requests.NO_ANSWER)
