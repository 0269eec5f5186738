"""A system with fault proxies before its engines, for many scenarios."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING
from typing import Any

from tests.faults import backlogs
from tests.faults import ledgers
from tests.faults import processes
from tests.faults import proxy as proxies
from tests.faults import systems
from tests.scenarios import worlds

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib

STAGES = 3
FIRST_MARKER_TOKEN = 10_000
PROMPT_TOKENS = 12
FILLER_TOKEN = 7


class PathSystem(systems.RealSystem):
    """A real system with a proxy between the nodes and each engine.

    Attributes:
        proxies: Proxies by engine; nodes know only the proxy addresses.
        shapes: The shape of each engine, to restart it.
        vm_lag_s: Lag of the platform's VM list; set before ``start``.
        listed_leaving: Engines that are leaving only according to the VM
            list; such an engine is used again only after a restart.
        tasks: Faults that are scheduled but not injected yet.
        full_backlogs: Sockets that listen in place of proxies.
        unusable: Engines that a node could not use at the last check, by
            node and engine, with the node's status row of the engine.
    """

    def __init__(
        self,
        runner: processes.ProcessRunner,
        folder: pathlib.Path,
        **options: Any,
    ) -> None:
        super().__init__(runner, folder, **options)
        self.proxies: dict[str, proxies.FaultProxy] = {}
        self.shapes: dict[str, systems.EngineShape] = {}
        self.vm_lag_s = 0.0
        self.listed_leaving: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.full_backlogs: list[backlogs.FullBacklog] = []
        self.unusable: dict[tuple[str, str], object] = {}

    async def start_platform(self, *arguments: str) -> None:
        """Starts the platform with a lagging VM list."""
        lag = ("--vm-lag-s", str(self.vm_lag_s))
        await super().start_platform(*arguments, *lag)

    async def list_leaving(self, engine: str) -> None:
        """Writes into the VM list that an engine is leaving."""
        row = {**await self._listed(engine), "state": "leaving"}
        self.listed_leaving.add(engine)
        await self.http.fetch(
            f"http://{self._platform_address()}/v1/vms/{engine}",
            method="PUT",
            body=json.dumps(row),
        )

    async def is_listed_leaving(self, engine: str) -> bool:
        """Returns whether the VM list shows that an engine is leaving."""
        row = await self._listed(engine)
        return row.get("state") == "leaving"

    async def _listed(self, engine: str) -> dict[str, Any]:
        found = await self.get_json(self._platform_address(), "/v1/vms")
        rows = {row["name"]: row for row in found["vms"]}
        return dict(rows.get(engine, {}))

    def _platform_address(self) -> str:
        assert self.platform is not None
        return self.platform.address

    async def start_engine(self, shape: systems.EngineShape) -> None:
        """Starts an engine behind its proxy."""
        proxy = self.proxies.get(shape.name)
        if proxy is None:
            proxy = await proxies.create_fault_proxy("")
            self.proxies[shape.name] = proxy
        self.shapes[shape.name] = shape
        extra = (
            *("--advertise", proxy.address),
            *("--ledger-file", str(self.ledger_path(shape.name))),
        )
        await super().start_engine(
            systems.EngineShape(
                shape.name,
                shape.capacity,
                shape.zone,
                shape.accelerator,
                shape.fixed_ms,
                shape.token_us,
                (*shape.extra, *extra),
            )
        )
        proxy.upstream = self.engines[shape.name].address

    async def start_proxied_plain(self, service: str, name: str) -> None:
        """Starts an endpoint of a plain service behind a proxy."""
        proxy = await proxies.create_fault_proxy("")
        self.proxies[name] = proxy
        await self.start_plain(
            service, name, "za", "--advertise", proxy.address
        )
        proxy.upstream = self.plain[name].address
        await self.wait_ready(service)

    async def close(self) -> None:
        """Closes clients and proxies."""
        for proxy in self.proxies.values():
            await proxy.close()
        await super().close()

    def upstream_of(self, name: str) -> str:
        """Returns the address of the endpoint behind a proxy."""
        return {**self.engines, **self.plain}[name].address

    def ledger_path(self, engine: str) -> pathlib.Path:
        """Returns the path of the ledger file, which outlives the engine."""
        return self.folder / f"{engine}.ledger"

    def runs(self) -> list[ledgers.Run]:
        """Returns what actually ran on all engines, including killed ones."""
        return [
            run
            for name in self.engines
            for run in ledgers.read(self.ledger_path(name), name)
        ]

    async def heal(self) -> None:
        """Ends all faults and waits until the system has recovered."""
        while self.tasks:
            self.tasks.pop().cancel()
        while self.full_backlogs:
            self.full_backlogs.pop().close()
        for name, proxy in self.proxies.items():
            proxy.heal()
            await proxy.accept()
            proxy.upstream = self.upstream_of(name)
        for name, engine in list(self.engines.items()):
            engine.thaw()
            if name in self.listed_leaving:
                engine.kill()
            if not engine.is_running():
                await self.start_engine(self.shapes[name])
        for name in self.engines:
            await self.control(name, **NO_ENGINE_FAULTS)
        for name in self.plain:
            await self.control(name, **NO_PLAIN_FAULTS)
        self.listed_leaving.clear()
        await self._restart_nodes()
        await self.wait_all_usable()

    async def _restart_nodes(self) -> None:
        dead = [n for n, node in self.nodes.items() if not node.is_running()]
        for name in dead:
            await self.start_node(name)
        if dead:
            for caller in self.callers.values():
                await caller.close()
            self.callers.clear()

    async def start(self, **options: Any) -> None:
        """Starts everything and waits until every engine can serve a stage."""
        await super().start(**options)
        await self.wait_all_usable()

    async def wait_all_usable(self) -> None:
        """Waits until all engines hold layers and all nodes know it."""
        await self.wait_for(self._engines_hold, "all engines hold layers")
        await self.wait_for(
            self._nodes_know,
            "the nodes know all holdings",
            seen=lambda: self.unusable,
        )
        await self.wait_ready("chat")

    async def load(self, engine: str) -> dict[str, Any]:
        """Returns an engine's own load report."""
        return await self.get_json(self.engines[engine].address, "/v1/load")

    async def _engines_hold(self) -> bool:
        for name in self.engines:
            report = await self.load(name)
            held = report.get("holdings", ())
            if not any(holding["ready"] for holding in held):
                return False
        return True

    async def _nodes_know(self) -> bool:
        self.unusable = {}
        for node in self.nodes:
            status = await self.status(node)
            rows = {row["name"]: row for row in status.get("endpoints", ())}
            for engine in self.engines:
                if not _is_usable(rows.get(engine)):
                    self.unusable[node, engine] = rows.get(engine)
        return not self.unusable


