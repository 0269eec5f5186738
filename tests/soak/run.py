"""Runs a soak: ``python -m tests.soak.run --seed N --seconds S``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from tests.soak import callers
from tests.soak import config_probes
from tests.soak import engine_pauses
from tests.soak import erratic_engines
from tests.soak import faults
from tests.soak import judge as soak_judge
from tests.soak import layout
from tests.soak import partition_links
from tests.soak import regressions
from tests.soak import report as soak_report
from tests.soak import stalls
from tests.soak import store_restores
from tests.soak import system as soak_system

STARTUP_TIMEOUT_S = 40.0
STARTUP_TIMEOUT_PER_PROCESS_S = 0.5
"""Generous, since Python starts slowly on a loaded machine; no guarantee."""

PROGRESS_INTERVAL_S = 5.0
LEDGER_READ_INTERVAL_S = 0.2
PROBE_INTERVAL_S = 0.2
FINAL_READ_DELAY_S = 1.0
RANDOM_SEED_RANGE = 1_000_000
EVENTS_BY_ROUTE = {"chat": 5, "talk": 5, "once": 0, "look": 0}


class Soak:
    """One soak."""

    def __init__(
        self, options: layout.SoakOptions, folder: pathlib.Path
    ) -> None:
        self.options = options
        self.system = soak_system.SoakSystem(options, folder)
        self.judge = soak_judge.Judge(self.system)
        self.rng = random.Random(options.seed)
        self.faults = sorted(
            faults.draw(self.rng, options)
            + engine_pauses.draw(options)
            + store_restores.draw(options)
            + erratic_engines.draw(options),
            key=lambda fault: fault.at_s,
        )
        self.injected = 0
        self.prober = callers.SoakCaller(-1, self.system, self.judge)
        self.stalls = stalls.Stalls(options.seed, options.stalls_per_s)
        self.probes = config_probes.ConfigProbes(self.system, self.judge)
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> soak_report.Report:
        try:
            await self.system.start()
            count = len(self.system.parts())
            if await self.wait_served_by_all(
                STARTUP_TIMEOUT_S + STARTUP_TIMEOUT_PER_PROCESS_S * count
            ):
                await self.run_faults()
            else:
                self.judge.report_violation(
                    soak_judge.Promise.RECOVERS, "not served at the start"
                )
        finally:
            for task in self.tasks:
                task.cancel()
            await self.system.close()
        return soak_report.create_report(
            self.options, self.faults, self.system, self.judge
        )

    async def run_faults(self) -> None:
        numbers = range(self.options.clients)
        sending = [
            callers.SoakCaller(number, self.system, self.judge)
            for number in numbers
        ]
        if self.options.has_pauses():
            sending += [
                callers.LongStreamCaller(
                    len(numbers) + number, self.system, self.judge
                )
                for number in numbers
            ]
        if self.options.erratic:
            sending += [
                callers.OrderCaller(
                    2 * len(numbers) + number, self.system, self.judge
                )
                for number in numbers
            ]
        sending += [
            callers.PlainCaller(3 * len(numbers) + n, self.system, self.judge)
            for n in range(self.options.plain_clients)
        ]
        sending += [
            callers.FirstTryCaller(
                4 * len(numbers) + n, self.system, self.judge
            )
            for n in range(
                self.options.plain_clients,
                self.options.plain_clients + self.options.open_callers,
            )
        ]
        self.tasks = [
            asyncio.create_task(self.monitor()),
            asyncio.create_task(self.stalls.run()),
        ]
        running = [asyncio.create_task(caller.run()) for caller in sending]
        await self.inject_all()
        await self.recover()
        await self.probes.finish()
        for caller in sending:
            caller.stopping = True
        await asyncio.gather(*running)
        await asyncio.sleep(FINAL_READ_DELAY_S)
        self.judge.process_rows(self.system.read_new_rows())
        self.judge.finish()

    async def inject_all(self) -> None:
        started = time.monotonic()
        injecting = []
        for fault in self.faults:
            await asyncio.sleep(started + fault.at_s - time.monotonic())
            injecting.append(asyncio.create_task(fault.inject(self.system)))
            self.injected += 1
        await asyncio.sleep(started + self.options.seconds - time.monotonic())
        await asyncio.gather(*injecting)

    async def recover(self) -> None:
        """Waits until all nodes run again; then they must serve in time."""
        nodes = self.system.nodes
        while not all(node.is_running() for node in nodes):
            await asyncio.sleep(PROBE_INTERVAL_S)
        if not await self.wait_served_by_all(layout.RECOVERY_LIMIT_S):
            self.judge.report_violation(
                soak_judge.Promise.RECOVERS, "not served by all nodes"
            )

    async def wait_served_by_all(self, seconds: float) -> bool:
        """Returns whether each node serves each route in time."""
        probes = [
            self.wait_served(node, route, seconds)
            for node in self.system.nodes
            for route in EVENTS_BY_ROUTE
        ]
        return all(await asyncio.gather(*probes))

    async def wait_served(
        self, node: soak_system.NodeProcess, route: str, seconds: float
    ) -> bool:
        end = time.monotonic() + seconds
        assert node.front is not None
        while time.monotonic() < end:
            try:
                connection = await callers.open_node_connection(
                    node.name, node.front.address
                )
            except OSError:
                await asyncio.sleep(PROBE_INTERVAL_S)
                continue
            self.prober.sent += 1
            request = self.prober.make_request(
                node.name, route, EVENTS_BY_ROUTE[route]
            )
            self.judge.record_sent(request)
            await connection.exchange(request)
            connection.close()
            self.judge.check_answer(request)
            if request.status == 200:
                return True
            await asyncio.sleep(PROBE_INTERVAL_S)
        return False

    async def monitor(self) -> None:
        """Reads the ledgers, checks memory and prints progress."""
        next_progress_at = 0.0
        while True:
            await asyncio.sleep(LEDGER_READ_INTERVAL_S)
            self.judge.process_rows(self.system.read_new_rows())
            if time.monotonic() >= next_progress_at:
                next_progress_at = time.monotonic() + PROGRESS_INTERVAL_S
                self.judge.check_memory()
                self.print_progress()

    def print_progress(self) -> None:
        seconds = time.monotonic() - self.judge.started
        print(
            f"soak seed {self.options.seed}: {seconds:.0f} s, "
            f"{self.injected} of {len(self.faults)} faults, "
            f"{self.judge.counts.total()} requests, "
            f"{self.judge.served_count()} served, "
            f"{len(self.judge.violations)} violations",
            flush=True,
        )


async def run(
    options: layout.SoakOptions, folder: pathlib.Path
) -> soak_report.Report:
    """Runs a soak; writes logs and ledgers to a folder."""
    return await Soak(options, folder).run()


def main() -> int:
    """Runs soaks; returns 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="tests.soak.run")
    parser.add_argument("--seed", type=int, help="default: random")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--engines", type=int, default=10)
    parser.add_argument("--clients", type=int, help="default: 4 per node")
    parser.add_argument(
        "--stalls", type=float, default=0.0, help="stalls of all links per s"
    )
    parser.add_argument(
        "--limits", type=int, default=0, help="engines that name a limit"
    )
    parser.add_argument(
        "--cuts", type=int, default=0, help="times that nodes lose all engines"
    )
    parser.add_argument(
        "--backoffs", type=int, default=0, help="engines that ask for a backoff"
    )
    parser.add_argument(
        "--pauses",
        type=int,
        default=0,
        help="series in which sound engines fall silent",
    )
    parser.add_argument(
        "--long-pauses",
        type=int,
        default=0,
        help="times that many sound engines fall silent for seconds",
    )
    parser.add_argument(
        "--lapses",
        type=int,
        default=0,
        help="times that many engines stand still until their entries expire",
    )
    parser.add_argument(
        "--plain-clients",
        type=int,
        default=0,
        help="callers of plain routes, which end sooner than callers do",
    )
    parser.add_argument(
        "--restores",
        type=int,
        default=0,
        help="times that the store returns from an older copy",
    )
    parser.add_argument(
        "--erratic",
        type=int,
        default=0,
        help="engines that refuse, fail and respond twice for a while",
    )
    parser.add_argument(
        "--erratic-services",
        type=int,
        default=0,
        help="times that all engines of a service refuse and fail",
    )
    parser.add_argument(
        "--allowance",
        type=int,
        default=200,
        help="repeats of all nodes in a window beyond the ratio",
    )
    parser.add_argument(
        "--endless",
        type=int,
        default=0,
        help="engines that respond without end for a while",
    )
    parser.add_argument(
        "--direct",
        action="store_true",
        help="links without proxies and without faults",
    )
    parser.add_argument(
        "--partitions",
        type=int,
        default=0,
        help="times that nodes lose all engines, cut outside the node",
    )
    parser.add_argument(
        "--partition",
        default="",
        choices=["", *partition_links.Partition],
        help="kind of all partitions; default: drawn",
    )
    parser.add_argument(
        "--partitioned",
        type=int,
        default=0,
        help="nodes that each partition cuts; default: drawn",
    )
    parser.add_argument(
        "--open-callers",
        type=int,
        default=0,
        help="callers that send first tries at a steady rate",
    )
    parser.add_argument(
        "--calm", action="store_true", help="no other faults are drawn"
    )
    parser.add_argument(
        "--plain-health",
        action="store_true",
        help="the plain service has a health check",
    )
    parser.add_argument("--folder", type=pathlib.Path)
    parser.add_argument("--regressions", action="store_true")
    args = parser.parse_args()
    folder = args.folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    if args.regressions:
        cases = [case.options for case in regressions.REGRESSIONS]
    else:
        cases = [options_of(args)]
    broken = [run_reported(options, folder) for options in cases]
    return 1 if any(broken) else 0


