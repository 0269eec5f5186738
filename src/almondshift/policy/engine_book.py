"""This node's view of engines: its own load on them, and their health.

Load pattern: reports are delayed, so an engine that looks idle in one is filled
by all nodes before the next; and a dead engine stays registered for seconds.
The node counts its own requests at once and assumes the same load of every
other node, since callers choose nodes at random.
"""

from __future__ import annotations

import dataclasses
import enum

SUSPECT_S = 3.0
"""Time without work for an engine that did not answer, in seconds; it must then
answer first. Covers the delay until the registry drops a dead engine."""

PACE_MEMORY_S = 4.0
"""Validity of a report of slowness, in seconds."""

USED_S = 1.0
"""Validity of a report of memory in use, in seconds; short against the duration
of a request."""

GROWTH = 1.25
"""Expected final memory of running requests, relative to their present use."""

SLOW_PACE = 4.0
"""Slowdown from which an engine is avoided: a stage that was lightly loaded is
then nearly saturated and delays the whole path."""

UNHEARD_S = 4.0
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


@dataclasses.dataclass(slots=True)
class EngineState:
    """Beliefs about one start of an engine.

    Attributes:
        running: Own requests that use it.
        first_running: Own requests that it is first for.
        layer_tokens: Own memory on it, in tokens times layers.
        pace: Over 1 if it is slow.
        suspect_until: Gets no work before; then it has to answer first.
        reason: Why it is suspect; None if it is not.
        full_until: It refused for want of room.
        unheard_until: Callers left it without a first event.
        reported: Memory in use by its own report, in tokens times layers.
        reported_at: When it said so.
        own_at_report: Own memory on it at that time.
    """

    running: int = 0
    first_running: int = 0
    layer_tokens: float = 0.0
    pace: float = 1.0
    pace_until: float = 0.0
    suspect_until: float = 0.0
    reason: Suspicion | None = None
    full_until: float = 0.0
    unheard_until: float = 0.0
    reported: float = 0.0
    reported_at: float = -USED_S
    own_at_report: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UsedPart:
    """A part of a request's path, to be counted.

    Attributes:
        layers: Number of layers.
    """

    instance: str
    layers: int


class EngineBook:
    """Beliefs about all engines.

    Attributes:
        changes: Grows with each change of health, not of load.
    """

    def __init__(self) -> None:
        self.states: dict[str, EngineState] = {}
        self.changes = 0

    def state(self, instance: str) -> EngineState:
        """Returns the beliefs about an engine, made if new."""
        found = self.states.get(instance)
        if found is None:
            found = self.states[instance] = EngineState()
        return found

    def add(self, parts: tuple[UsedPart, ...], tokens: float) -> None:
        """Counts a request."""
        for index, part in enumerate(parts):
            state = self.state(part.instance)
            state.running += 1
            state.first_running += 1 if index == 0 else 0
            state.layer_tokens += part.layers * tokens

    def remove(self, parts: tuple[UsedPart, ...], tokens: float) -> None:
        """Takes a counted request out."""
        for index, part in enumerate(parts):
            state = self.states.get(part.instance)
            if state is None:
                continue
            state.running -= 1
            state.first_running -= 1 if index == 0 else 0
            state.layer_tokens -= part.layers * tokens

    def suspect(self, instance: str, reason: Suspicion, now: float) -> bool:
        """Notes that an engine seems dead; returns whether that is news."""
        state = self.state(instance)
        is_news = state.reason is None or (
            state.reason is Suspicion.DRAINING and reason is not state.reason
        )
        state.reason = reason
        state.suspect_until = now + SUSPECT_S
        if is_news:
            self.changes += 1
        return is_news

    def trust(self, instance: str) -> None:
        """Notes that a suspect engine answers again."""
        state = self.state(instance)
        if state.reason is not None:
            state.reason = None
            self.changes += 1

    def is_suspect(self, instance: str) -> bool:
        """Returns whether an engine gets no work."""
        state = self.states.get(instance)
        return state is not None and state.reason is not None

    def is_lost(self, instance: str) -> bool:
        """Returns whether an engine seems dead; one that drains still runs."""
        state = self.states.get(instance)
        return state is not None and state.reason not in (
            None,
            Suspicion.DRAINING,
        )

    def due_for_trial(self, now: float) -> list[str]:
        """Returns suspects that may be asked whether they live."""
        return [
            instance
            for instance, state in self.states.items()
            if state.reason is not None and state.suspect_until <= now
        ]

    def note_used(self, instance: str, used: float, now: float) -> None:
        """Notes how much memory is in use on an engine by its report."""
        state = self.state(instance)
        state.reported = used * GROWTH
        state.reported_at = now
        state.own_at_report = state.layer_tokens

    def used(
        self, instance: str, estimate: float, alike: int, now: float
    ) -> float:
        """Returns the memory believed in use, in tokens times layers.

        An estimate from own requests is off by a third where a few of them
        stand for each node; a fresh report with what was added here since
        goes before it.

        Args:
            instance: The engine.
            estimate: What all nodes together seem to have there.
            alike: Nodes that are taken to have added as much as this one.
            now: Monotonic seconds.
        """
        state = self.states.get(instance)
        if state is None or not self.is_reported(instance, now):
            return estimate
        added = (state.layer_tokens - state.own_at_report) * alike
        return max(state.layer_tokens, state.reported + added)

    def is_reported(self, instance: str, now: float) -> bool:
        """Returns whether an engine's own word of its memory is believed."""
        state = self.states.get(instance)
        return state is not None and now - state.reported_at < USED_S

    def note_full(self, instance: str, now: float) -> None:
        """Notes that an engine had no room."""
        self.state(instance).full_until = now + FULL_S
        self.changes += 1

    def is_full(self, instance: str, now: float) -> bool:
        """Returns whether an engine refused lately for want of room."""
        state = self.states.get(instance)
        return state is not None and state.full_until > now

    def note_unheard(self, instance: str, now: float) -> None:
        """Notes that a caller left who had waited for a first event.

        The engine may answer questions as ever: its requests wait for passes,
        of its own or of the engines behind it. Otherwise it would go on
        getting its part of the requests, and as many callers would leave.
        """
        self.state(instance).unheard_until = now + UNHEARD_S
        self.changes += 1

    def is_unheard(self, instance: str, now: float) -> bool:
        """Returns whether callers left an engine without a first event."""
        state = self.states.get(instance)
        return state is not None and state.unheard_until > now

    def note_pace(self, instance: str, pace: float, now: float) -> None:
        """Notes how slow an engine says it is."""
        state = self.state(instance)
        if abs(state.pace - pace) > 0.2 * state.pace:
            self.changes += 1
        state.pace = max(1.0, pace)
        state.pace_until = now + PACE_MEMORY_S

    def pace(self, instance: str, now: float) -> float:
        """Returns how slow an engine is believed to be; 1 if it is not."""
        state = self.states.get(instance)
        if state is None or state.pace_until <= now:
            return 1.0
        return state.pace

    def is_slow(self, instance: str, now: float) -> bool:
        """Returns whether an engine should be passed over if others can."""
        return self.pace(instance, now) >= SLOW_PACE

    def slow_engines(self, now: float) -> list[str]:
        """Returns the engines that are believed to be slow."""
        return [i for i in self.states if self.is_slow(i, now)]

    def forget(self, instance: str) -> None:
        """Drops an engine that is gone."""
        if self.states.pop(instance, None) is not None:
            self.changes += 1
