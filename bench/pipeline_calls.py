"""Measures the cost of steps, of KV cache moves and of message encodings.

Run with ``python -m bench.pipeline_calls``. Steps are sent with and without
coalescing to an engine in a separate process whose steps take no time, so
that the figures are the cost of the calls.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import statistics
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from almondshift.adapters import engine_messages
from almondshift.adapters import http_engine
from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import orders
from almondshift.model import steps
from almondshift.node import coalescer
from almondshift.node import step_queue
from almondshift.ports import clocks
from bench import engine_processes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.ports import engines

LAYERS = layers.LayerRange(0, 4)
SESSIONS = 64
STEPS_PER_SESSION = 60
ROUNDS = 3
WARM_UP_STEPS = 5
TIMEOUT_S = 30.0
US_PER_S = 1e6
MS_PER_S = 1e3

INSTANT = ("--model", "m=8", "--fixed-ms", "0", "--per-layer-token-us", "0")
LARGE_LIMITS = ("--max-batch", "256", "--max-sessions", "256")
SLOW_LINK = ("--link-latency-ms", "2", "--link-bytes-per-s", "100e6")
REALISTIC_TIMES = ("--fixed-ms", "5", "--per-layer-token-us", "50")


class SystemClock(clocks.Clock):
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        await asyncio.sleep(seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class CallMode:
    """Settings with which steps are sent."""

    name: str
    items: int
    max_calls: int
    coalesce: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """Figures of one round; ``cpu_s_per_step`` is of this process only."""

    items_per_call: float
    call_s: float
    cpu_s_per_step: float
    steps_per_s: float


MODES = (
    CallMode("off, 2 calls in flight", 1, 2, coalesce=False),
    CallMode("off, 64 calls in flight", 1, 64, coalesce=False),
    CallMode("up to 1 item", 1, 2),
    CallMode("up to 4 items", 4, 2),
    CallMode("up to 16 items", 16, 2),
    CallMode("up to 64 items", 64, 2),
    CallMode("up to 64 items, 1 call", 64, 1),
)


def make_item(
    session: str, position: int, inputs: tuple[int, ...]
) -> steps.StepItem:
    """Returns a step item whose request has the same id as its session."""
    return steps.StepItem(
        session, session, 1, position, LAYERS, "m", 1, "", 1, inputs
    )


async def connect(
    address: str,
) -> tuple[http_engine.HttpEngineFactory, http_engine.HttpEngine]:
    """Connects to an engine and has it load the model."""
    factory = http_engine.create_factory(max_connections=128)
    engine = factory.build("e1", address)
    await engine.start()
    role = endpoints.EndpointRole.SERVING
    await engine.order(orders.Order(1, role, "m", 1, "", LAYERS))
    while not any(held.ready for held in (await engine.load()).ok.holdings):
        await asyncio.sleep(0.01)
    return factory, engine


async def measure_mode(
    engine: engines.Engine, mode: CallMode
) -> dict[str, Any]:
    """Measures one call mode; returns medians of ``ROUNDS`` rounds."""
    rounds = [
        await measure_round(engine, mode, f"{mode.name}-{number}")
        for number in range(ROUNDS)
    ]

    def median(values: Iterable[float]) -> float:
        return statistics.median(values)

    return {
        "mode": mode.name,
        "items_per_call": round(median(r.items_per_call for r in rounds), 1),
        "call_ms_p50": round(median(r.call_s for r in rounds) * MS_PER_S, 2),
        "client_cpu_us_per_step": round(
            median(r.cpu_s_per_step for r in rounds) * US_PER_S, 1
        ),
        "steps_per_s": round(median(r.steps_per_s for r in rounds)),
    }


async def measure_round(
    engine: engines.Engine, mode: CallMode, prefix: str
) -> Round:
    """Measures steps of ``SESSIONS`` concurrent sessions."""
    timings: list[coalescer.CallTiming] = []
    limits = step_queue.CallLimits(mode.items, SESSIONS)
    settings = coalescer.CoalescerSettings(
        mode.max_calls, limits, mode.coalesce
    )
    step_coalescer = coalescer.create_coalescer(
        engine, SystemClock(), settings, timings.append, lambda: TIMEOUT_S
    )
    await step_coalescer.start()
    await run_sessions(step_coalescer, prefix, 0, WARM_UP_STEPS)
    timings.clear()
    started_at, cpu_at = time.monotonic(), time.process_time()
    await run_sessions(step_coalescer, prefix, WARM_UP_STEPS, STEPS_PER_SESSION)
    seconds = time.monotonic() - started_at
    cpu_s = time.process_time() - cpu_at
    await step_coalescer.close()
    await engine.cancel([f"{prefix}{n}" for n in range(SESSIONS)])
    count = SESSIONS * STEPS_PER_SESSION
    return Round(
        count / len(timings),
        statistics.median(timing.seconds for timing in timings),
        cpu_s / count,
        count / seconds,
    )


async def run_sessions(
    step_coalescer: coalescer.Coalescer, prefix: str, position: int, count: int
) -> None:
    """Runs ``count`` consecutive steps of each session."""

    async def run(session: str) -> None:
        for at in range(position, position + count):
            item = make_item(session, at, (at,))
            outcome = await step_coalescer.submit(item)
            if outcome.is_error() or not outcome.ok.outputs:
                raise RuntimeError(f"step failed: {outcome}")

    await asyncio.gather(*(run(f"{prefix}{n}") for n in range(SESSIONS)))


async def measure_calls(address: str) -> list[dict[str, Any]]:
    """Measures all call modes."""
    factory, engine = await connect(address)
    rows = [await measure_mode(engine, mode) for mode in MODES]
    await engine.close()
    await factory.close()
    return rows


async def measure_move(address: str, length: int) -> dict[str, Any]:
    """Compares the move of a session's KV cache with replaying its inputs."""
    factory, engine = await connect(address)
    inputs = tuple(range(length * 1000, length * 1001))
    started_at = time.monotonic()
    await engine.step([make_item(f"s{length}", 0, inputs)], TIMEOUT_S)
    replayed_s = time.monotonic() - started_at
    started_at = time.monotonic()
    snapshot = (await engine.export_kv(f"s{length}")).ok
    moved = dataclasses.replace(snapshot, session=f"t{length}")
    imported = await engine.import_kv(moved)
    moved_s = time.monotonic() - started_at
    if imported.is_error():
        raise RuntimeError(str(imported.error))
    await engine.close()
    await factory.close()
    return {
        "positions": length,
        "replay_ms": round(replayed_s * MS_PER_S, 1),
        "export_import_ms": round(moved_s * MS_PER_S, 1),
    }


