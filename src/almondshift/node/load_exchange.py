"""Shares load reports of engines and usage of accounts between nodes.

Each engine is watched by a few nodes, chosen by rendezvous hashing, and the
first of them publishes its load. If every node queried every engine, 390
nodes would ask each of 820 engines 390 times for the same report.

The state of an engine (instance, role, holdings) changes rarely and is a
separate fact. Its counts (sessions, queued items) change all the time; a node
publishes those of all its engines as rows of one usage fact, together with
the usage of accounts. With one fact for each report, the reports of 820
engines exceeded the capacity of the exchange between 390 nodes.
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
from almondshift.node import version_use
from almondshift.policy import events
from almondshift.ports import peers

if TYPE_CHECKING:
    import random

    from almondshift.model import endpoints
    from almondshift.node import directory
    from almondshift.node import router_driver
    from almondshift.node import usage
    from almondshift.ports import clocks

WATCHERS_PER_ENGINE = 3
PUBLISH_INTERVAL_S = 1.0
MAX_USAGE_FACTS_PER_S = 20.0
MAX_USAGE_BYTES_PER_S = 9_000.0
MIN_VALUE_BYTES = 200
"""Limits for the rate and the bytes of usage facts from all nodes together.

With more nodes each publishes less often and shorter facts, so that the
inbound rate of a node stays constant; otherwise loads queue up and are
outdated on arrival. The minimum size holds the loads of two or three engines
and some usage entries."""

VERSIONS_CHECK_INTERVAL_S = 0.05
"""Seconds between checks whether the versions in use have changed. A change is
published early, since engines wait for it during a rollout."""

MIN_EARLY_SHARE = 0.1
"""Minimum time from one usage fact to an early one, as a share of the interval
between usage facts; bounds the facts if many nodes' versions change often."""

MIN_USAGE_TTL_S = 10.0
USAGE_TTL_INTERVALS = 4
STATE_TTL_S = 900.0
STATE_REPUBLISH_INTERVAL_S = 300.0
STATE_PUBLISH_DELAY_S = 3.0
"""Time from the start until states are published. Until a node knows its peers,
it considers itself the first watcher of all 820 engines and would publish each
of them."""

