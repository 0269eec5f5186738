"""Measures the cost of a relay node's decisions.

    python -m bench.decisions           # the table, about a minute
    python -m bench.decisions --nodes 80 --profile

Processor time of one process, without sockets: choosing paths, forwarding
stream events, checking streams for silence, processing registry rows, handling
the loss of an engine and planning layers. The engines are of three kinds, with
the figures that one fleet publishes, and are placed by repeated plans until a
plan has no orders. Each figure is the median of several repetitions within a
round, and the minimum of these medians over several rounds, because a round
takes up to twice as long on a busy machine.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import dataclasses
import json
import logging
import pstats
import random
import statistics
import time
import types
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from almondshift.adapters import system_clock
from almondshift.model import relayed
from almondshift.model import routed_requests
from almondshift.model import routes as model_routes
from almondshift.platform import decode
from almondshift.policy import answer_times
from almondshift.policy import engine_tracker
from almondshift.policy import first_event_wait
from almondshift.policy import layer_holdings
from almondshift.policy import layer_plan
from almondshift.policy import path_candidates
from almondshift.policy import path_choice
from almondshift.ports import path_engines
from almondshift.ports import relays
from almondshift.ports import row_feeds
from almondshift.relay import catalogue
from almondshift.relay import context
from almondshift.relay import drain
from almondshift.relay import endpoint_limits
from almondshift.relay import lost_engines
from almondshift.relay import observer
from almondshift.relay import silence_watch
from almondshift.relay import stream_run

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "model"
ENGINE_KINDS = {
    "a": (72_000.0, 2.4),
    "b": (43_200.0, 5.6),
    "c": (21_600.0, 16.0),
}
"""Memory in MB and step factor by kind; figures that one fleet publishes."""

KIND_SHARES = (("a", 0.1), ("b", 0.35), ("c", 0.55))
"""Share of each kind among the engines."""

MAX_PLACEMENT_PLANS = 200
ROUNDS = 5
TOKENS = 900.0
ARRIVALS = 500
SEARCHES = 20
EVENTS = 5_000
SILENCE_CHECKS = 500
FAULTS = 8
PLANS = 3
US, MS = 1e6, 1e3
LAST_OUTAGE_END = -1e9
"""End of the last store outage, long before the measurement."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a deployment.

    Attributes:
        streams: Concurrent streams of the measured node, limited to what the
            engines' memory allows if all nodes have as many.
    """

    nodes: int
    engines: int
    zones: int
    streams: int


SIZES = (Size(6, 33, 3, 30), Size(80, 86, 3, 10), Size(390, 820, 6, 10))


class SilentResponder(relays.Responder):
    """A responder that discards the answer."""

    head_sent = ended = False

    def send_head(self, *values: Any) -> None:
        """Records that the answer has begun."""
        self.head_sent = True

    def send_data(self, data: bytes) -> None:
        """Discards a part."""

    def send_whole(self, *values: Any) -> None:
        """Discards an answer."""

    def finish(self) -> None:
        """Does nothing."""

    def abort(self) -> None:
        """Does nothing."""

    def fail(self, error: Exception) -> None:
        """Discards an error."""


class SilentEngines(path_engines.PathEngines):
    """Engines that accept every order at once and send no events."""

    def forward(self, *values: Any) -> path_engines.ForwardedRequest:
        """Accepts a request."""
        return cast(
            "path_engines.ForwardedRequest",
            types.SimpleNamespace(cancel=lambda: None),
        )

    async def report(
        self, address: str, timeout_s: float
    ) -> relayed.EngineReport | None:
        """Returns the report of a healthy engine."""
        return relayed.EngineReport(1.0, 0.0, 1.0, 0, 0, False, 0, ())

    async def is_healthy(self, *values: Any) -> bool | None:
        """Reports the engine as healthy."""
        return True

    async def is_listening(self, *values: Any) -> bool | None:
        """Reports the engine as listening."""
        return True

    async def place(self, *values: Any) -> path_engines.OrderAnswer:
        """Accepts the order."""
        return path_engines.OrderAnswer(path_engines.OrderOutcome.BEGUN)

    async def repath(self, *values: Any) -> path_engines.OrderAnswer:
        """Accepts the order."""
        return path_engines.OrderAnswer(path_engines.OrderOutcome.DONE)

    def forget(self, address: str) -> None:
        """Does nothing."""


def config() -> bytes:
    """Returns a configuration with one service."""
    kinds = [
        {"name": name, "mb": mb, "pace": factor}
        for name, (mb, factor) in ENGINE_KINDS.items()
    ]
    engine = {
        "slots": 96,
        "kvTokenBytes": 1_836_000,
        "models": [{"name": "m", "loadS": 14.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.014,
        "context_per_k": 0.019,
        "read_per_s": 105_000.0,
        "usual": {"prompt": 774.0, "answer": 200.0},
        "layers": 80,
        "layerMb": 1750.0,
        "kinds": kinds,
    }
    service = {"name": SERVICE, "engine": engine}
    return json.dumps({"version": 1, "services": [service]}).encode()


def create_engines(size: Size) -> list[layer_holdings.PlannedEngine]:
    """Returns engines without layers, each kind spread over the zones."""
    found = []
    for name, share in KIND_SHARES:
        memory_mb, factor = ENGINE_KINDS[name]
        for index in range(round(size.engines * share)):
            found.append(
                layer_holdings.PlannedEngine(
                    f"{name}-{index}",
                    f"z{index % size.zones}",
                    memory_mb,
                    None,
                    step_factor=factor,
                )
            )
    return found


def apply_orders(
    engines: list[layer_holdings.PlannedEngine],
    orders: list[layer_plan.LayerOrder],
) -> list[layer_holdings.PlannedEngine]:
    """Returns the engines with the layers that the orders assign them."""
    layers = {order.instance: order.layers for order in orders}
    return [
        dataclasses.replace(e, held=layers.get(e.instance, e.held))
        for e in engines
    ]


def engine_row(
    engine: layer_holdings.PlannedEngine, number: int, state: str = "ready"
) -> bytes:
    """Returns the engine's registry row."""
    layers = None
    if engine.held is not None:
        layers = {"from": engine.held.start, "to": engine.held.end}
    row = {
        "service": SERVICE,
        "address": f"10.0.{number // 250}.{number % 250}:80",
        "state": state,
        "zone": engine.zone,
        "slots": 96,
        "kind": engine.instance[0],
        "layers": layers,
        "born": 1_700_000_000_000,
    }
    return json.dumps(row).encode()


