"""Steps for requests that may run at most once."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

if TYPE_CHECKING:
    from almondshift.adapters import http_caller
    from tests.scenarios import control as controls

SLOW_PLAIN_S = 1.5
SLOW_ENGINE_FACTOR = 15.0
ANSWER_TOKENS = 12
FIRST_TOKEN = 1000
WARM_UP_CALLS = 6
REFUSAL_LIMIT_S = 2.5
CLAIM_WRITE = b'"table":"claims"'
KEY = "key of the notice"
BODIES = {"notice": b"pause member 7", "other notice": b"pause member 8"}


@dataclasses.dataclass(slots=True)
class Notice:
    """The non-idempotent work of a scenario.

    Attributes:
        service: The service that performs it.
        sent: Requests for it, by the caller's name.
    """

    service: str
    sent: dict[str, asyncio.Task[http_caller.CallerAnswer]] = dataclasses.field(
        default_factory=dict
    )


@pytest.fixture
def notice(control: controls.Control) -> Notice:
    return Notice("portal")


@given(parsers.parse("a notice for the service {service}"))
def use_service(notice: Notice, service: str) -> None:
    notice.service = service


@given("all endpoints are slow")
def slow_down(control: controls.Control) -> None:
    for name in control.system.plain:
        control.world.run(control.system.control(name, slow_s=SLOW_PLAIN_S))
    for name in control.system.engines:
        control.world.run(
            control.system.control(name, slow_factor=SLOW_ENGINE_FACTOR)
        )


@given("kept connections to all endpoints")
def warm_up(control: controls.Control) -> None:
    async def call(number: int) -> None:
        caller = await control.system.caller()
        answer = await caller.call(
            "portal",
            "/warm-up",
            b"hello",
            idempotency_key=f"warm-up {number}",
            address=control.system.nodes["n1"].address,
        )
        assert answer.status == 200, answer

    async def calls() -> None:
        await asyncio.gather(*(call(n) for n in range(WARM_UP_CALLS)))

    control.world.run(calls())


@when(parsers.parse("{name} sends the {what} through {node} for {ms:d} ms"))
def send_for(
    control: controls.Control,
    notice: Notice,
    name: str,
    what: str,
    node: str,
    ms: int,
) -> None:
    notice.sent[name] = control.world.run(
        _begin(control, notice, what, node, ms)
    )


@when(parsers.parse("{name} sends the {what} through {node}"))
def send(
    control: controls.Control, notice: Notice, name: str, what: str, node: str
) -> None:
    send_for(control, notice, name, what, node, 15_000)


@when(parsers.parse("the notice is sent through {names} at once"))
def send_at_once(control: controls.Control, notice: Notice, names: str) -> None:
    for node in control.parse_nodes(names):
        send(control, notice, f"caller of {node}", "notice", node)


async def _begin(
    control: controls.Control, notice: Notice, what: str, node: str, ms: int
) -> asyncio.Task[http_caller.CallerAnswer]:
    caller = await control.system.caller()
    address = control.system.nodes[node].address
    if notice.service == "portal":
        work = caller.call(
            "portal",
            "/pause",
            BODIES[what],
            deadline_ms=ms,
            idempotency_key=KEY,
            address=address,
        )
    else:
        work = caller.complete(
            notice.service,
            [FIRST_TOKEN, *BODIES[what]],
            ANSWER_TOKENS,
            deadline_ms=ms,
            idempotency_key=KEY,
            address=address,
        )
    return asyncio.create_task(work)


async def _runs(control: controls.Control, notice: Notice) -> int:
    """Counts the runs of the notice in the endpoints' ledgers."""
    plain = notice.service == "portal"
    names = control.system.plain if plain else control.system.engines
    rows = []
    for name in names:
        rows += await control.system.ledger(name)
    if plain:
        return sum(row["path"].endswith("/pause") for row in rows)
    starts = [row for row in rows if row["first_input"] == FIRST_TOKEN]
    return len({row["request_id"] for row in starts if row["start"] == 0})


@when("the notice has begun to run")
def wait_run(control: controls.Control, notice: Notice) -> None:
    async def runs() -> bool:
        return await _runs(control, notice) > 0

    control.world.run(control.system.wait_for(runs, "the notice runs"))