def _is_usable(row: dict[str, Any] | None) -> bool:
    if row is None or row["leaving"]:
        return False
    return any(holding["ready"] for holding in row["holdings"])


NO_ENGINE_FAULTS = {
    "crash_token": None,
    "slow_factor": 1.0,
    "swallow_answers": 0,
    "cross_answers": 0,
    "refuse_all": False,
    "leaving": False,
    "opens_while_leaving": False,
}

NO_PLAIN_FAULTS = {
    "slow_s": 0.0,
    "swallow_answers": 0,
    "refuse": False,
}


def engines(
    count: int, fixed_ms: float = 1.0, token_us: float = 20.0
) -> tuple[systems.EngineShape, ...]:
    """Returns engines that hold a third of the layers each."""
    capacity = systems.LAYERS // STAGES
    return tuple(
        systems.EngineShape(
            f"e{index + 1}",
            capacity,
            "za" if index % 2 else "zb",
            fixed_ms=fixed_ms,
            token_us=token_us,
        )
        for index in range(count)
    )


class PathWorld(worlds.World):
    """One scenario on a shared system.

    Attributes:
        system: The system, which outlives the scenario.
    """

    system: PathSystem
    marker_tokens = itertools.count(FIRST_MARKER_TOKEN)

    def ask(
        self, name: str, count: int, prompt_tokens: int, **options: Any
    ) -> worlds.Request:
        """Sends a completion with a unique first prompt token."""
        prompt = [
            next(self.marker_tokens),
            *[FILLER_TOKEN] * (prompt_tokens - 1),
        ]
        return self.send(name, count, prompt=prompt, **options)

    def runs(self, name: str) -> list[ledgers.Run]:
        """Returns the engine runs of a request."""
        return self.runs_of_marker(self.requests[name].prompt[0])

    def runs_of_marker(self, marker: int) -> list[ledgers.Run]:
        """Finds a request in the ledgers by its first prompt token."""
        runs = self.system.runs()
        begun = {
            run.request_id
            for run in runs
            if (run.start, run.position, run.first_input) == (0, 0, marker)
        }
        return [run for run in runs if run.request_id in begun]

    def stage_of(self, name: str, stage: str) -> str:
        """Returns the engine that currently runs a stage, or ``""``."""
        latest = ""
        epoch = -1
        for run in self.runs(name):
            if stage_position(run) == stage and run.epoch >= epoch:
                latest, epoch = run.engine, run.epoch
        return latest

    def sessions_of(self, name: str, stage: str) -> list[ledgers.Session]:
        """Returns the sessions that ran a stage, or a part of it."""
        runs = [run for run in self.runs(name) if stage_position(run) == stage]
        return ledgers.sessions(runs)

    def wait_stage(self, name: str, stage: str) -> str:
        """Waits until a stage has begun; returns its engine."""

        async def begun() -> bool:
            return bool(self.stage_of(name, stage))

        self._wait_for(begun, f"{stage} stage of {name}", name)
        return self.stage_of(name, stage)

    def wait_positions(self, name: str, stage: str, count: int) -> None:
        """Waits until a stage has run ``count`` positions."""

        async def enough() -> bool:
            found = self.sessions_of(name, stage)
            return any(session.stop >= count for session in found)

        what = f"{count} positions in the {stage} stage of {name}"
        self._wait_for(enough, what, name)

    def check_ledgers(self, name: str) -> None:
        """Checks that each layer ran once and in order."""
        request = self.requests[name]
        positions = len(request.prompt) + request.count - 1
        ledgers.check(self.runs(name), systems.LAYERS, positions)

    def record_stages(self) -> None:
        """Records which engines hold which stage, for ``hold_stage``."""
        self.notes["places"] = self.run(self._engine_positions())

    async def _engine_positions(self) -> dict[str, str]:
        found = {}
        for name in self.system.engines:
            report = await self.system.load(name)
            held = report["holdings"][0]
            found[name] = range_position(held["start"], held["end"])
        return found

    def hold_stage_at(self, name: str, stage: str, count: int) -> None:
        """Holds a stage's responses back once ``count`` tokens have arrived.

        All engine responses pass through this process, so it sees the token
        before the engines advance by more than a step or two. Polling for the
        tokens would lag on a busy machine, and the request could end before
        the fault is injected.
        """
        request = self.requests[name]

        async def hold() -> None:
            while len(request.tokens) < count and not request.task.done():
                await asyncio.sleep(0)
            self.hold_stage(stage)

        self.run(hold())

    def hold_stage(self, stage: str) -> None:
        """Holds a stage's responses back until a fault is injected.

        Its first part has then run but is not answered, however slow the
        machine is; otherwise the request could end before the fault.
        """
        self.notes["held_at"] = time.monotonic()
        for engine, place in self.notes["places"].items():
            if place == stage:
                silent = self.system.proxies[engine].blocked_directions
                silent.add(proxies.Direction.DOWN)

    def wait_held_step(self, name: str, stage: str) -> None:
        """Waits until a held stage has run a step whose response is held.

        The request may be at another stage when the responses are held, for
        example because that stage's engine is paused.
        """
        held_at = self.notes["held_at"]

        async def has_run() -> bool:
            return any(
                run.at > held_at and stage_position(run) == stage
                for run in self.runs(name)
            )

        what = f"a held step in the {stage} stage of {name}"
        self._wait_for(has_run, what, name)

    def _wait_for(
        self, condition: Callable[[], Awaitable[bool]], what: str, name: str
    ) -> None:
        """Waits for a condition; the message on timeout has the request."""

        def seen() -> str:
            steps = self.last_steps(self.requests[name].prompt[0])
            return f"{self.progress(name)}; {steps}"

        self.run(self.system.wait_for(condition, what, seen=seen))

    def progress(self, name: str) -> str:
        """Describes what a request has received."""
        request = self.requests[name]
        if not request.task.done():
            return f"{len(request.tokens)} of {request.count} tokens received"
        answer = request.task.result()
        return f"answered {answer.status}, {answer.problem or 'no problem'}"

    def last_steps(self, marker: int) -> str:
        """Describes the last step of each session of a request."""
        found = ledgers.sessions(self.runs_of_marker(marker))
        last = [session.runs[-1] for session in found]
        now = time.monotonic()
        steps = [
            f"{run.engine} epoch {run.epoch} layers {run.start}-{run.end} "
            f"to position {run.stop}, {now - run.at:.2f} s ago"
            for run in sorted(last, key=lambda run: run.at)
        ]
        return "last steps: " + (", ".join(steps) or "none")

    def release_stages(self, but: str = "") -> None:
        """Releases held responses, except those of one engine."""
        for engine in self.notes.get("places", ()):
            if engine != but:
                silent = self.system.proxies[engine].blocked_directions
                silent.discard(proxies.Direction.DOWN)

    def record_executions(self) -> None:
        """Records what ran so far, for ``check_no_executions``."""
        self.notes["executions"] = self.run(self._executions())

    def check_no_executions(self) -> None:
        """Checks that nothing ran since ``record_executions``."""
        assert self.run(self._executions()) == self.notes["executions"]

    async def _executions(self) -> dict[str, int]:
        counts = {
            name: len(await self.system.ledger(name))
            for name in self.system.plain
        }
        counts["engines"] = len(self.system.runs())
        return counts

    def end(self) -> None:
        """Cancels running requests before the next scenario."""
        for request in self.requests.values():
            request.task.cancel()
        self.run(asyncio.sleep(0))


def stage_position(run: ledgers.Run) -> str:
    """Returns the chain position at which an item ran."""
    return range_position(run.start, run.end)


def range_position(start: int, end: int) -> str:
    """Returns the chain position of a layer range."""
    if start == 0:
        return "first"
    return "last" if end == systems.LAYERS else "middle"