class MeasuredNode:
    """The decision components of one node, for engines that hold layers."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.clock = system_clock.create_system_clock()
        self.known = catalogue.Catalogue(
            catalogue.Decoders(decode.decode_config, decode.decode_engine),
            "config",
        )
        self.known.apply_config_row(
            row_feeds.FeedRow("config", config(), 1), verified=True
        )
        self.tracker = engine_tracker.EngineTracker()
        self.paths = path_choice.create_path_chooser(
            self.tracker, random.Random(1)
        )
        self.paths.nodes = size.nodes
        relay_observer = observer.create_relay_observer()
        self.shared = context.RelayContext(
            zone="z0",
            clock=self.clock,
            rng=random.Random(1),
            catalogue=self.known,
            engines=SilentEngines(),
            tracker=self.tracker,
            paths=self.paths,
            endpoints=cast("Any", None),
            budget=cast("Any", types.SimpleNamespace(
                spend=lambda *v: True, has_room=lambda *v: True
            )),
            limits=endpoint_limits.create_endpoint_limits(
                self.clock, random.Random(1), self.known, relay_observer
            ),
            peer_paths=cast("Any", types.SimpleNamespace(
                lacks_endpoints=lambda *v: False
            )),
            crash_watch=cast("Any", types.SimpleNamespace(
                note_broken=lambda *v: None, is_refused=lambda *v: False
            )),
            lost_engines=lost_engines.create_lost_engines(
                self.clock, self.known, self.tracker, relay_observer
            ),
            refusing_engines=cast("Any", None),
            observer=relay_observer,
            response_times=answer_times.create_answer_times(),
            first_event_waits=first_event_wait.create_first_event_wait(),
            drain=drain.NodeDrain(self.clock),
            registry_age_s=lambda: 0.0,
            engine_notice_s=2.0,
        )  # fmt: skip
        self.watch = silence_watch.SilenceWatch(self.shared)
        self.engines = create_engines(size)
        for _ in range(MAX_PLACEMENT_PLANS):
            orders = layer_plan.plan_orders(self.engines, self.view().spec)
            if not orders:
                break
            self.engines = apply_orders(self.engines, orders)
        self.revision = 1
        for number in range(len(self.engines)):
            self.update_engine(number)

    def view(self) -> path_candidates.FleetView:
        """Returns the current view of the fleet."""
        found = self.known.view(SERVICE)
        assert found is not None
        return found

    def update_engine(self, number: int, state: str = "ready") -> None:
        """Passes an engine's registry row to the catalogue."""
        self.revision += 1
        engine = self.engines[number]
        row = row_feeds.FeedRow(
            engine.instance, engine_row(engine, number, state), self.revision
        )
        self.known.apply_engine_row(
            row, self.clock.monotonic(), LAST_OUTAGE_END
        )

    def choose(self) -> path_choice.ChosenPath:
        """Chooses a path for a request."""
        now = self.clock.monotonic()
        found = self.paths.choose(self.view(), TOKENS, now)
        assert found is not None
        return found

    def streams(self) -> list[stream_run.StreamRun]:
        """Starts the number of streams that ``size`` gives."""
        runs = []
        for number in range(self.size.streams):
            run = stream_run.StreamRun(
                _make_request(number), SilentResponder(), self.shared
            )
            run.begin()
            assert run.attempt is not None
            head = relayed.ForwardedHead(200, (), True, None, "")
            run.attempt.on_head(head)
            runs.append(run)
        return runs