ALIVE_REFRESH_INTERVAL_S = 0.5
MAX_USAGE_ENTRIES = 20
MAX_VALUE_BYTES = peer_types.MembershipSettings().max_value_bytes
MAX_LOADS_SHARE = 0.5
"""Maximum share of a usage fact for loads; the rest is for account usage."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Published:
    """The last published report of an engine."""

    at: float
    report: endpoints.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedState:
    """A state published by a peer; its counts were measured at ``at``."""

    at: float
    report: endpoints.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedRow:
    """Counts published by a peer, measured at ``at``."""

    at: float
    row: load_rows.LoadRow


class LoadExchange:
    """Publishes the load seen by this node and applies what peers publish.

    Attributes:
        peer_loads: Load of each peer, 1.0 if it refuses requests.
        versions: Versions of models in use by this node and its peers.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        endpoint_directory: directory.Directory,
        driver: router_driver.RouterDriver,
        meter: usage.Usage,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.membership = membership
        self.directory = endpoint_directory
        self.driver = driver
        self.meter = meter
        self.clock = clock
        self.rng = rng
        self.peer_loads: dict[str, float] = {}
        self.versions = version_use.VersionUse(membership)
        self._published_versions: dict[str, list[int]] = {}
        self._published_states: dict[str, _Published] = {}
        self._published_counts: dict[str, _Published] = {}
        self._states: dict[str, _ReceivedState] = {}
        self._rows: dict[str, _ReceivedRow] = {}
        self._alive: frozenset[str] = frozenset()
        self._alive_refreshed_at = float("-inf")
        self._ranks: dict[str, int] = {}
        self._usage_published_at = float("-inf")
        self._publish_states_from = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts to publish and to listen."""
        self.listen()
        self._publish_states_from = (
            self.clock.monotonic() + STATE_PUBLISH_DELAY_S
        )
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._watch_versions()),
        ]

    def listen(self) -> None:
        """Subscribes to the facts of peers, including those already known."""
        state_kind = peers.FactKind.ENGINE_LOAD
        self.membership.subscribe(state_kind, self._on_state_fact)
        self.membership.subscribe(
            peers.FactKind.ACCOUNT_USE, self._on_usage_fact
        )
        # Peers publish a state again only after minutes, so those received
        # before are applied now.
        for key, fact in self.membership.facts(state_kind).items():
            self.membership.notify_subscribers(state_kind, key, fact)

    async def close(self) -> None:
        """Stops publishing."""
        for task in self._tasks:
            task.cancel()

    def watches(self, engine: str) -> bool:
        """Returns whether this node queries the load of an engine itself."""
        return self.rank(engine) < WATCHERS_PER_ENGINE

    def rank(self, engine: str) -> int:
        """Returns this node's rank among the live nodes for an engine.

        All nodes that know the same nodes compute the same order, which
        differs by engine. Ranks are cached until the live nodes change:
        computing them for 820 engines among 390 nodes four times a second
        took more than a core.
        """
        self._refresh_alive()
        known = self._ranks.get(engine)
        if known is None:
            known = self._count_before(self._alive, engine)
            self._ranks[engine] = known
        return known

    def usage_interval_s(self) -> float:
        """Returns the seconds between two usage facts of this node."""
        return max(
            PUBLISH_INTERVAL_S, (len(self._alive) + 1) / MAX_USAGE_FACTS_PER_S
        )

    def max_value_bytes_now(self) -> int:
        """Returns the size limit of a usage fact for the current node count."""
        each = int(MAX_USAGE_BYTES_PER_S / (len(self._alive) + 1))
        return min(MAX_VALUE_BYTES, max(MIN_VALUE_BYTES, each))

    def publish(self) -> None:
        """Publishes the facts that are due; a failure does not skip others."""
        now = self.clock.monotonic()
        if (
            now - self._usage_published_at
            >= self.usage_interval_s() - PUBLISH_INTERVAL_S / 2
        ):
            self._usage_published_at = now
            try:
                self._publish_usage()
            except Exception:
                logger.exception("failed to publish usage")
        self._publish_states()

    async def _run(self) -> None:
        while True:
            spread = self.rng.uniform(0.8, 1.2)
            await self.clock.sleep(PUBLISH_INTERVAL_S * spread)
            try:
                self.publish()
            except Exception:
                logger.exception("failed to publish loads")

    async def _watch_versions(self) -> None:
        while True:
            await self.clock.sleep(VERSIONS_CHECK_INTERVAL_S)
            try:
                self.publish_changed_versions()
            except Exception:
                logger.exception("failed to publish the versions in use")

    def publish_changed_versions(self) -> None:
        """Publishes the usage early if the versions in use have changed."""
        if self.versions.own() == self._published_versions:
            return
        now = self.clock.monotonic()
        gap_s = MIN_EARLY_SHARE * self.usage_interval_s()
        if now - self._usage_published_at >= gap_s:
            self._usage_published_at = now
            self._publish_usage()
            self.membership.start_extra_round()

    def _refresh_alive(self) -> None:
        now = self.clock.monotonic()
        if now - self._alive_refreshed_at < ALIVE_REFRESH_INTERVAL_S:
            return
        self._alive_refreshed_at = now
        alive = frozenset(
            peer.name
            for peer in self.membership.peers()
            if peer.state is peer_types.PeerState.ALIVE
        )
        joined, left = alive - self._alive, self._alive - alive
        self._alive = alive
        if not joined and not left:
            return
        for engine in self._ranks:
            change = self._count_before(joined, engine) - self._count_before(
                left, engine
            )
            self._ranks[engine] += change

    def _count_before(self, names: frozenset[str], engine: str) -> int:
        """Returns how many of these nodes rank before this one."""
        own = _score(self.membership.node.name, engine)
        return sum(_score(name, engine) > own for name in names)

    def _own_reports(self) -> list[endpoints.LoadReport]:
        """Returns the reports that this node publishes, with current ages.

        Only the first watcher of an engine publishes; when it fails, the
        next one becomes the first.
        """
        now = self.clock.monotonic()
        return [
            _with_held_time(known.report, now, known.reported_at)
            for name, known in self.directory.endpoints.items()
            if known.report is not None
            and known.watched
            and self.rank(name) == 0
        ]

    def _publish_usage(self) -> None:
        ttl_s = max(
            MIN_USAGE_TTL_S, USAGE_TTL_INTERVALS * self.usage_interval_s()
        )
        max_bytes = self.max_value_bytes_now()
        loads_bytes = int(MAX_LOADS_SHARE * max_bytes)
        self._published_versions = self.versions.own()
        rows = load_rows.fitting(self._rows_by_change(), loads_bytes)
        self._record_published_counts(rows)
        self.membership.publish(
            peers.FactKind.ACCOUNT_USE,
            self.membership.node.name,
            self._encode_usage(ttl_s, rows, max_bytes),
            ttl_s,
        )

    def _encode_usage(
        self, ttl_s: float, rows: list[load_rows.LoadRow], max_bytes: int
    ) -> bytes:
        """Encodes the rows and as much of the account usage as fits."""
        now = self.clock.monotonic()
        rates = sorted(self.meter.rates(now).items(), key=lambda row: -row[1])
        loads = msgspec.to_builtins(rows)
        encoded = b""
        for max_entries in range(MAX_USAGE_ENTRIES, -1, -1):
            parts = {
                "load": self.meter.load(now),
                "ttl_s": round(ttl_s, 1),
                "versions": self._published_versions,
                "in_flight": dict(
                    self.meter.in_flight.most_common(max_entries)
                ),
                "use": {name: round(r, 1) for name, r in rates[:max_entries]},
                "loads": loads,
            }
            filled = {name: part for name, part in parts.items() if part}
            encoded = load_rows.encode(filled)
            if len(encoded) <= max_bytes:
                break
        return encoded

    def _rows_by_change(self) -> list[load_rows.LoadRow]:
        """Returns rows, most changed first, then least recently published."""
        reports = self._own_reports()
        reports.sort(key=self._urgency)
        return [load_rows.row_of(report) for report in reports]

    def _urgency(self, report: endpoints.LoadReport) -> tuple[float, float]:
        last_published = self._published_counts.get(report.endpoint)
        if (
            last_published is None
            or last_published.report.instance != report.instance
        ):
            return (float("-inf"), 0.0)
        change = abs(report.sessions - last_published.report.sessions)
        change += abs(report.queued_items - last_published.report.queued_items)
        return (-change, last_published.at)

    def _record_published_counts(self, rows: list[load_rows.LoadRow]) -> None:
        now = self.clock.monotonic()
        names = {row.endpoint for row in rows}
        known = self.directory.endpoints
        kept = {n: t for n, t in self._published_counts.items() if n in known}
        for name in names:
            report = known[name].report
            if report is not None:
                kept[name] = _Published(now, report)
        self._published_counts = kept

    def _publish_states(self) -> None:
        now = self.clock.monotonic()
        if now < self._publish_states_from:
            return
        own = {report.endpoint: report for report in self._own_reports()}
        # Drops engines that another node publishes now: the states published
        # by that node have replaced those that this node published earlier.
        kept = {n: t for n, t in self._published_states.items() if n in own}
        self._published_states = kept
        for name, report in own.items():
            if not self._is_state_due(name, report, now):
                continue
            self._published_states[name] = _Published(now, report)
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
            logger.exception("failed to publish the state of %s", name)

    def _is_state_due(
        self, name: str, report: endpoints.LoadReport, now: float
    ) -> bool:
        last = self._published_states.get(name)
        if last is None or now - last.at >= STATE_REPUBLISH_INTERVAL_S:
            return True
        return _state_key(last.report) != _state_key(report)

    def _on_state_fact(self, key: str, fact: peers.Fact | None) -> None:
        if fact is None:
            self._states.pop(key, None)
            self._rows.pop(key, None)
            return
        # Own states are stored too: after a change of the first watcher,
        # this node merges the counts of the new one into its own state.
        report = engine_messages.decode_load(fact.value)
        now = self.clock.monotonic()
        transit_s = max(0.0, STATE_TTL_S - fact.ttl_s)
        at = now - transit_s - report.age_s
        self._states[key] = _ReceivedState(at, report)
        self._apply_report(key)

    def _on_usage_fact(self, key: str, fact: peers.Fact | None) -> None:
        now = self.clock.monotonic()
        if key == self.membership.node.name:
            return
        if fact is None:
            self.peer_loads.pop(key, None)
            self.versions.peer_gone(key)
            self.driver.notify(events.PeerGone(now, key))
            return
        value = json.loads(fact.value)
        self.peer_loads[key] = _number(value.get("load")) or 0.0
        self.versions.peer_published(key, value.get("versions"))
        in_flight = {
            name: int(count)
            for name, count in _numbers(value.get("in_flight")).items()
        }
        used = _numbers(value.get("use"))
        self.driver.notify(events.PeerLoad(now, key, in_flight, used))
        ttl_s = _number(value.get("ttl_s")) or MIN_USAGE_TTL_S
        transit_s = max(0.0, ttl_s - fact.ttl_s)
        for row in load_rows.decode(value.get("loads")):
            self._merge_row(row, now - transit_s - row.age_s)

    def _merge_row(self, row: load_rows.LoadRow, at: float) -> None:
        received = self._rows.get(row.endpoint)
        if received is not None and received.at >= at:
            return
        if row.endpoint not in self.directory.endpoints:
            return
        self._rows[row.endpoint] = _ReceivedRow(at, row)
        try:
            self._apply_report(row.endpoint)
        except Exception:
            logger.exception("failed to apply the load of %s", row.endpoint)

    def _apply_report(self, name: str) -> None:
        """Applies the state of an engine, merged with its newest counts."""
        state = self._states.get(name)
        if state is None:
            return
        report, at = state.report, state.at
        counts = self._rows.get(name)
        if counts is not None and _is_newer(counts, state):
            at = counts.at
            report = dataclasses.replace(
                report,
                sessions=counts.row.sessions,
                queued_items=counts.row.queued_items,
            )
        age_s = max(0.0, self.clock.monotonic() - at)
        self.directory.take_peer_report(
            dataclasses.replace(report, age_s=age_s)
        )


def _is_newer(counts: _ReceivedRow, state: _ReceivedState) -> bool:
    """Returns whether counts are newer than a state of the same instance."""
    is_same = counts.row.tag == load_rows.tag_of(state.report.instance)
    return is_same and counts.at > state.at


def _with_held_time(
    report: endpoints.LoadReport, now: float, received_at: float | None
) -> endpoints.LoadReport:
    """Returns a report whose age includes the time since its reception."""
    if received_at is None:
        return report
    held_s = max(0.0, now - received_at)
    return dataclasses.replace(report, age_s=report.age_s + held_s)


def _number(value: Any) -> float | None:
    """Returns a finite, non-negative number, else None."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and value >= 0 else None


def _numbers(value: Any) -> dict[str, float]:
    """Returns the entries of a mapping whose values are valid numbers."""
    if not isinstance(value, dict):
        return {}
    found = {name: _number(count) for name, count in value.items()}
    return {name: count for name, count in found.items() if count is not None}


def _state_key(report: endpoints.LoadReport) -> tuple[object, ...]:
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
    endpoint_directory: directory.Directory,
    driver: router_driver.RouterDriver,
    meter: usage.Usage,
    clock: clocks.Clock,
    rng: random.Random,
) -> LoadExchange:
    """Builds the exchange without starting it."""
    return LoadExchange(
        membership, endpoint_directory, driver, meter, clock, rng
    )
