"""Measures a system's throughput against the bound of its hardware."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING
from typing import Any

from tests.faults import processes
from tests.faults import systems

from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.policy import flow

if TYPE_CHECKING:
    from almondshift.adapters import http_caller

PROMPT = list(range(32, 48))
TOKENS = 48
WARM_UP_S = 2.0
MEASURE_S = 6.0
NODES = 3
CONCURRENCY = 160

ENGINES = (
    systems.EngineShape("a1", 12, "za", "large", 8.0, 60.0),
    systems.EngineShape("b1", 6, "za", "middle", 8.0, 90.0),
    systems.EngineShape("b2", 6, "zb", "middle", 8.0, 90.0),
    systems.EngineShape("c1", 4, "za", "small", 10.0, 160.0),
    systems.EngineShape("c2", 4, "zb", "small", 10.0, 160.0),
    systems.EngineShape("c3", 4, "za", "small", 10.0, 160.0),
)
MAX_BATCH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ThroughputResult:
    """Figures of one run.

    Attributes:
        tokens_per_s: Generated tokens per second, without prompts.
        positions_per_s: Prompt and generated positions per second.
        bound: Positions per second that the engines allow by max-flow.
        node_cpu: Processor seconds of all nodes per second.
        wrong: Incomplete answers and those with unexpected tokens.
    """

    coalesce: bool
    tokens_per_s: float
    positions_per_s: float
    bound: float
    node_cpu: float
    wrong: int

    @property
    def share(self) -> float:
        """Positions per second as a share of the bound."""
        return self.positions_per_s / self.bound if self.bound else 0.0


async def measure(*, coalesce: bool) -> ThroughputResult:
    """Runs a saturating load for ``MEASURE_S``, after a warm-up."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with processes.running(folder) as runner:
            system = systems.RealSystem(runner, folder, coalesce=coalesce)
            try:
                await system.start(nodes=NODES, engines=ENGINES)
                return await _run_load(system, coalesce)
            finally:
                await system.close()


async def _run_load(
    system: systems.RealSystem, coalesce: bool
) -> ThroughputResult:
    bound = await _bound(system)
    expected = systems.expected(PROMPT, TOKENS)
    caller = await system.caller()
    addresses = [node.address for node in system.nodes.values()]
    counter = _TokenCounter(expected)
    end = time.monotonic() + WARM_UP_S + MEASURE_S
    workers = [
        asyncio.create_task(
            _send_requests(caller, addresses[i % len(addresses)], counter, end)
        )
        for i in range(CONCURRENCY)
    ]
    await asyncio.sleep(WARM_UP_S)
    counter.reset()
    cpu_before = _cpu_s(system)
    started = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    seconds = time.monotonic() - started
    tokens, prompt_tokens = counter.tokens, counter.prompt_tokens
    cpu = (_cpu_s(system) - cpu_before) / seconds
    await asyncio.gather(*workers)
    return ThroughputResult(
        coalesce=coalesce,
        tokens_per_s=tokens / seconds,
        positions_per_s=(tokens + prompt_tokens) / seconds,
        bound=bound,
        node_cpu=cpu,
        wrong=counter.wrong,
    )


class _TokenCounter:
    def __init__(self, expected: tuple[int, ...]) -> None:
        self.expected = expected
        self.tokens = 0
        self.prompt_tokens = 0
        self.wrong = 0

    def reset(self) -> None:
        self.tokens = 0
        self.prompt_tokens = 0

    def check(self, answer: http_caller.CallerAnswer) -> None:
        if not answer.whole or tuple(answer.tokens) != self.expected:
            self.wrong += 1

    def on_token(self, _: int) -> None:
        self.tokens += 1


async def _send_requests(
    caller: http_caller.Caller, address: str, counter: _TokenCounter, end: float
) -> None:
    while time.monotonic() < end:
        answer = await caller.complete(
            "chat",
            PROMPT,
            TOKENS,
            address=address,
            on_token=counter.on_token,
            deadline_ms=60_000,
        )
        counter.check(answer)
        if answer.whole:
            counter.prompt_tokens += len(PROMPT)


async def _bound(system: systems.RealSystem) -> float:
    status = await system.status("n1")
    shapes = {shape.name: shape for shape in ENGINES}
    placed_engines = []
    for row in status["endpoints"]:
        for holding in row["holdings"]:
            start, end = holding["layers"].split("-")
            placed_engines.append(
                flow.FlowEngine(
                    _description(shapes[row["name"]]),
                    layers.LayerRange(int(start), int(end)),
                )
            )
    return flow.bound_tokens_per_s(placed_engines, systems.LAYERS)


def _description(shape: systems.EngineShape) -> endpoints.EndpointDescription:
    return endpoints.EndpointDescription(
        name=shape.name,
        instance="",
        accelerator=shape.accelerator,
        layer_capacity=shape.capacity,
        fixed_s=shape.fixed_ms / 1000,
        per_layer_token_s=shape.token_us / 1e6,
        max_batch=MAX_BATCH,
        max_sessions=64,
    )


def _cpu_s(system: systems.RealSystem) -> float:
    return sum(_process_cpu_s(n.pid) for n in system.nodes.values())


def _process_cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    # utime and stime, in clock ticks of 1/100 s.
    ticks = int(fields[13]) + int(fields[14])
    return ticks / 100


def main() -> list[dict[str, Any]]:
    """Measures with coalescing off and on; prints and returns rows."""
    rows = []
    print("coalescing  tokens/s  positions/s  bound  share  node cores  wrong")
    for coalesce in (False, True):
        result = asyncio.run(measure(coalesce=coalesce))
        print(
            f"{'on' if coalesce else 'off':10}  {result.tokens_per_s:8.0f}  "
            f"{result.positions_per_s:11.0f}  {result.bound:5.0f}  "
            f"{result.share:5.2f}  {result.node_cpu:10.2f}  {result.wrong}"
        )
        rows.append({**dataclasses.asdict(result), "share": result.share})
    return rows


if __name__ == "__main__":
    main()
