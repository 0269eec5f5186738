"""Requests that crash every endpoint that runs them.

A request is known by its fingerprint. What was in flight at an endpoint when
it crashed is suspect; a suspect is run only alone; one that crashes a second
endpoint is refused until its conviction expires. Without it one request,
retried here and sent again by its caller through other nodes, takes down one
endpoint after another.

**Two endpoints at most, over all nodes.** Each node tells peers of a crash
at once, as a QUARANTINE fact. Two nodes may still run the same suspect:

1. Node A sees the first crash. Before B hears of it, the caller sends the
   request again through B, which runs it freely. So A waits
   ``spread_wait_s`` from the last crash before it runs a suspect again.
   Meanwhile B hears of the suspicion and tells that the request is running
   there; A waits for its end. If it crashes there, that was the second one.
2. After the wait A and B may both want to run it alone. A table row for the
   fingerprint decides (see ``quarantine_trials``); with the platform away
   suspects are refused.

So there is the first crash, and then either the copy that was under way
elsewhere or one trial. More are lost only if more copies ran freely before
the first crash was known, which no node can tell from ordinary requests.

**A rack or zone.** Several endpoints of one zone that die within
``window_s`` are taken for a failure below them: what was in flight there is
not suspected. The wait of step 1 is longer than the window, so that nothing
is convicted before the others' deaths are known. A request that was passed
over in this way, was run again and met another crash is suspect even if that
crash is in such a window: else one that crashes endpoints while a rack dies
would go on from one to the next. "In flight" means work outstanding at the
endpoint, not a session parked there, so that a request in a chain is in
flight at one endpoint at a time.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
from typing import TYPE_CHECKING
from typing import Any

import pydantic
import xxhash

from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

    from almondshift.ports import clocks

    Publish = Callable[[peers.FactKind, str, bytes, float], None]
    Withdraw = Callable[[peers.FactKind, str], None]

FINGERPRINTS_PER_FACT = 50
"""16 hex digits each; keeps a fact within the exchange's longest value."""

MAX_FACTS_PER_CRASH = 8
"""Of one crash at most this many facts are told; a node with more requests
in flight on one endpoint keeps the rest of its suspects to itself."""

EMPTY_CRASH_S = 60.0
"""How long a crash with nothing in flight is kept; over any window."""


class VerdictKind(enum.StrEnum):
    """Whether a request may be run."""

    FREE = "free"
    ALONE = "alone"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may be run now.

    Attributes:
        retry_after_s: If refused, when to ask again.
        convicted: If refused, whether for conviction; otherwise a short
            wait of the node itself is enough.
    """

    kind: VerdictKind
    retry_after_s: float = 0.0
    convicted: bool = False


FREE = Verdict(VerdictKind.FREE)
ALONE = Verdict(VerdictKind.ALONE)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashOutcome:
    """What a crash led to.

    Attributes:
        suspects: Fingerprints that were in flight.
        infrastructure: Whether it is taken for a failure of a rack or zone;
            may still come out with the next crashes.
    """

    suspects: frozenset[str]
    infrastructure: bool


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Times and counts.

    Attributes:
        spread_wait_s: Wait before a suspect runs again; over twice the time
            that an urgent fact takes to all nodes, and over ``window_s``.
        window_s: Crashes within it may have one cause.
        mass_endpoints: So many endpoints in the window are a failure of a
            rack or zone.
        suspicion_s: How long a crash counts; as long as a conviction, or a
            suspect that could not be tried would soon run freely again.
        conviction_s: How long a convicted request is refused.
        trial_s: Longest run of a suspect; its endpoints are kept free.
        busy_retry_s: When to ask again while a suspect runs.
    """

    spread_wait_s: float = 3.0
    window_s: float = 2.0
    mass_endpoints: int = 3
    suspicion_s: float = 1_800.0
    conviction_s: float = 1_800.0
    trial_s: float = 120.0
    busy_retry_s: float = 1.0


class CrashValue(pydantic.BaseModel):
    """The value of a fact about a crash."""

    endpoint: str
    zone: str
    fingerprints: list[str]
    alone: bool
    firm: bool