def _make_request(number: int) -> routed_requests.RoutedRequest:
    request = relayed.RelayedRequest(
        f"r{number}", "POST", "h", "/", "/", (), b"", 1e6, "", "", 774, 200, 126
    )
    route = model_routes.Route(
        name="chat",
        host="h",
        prefix="/",
        repeat=model_routes.RepeatRule.STREAM,
        timeout_s=1e6,
        objective_s=0.5,
        event_gap_s=0.2,
        priority=1,
        shares=(model_routes.ServiceShare(SERVICE, 1.0),),
        max_attempts=2,
        public=True,
        resumable=True,
        abandon_after_s=2.0,
    )
    return routed_requests.RoutedRequest(request, route, SERVICE, "", 1, 1)


def timed(work: Callable[[], object]) -> float:
    """Returns the processor time of a call in seconds."""
    start = time.process_time()
    work()
    return time.process_time() - start


def per_arrival(node: MeasuredNode) -> dict[str, float]:
    """Measures the choice of a path from the cache, and by a new search."""
    node.choose()
    choices = []
    for _ in range(ARRIVALS):
        node.paths.cached[SERVICE].searched_at = node.clock.monotonic()
        choices.append(timed(node.choose))
    searches = []
    for _ in range(SEARCHES):
        node.paths.cached.clear()
        searches.append(timed(node.choose))
    return {
        "arrival_us": statistics.median(choices) * US,
        "search_ms": statistics.median(searches) * MS,
    }


