from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.datapath import endpoint_faults

if TYPE_CHECKING:
    from almondshift.adapters import http_caller
    from tests.scenarios.datapath import paths

scenarios("../features/execution_truth.feature")

BODY = b'{"pause": true}' * 100
RETRY_DEADLINE_MS = 5000
PROMPT_TOKENS = 40


@given("a plain service slip, which is not idempotent, behind a proxy")
def start_service(world: paths.PathWorld) -> None:
    if endpoint_faults.ENDPOINT not in world.system.plain:
        start = world.system.start_proxied_plain
        world.run(start(endpoint_faults.SERVICE, endpoint_faults.ENDPOINT))
    world.notes["before"] = count_runs(world)


def count_runs(world: paths.PathWorld) -> int:
    return len(world.run(world.system.ledger(endpoint_faults.ENDPOINT)))


@when(parsers.re("slip (?P<trouble>.*)"))
def trouble(world: paths.PathWorld, trouble: str) -> None:
    world.run(endpoint_faults.inject(world.system, trouble))


@when("the link to slip and the service are healthy again")
def heal(world: paths.PathWorld) -> None:
    world.run(world.system.heal())


@when(parsers.parse("{name} calls slip within {deadline_ms:d} ms"))
def call(world: paths.PathWorld, name: str, deadline_ms: int) -> None:
    world.notes[name] = send(world, name, deadline_ms)


@when(parsers.parse("{name} sends the same again"))
def call_again(world: paths.PathWorld, name: str) -> None:
    world.notes[f"{name} again"] = send(world, name, RETRY_DEADLINE_MS)


def send(
    world: paths.PathWorld, name: str, deadline_ms: int
) -> http_caller.CallerAnswer:
    key = world.notes.setdefault(
        f"key of {name}", f"k{next(world.marker_tokens)}"
    )
    caller = world.run(world.system.caller())
    return world.run(
        caller.call(
            endpoint_faults.SERVICE,
            "/pause",
            BODY,
            idempotency_key=key,
            deadline_ms=deadline_ms,
        )
    )


@then(parsers.parse("{name}'s call ended as {kind} and {execution}"))
def ended(world: paths.PathWorld, name: str, kind: str, execution: str) -> None:
    answer = world.notes[name]
    assert (answer.kind, answer.execution) == (kind, execution), answer


@then(parsers.parse("slip ran {runs:d} calls"))
def check_runs(world: paths.PathWorld, runs: int) -> None:
    assert count_runs(world) - world.notes["before"] == runs


@then(parsers.parse("{name}'s second answer is {second}"))
def second_answer(world: paths.PathWorld, name: str, second: str) -> None:
    answer = world.notes[f"{name} again"]
    assert (answer.execution or "whole") == second, answer


@when(parsers.parse("the engines are {factor:d} times slower"))
def slow_engines(world: paths.PathWorld, factor: int) -> None:
    for engine in world.system.engines:
        world.run(world.system.control(engine, slow_factor=factor))


@when("the engines are as fast as before")
def fast_engines(world: paths.PathWorld) -> None:
    slow_engines(world, 1)


@when(
    parsers.parse(
        "{name} asks once for {count:d} tokens within {deadline_ms:d} ms"
    )
)
def ask_once(
    world: paths.PathWorld, name: str, count: int, deadline_ms: int
) -> None:
    world.ask(
        name,
        count,
        PROMPT_TOKENS,
        service="once",
        deadline_ms=deadline_ms,
        idempotency_key=f"key of {name}",
    )


@when(parsers.parse("{name} asks once for the same within {deadline_ms:d} ms"))
def ask_once_again(world: paths.PathWorld, name: str, deadline_ms: int) -> None:
    request = world.requests[name]
    world.send(
        name,
        request.count,
        prompt=request.prompt,
        service="once",
        deadline_ms=deadline_ms,
        idempotency_key=f"key of {name}",
    )


@then(parsers.parse("{name} is told {execution}"))
def told(world: paths.PathWorld, name: str, execution: str) -> None:
    answer = world.answer(name)
    assert answer.execution == execution, answer.problem


@then(parsers.parse("engines ran a part of {name}'s request"))
def ran_part(world: paths.PathWorld, name: str) -> None:
    assert world.runs(name)


@then(parsers.parse("engines ran {name}'s request once"))
def ran_once(world: paths.PathWorld, name: str) -> None:
    marker = world.requests[name].prompt[0]
    begun = [
        run.request_id
        for run in world.system.runs()
        if (run.start, run.position, run.first_input) == (0, 0, marker)
    ]
    assert len(begun) == 1, begun
