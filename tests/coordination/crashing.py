"""Nodes, endpoints and a request that crashes endpoints, on one clock."""

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
REVIVE_S = 20.0
PATIENCE_S = 240.0
STEP_S = 0.25
ZONE_SIZE = 5
FAIL_S = 0.2
WINDOW_S = 2.5
MOST_SPREAD_S = 1.0

Outcome = str


class CrashingSystem:
    """What callers receive, and which endpoints are lost.

    Attributes:
        losses: When the request crashed which endpoint.
        zone_failures: When which zone began to die.
        outcomes: How requests ended, by fingerprint.
        free_copies: Copies of the request that run freely.
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
        self.at_endpoint: collections.Counter[str] = collections.Counter()
        self.losses: list[tuple[float, str]] = []
        self.zone_failures: list[tuple[float, str]] = []
        self.outcomes: dict[str, Outcome] = {}
        self.free_copies = 0
        self.crash_s = CRASH_S
        self.tasks: set[asyncio.Task[Any]] = set()
        self.parted: set[str] = set()
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
    def lost_to_poison(self) -> list[str]:
        """Endpoints lost to the request that would live without it."""
        return self.lost_since(0.0)

    def lost_since(self, since: float) -> list[str]:
        """Returns those lost after a time."""
        return [
            endpoint
            for at, endpoint in self.losses
            if at > since
            and not any(
                zone == self.zones[endpoint] and abs(at - began) <= WINDOW_S
                for began, zone in self.zone_failures
            )
        ]

    def alive(self, zone: str) -> int:
        """Returns how many endpoints of a zone are up."""
        return sum(
            other == zone and endpoint not in self.down
            for endpoint, other in self.zones.items()
        )

    def create_quarantine(self, name: str) -> quarantine.Quarantine:
        def publish(
            kind: peers.FactKind, key: str, value: bytes, ttl_s: float
        ) -> None:
            fact = peers.Fact(kind, key, 1, name, ttl_s, value)
            self.spread(name, key, fact)

        def withdraw(kind: peers.FactKind, key: str) -> None:
            del kind
            self.spread(name, key, None)

        return quarantine.create_quarantine(self.clock, name, publish, withdraw)

    def spread(self, origin: str, key: str, fact: peers.Fact | None) -> None:
        """Tells the origin at once and each peer within the spread time."""
        self.quarantines[origin].merge(key, fact)
        for name, state in self.quarantines.items():
            if name != origin and not {name, origin} & self.parted:
                self.spawn(self.tell_late(state, key, fact))

    async def tell_late(
        self,
        state: quarantine.Quarantine,
        key: str,
        fact: peers.Fact | None,
    ) -> None:
        await self.clock.sleep(self.rng.uniform(0.0, MOST_SPREAD_S))
        state.merge(key, fact)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def request(self, node: str, name: str) -> None:
        """A caller's request, until it is answered or refused for good."""
        self.outcomes[name] = "waiting"
        self.outcomes[name] = await self.serve(node, name)

    async def serve(self, node: str, name: str) -> Outcome:
        state = self.quarantines[node]
        end = self.clock.now + PATIENCE_S
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
            await self.clock.sleep(STEP_S)
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
            name, [endpoint], lambda e: not self.at_endpoint[e]
        )
        if begun.is_error():
            await self.clock.sleep(begun.error.retry_after_s or STEP_S)
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
        """Runs at an endpoint; returns whether it lived to the end."""
        state = self.quarantines[node]
        crashes = self.crashes[endpoint]
        state.in_flight(endpoint, name)
        self.at_endpoint[endpoint] += 1
        await self.clock.sleep(self.crash_s if name == POISON else RUN_S)
        if self.crashes[endpoint] != crashes:
            return False
        if name == POISON:
            self.losses.append((self.clock.now, endpoint))
            self.crash(endpoint)
            return False
        self.at_endpoint[endpoint] -= 1
        state.done(endpoint, name)
        return True

    def crash(self, endpoint: str) -> None:
        """An endpoint crashes; each node sees it."""
        self.crashes[endpoint] += 1
        self.at_endpoint[endpoint] = 0
        self.down.add(endpoint)
        zone = self.zones[endpoint]
        for state in self.quarantines.values():
            state.crashed(endpoint, self.clock.now, zone)
        self.spawn(self.revive(endpoint))

    async def revive(self, endpoint: str) -> None:
        await self.clock.sleep(REVIVE_S)
        self.down.discard(endpoint)

    async def fail_zone(self, zone: str) -> None:
        """All endpoints of a zone die within a second."""
        self.zone_failures.append((self.clock.now, zone))
        for endpoint, other in self.zones.items():
            if other == zone and endpoint not in self.down:
                self.crash(endpoint)
                await self.clock.sleep(FAIL_S)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