def per_event(
    node: MeasuredNode, streams: list[stream_run.StreamRun]
) -> dict[str, float]:
    """Measures a stream event, and a silence check of all streams."""
    costs = []
    for number in range(1, EVENTS // len(streams) + 1):
        event = f"id: {number}\ndata: {'x' * 100}\n\n".encode()
        for run in streams:
            assert run.attempt is not None
            costs.append(timed(lambda a=run.attempt, e=event: a.on_data(e)))  # type: ignore[misc]
    checks = []
    for _ in range(SILENCE_CHECKS):
        now = asyncio.get_running_loop().time()
        for run in streams:
            assert run.attempt is not None
            run.attempt.active_at = now
        node.watch.next_engine_check_at = 0.0
        checks.append(timed(node.watch.check_all))
    return {
        "event_us": statistics.median(costs) * US,
        "look_us": statistics.median(checks) * US,
    }


def per_change(node: MeasuredNode) -> dict[str, float]:
    """Measures registry rows without a change, and choices after a change.

    The change is that of an engine's state; processing its row is not timed.
    """
    count = len(node.engines)
    unchanged = [timed(lambda n=n: node.update_engine(n)) for n in range(count)]  # type: ignore[misc]
    changed = []
    for number in range(SEARCHES):
        for state in ("draining", "ready"):
            node.update_engine(number % count, state)
            changed.append(timed(node.choose))
    return {
        "row_us": statistics.median(unchanged) * US,
        "change_ms": statistics.median(changed) * MS,
    }


async def per_fault(
    node: MeasuredNode, streams: list[stream_run.StreamRun]
) -> dict[str, float]:
    """Measures the loss of the most used engine, with all streams moved."""
    costs, moved = [], 0
    for _ in range(FAULTS):
        used: dict[str, int] = {}
        for run in streams:
            if run.attempt is not None:
                for part in run.attempt.path[1:]:
                    used[part.instance] = used.get(part.instance, 0) + 1
        lost = max(sorted(used), key=lambda instance: used[instance])
        moved += used[lost]
        start = time.process_time()
        node.watch.moves.on_engine_lost(lost, engine_tracker.Suspicion.GONE)
        while len(node.watch.work):
            await asyncio.sleep(0)
        node.choose()
        costs.append(time.process_time() - start)
        node.tracker.clear_suspicion(lost)
    return {
        "fault_ms": statistics.median(costs) * MS,
        "moved_by_a_fault": moved / FAULTS,
    }


def per_plan(node: MeasuredNode) -> dict[str, float]:
    """Measures the lease holder's plans in steady state and after a loss."""
    spec = node.view().spec

    def plan(engines: list[layer_holdings.PlannedEngine]) -> float:
        return statistics.median(
            timed(lambda: layer_plan.plan_orders(engines, spec))
            for _ in range(PLANS)
        )

    return {
        "plan_ms": plan(node.engines) * MS,
        "plan_after_loss_ms": plan(node.engines[1:]) * MS,
    }


async def measure(size: Size) -> dict[str, float]:
    """Measures all decisions at one size."""
    node = MeasuredNode(size)
    streams = node.streams()
    found = per_arrival(node)
    found.update(per_event(node, streams))
    found.update(per_change(node))
    found.update(await per_fault(node, streams))
    found.update(per_plan(node))
    for run in streams:
        run.close()
    return {name: round(value, 2) for name, value in found.items()}


def minimums(rounds: list[dict[str, float]]) -> dict[str, float]:
    """Returns the minimum of each figure."""
    return {name: min(found[name] for found in rounds) for name in rounds[0]}


def main() -> list[dict[str, Any]]:
    """Prints a line for each size."""
    logging.getLogger("almondshift").addHandler(logging.NullHandler())
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--nodes",
        type=int,
        help="measure only the size with this number of nodes",
    )
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    lines = []
    profile = cProfile.Profile()
    for size in SIZES:
        if arguments.nodes not in (None, size.nodes):
            continue
        if arguments.profile:
            profile.enable()
        found = minimums([asyncio.run(measure(size)) for _ in range(ROUNDS)])
        profile.disable()
        lines.append({**dataclasses.asdict(size), **found})
        print(json.dumps(lines[-1]))
    if arguments.profile:
        pstats.Stats(profile).sort_stats("cumulative").print_stats(40)
    return lines


if __name__ == "__main__":
    main()
