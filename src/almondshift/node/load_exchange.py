"""Shares engines' load reports and accounts' use between nodes.

Each engine is watched by a few nodes, chosen by rendezvous hashing, which
tell the others. If every node asked every engine itself, 390 nodes would ask
each of 820 engines 390 times for the same report.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from typing import TYPE_CHECKING

import xxhash

from almondshift.adapters import engine_messages
from almondshift.coordination import membership as memberships
from almondshift.policy import events
from almondshift.ports import peers

if TYPE_CHECKING:
    import random

    from almondshift.model import endpoints
    from almondshift.node import directory
    from almondshift.node import router_driver
    from almondshift.node import usage
    from almondshift.ports import clocks

WATCHERS = 3
PUBLISH_S = 1.0
USE_TTL_S = 10.0
REPORT_TTL_S = 60.0
REPEAT_S = 20.0
CHANGE_SHARE = 0.25
MAX_ROWS = 20
CHANGE_SESSIONS = 2

logger = logging.getLogger(__name__)


class LoadExchange:
    """Publishes what this node watches and uses; takes what peers tell.

    Attributes:
        peer_loads: How full each peer says it is, 1.0 when it refuses.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        known: directory.Directory,
        driver: router_driver.RouterDriver,
        meter: usage.Usage,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.membership = membership
        self.directory = known
        self.driver = driver
        self.meter = meter
        self.clock = clock
        self.rng = rng
        self.peer_loads: dict[str, float] = {}
        self._told: dict[str, tuple[float, endpoints.LoadReport]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to tell and to listen."""
        self.membership.subscribe(
            peers.FactKind.ENGINE_LOAD, self._heard_report
        )
        self.membership.subscribe(peers.FactKind.ACCOUNT_USE, self._heard_use)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops telling."""
        if self._task is not None:
            self._task.cancel()

    def watches(self, engine: str) -> bool:
        """Returns whether this node asks an engine itself."""
        return self.rank(engine) < WATCHERS

    def rank(self, engine: str) -> int:
        """Returns this node's place among the live nodes for an engine.

        All nodes compute the same order, as far as they know the same
        nodes, and each engine has an order of its own.
        """
        own = _score(self.membership.node.name, engine)
        return sum(
            1
            for peer in self.membership.peers()
            if peer.state is memberships.PeerState.ALIVE
            and _score(peer.name, engine) > own
        )

    async def _run(self) -> None:
        while True:
            spread = self.rng.uniform(0.8, 1.2)
            await self.clock.sleep(PUBLISH_S * spread)
            try:
                self._publish_use()
                self._publish_reports()
            except Exception:
                logger.exception("publishing load failed")

    def _publish_use(self) -> None:
        now = self.clock.monotonic()
        in_flight = dict(self.meter.in_flight.most_common(MAX_ROWS))
        rates = sorted(self.meter.rates(now).items(), key=lambda row: -row[1])
        value = {
            "in_flight": in_flight,
            "load": self.meter.load(now),
            "use": {name: round(rate, 1) for name, rate in rates[:MAX_ROWS]},
        }
        self.membership.publish(
            peers.FactKind.ACCOUNT_USE,
            self.membership.node.name,
            json.dumps(value, separators=(",", ":")).encode(),
            USE_TTL_S,
        )

    def _publish_reports(self) -> None:
        now = self.clock.monotonic()
        for name, known in self.directory.endpoints.items():
            report = known.report
            if report is None or not known.watched:
                continue
            if self._is_news(name, report, now):
                self._told[name] = (now, report)
                self.membership.publish(
                    peers.FactKind.ENGINE_LOAD,
                    name,
                    engine_messages.encode_load(report),
                    REPORT_TTL_S,
                )

    def _is_news(
        self, name: str, report: endpoints.LoadReport, now: float
    ) -> bool:
        last = self._told.get(name)
        if last is None or now - last[0] >= REPEAT_S:
            return True
        old = last[1]
        if _state(old) != _state(report):
            return True
        change = abs(report.sessions - old.sessions)
        return change > max(CHANGE_SESSIONS, CHANGE_SHARE * old.sessions)

    def _heard_report(self, key: str, fact: peers.Fact | None) -> None:
        if fact is None or fact.origin == self.membership.node.name:
            return
        report = engine_messages.decode_load(fact.value)
        on_the_way_s = REPORT_TTL_S - fact.ttl_s
        aged = dataclasses.replace(report, age_s=report.age_s + on_the_way_s)
        self.directory.take_peer_report(aged)

    def _heard_use(self, key: str, fact: peers.Fact | None) -> None:
        now = self.clock.monotonic()
        if key == self.membership.node.name:
            return
        if fact is None:
            self.peer_loads.pop(key, None)
            self.driver.tell(events.PeerGone(now, key))
            return
        value = json.loads(fact.value)
        self.peer_loads[key] = float(value["load"])
        self.driver.tell(
            events.PeerLoad(now, key, value["in_flight"], value["use"])
        )


def _state(report: endpoints.LoadReport) -> tuple[object, ...]:
    return (report.instance, report.role, report.leaving, report.holdings)


def _score(node: str, engine: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}/{engine}".encode())


def create_load_exchange(
    membership: memberships.Membership,
    known: directory.Directory,
    driver: router_driver.RouterDriver,
    meter: usage.Usage,
    clock: clocks.Clock,
    rng: random.Random,
) -> LoadExchange:
    """Builds the exchange; not started yet."""
    return LoadExchange(membership, known, driver, meter, clock, rng)