class TrialValue(pydantic.BaseModel):
    """The value of a fact about a suspect that runs alone."""

    endpoints: list[str]


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash that counts, own or a peer's.

    Attributes:
        at: Monotonic time at which it was seen or heard of here.
        alone: Whether the request ran alone.
        firm: Whether it counts whatever else died with it.
        void: Whether it is taken for a failure of a rack or zone.
    """

    endpoint: str
    zone: str
    at: float
    fingerprints: set[str]
    alone: bool
    firm: bool = False
    void: bool = False


class Quarantine:
    """What may run, as one node sees it.

    Attributes:
        running: Fingerprints in flight from here, by endpoint, with counts.
        started: When each began, by endpoint and fingerprint.
        crashes: Crashes that count, by fact key.
        convicted: Monotonic time at which each conviction expires.
        cleared: When each suspect was last cleared.
        trials: Endpoints kept free for each suspect that runs alone.
        elsewhere: Peers that run a suspect freely, by fingerprint.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: QuarantineSettings,
        node: str,
        publish: Publish,
        withdraw: Withdraw,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.node = node
        self.publish = publish
        self.withdraw = withdraw
        self.running: dict[str, collections.Counter[str]] = {}
        self.started: dict[tuple[str, str], float] = {}
        self.crashes: dict[str, Crash] = {}
        self.convicted: dict[str, float] = {}
        self.trials: dict[str, frozenset[str]] = {}
        self.elsewhere: dict[str, set[str]] = {}
        self.cleared: dict[str, float] = {}
        self.told_running: set[str] = set()
        self.numbers = itertools.count(int(clock.wall() * 1000))

    # What runs.

    def in_flight(self, endpoint: str, fingerprint: str) -> None:
        """Notes that work of a request is outstanding at an endpoint."""
        counts = self.running.setdefault(endpoint, collections.Counter())
        counts[fingerprint] += 1
        now = self.clock.monotonic()
        self.started.setdefault((endpoint, fingerprint), now)

    def done(self, endpoint: str, fingerprint: str) -> None:
        """Notes that the endpoint answered, or the work was given up."""
        counts = self.running.get(endpoint)
        if counts is None:
            return
        counts[fingerprint] -= 1
        if counts[fingerprint] <= 0:
            del counts[fingerprint]
            self.started.pop((endpoint, fingerprint), None)
        if not counts:
            del self.running[endpoint]
        if fingerprint in self.told_running and not self.runs(fingerprint):
            self.tell_ended(fingerprint)

    def runs(self, fingerprint: str) -> bool:
        """Returns whether a request is in flight from this node."""
        return any(fingerprint in counts for counts in self.running.values())

    # Crashes.

    def crashed(self, endpoint: str, at: float, zone: str) -> CrashOutcome:
        """Takes the crash of an endpoint; also of one that had no work.

        Args:
            endpoint: Name of the endpoint.
            at: Monotonic time in seconds.
            zone: Availability zone, or rack if known.
        """
        suspects = frozenset(self.running.pop(endpoint, ()))
        again = {f for f in suspects if self.ran_again(endpoint, f)}
        alone = suspects in [
            {fingerprint}
            for fingerprint, endpoints in self.trials.items()
            if endpoint in endpoints
        ]
        counted = suspects if self.counts(endpoint, alone) else frozenset()
        crash = Crash(endpoint, zone, at, set(), alone)
        keys = self.note_crash(crash, counted if alone else counted - again)
        if again and not alone:
            firm = dataclasses.replace(crash, firm=True)
            keys += self.note_crash(firm, counted & again)
        self.judge_window(crash)
        for key in keys[:MAX_FACTS_PER_CRASH]:
            self.tell_crash(key)
        for fingerprint in suspects & self.told_running:
            if not self.runs(fingerprint):
                self.tell_ended(fingerprint)
        infrastructure = self.crashes[keys[0]].void
        return CrashOutcome(counted, infrastructure)

    def counts(self, endpoint: str, alone: bool) -> bool:
        """Returns whether a crash speaks against what was in flight.

        At an endpoint kept free for a suspect it speaks against that one.
        """
        return alone or endpoint not in self.reserved()

    def ran_again(self, endpoint: str, fingerprint: str) -> bool:
        """Returns whether a request was run after a crash passed over."""
        started = self.started.pop((endpoint, fingerprint))
        return any(
            crash.void and fingerprint in crash.fingerprints
            for crash in self.crashes.values()
            if crash.at <= started
        )

    def note_crash(
        self, crash: Crash, fingerprints: AbstractSet[str]
    ) -> list[str]:
        """Adds an own crash, in parts that fit a fact; returns the keys."""
        ordered = sorted(fingerprints)
        keys = []
        for start in range(0, max(1, len(ordered)), FINGERPRINTS_PER_FACT):
            part = ordered[start : start + FINGERPRINTS_PER_FACT]
            key = f"crash/{self.node}/{next(self.numbers)}"
            self.crashes[key] = dataclasses.replace(
                crash, fingerprints=set(part)
            )
            keys.append(key)
        return keys

    def judge_window(self, judged: Crash) -> None:
        """Voids the crashes around one if they are of a rack or zone."""
        near = {
            key: crash
            for key, crash in self.crashes.items()
            if crash.zone == judged.zone
            and abs(crash.at - judged.at) <= self.settings.window_s
        }
        endpoints = {crash.endpoint for crash in near.values()}
        if len(endpoints) < self.settings.mass_endpoints:
            return
        for key, crash in near.items():
            if not crash.void and not crash.firm:
                crash.void = True
                self.take_back(key)

    def take_back(self, key: str) -> None:
        """Withdraws an own fact about a crash."""
        if key.startswith(f"crash/{self.node}/"):
            self.withdraw(peers.FactKind.QUARANTINE, key)

    # Verdicts.

    def may_run(self, fingerprint: str) -> Verdict:
        """Returns whether a request may be run now, and how."""
        now = self.clock.monotonic()
        left = self.convicted.get(fingerprint, now) - now
        if left > 0:
            return Verdict(VerdictKind.REFUSED, left, convicted=True)
        crashes = self.counting(fingerprint)
        if not crashes:
            return FREE
        if self.is_running_somewhere(fingerprint):
            return Verdict(VerdictKind.REFUSED, self.settings.busy_retry_s)
        wait = max(c.at for c in crashes) + self.settings.spread_wait_s - now
        if wait > 0:
            return Verdict(VerdictKind.REFUSED, wait)
        if self.is_guilty(crashes):
            return self.convict(fingerprint)
        return ALONE

    def counting(self, fingerprint: str) -> list[Crash]:
        """Returns the crashes that count against a request."""
        since = self.clock.monotonic() - self.settings.suspicion_s
        return [
            crash
            for crash in self.crashes.values()
            if fingerprint in crash.fingerprints
            and not crash.void
            and crash.at > since
        ]

    def is_running_somewhere(self, fingerprint: str) -> bool:
        """Returns whether a suspect is in flight, here or elsewhere."""
        return (
            self.runs(fingerprint)
            or fingerprint in self.trials
            or bool(self.elsewhere.get(fingerprint))
        )

    def is_guilty(self, crashes: list[Crash]) -> bool:
        """Returns whether two endpoints, or one alone, were lost to it."""
        lost = {crash.endpoint for crash in crashes}
        return len(lost) > 1 or any(crash.alone for crash in crashes)

    def convict(self, fingerprint: str) -> Verdict:
        """Refuses a request until its conviction expires; tells peers."""
        for_s = self.settings.conviction_s
        self.convicted[fingerprint] = self.clock.monotonic() + for_s
        self.clear_crashes(fingerprint)
        self.tell(f"convicted/{fingerprint}", b"{}", for_s)
        return Verdict(VerdictKind.REFUSED, for_s, convicted=True)

    def not_cleared(self, fingerprints: list[str], at: float) -> set[str]:
        """Returns the fingerprints not cleared since; facts may be late."""
        return {f for f in fingerprints if self.cleared.get(f, at - 1) < at}

    def clear(self, fingerprint: str, at: float) -> None:
        """Ends all suspicion of a request raised until a time."""
        self.cleared[fingerprint] = at
        self.clear_crashes(fingerprint)

    def passed(self, fingerprint: str) -> None:
        """Clears a suspect that got past what crashed; tells peers."""
        self.clear(fingerprint, self.clock.monotonic())
        self.tell(f"cleared/{fingerprint}", b"{}", self.settings.suspicion_s)

    def clear_crashes(self, fingerprint: str) -> None:
        """Takes a request out of the crashes known here."""
        for crash in self.crashes.values():
            crash.fingerprints.discard(fingerprint)

    # Trials.

    def reserved(self) -> frozenset[str]:
        """Returns the endpoints kept free for suspects, of all nodes."""
        return frozenset().union(*self.trials.values())

    def may_use(self, endpoint: str, fingerprint: str) -> bool:
        """Returns whether a request may be sent to an endpoint.

        Nothing may run beside a suspect: it would be lost with it, and
        could not be told from it.
        """
        if fingerprint in self.trials:
            return endpoint in self.trials[fingerprint]
        return endpoint not in self.reserved()

    def begin_trial(self, fingerprint: str, endpoints: Iterable[str]) -> bool:
        """Keeps endpoints free for a suspect; tells peers.

        Returns:
            False if the verdict is not ALONE or one is already kept free.
        """
        chosen = frozenset(endpoints)
        if self.may_run(fingerprint).kind is not VerdictKind.ALONE:
            return False
        if chosen & self.reserved():
            return False
        self.trials[fingerprint] = chosen
        value = TrialValue(endpoints=sorted(chosen)).model_dump_json()
        self.tell(f"trial/{fingerprint}", value.encode(), self.settings.trial_s)
        return True

    def end_trial(self, fingerprint: str, completed: bool) -> None:
        """Ends a trial; a suspect that completed alone is cleared."""
        if self.trials.pop(fingerprint, None) is None:
            return
        self.withdraw(peers.FactKind.QUARANTINE, f"trial/{fingerprint}")
        if completed:
            self.clear(fingerprint, self.clock.monotonic())
            for_s = self.settings.suspicion_s
            self.tell(f"cleared/{fingerprint}", b"{}", for_s)

    # Facts.

    def tell(self, key: str, value: bytes, ttl_s: float) -> None:
        """Publishes a fact."""
        self.publish(peers.FactKind.QUARANTINE, key, value, ttl_s)

    def tell_crash(self, key: str) -> None:
        """Tells peers of an own crash, if anything was in flight."""
        crash = self.crashes[key]
        if crash.void or not crash.fingerprints:
            return
        value = CrashValue(
            endpoint=crash.endpoint,
            zone=crash.zone,
            fingerprints=sorted(crash.fingerprints),
            alone=crash.alone,
            firm=crash.firm,
        )
        content = value.model_dump_json().encode()
        self.tell(key, content, self.settings.suspicion_s)

    def tell_ended(self, fingerprint: str) -> None:
        """Tells peers that a suspect no longer runs freely here."""
        self.told_running.discard(fingerprint)
        self.withdraw(
            peers.FactKind.QUARANTINE, f"running/{fingerprint}/{self.node}"
        )

    def merge(self, key: str, fact: peers.Fact | None) -> None:
        """Takes a peer's fact; the callback for QUARANTINE facts."""
        subject, _, rest = key.partition("/")
        if fact is not None and fact.origin == self.node:
            return
        match subject:
            case "crash":
                self.merge_crash(key, fact)
            case "trial":
                self.merge_trial(rest, fact)
            case "running":
                self.merge_running(rest, fact)
            case "cleared" if fact is not None:
                self.clear(rest, self.stated_at(fact))
            case "convicted" if fact is not None:
                until = self.clock.monotonic() + fact.ttl_s
                self.convicted[rest] = until
                self.clear_crashes(rest)

    def stated_at(self, fact: peers.Fact) -> float:
        """Returns when a fact about a suspicion was stated."""
        age_s = max(0.0, self.settings.suspicion_s - fact.ttl_s)
        return self.clock.monotonic() - age_s

    def merge_crash(self, key: str, fact: peers.Fact | None) -> None:
        """Takes a peer's crash; tells of suspects that run freely here."""
        if fact is None:
            self.void_crash(key)
            return
        try:
            value = CrashValue.model_validate_json(fact.value)
        except pydantic.ValidationError:
            return
        at = self.stated_at(fact)
        crash = Crash(
            value.endpoint,
            value.zone,
            at,
            self.not_cleared(value.fingerprints, at),
            value.alone,
            value.firm,
        )
        self.crashes[key] = crash
        self.judge_window(crash)
        for fingerprint in value.fingerprints:
            self.tell_running(fingerprint)

    def void_crash(self, key: str) -> None:
        """Ends a crash that its origin took back.

        It is kept for the judgement of others in its window: without it the
        fourth endpoint of a dead rack would look like a single crash.
        """
        crash = self.crashes.get(key)
        if crash is not None:
            crash.void = True

    def tell_running(self, fingerprint: str) -> None:
        """Tells peers that a new suspect is already under way here."""
        if not self.runs(fingerprint) or fingerprint in self.told_running:
            return
        self.told_running.add(fingerprint)
        key = f"running/{fingerprint}/{self.node}"
        self.tell(key, b"{}", self.settings.trial_s)

    def merge_running(self, rest: str, fact: peers.Fact | None) -> None:
        """Takes that a peer runs a suspect freely, or no longer does."""
        fingerprint, _, node = rest.partition("/")
        nodes = self.elsewhere.setdefault(fingerprint, set())
        if fact is None:
            nodes.discard(node)
        else:
            nodes.add(node)
        if not nodes:
            del self.elsewhere[fingerprint]

    def merge_trial(self, fingerprint: str, fact: peers.Fact | None) -> None:
        """Takes the endpoints that a peer keeps free, or their release."""
        if fact is None:
            self.trials.pop(fingerprint, None)
            return
        try:
            value = TrialValue.model_validate_json(fact.value)
        except pydantic.ValidationError:
            return
        self.trials[fingerprint] = frozenset(value.endpoints)

    # Upkeep.

    def expire(self) -> None:
        """Forgets what no longer counts; to be called now and then."""
        now = self.clock.monotonic()
        since = now - self.settings.suspicion_s
        self.crashes = {
            key: crash
            for key, crash in self.crashes.items()
            if crash.at > since
            and (crash.fingerprints or crash.at > now - EMPTY_CRASH_S)
        }
        self.convicted = {
            fingerprint: until
            for fingerprint, until in self.convicted.items()
            if until > now
        }
        self.cleared = {f: at for f, at in self.cleared.items() if at > since}

    def snapshot(self) -> dict[str, Any]:
        """Returns the state for operators, as a JSON object."""
        now = self.clock.monotonic()
        suspects = sorted(
            {
                fingerprint
                for crash in self.crashes.values()
                if not crash.void
                for fingerprint in crash.fingerprints
            }
        )
        return {
            "suspects": suspects,
            "convicted": {
                fingerprint: round(until - now, 1)
                for fingerprint, until in sorted(self.convicted.items())
                if until > now
            },
            "trials": {
                fingerprint: sorted(endpoints)
                for fingerprint, endpoints in sorted(self.trials.items())
            },
        }


def fingerprint_of(service: str, content: bytes) -> str:
    """Returns the fingerprint of a request.

    Args:
        service: Name of the service.
        content: Prompt or body, without what differs when it is sent again.

    Returns:
        16 hex digits. Callers can't gain by a collision: at worst a request
        is run alone, or refused as the one that they convicted.
    """
    digest = xxhash.xxh3_64(service.encode())
    digest.update(b"\x00")
    digest.update(content)
    return digest.hexdigest()


def create_quarantine(
    clock: clocks.Clock,
    node: str,
    publish: Publish,
    withdraw: Withdraw,
    settings: QuarantineSettings | None = None,
) -> Quarantine:
    """Creates a quarantine that knows of no crash.

    Args:
        clock: Source of time.
        node: Name of this node.
        publish: ``Membership.publish``.
        withdraw: ``Membership.withdraw``.
        settings: Figures; the defaults if None.
    """
    return Quarantine(
        clock, settings or QuarantineSettings(), node, publish, withdraw
    )