def options_of(args: argparse.Namespace) -> layout.SoakOptions:
    """Returns the options from the command line."""
    seed = args.seed
    if seed is None:
        seed = random.SystemRandom().randrange(RANDOM_SEED_RANGE)
    return layout.SoakOptions(
        seed=seed,
        seconds=args.seconds,
        nodes=min(args.nodes, layout.MAX_NODES),
        engines=min(args.engines, layout.MAX_ENGINES),
        clients=4 * args.nodes if args.clients is None else args.clients,
        stalls_per_s=args.stalls,
        limits=args.limits,
        cuts=args.cuts,
        backoffs=args.backoffs,
        pauses=args.pauses,
        long_pauses=args.long_pauses,
        lapses=args.lapses,
        plain_clients=args.plain_clients,
        restores=args.restores,
        erratic=args.erratic,
        erratic_services=args.erratic_services,
        allowance=args.allowance,
        endless=args.endless,
        direct=args.direct or args.partitions > 0,
        partitions=args.partitions,
        partition=args.partition,
        partitioned=args.partitioned,
        open_callers=args.open_callers,
        is_calm=args.calm,
        plain_health=args.plain_health,
    )


def run_reported(options: layout.SoakOptions, parent: pathlib.Path) -> bool:
    """Runs one soak; returns whether a guarantee was violated."""
    folder = parent / f"seed-{options.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    print(f"soak seed {options.seed}, logs in {folder}", flush=True)
    report = asyncio.run(run(options, folder))
    soak_report.write(report, folder)
    print(soak_report.render_text(report), flush=True)
    return bool(report.violations)


if __name__ == "__main__":
    sys.exit(main())
