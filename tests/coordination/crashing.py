"""Simulates nodes, endpoints and a request that crashes endpoints."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import TYPE_CHECKING
from typing import Any

from almondshift.coordination import quarantine
from almondshift.coordination import quarantine_trials
from almondshift.coordination import quarantine_verdicts
from almondshift.ports import peers
from tests.coordination import network
from tests.coordination import tables

if TYPE_CHECKING:
    from collections.abc import Coroutine

POISON = "poison"
CRASH_S = 0.5
RUN_S = 1.0
RESTART_S = 20.0
REQUEST_TIMEOUT_S = 240.0
RETRY_S = 0.25
ZONE_SIZE = 5
ZONE_CRASH_INTERVAL_S = 0.2
ZONE_FAILURE_WINDOW_S = 2.5
MAX_PROPAGATION_S = 1.0

Outcome = str


class CrashingSystem:
    """Simulated system that records outcomes and crashed endpoints.

    Attributes:
        losses: Time and endpoint of each crash caused by the request.
        zone_failures: Start time and zone of each zone failure.
        outcomes: Outcomes of requests, by fingerprint.
        free_copies: Copies of the request that run outside a trial.
        crash_s: Time until the request crashes its endpoint.
    """

    def __init__(self, seed: int, nodes: int = 3, zones: int = 3) -> None:
        self.rng = random.Random(seed)
        self.clock = network.ManualClock()
        self.table = tables.MemoryTable()
        self.zones = {
            f"e{n}": f"zone-{n % zones}" for n in range(ZONE_SIZE * zones)
        }
        self.down: set[str] = set()
        self.crashes: collections.Counter[str] = collections.Counter()
        self.running_at: collections.Counter[str] = collections.Counter()
        self.losses: list[tuple[float, str]] = []
        self.zone_failures: list[tuple[float, str]] = []
        self.outcomes: dict[str, Outcome] = {}
        self.free_copies = 0
        self.crash_s = CRASH_S
        self.tasks: set[asyncio.Task[Any]] = set()
        self.partitioned: set[str] = set()
        self.quarantines = {
            f"n{n}": self.create_quarantine(f"n{n}") for n in range(nodes)
        }
        self.trials = {
            name: quarantine_trials.create_quarantine_trials(
                state, self.table, self.clock, self.rng
            )
            for name, state in self.quarantines.items()
        }

    @property
    def endpoints_lost_to_poison(self) -> list[str]:
        """Endpoints that only the request crashed, not a zone failure."""
        return self.lost_since(0.0)

    def lost_since(self, since: float) -> list[str]:
        """Returns the endpoints that the request crashed after a time."""
        return [
            endpoint
            for at, endpoint in self.losses
            if at > since
            and not any(
                zone == self.zones[endpoint]
                and abs(at - began) <= ZONE_FAILURE_WINDOW_S
                for began, zone in self.zone_failures
            )
        ]

    def alive(self, zone: str) -> int:
        """Returns the number of endpoints of a zone that are up."""
        return sum(
            other == zone and endpoint not in self.down
            for endpoint, other in self.zones.items()
        )

    def create_quarantine(self, name: str) -> quarantine.Quarantine:
        def publish(
            kind: peers.FactKind, key: str, value: bytes, ttl_s: float
        ) -> None:
            fact = peers.Fact(kind, key, 1, name, ttl_s, value)
            self.propagate(name, key, fact)

        def withdraw(kind: peers.FactKind, key: str) -> None:
            del kind
            self.propagate(name, key, None)

        return quarantine.create_quarantine(self.clock, name, publish, withdraw)

    def propagate(self, origin: str, key: str, fact: peers.Fact | None) -> None:
        """Merges a fact on its origin, and with a random delay on peers."""
        self.quarantines[origin].merge(key, fact)
        for name, state in self.quarantines.items():
            if name != origin and not {name, origin} & self.partitioned:
                self.spawn(self.deliver_late(state, key, fact))

    async def deliver_late(
        self,
        state: quarantine.Quarantine,
        key: str,
        fact: peers.Fact | None,
    ) -> None:
        await self.clock.sleep(self.rng.uniform(0.0, MAX_PROPAGATION_S))
        state.merge(key, fact)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request(self, node: str, name: str) -> None:
        """Runs a caller's request and records its outcome."""
        self.outcomes[name] = "waiting"
        self.outcomes[name] = await self.serve(node, name)

    async def serve(self, node: str, name: str) -> Outcome:
        state = self.quarantines[node]
        end = self.clock.now + REQUEST_TIMEOUT_S
        while self.clock.now < end:
            verdict = state.may_run(name)
            if verdict.convicted:
                return "convicted"
            if verdict.kind is quarantine_verdicts.VerdictKind.REFUSED:
                await self.clock.sleep(verdict.retry_after_s)
            elif verdict.kind is quarantine_verdicts.VerdictKind.ALONE:
                if await self.run_alone(node, name):
                    return "answered"
            elif await self.run_free(node, name):
                return "answered"
            await self.clock.sleep(RETRY_S)
        return "gave up"

    def choose(self, node: str, name: str) -> str | None:
        state = self.quarantines[node]
        usable = [
            endpoint
            for endpoint in self.zones
            if endpoint not in self.down and state.may_use(endpoint, name)
        ]
        return self.rng.choice(usable) if usable else None

    async def run_free(self, node: str, name: str) -> bool:
        endpoint = self.choose(node, name)
        if endpoint is None:
            return False
        self.free_copies += name == POISON
        completed = await self.run_at(endpoint, node, name)
        self.free_copies -= name == POISON
        return completed

    async def run_alone(self, node: str, name: str) -> bool:
        endpoint = self.choose(node, name)
        if endpoint is None:
            return False
        trials = self.trials[node]
        begun = await trials.begin(
            name, [endpoint], lambda e: not self.running_at[e]
        )
        if begun.is_error():
            await self.clock.sleep(begun.error.retry_after_s or RETRY_S)
            return False
        if endpoint in self.down:
            outcome = quarantine_trials.TrialOutcome.NOT_RUN
            await trials.finish(begun.ok, outcome)
            return False
        completed = await self.run_at(endpoint, node, name)
        outcome = (
            quarantine_trials.TrialOutcome.COMPLETED
            if completed
            else quarantine_trials.TrialOutcome.CRASHED
        )
        await trials.finish(begun.ok, outcome)
        return completed

    async def run_at(self, endpoint: str, node: str, name: str) -> bool:
        """Runs a request; returns whether its endpoint did not crash."""
        state = self.quarantines[node]
        crashes = self.crashes[endpoint]
        state.in_flight(endpoint, name)
        self.running_at[endpoint] += 1
        await self.clock.sleep(self.crash_s if name == POISON else RUN_S)
        if self.crashes[endpoint] != crashes:
            return False
        if name == POISON:
            self.losses.append((self.clock.now, endpoint))
            self.crash(endpoint)
            return False
        self.running_at[endpoint] -= 1
        state.done(endpoint, name)
        return True

    def crash(self, endpoint: str) -> None:
        """Crashes an endpoint; each node detects it."""
        self.crashes[endpoint] += 1
        self.running_at[endpoint] = 0
        self.down.add(endpoint)
        zone = self.zones[endpoint]
        for state in self.quarantines.values():
            state.crashed(endpoint, self.clock.now, zone)
        self.spawn(self.restart(endpoint))

    async def restart(self, endpoint: str) -> None:
        await self.clock.sleep(RESTART_S)
        self.down.discard(endpoint)

    async def fail_zone(self, zone: str) -> None:
        """Crashes all endpoints of a zone within a second."""
        self.zone_failures.append((self.clock.now, zone))
        for endpoint, other in self.zones.items():
            if other == zone and endpoint not in self.down:
                self.crash(endpoint)
                await self.clock.sleep(ZONE_CRASH_INTERVAL_S)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
