"""This node's view of engines: its own load on them, and their health.

Reports are delayed, so that an engine which looks idle in one report is filled
by all nodes before the next. A dead engine stays registered for seconds. The
node counts its own requests at once and assumes the same load for every other
node, since callers choose nodes at random.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from almondshift.model import lifetimes
from almondshift.policy import engine_backoffs

if TYPE_CHECKING:
    from collections.abc import Iterable

SUSPECT_S = 3.0
"""Time for which a suspect engine gets no work, in seconds, unless it is only
unreachable. It must then answer before it gets any. Covers the delay until the
registry drops a dead engine."""

SUSPECT_QUERY_GAP_S = 1.0
"""Interval between further queries of a suspect, in seconds."""

MAX_PAUSE_S = 1.4
"""Usual maximum silence of a sound engine since it was suspected, in seconds:
engines may pause for about a second and continue. One that stays silent for
longer seems to have ended, but is not known to."""

SILENT_QUERY_GAP_S = 0.2
"""Interval between queries of an engine that has been silent for less than
``MAX_PAUSE_S``, in seconds."""

LAST_SILENT_QUERY_S = MAX_PAUSE_S - 0.28
"""Silence at which an engine is queried even by the nodes of a large group, in
seconds. The query times out just after ``MAX_PAUSE_S``."""

MAX_ENDED = 512
"""Maximum number of ended engines that are remembered, and of expired ones."""

PACE_VALID_S = 4.0
"""Validity of a report of slowness, in seconds."""

USED_VALID_S = 1.0
"""Validity of a report of memory in use, in seconds; short against the duration
of a request."""

MEMORY_GROWTH = 1.25
"""Expected final memory of running requests, as a multiple of their present
use."""

SLOW_PACE = 4.0
"""Slowdown from which an engine is avoided: even a lightly loaded stage is then
nearly saturated and delays the whole path."""

NO_FIRST_EVENT_S = 4.0
"""Time for which a first engine is avoided after a caller abandoned a stream
without a first event, in seconds."""

FULL_S = 0.4
"""Time for which an engine is avoided after it refused a request because it had
no memory, in seconds; twice the delay of reports."""


class Suspicion(enum.StrEnum):
    """Why an engine gets no work."""

    STALLED = "stalled"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    GONE = "gone"
    DRAINING = "draining"


class Evidence(enum.StrEnum):
    """What a suspicion is based on."""

    REQUEST = "request"
    REGISTRY = "registry"
    PROBE = "probe"
    PEER = "peer"
    SILENCE = "silence"
    MEMORY_QUERY = "memory query"
    HEALTH_CHECK = "health check"


class End(enum.StrEnum):
    """What shows that an engine has ended."""

    PORT_CLOSED = "port closed"
    REPLACED = "replaced"


@dataclasses.dataclass(slots=True)
class EngineState:
    """What this node knows of one start of an engine.

    Times are monotonic seconds.

    Attributes:
        running: This node's requests that use it.
        first_running: This node's requests whose first engine it is.
        layer_tokens: Memory of this node's requests on it, in tokens times
            layers.
        pace: Factor by which it is slowed down; 1 if it is not.
        pace_until: End of the validity of ``pace``.
        suspect_since: Since when it is suspect.
        silent_since: Since when it is unreachable.
        silent_until: When the latest query that it did not answer timed out.
        suspect_until: Until when it is not tried again if suspect.
        reason: Why it is suspect; None if it is not.
        full_until: Until when it is avoided, since it had no room.
        no_first_event_until: Until when it is avoided as first engine, since
            callers left without a first event.
        reported: Expected memory by its own report, in tokens times layers.
        reported_at: When the report came.
        own_at_report: ``layer_tokens`` at that time.
    """

    running: int = 0
    first_running: int = 0
    layer_tokens: float = 0.0
    pace: float = 1.0
    pace_until: float = 0.0
    suspect_since: float = 0.0
    silent_since: float = 0.0
    silent_until: float = 0.0
    suspect_until: float = 0.0
    reason: Suspicion | None = None
    full_until: float = 0.0
    no_first_event_until: float = 0.0
    reported: float = 0.0
    reported_at: float = -USED_VALID_S
    own_at_report: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UsedPart:
    """A part of a request's path whose load is counted.

    Attributes:
        layers: Number of layers.
    """

    instance: str
    layers: int


class EngineTracker:
    """Keeps the states of all engines.

    Attributes:
        states: By instance.
        ended: Engines that are known to have ended, and what shows it; the
            oldest first.
        expired: Engines whose registry entries went while they were silent, the
            oldest first. One that is suspended may continue.
        backoffs: Times for which engines want no requests; they outlive
            registry entries.
        changes: Increases with each change of health, not of load.
        query_factor: Factor by which a large group extends its intervals.
    """

    def __init__(self) -> None:
        self.states: dict[str, EngineState] = {}
        self.ended: collections.OrderedDict[str, End] = (
            collections.OrderedDict()
        )
        self.expired: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.backoffs = engine_backoffs.EngineBackoffs()
        self.changes = 0
        self.query_factor = 1.0

    def state(self, instance: str) -> EngineState:
        """Returns the state of an engine; creates it if needed."""
        found = self.states.get(instance)
        if found is None:
            found = self.states[instance] = EngineState()
        return found

    def add(self, parts: tuple[UsedPart, ...], tokens: float) -> None:
        """Adds the load of a request."""
        for index, part in enumerate(parts):
            state = self.state(part.instance)
            state.running += 1
            state.first_running += 1 if index == 0 else 0
            state.layer_tokens += part.layers * tokens

    def remove(self, parts: tuple[UsedPart, ...], tokens: float) -> None:
        """Removes the load of a request."""
        for index, part in enumerate(parts):
            state = self.states.get(part.instance)
            if state is None:
                continue
            state.running -= 1
            state.first_running -= 1 if index == 0 else 0
            state.layer_tokens -= part.layers * tokens

    def suspect(self, instance: str, reason: Suspicion, now: float) -> bool:
        """Marks an engine as suspect; returns whether that is a change."""
        state = self.state(instance)
        is_change = state.reason is None or (
            state.reason is Suspicion.DRAINING and reason is not state.reason
        )
        if state.reason is None:
            state.suspect_since = now
        if (
            reason is Suspicion.UNREACHABLE
            and state.reason is not Suspicion.UNREACHABLE
        ):
            state.silent_since = now
        state.reason = reason
        state.suspect_until = now + SUSPECT_S
        if reason is Suspicion.UNREACHABLE:
            state.suspect_until = now + self.silent_query_gap_s(state, now)
        elif reason is Suspicion.GONE:
            self.note_ended(instance, End.REPLACED)
        if is_change:
            self.changes += 1
        return is_change

    def note_ended(self, instance: str, end: End) -> None:
        """Records that an engine has ended, and what shows it."""
        self.expired.pop(instance, None)
        self.ended[instance] = end
        if len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)

    def note_alive(self, instance: str) -> None:
        """Records that an engine sent something; it has not ended after all."""
        self.ended.pop(instance, None)
        self.expired.pop(instance, None)

    def note_entry(self, instance: str) -> None:
        """Records an engine's registry entry, which may have expired before.

        An entry of another start of the engine shows that the former one has
        ended.
        """
        name = lifetimes.engine_name(instance)
        for former in list(self.expired):
            if former == instance:
                self.expired.pop(former)
            elif lifetimes.engine_name(former) == name:
                self.note_ended(former, End.REPLACED)

    def note_silent(self, instance: str, now: float) -> None:
        """Records that a query to a suspect engine timed out."""
        self.state(instance).silent_until = now

    def is_known_ended(self, instance: str) -> bool:
        """Returns whether there is proof that an engine has ended."""
        return instance in self.ended

    def seems_ended(self, instance: str) -> bool:
        """Returns whether an engine has ended, or was silent for too long."""
        if self.is_known_ended(instance) or instance in self.expired:
            return True
        state = self.states.get(instance)
        return (
            state is not None
            and state.reason is Suspicion.UNREACHABLE
            and state.silent_until - state.silent_since >= MAX_PAUSE_S
        )

    def may_continue(self, instance: str) -> bool:
        """Returns whether an engine is silent, but not known to have ended."""
        if self.is_known_ended(instance):
            return False
        state = self.states.get(instance)
        return instance in self.expired or (
            state is not None and state.reason is Suspicion.UNREACHABLE
        )

    def may_be_paused(self, instance: str) -> bool:
        """Returns whether an engine may be silent for a usual pause only."""
        return self.may_continue(instance) and not self.seems_ended(instance)

    def query_gap_s(self, instance: str, now: float) -> float:
        """Returns the time until a suspect engine is queried again."""
        state = self.state(instance)
        if state.reason is Suspicion.DRAINING:
            return SUSPECT_S
        silent_s = now - state.silent_since
        is_new = silent_s <= MAX_PAUSE_S + SILENT_QUERY_GAP_S
        if state.reason is Suspicion.UNREACHABLE and is_new:
            return self.silent_query_gap_s(state, now)
        return SUSPECT_QUERY_GAP_S

    def silent_query_gap_s(self, state: EngineState, now: float) -> float:
        """Returns the time until an engine that may pause is queried again."""
        gap_s = min(SUSPECT_QUERY_GAP_S, SILENT_QUERY_GAP_S * self.query_factor)
        left_s = LAST_SILENT_QUERY_S - (now - state.silent_since)
        return min(gap_s, left_s) if left_s > 0 else gap_s

    def clear_suspicion(self, instance: str) -> None:
        """Clears the suspicion of an engine that answers again."""
        self.note_alive(instance)
        state = self.state(instance)
        if state.reason is not None:
            state.reason = None
            self.changes += 1

    def is_suspect(self, instance: str) -> bool:
        """Returns whether an engine is suspect and gets no work."""
        state = self.states.get(instance)
        return state is not None and state.reason is not None

    def is_lost(self, instance: str) -> bool:
        """Returns whether an engine seems dead; a draining one still runs."""
        state = self.states.get(instance)
        return state is not None and state.reason not in (
            None,
            Suspicion.DRAINING,
        )

    def seems_dead(self, instance: str) -> bool:
        """Returns whether an engine is lost, or expired while it was."""
        return self.is_lost(instance) or instance in self.expired

    def query_all_suspects(self, now: float) -> None:
        """Makes all suspect engines due for a query now."""
        for state in self.states.values():
            if state.reason is not None:
                state.suspect_until = min(state.suspect_until, now)

    def due_for_query(self, now: float) -> list[str]:
        """Returns suspect engines that are due for another query."""
        return [
            instance
            for instance, state in self.states.items()
            if state.reason is not None and state.suspect_until <= now
        ]

    def note_used(self, instance: str, used: float, now: float) -> None:
        """Records the memory in use that an engine reports."""
        state = self.state(instance)
        state.reported = used * MEMORY_GROWTH
        state.reported_at = now
        state.own_at_report = state.layer_tokens

    def used(
        self, instance: str, estimate: float, counted_nodes: int, now: float
    ) -> float:
        """Returns the estimated memory in use, in tokens times layers.

        An estimate extrapolated from a few own requests is off by a third. A
        fresh report, plus what was added since, is preferred to it.

        Args:
            instance: The engine.
            estimate: Memory of all nodes' requests, if there is no report.
            counted_nodes: Number of nodes, this one included, that are assumed
                to have added as much as this one.
            now: Monotonic seconds.
        """
        state = self.states.get(instance)
        if state is None or not self.has_fresh_report(instance, now):
            return estimate
        added = (state.layer_tokens - state.own_at_report) * counted_nodes
        return max(state.layer_tokens, state.reported + added)

    def has_fresh_report(self, instance: str, now: float) -> bool:
        """Returns whether an engine's latest report of its memory is valid."""
        state = self.states.get(instance)
        return state is not None and now - state.reported_at < USED_VALID_S

    def note_full(self, instance: str, now: float) -> None:
        """Records that an engine had no room."""
        self.state(instance).full_until = now + FULL_S
        self.changes += 1

    def is_full(self, instance: str, now: float) -> bool:
        """Returns whether an engine lately refused a request without room."""
        state = self.states.get(instance)
        return state is not None and state.full_until > now

    def note_backoff(self, instance: str, backoff_s: float, now: float) -> None:
        """Records that an engine asked this node for no requests."""
        if self.backoffs.note(instance, backoff_s, now):
            self.changes += 1

    def is_in_backoff(self, instance: str, now: float) -> bool:
        """Returns whether an engine has asked for no requests until later."""
        return self.backoffs.is_active(instance, now)

    def shortest_backoff_s(self, instances: Iterable[str], now: float) -> float:
        """Returns when the first of several backoffs ends, in seconds from now.

        0 if none of these engines has one.
        """
        return self.backoffs.shortest_s(instances, now)

    def note_no_first_event(self, instance: str, now: float) -> None:
        """Records that a caller abandoned its wait for a first event.

        The engine may still answer queries while its requests wait for
        batches, its own or those of later engines. If it kept its share of
        the requests, as many more callers would leave.
        """
        self.state(instance).no_first_event_until = now + NO_FIRST_EVENT_S
        self.changes += 1

    def lacks_first_events(self, instance: str, now: float) -> bool:
        """Returns whether callers lately left without a first event."""
        state = self.states.get(instance)
        return state is not None and state.no_first_event_until > now

    def note_pace(self, instance: str, pace: float, now: float) -> None:
        """Records the slowdown that an engine reports."""
        state = self.state(instance)
        if abs(state.pace - pace) > 0.2 * state.pace:
            self.changes += 1
        state.pace = max(1.0, pace)
        state.pace_until = now + PACE_VALID_S

    def pace(self, instance: str, now: float) -> float:
        """Returns by which factor an engine is slowed down; 1 if unknown."""
        state = self.states.get(instance)
        if state is None or state.pace_until <= now:
            return 1.0
        return state.pace

    def is_slow(self, instance: str, now: float) -> bool:
        """Returns whether an engine should be avoided if others can serve."""
        return self.pace(instance, now) >= SLOW_PACE

    def slow_engines(self, now: float) -> list[str]:
        """Returns the engines that are known to be slow."""
        return [i for i in self.states if self.is_slow(i, now)]

    def forget(self, instance: str) -> None:
        """Drops an engine whose registry entry is gone.

        The entry of a suspended process expires too, so that its loss
        does not prove an end.
        """
        if self.is_lost(instance) and not self.is_known_ended(instance):
            self.expired[instance] = None
            if len(self.expired) > MAX_ENDED:
                self.expired.popitem(last=False)
        if self.states.pop(instance, None) is not None:
            self.changes += 1
