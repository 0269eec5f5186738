"""Responses of engines that refuse, fail, reset and respond twice."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

from tornado import iostream

from almondshift.platform import names
from tests.platform import standin_engines
from tests.soak import ledger

if TYPE_CHECKING:
    from tests.soak import engine_process

MAX_DELAY_S = 1.2
ENDLESS_BLOCK_BYTES = 60_000
ENDLESS_PAUSE_S = 0.02
ENDLESS_BODIES = (
    b"1\r\nx\r\n",
    b"4\r\n\n\n\n\n\r\n",
    b"8\r\n: abcd\n\n\r\n",
    b"64\r\n" + 100 * b"x" + b"\r\n",
)
"""Chunks that are repeated without end."""

REPEATED_REFUSALS_PROBABILITY = 0.5


class Behaviour(enum.StrEnum):
    """How an erratic engine treats a request.

    Attributes:
        USUAL: As a sound engine does.
        REFUSE: It refuses it, perhaps twice.
        RESET: It closes the connection before it runs the request.
        RESET_AFTER_RUN: It closes the connection after it ran the request.
        FAIL_AFTER_RUN: It runs the request and responds with a failure.
        BREAK_OFF: It runs the request and breaks the response off.
        DELAY: It waits, then responds as usual.
    """

    USUAL = "usual"
    REFUSE = "refuse"
    RESET = "reset"
    RESET_AFTER_RUN = "reset after run"
    FAIL_AFTER_RUN = "fail after run"
    BREAK_OFF = "break off"
    DELAY = "delay"


BEHAVIOURS = (
    *(Behaviour.USUAL,) * 4,
    *(Behaviour.REFUSE,) * 5,
    *(behaviour for behaviour in Behaviour if behaviour != Behaviour.USUAL),
)
REFUSAL_STATUSES = (421, 429, 503)
FAILURE_STATUSES = (408, 429, 500, 503, 504)


async def respond(handler: engine_process.WorkHandler) -> bool:
    """Responds erratically; returns False if the usual response is due."""
    engine = handler.engine
    behaviour = engine.rng.choice(BEHAVIOURS)
    if behaviour is Behaviour.USUAL:
        return False
    if behaviour is Behaviour.DELAY:
        await asyncio.sleep(engine.rng.uniform(0.0, MAX_DELAY_S))
        return False
    if behaviour is Behaviour.REFUSE:
        engine.repeats_refusals = (
            engine.rng.random() < REPEATED_REFUSALS_PROBABILITY
        )
        handler.refuse(engine.rng.choice(REFUSAL_STATUSES))
    elif behaviour is Behaviour.RESET:
        handler.detach().close()
    else:
        await run_and_fail(handler, behaviour)
    return True


async def respond_without_end(handler: engine_process.WorkHandler) -> None:
    """Runs a request, and responds until the caller closes the connection."""
    handler.record(ledger.RowKind.RAN)
    request_id = handler.request.headers.get(names.REQUEST_ID, "")
    name = handler.engine.options.name
    stream = handler.detach()
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request_id}",
        f"{standin_engines.SIGNATURE}: sig-{name}",
        "Transfer-Encoding: chunked",
    ]
    repeated = handler.engine.rng.choice(ENDLESS_BODIES)
    block = repeated * (ENDLESS_BLOCK_BYTES // len(repeated) + 1)
    with contextlib.suppress(iostream.StreamClosedError):
        await stream.write("\r\n".join([*lines, "", ""]).encode())
        while handler.engine.is_endless:
            await stream.write(block)
            await asyncio.sleep(ENDLESS_PAUSE_S)
    stream.close()


async def run_and_fail(
    handler: engine_process.WorkHandler, behaviour: Behaviour
) -> None:
    """Runs a request without a complete response to it."""
    engine = handler.engine
    handler.record(ledger.RowKind.RAN)
    await asyncio.sleep(engine.rng.uniform(0.0, MAX_DELAY_S / 4))
    if behaviour is Behaviour.RESET_AFTER_RUN:
        handler.detach().close()
        return
    request_id = handler.request.headers.get(names.REQUEST_ID, "")
    handler.set_header("X-Request-Id", request_id)
    handler.set_header(standin_engines.SIGNATURE, f"sig-{engine.options.name}")
    if behaviour is Behaviour.BREAK_OFF:
        handler.set_header("Content-Length", "1000")
        stream = handler.stream()
        handler.write(b"part")
        await handler.flush()
        stream.close()
        return
    status = engine.rng.choice(FAILURE_STATUSES)
    handler.record(ledger.RowKind.FAILED, status)
    handler.set_status(status)