@when("the platform holds the claim of the notice")
def wait_claim(control: controls.Control) -> None:
    async def held() -> bool:
        return bool(await control.rows("claims", ""))

    control.world.run(control.system.wait_for(held, "the claim is written"))


@when(parsers.parse("the response to the claim is held back from {node}"))
def hold_claim(control: controls.Control, node: str) -> None:
    control.proxies[node].held_response_to = CLAIM_WRITE


@when(parsers.parse("the response to the claim reaches {node} late"))
def release_answers(control: controls.Control, node: str) -> None:
    control.proxies[node].heal()


@when(parsers.parse("{seconds:g} seconds pass"))
def pass_time(control: controls.Control, seconds: float) -> None:
    """Waits for a deadline of the scenario to pass."""
    control.world.run(asyncio.sleep(seconds))


@given("the next answer of all endpoints is cut off")
def drop_next_answer(control: controls.Control) -> None:
    for name in control.system.plain:
        control.world.run(control.system.control(name, swallow_answers=1))


def _answer(
    control: controls.Control, notice: Notice, name: str
) -> http_caller.CallerAnswer:
    async def wait() -> http_caller.CallerAnswer:
        return await notice.sent[name]

    return control.world.run(wait())


@when(parsers.parse("{name} gets an answer"))
@then(parsers.parse("{name} gets an answer"))
def gets_answer(control: controls.Control, notice: Notice, name: str) -> None:
    answer = _answer(control, notice, name)
    assert answer.status == 200, (answer.status, answer.problem)
    assert answer.whole


@then("all get the same answer")
def same_answer(control: controls.Control, notice: Notice) -> None:
    found = []
    for name in notice.sent:
        gets_answer(control, notice, name)
        answer = _answer(control, notice, name)
        found.append((answer.tokens, answer.text))
    assert all(answer == found[0] for answer in found), found


@then(parsers.parse("{one} and {other} get the same answer"))
def pair_same_answer(
    control: controls.Control, notice: Notice, one: str, other: str
) -> None:
    first = _answer(control, notice, one)
    second = _answer(control, notice, other)
    assert first.whole and second.whole, (first, second)
    assert (first.tokens, first.text) == (second.tokens, second.text)


@then(parsers.parse("{name} is told that it may have run"))
def told_unknown(control: controls.Control, notice: Notice, name: str) -> None:
    answer = _answer(control, notice, name)
    assert answer.problem is not None, answer
    assert answer.kind == "outcome_unknown", answer.problem
    assert answer.execution == "unknown"
    assert answer.problem["remedy"]


@then(parsers.parse("{name} is told at once that it was not run"))
def told_not_run(control: controls.Control, notice: Notice, name: str) -> None:
    answer = _answer(control, notice, name)
    assert answer.problem is not None, answer
    assert answer.kind == "store_unavailable", answer.problem
    assert answer.execution == "not_run"
    assert answer.problem["retry_after_s"] >= 1, answer.problem
    assert answer.seconds < REFUSAL_LIMIT_S


@then(parsers.parse("{name} is told that the deadline has passed"))
def told_deadline_passed(
    control: controls.Control, notice: Notice, name: str
) -> None:
    answer = _answer(control, notice, name)
    assert answer.kind == "deadline_past", (answer.status, answer.problem)
    assert answer.execution == "not_run"


@then(parsers.parse("{name} is told that the key was used for another body"))
def told_key_reused(
    control: controls.Control, notice: Notice, name: str
) -> None:
    answer = _answer(control, notice, name)
    assert answer.kind == "idempotency_key_reused", answer.problem
    assert answer.execution == "not_run"


@then(
    parsers.parse(
        "{name} repeats the notice through {node} until it is answered"
    )
)
@when(
    parsers.parse(
        "{name} repeats the notice through {node} until it is answered"
    )
)
def repeat_until_answered(
    control: controls.Control, notice: Notice, name: str, node: str
) -> None:
    """Repeats the request until it succeeds."""

    async def answered() -> bool:
        task = await _begin(control, notice, "notice", node, 15_000)
        notice.sent[name] = task
        return (await task).status == 200

    control.world.run(
        control.system.wait_for(answered, f"{name} gets an answer")
    )


@then(parsers.parse("it ran {count:d} times"))
def ran(control: controls.Control, notice: Notice, count: int) -> None:
    assert control.world.run(_runs(control, notice)) == count
