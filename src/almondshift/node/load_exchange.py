"""Shares engines' load reports and accounts' use between nodes.

Each engine is watched by a few nodes, chosen by rendezvous hashing, and the
first of them tells the others. If every node asked every engine itself, 390
nodes would ask each of 820 engines 390 times for the same report.

What an engine is (instance, role, holdings) changes seldom and is a fact of
its own. Its numbers change all the time; those of all engines that a node
tells of go as rows of one fact, with the use of accounts. With a fact for
each report, 820 engines did not fit through the exchange of 390 nodes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import math
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import xxhash

from almondshift.adapters import engine_messages
from almondshift.coordination import membership as memberships
from almondshift.coordination import peer_types
from almondshift.node import load_rows
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
USES_PER_S = 20.0
VALUE_BYTES_PER_S = 9_000.0
LEAST_VALUE_BYTES = 200
"""Facts of use, and bytes of them, a second in the whole system. With more
nodes each states its own less often and shorter, so that what a node takes
in stays constant; else loads queue behind each other and are old when they
arrive. Loads of two or three engines and some rows of use fit into the
least."""

USE_TTL_S = 10.0
USES_MISSED = 4
STATE_TTL_S = 900.0
REPEAT_S = 300.0
SETTLE_S = 3.0
"""Time after the start without states: a node that knows no peer yet would
take itself for the first watcher of all 820 engines and tell of each."""

ALIVE_S = 0.5
MAX_ROWS = 20
MAX_VALUE_BYTES = peer_types.MembershipSettings().max_value_bytes
LOADS_SHARE = 0.5
"""Most of the bytes that go to loads; what they leave is for use."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """What was told of an engine, and when."""

    at: float
    report: endpoints.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class _HeardState:
    """A state that a peer told; its numbers were measured at ``at``."""

    at: float
    report: endpoints.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class _HeardRow:
    """Numbers that a peer told, measured at ``at``."""

    at: float
    row: load_rows.LoadRow


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
        self._told_states: dict[str, _Told] = {}
        self._told_numbers: dict[str, _Told] = {}
        self._states: dict[str, _HeardState] = {}
        self._rows: dict[str, _HeardRow] = {}
        self._alive: frozenset[str] = frozenset()
        self._alive_at = float("-inf")
        self._ranks: dict[str, int] = {}
        self._use_at = float("-inf")
        self._settled_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to tell and to listen."""
        self.listen()
        self._settled_at = self.clock.monotonic() + SETTLE_S
        self._task = asyncio.create_task(self._run())

    def listen(self) -> None:
        """Takes what peers told and will tell."""
        state_kind = peers.FactKind.ENGINE_LOAD
        self.membership.subscribe(state_kind, self._heard_report)
        self.membership.subscribe(peers.FactKind.ACCOUNT_USE, self._heard_use)
        # A state that came before this is not told again for minutes.
        for key, fact in self.membership.facts(state_kind).items():
            self.membership.tell(state_kind, key, fact)

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
        nodes, and each engine has an order of its own. Places are kept
        until the live nodes change: computed for each of 820 engines four
        times a second among 390 nodes, they took more than a core.
        """
        self._refresh_alive()
        known = self._ranks.get(engine)
        if known is None:
            known = self._before(self._alive, engine)
            self._ranks[engine] = known
        return known

    def use_s(self) -> float:
        """Returns the seconds between two statements of use."""
        return max(PUBLISH_S, (len(self._alive) + 1) / USES_PER_S)

    def value_bytes(self) -> int:
        """Returns the bytes that a statement of use may have now."""
        each = int(VALUE_BYTES_PER_S / (len(self._alive) + 1))
        return min(MAX_VALUE_BYTES, max(LEAST_VALUE_BYTES, each))

    def publish(self) -> None:
        """States what is due; a failure in one part leaves the other."""
        now = self.clock.monotonic()
        if now - self._use_at >= self.use_s() - PUBLISH_S / 2:
            self._use_at = now
            try:
                self._publish_use()
            except Exception:
                logger.exception("publishing use failed")
        self._publish_reports()

    async def _run(self) -> None:
        while True:
            spread = self.rng.uniform(0.8, 1.2)
            await self.clock.sleep(PUBLISH_S * spread)
            try:
                self.publish()
            except Exception:
                logger.exception("publishing load failed")

    def _refresh_alive(self) -> None:
        now = self.clock.monotonic()
        if now - self._alive_at < ALIVE_S:
            return
        self._alive_at = now
        alive = frozenset(
            peer.name
            for peer in self.membership.peers()
            if peer.state is peer_types.PeerState.ALIVE
        )
        came, went = alive - self._alive, self._alive - alive
        self._alive = alive
        if not came and not went:
            return
        for engine in self._ranks:
            change = self._before(came, engine) - self._before(went, engine)
            self._ranks[engine] += change

    def _before(self, names: frozenset[str], engine: str) -> int:
        """Returns how many of these nodes stand before this one."""
        own = _score(self.membership.node.name, engine)
        return sum(_score(name, engine) > own for name in names)

    def _own_reports(self) -> list[endpoints.LoadReport]:
        """Returns the reports that this node tells of, with their age now.

        Only the first watcher tells; when it is gone the next is the first.
        """
        now = self.clock.monotonic()
        return [
            _aged(known.report, now, known.reported_at)
            for name, known in self.directory.endpoints.items()
            if known.report is not None
            and known.watched
            and self.rank(name) == 0
        ]

    def _publish_use(self) -> None:
        ttl_s = max(USE_TTL_S, USES_MISSED * self.use_s())
        most_bytes = self.value_bytes()
        loads_bytes = int(LOADS_SHARE * most_bytes)
        rows = load_rows.fitting(self._rows_by_change(), loads_bytes)
        self._note_numbers(rows)
        self.membership.publish(
            peers.FactKind.ACCOUNT_USE,
            self.membership.node.name,
            self._use_value(ttl_s, rows, most_bytes),
            ttl_s,
        )

    def _use_value(
        self, ttl_s: float, rows: list[load_rows.LoadRow], most_bytes: int
    ) -> bytes:
        """Returns the rows and as much of the use of accounts as fits."""
        now = self.clock.monotonic()
        rates = sorted(self.meter.rates(now).items(), key=lambda row: -row[1])
        loads = msgspec.to_builtins(rows)
        encoded = b""
        for most in range(MAX_ROWS, -1, -1):
            parts = {
                "load": self.meter.load(now),
                "ttl_s": round(ttl_s, 1),
                "in_flight": dict(self.meter.in_flight.most_common(most)),
                "use": {name: round(r, 1) for name, r in rates[:most]},
                "loads": loads,
            }
            filled = {name: part for name, part in parts.items() if part}
            encoded = load_rows.encode(filled)
            if len(encoded) <= most_bytes:
                break
        return encoded

    def _rows_by_change(self) -> list[load_rows.LoadRow]:
        """Returns numbers, most changed first, then longest not told."""
        reports = self._own_reports()
        reports.sort(key=self._urgency)
        return [load_rows.row_of(report) for report in reports]

    def _urgency(self, report: endpoints.LoadReport) -> tuple[float, float]:
        told = self._told_numbers.get(report.endpoint)
        if told is None or told.report.instance != report.instance:
            return (float("-inf"), 0.0)
        change = abs(report.sessions - told.report.sessions)
        change += abs(report.queued_items - told.report.queued_items)
        return (-change, told.at)

    def _note_numbers(self, rows: list[load_rows.LoadRow]) -> None:
        now = self.clock.monotonic()
        names = {row.endpoint for row in rows}
        known = self.directory.endpoints
        kept = {n: t for n, t in self._told_numbers.items() if n in known}
        for name in names:
            report = known[name].report
            if report is not None:
                kept[name] = _Told(now, report)
        self._told_numbers = kept

    def _publish_reports(self) -> None:
        now = self.clock.monotonic()
        if now < self._settled_at:
            return
        own = {report.endpoint: report for report in self._own_reports()}
        # What another watcher told meanwhile stands over what this node
        # told earlier, so that is no longer what the others know.
        kept = {n: t for n, t in self._told_states.items() if n in own}
        self._told_states = kept
        for name, report in own.items():
            if not self._is_news(name, report, now):
                continue
            self._told_states[name] = _Told(now, report)
            self._publish_state(name, report)

    def _publish_state(self, name: str, report: endpoints.LoadReport) -> None:
        try:
            self.membership.publish(
                peers.FactKind.ENGINE_LOAD,
                name,
                engine_messages.encode_load(report),
                STATE_TTL_S,
            )
        except Exception:
            logger.exception("publishing the state of %s failed", name)

    def _is_news(
        self, name: str, report: endpoints.LoadReport, now: float
    ) -> bool:
        last = self._told_states.get(name)
        if last is None or now - last.at >= REPEAT_S:
            return True
        return _state(last.report) != _state(report)

    def _heard_report(self, key: str, fact: peers.Fact | None) -> None:
        if fact is None:
            self._states.pop(key, None)
            self._rows.pop(key, None)
            return
        # Own states count too: a node that told of an engine and is no
        # longer its watcher joins the numbers of the next one to it.
        report = engine_messages.decode_load(fact.value)
        now = self.clock.monotonic()
        on_the_way_s = max(0.0, STATE_TTL_S - fact.ttl_s)
        at = now - on_the_way_s - report.age_s
        self._states[key] = _HeardState(at, report)
        self._tell_report(key)

    def _heard_use(self, key: str, fact: peers.Fact | None) -> None:
        now = self.clock.monotonic()
        if key == self.membership.node.name:
            return
        if fact is None:
            self.peer_loads.pop(key, None)
            self.driver.tell(events.PeerGone(now, key))
            return
        value = json.loads(fact.value)
        self.peer_loads[key] = _number(value.get("load")) or 0.0
        in_flight = {
            name: int(count)
            for name, count in _numbers(value.get("in_flight")).items()
        }
        used = _numbers(value.get("use"))
        self.driver.tell(events.PeerLoad(now, key, in_flight, used))
        ttl_s = _number(value.get("ttl_s")) or USE_TTL_S
        on_the_way_s = max(0.0, ttl_s - fact.ttl_s)
        for row in load_rows.decode(value.get("loads")):
            self._heard_row(row, now - on_the_way_s - row.age_s)

    def _heard_row(self, row: load_rows.LoadRow, at: float) -> None:
        held = self._rows.get(row.endpoint)
        if held is not None and held.at >= at:
            return
        if row.endpoint not in self.directory.endpoints:
            return
        self._rows[row.endpoint] = _HeardRow(at, row)
        try:
            self._tell_report(row.endpoint)
        except Exception:
            logger.exception("taking the load of %s failed", row.endpoint)

    def _tell_report(self, name: str) -> None:
        """Joins state and numbers, whichever came last."""
        state = self._states.get(name)
        if state is None:
            return
        report, at = state.report, state.at
        heard = self._rows.get(name)
        if heard is not None and _belongs(heard, state):
            at = heard.at
            report = dataclasses.replace(
                report,
                sessions=heard.row.sessions,
                queued_items=heard.row.queued_items,
            )
        age_s = max(0.0, self.clock.monotonic() - at)
        self.directory.take_peer_report(
            dataclasses.replace(report, age_s=age_s)
        )


def _belongs(heard: _HeardRow, state: _HeardState) -> bool:
    """Returns whether numbers are newer, and of the same instance."""
    is_same = heard.row.tag == load_rows.tag_of(state.report.instance)
    return is_same and heard.at > state.at


def _aged(
    report: endpoints.LoadReport, now: float, received_at: float | None
) -> endpoints.LoadReport:
    """Returns a report with the time since it was received in its age."""
    if received_at is None:
        return report
    held_s = max(0.0, now - received_at)
    return dataclasses.replace(report, age_s=report.age_s + held_s)


def _number(value: Any) -> float | None:
    """Returns a finite number that is not negative, else None."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and value >= 0 else None


def _numbers(value: Any) -> dict[str, float]:
    """Returns the entries of a map that are numbers."""
    if not isinstance(value, dict):
        return {}
    found = {name: _number(count) for name, count in value.items()}
    return {name: count for name, count in found.items() if count is not None}


def _state(report: endpoints.LoadReport) -> tuple[object, ...]:
    return (
        report.instance,
        report.role,
        report.leaving,
        report.holdings,
        report.order_number,
    )


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