def measure_encodings() -> list[dict[str, Any]]:
    """Compares encodings of a message with 64 items of one token."""
    items = [make_item(f"request-{n}/1/0", n, (2**63 + n,)) for n in range(64)]
    maps = [dataclasses.asdict(item) for item in items]
    rows = msgspec.msgpack.decode(engine_messages.encode_items(items))
    encodings: list[tuple[str, Callable[[], bytes], Callable[[bytes], Any]]] = [
        (
            "MessagePack arrays, as used",
            lambda: engine_messages.encode_items(items),
            engine_messages.decode_items,
        ),
        (
            "MessagePack arrays, codec only",
            lambda: msgspec.msgpack.encode(rows),
            msgspec.msgpack.decode,
        ),
        (
            "MessagePack maps, codec only",
            lambda: msgspec.msgpack.encode(maps),
            msgspec.msgpack.decode,
        ),
        (
            "JSON arrays, codec only",
            lambda: msgspec.json.encode(rows),
            msgspec.json.decode,
        ),
        (
            "JSON maps, codec only",
            lambda: msgspec.json.encode(maps),
            msgspec.json.decode,
        ),
    ]
    return [
        measure_encoding(name, encode, decode, len(items))
        for name, encode, decode in encodings
    ]


def measure_encoding(
    name: str,
    encode: Callable[[], bytes],
    decode: Callable[[bytes], Any],
    items: int,
) -> dict[str, Any]:
    """Measures one encoding of a message."""
    rounds = 300
    body = encode()
    encode_at = time.process_time()
    for _ in range(rounds):
        encode()
    decode_at = time.process_time()
    for _ in range(rounds):
        decode(body)
    ended_at = time.process_time()
    per_item = US_PER_S / rounds / items
    return {
        "form": name,
        "bytes_per_item": round(len(body) / items),
        "encode_us_per_item": round((decode_at - encode_at) * per_item, 2),
        "decode_us_per_item": round((ended_at - decode_at) * per_item, 2),
    }


def run() -> dict[str, Any]:
    """Measures everything and returns the figures."""
    with engine_processes.run_engine(*INSTANT, *LARGE_LIMITS) as address:
        calls = asyncio.run(measure_calls(address))
    options = (*INSTANT, *LARGE_LIMITS, *REALISTIC_TIMES, *SLOW_LINK)
    with engine_processes.run_engine(*options) as address:
        moves = [
            asyncio.run(measure_move(address, length))
            for length in (16, 128, 1024)
        ]
    return {
        "calls": calls,
        "moves": moves,
        "encodings": measure_encodings(),
    }


def print_table(rows: list[dict[str, Any]]) -> None:
    """Prints rows with the same keys as a table."""
    cells = [list(rows[0]), *([str(v) for v in row.values()] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = zip(line, widths, strict=True)
        print("  ".join(cell.ljust(width) for cell, width in padded))
    print()


def main() -> None:
    """Prints the figures as tables and as JSON."""
    figures = run()
    for rows in figures.values():
        print_table(rows)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
