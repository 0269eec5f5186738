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

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from almondshift.coordination import quarantine_crashes
from almondshift.coordination import quarantine_facts
from almondshift.coordination import quarantine_verdicts
from almondshift.coordination import quarantine_work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.ports import clocks
    from almondshift.ports import peers

MAX_FACTS_PER_CRASH = 8
"""Of one crash at most this many facts are told; a node with more requests
in flight on one endpoint keeps the rest of its suspects to itself."""


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


class Quarantine:
    """What may run, as one node sees it.

    Attributes:
        work: What is in flight from here.
        crashes: Crashes that count.
        facts: Tells peers.
        convicted: Monotonic time at which each conviction expires.
        trials: Endpoints kept free for each suspect that runs alone.
        elsewhere: Peers that run a suspect freely, by fingerprint.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: quarantine_verdicts.QuarantineSettings,
        node: str,
        publish: quarantine_facts.Publish,
        withdraw: quarantine_facts.Withdraw,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.node = node
        self.facts = quarantine_facts.QuarantineFacts(
            settings, node, publish, withdraw
        )
        self.work = quarantine_work.WorkInFlight(clock)
        self.crashes = quarantine_crashes.Crashes(
            clock, settings, node, self.facts.take_back
        )
        self.convicted: dict[str, float] = {}
        self.trials: dict[str, frozenset[str]] = {}
        self.elsewhere: dict[str, set[str]] = {}

    # What runs.

    def in_flight(self, endpoint: str, fingerprint: str) -> None:
        """Notes that work of a request is outstanding at an endpoint."""
        self.work.begin(endpoint, fingerprint)

    def done(self, endpoint: str, fingerprint: str) -> None:
        """Notes that the endpoint answered, or the work was given up."""
        if self.work.end(endpoint, fingerprint):
            self.tell_if_ended(fingerprint)

    def tell_if_ended(self, fingerprint: str) -> None:
        """Tells peers that wait for its end that a suspect runs no more."""
        if fingerprint not in self.facts.told_running:
            return
        if not self.work.runs(fingerprint):
            self.facts.tell_ended(fingerprint)

    # Crashes.

    def crashed(self, endpoint: str, at: float, zone: str) -> CrashOutcome:
        """Takes the crash of an endpoint; also of one that had no work.

        Args:
            endpoint: Name of the endpoint.
            at: Monotonic time in seconds.
            zone: Availability zone, or rack if known.
        """
        began = self.work.take(endpoint)
        suspects = frozenset(began)
        again = {
            fingerprint
            for fingerprint, started in began.items()
            if self.crashes.was_passed_over(fingerprint, started)
        }
        alone = suspects in [
            {fingerprint}
            for fingerprint, endpoints in self.trials.items()
            if endpoint in endpoints
        ]
        counted = suspects if self.counts(endpoint, alone) else frozenset()
        crash = quarantine_crashes.Crash(endpoint, zone, at, set(), alone)
        keys = self.crashes.note_own(
            crash, counted if alone else counted - again
        )
        if again and not alone:
            firm = dataclasses.replace(crash, firm=True)
            keys += self.crashes.note_own(firm, counted & again)
        self.crashes.judge_window(crash)
        for key in keys[:MAX_FACTS_PER_CRASH]:
            self.facts.tell_crash(key, self.crashes.by_key[key])
        for fingerprint in suspects:
            self.tell_if_ended(fingerprint)
        infrastructure = self.crashes.by_key[keys[0]].void
        return CrashOutcome(counted, infrastructure)

    def counts(self, endpoint: str, alone: bool) -> bool:
        """Returns whether a crash speaks against what was in flight.

        At an endpoint kept free for a suspect it speaks against that one.
        """
        return alone or endpoint not in self.reserved()

    # Verdicts.

    def may_run(self, fingerprint: str) -> quarantine_verdicts.Verdict:
        """Returns whether a request may be run now, and how."""
        now = self.clock.monotonic()
        left = self.convicted.get(fingerprint, now) - now
        if left > 0:
            return quarantine_verdicts.refused(left, convicted=True)
        crashes = self.counting(fingerprint)
        if not crashes:
            return quarantine_verdicts.FREE
        if self.is_running_somewhere(fingerprint):
            return quarantine_verdicts.refused(self.settings.busy_retry_s)
        wait = max(c.at for c in crashes) + self.settings.spread_wait_s - now
        if wait > 0:
            return quarantine_verdicts.refused(wait)
        if quarantine_crashes.is_guilty(crashes):
            return self.convict(fingerprint)
        return quarantine_verdicts.ALONE

    def counting(self, fingerprint: str) -> list[quarantine_crashes.Crash]:
        """Returns the crashes that count against a request."""
        return self.crashes.counting(fingerprint)

    def is_running_somewhere(self, fingerprint: str) -> bool:
        """Returns whether a suspect is in flight, here or elsewhere."""
        return (
            self.work.runs(fingerprint)
            or fingerprint in self.trials
            or bool(self.elsewhere.get(fingerprint))
        )

    def convict(self, fingerprint: str) -> quarantine_verdicts.Verdict:
        """Refuses a request until its conviction expires; tells peers."""
        for_s = self.settings.conviction_s
        self.convicted[fingerprint] = self.clock.monotonic() + for_s
        self.crashes.drop(fingerprint)
        self.facts.tell_convicted(fingerprint)
        return quarantine_verdicts.refused(for_s, convicted=True)

    def passed(self, fingerprint: str) -> None:
        """Clears a suspect that got past what crashed; tells peers."""
        self.crashes.clear(fingerprint, self.clock.monotonic())
        self.facts.tell_cleared(fingerprint)

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
        verdict = self.may_run(fingerprint)
        if verdict.kind is not quarantine_verdicts.VerdictKind.ALONE:
            return False
        if chosen & self.reserved():
            return False
        self.trials[fingerprint] = chosen
        self.facts.tell_trial(fingerprint, chosen)
        return True

    def end_trial(self, fingerprint: str, completed: bool) -> None:
        """Ends a trial; a suspect that completed alone is cleared."""
        if self.trials.pop(fingerprint, None) is None:
            return
        self.facts.tell_trial_ended(fingerprint)
        if completed:
            self.passed(fingerprint)

    # Facts of peers.

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
                self.crashes.clear(rest, self.stated_at(fact))
            case "convicted" if fact is not None:
                until = self.clock.monotonic() + fact.ttl_s
                self.convicted[rest] = until
                self.crashes.drop(rest)

    def stated_at(self, fact: peers.Fact) -> float:
        """Returns when a fact about a suspicion was stated."""
        age_s = max(0.0, self.settings.suspicion_s - fact.ttl_s)
        return self.clock.monotonic() - age_s

    def merge_crash(self, key: str, fact: peers.Fact | None) -> None:
        """Takes a peer's crash; tells of suspects that run freely here."""
        if fact is None:
            self.crashes.void(key)
            return
        crash = quarantine_facts.decode_crash(fact, self.stated_at(fact))
        if crash is None:
            return
        suspects = sorted(crash.fingerprints)
        self.crashes.note(key, crash)
        for fingerprint in suspects:
            if self.work.runs(fingerprint):
                self.facts.tell_running(fingerprint)

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
        endpoints = quarantine_facts.decode_trial(fact)
        if endpoints is not None:
            self.trials[fingerprint] = endpoints

    # Upkeep.

    def expire(self) -> None:
        """Forgets what no longer counts; to be called now and then."""
        now = self.clock.monotonic()
        self.crashes.expire()
        self.convicted = {
            fingerprint: until
            for fingerprint, until in self.convicted.items()
            if until > now
        }

    def snapshot(self) -> dict[str, Any]:
        """Returns the state for operators, as a JSON object."""
        now = self.clock.monotonic()
        return {
            "suspects": self.crashes.suspects(),
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


def create_quarantine(
    clock: clocks.Clock,
    node: str,
    publish: quarantine_facts.Publish,
    withdraw: quarantine_facts.Withdraw,
    settings: quarantine_verdicts.QuarantineSettings | None = None,
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
        clock,
        settings or quarantine_verdicts.QuarantineSettings(),
        node,
        publish,
        withdraw,
    )
