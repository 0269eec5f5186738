"""Measures how long callers get no token when an engine is lost."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import tempfile
import time
from typing import Any

from tests.faults import processes
from tests.faults import systems

PROMPT = list(range(32, 96))
TOKENS = 120
FAULT_AFTER_TOKENS = 60
STREAMS = 8
ROUNDS = 8

ENGINES = (
    systems.EngineShape("e1", 6, "za", "fast", 2.0, 40.0),
    systems.EngineShape("e2", 6, "zb", "fast", 2.0, 40.0),
    systems.EngineShape("e3", 6, "za", "fast", 2.0, 40.0),
    systems.EngineShape("e4", 6, "zb", "fast", 2.0, 40.0),
    systems.EngineShape("e5", 6, "zb", "fast", 2.0, 40.0),
    systems.EngineShape("e6", 6, "zb", "fast", 2.0, 40.0),
)


async def measure(*, keep_inputs: bool, freeze: bool) -> dict[str, Any]:
    """Kills or freezes an engine under running streams, several times.

    Returns:
        Percentiles of the longest gap between tokens of each stream that
        went through a recovery, in seconds, and the number of wrong answers.
    """
    gaps: list[float] = []
    wrong = 0
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with processes.running(folder) as runner:
            system = systems.RealSystem(runner, folder, keep_inputs=keep_inputs)
            try:
                await system.start(nodes=2, engines=ENGINES)
                for index in range(ROUNDS):
                    round_gaps, round_wrong = await _round(
                        system, index, freeze
                    )
                    gaps.extend(round_gaps)
                    wrong += round_wrong
            finally:
                await system.close()
    gaps.sort()
    return {
        "keep_inputs": keep_inputs,
        "fault": "freeze" if freeze else "kill",
        "recoveries": len(gaps),
        "p50": _percentile(gaps, 0.50),
        "p99": _percentile(gaps, 0.99),
        "max": gaps[-1] if gaps else 0.0,
        "wrong": wrong,
    }


async def _round(
    system: systems.RealSystem, index: int, freeze: bool
) -> tuple[list[float], int]:
    caller = await system.caller()
    addresses = [node.address for node in system.nodes.values()]
    shape = ENGINES[index % len(ENGINES)]
    prompt = [*PROMPT, index + 1]
    expected = systems.expected(prompt, TOKENS)
    token_count = 0
    fault_injected = False

    def on_token(_: int) -> None:
        nonlocal token_count, fault_injected
        token_count += 1
        if token_count >= FAULT_AFTER_TOKENS * STREAMS and not fault_injected:
            fault_injected = True
            engine = system.engines[shape.name]
            (engine.freeze if freeze else engine.kill)()

    answers = await asyncio.gather(
        *(
            caller.complete(
                "chat",
                prompt,
                TOKENS,
                address=addresses[i % len(addresses)],
                on_token=on_token,
            )
            for i in range(STREAMS)
        )
    )
    wrong = sum(1 for a in answers if tuple(a.tokens) != expected)
    gaps = [
        max(b - a for a, b in itertools.pairwise(answer.arrivals))
        for answer in answers
        if answer.details.get("recoveries")
    ]
    await _restart_engine(system, shape)
    return gaps, wrong


async def _restart_engine(
    system: systems.RealSystem, shape: systems.EngineShape
) -> None:
    system.engines[shape.name].kill()
    await system.start_engine(shape)
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        if await _all_engines_ready(system):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(
        f"not all engines were ready after {shape.name} restarted"
    )


async def _all_engines_ready(system: systems.RealSystem) -> bool:
    for node in system.nodes:
        status = await system.status(node)
        rows = status.get("endpoints", [])
        engines = [row for row in rows if row["kind"] == "engine"]
        if len(engines) != len(ENGINES):
            return False
        for row in engines:
            if not any(h["ready"] for h in row["holdings"]):
                return False
    return True


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def main() -> list[dict[str, Any]]:
    """Measures recovery by replay and by restart; prints and returns rows."""
    rows = []
    print("recovery  fault   streams  p50 s  p99 s  max s  wrong")
    for keep_inputs, freeze in ((True, False), (False, False), (True, True)):
        row = asyncio.run(measure(keep_inputs=keep_inputs, freeze=freeze))
        recovery = "replay" if keep_inputs else "restart"
        print(
            f"{recovery:8}  {row['fault']:6}  {row['recoveries']:7}  "
            f"{row['p50']:5.3f}  {row['p99']:5.3f}  {row['max']:5.3f}  "
            f"{row['wrong']}"
        )
        rows.append(row)
    return rows


if __name__ == "__main__":
    main()
