"""Quarantine of requests that crash every endpoint that runs them.

A request is identified by its fingerprint. Requests in flight at an endpoint
when it crashed are suspects. A suspect is run only alone, as a trial; one that
crashes a second endpoint is convicted, i.e. refused until the conviction
expires. Without this, a single request that is retried here and resent by its
caller through other nodes takes down one endpoint after another.

**At most two endpoints, over all nodes.** Each node publishes a crash to its
peers at once, as a QUARANTINE fact. Two nodes may still run the same suspect:

1. Node A sees the first crash. Before B learns of it, the caller resends the
   request through B, which runs it normally. So A waits
   ``propagation_wait_s`` from the last crash before it runs a suspect again.
   Meanwhile B learns of the suspicion and publishes that the request is
   running there; A waits until it ends. If it crashes there, that was the
   second endpoint.
2. After the wait, A and B may both want to run it alone. A table row for the
   fingerprint decides (see ``quarantine_trials``); while the platform is
   unavailable, suspects are refused.

So there is the first crash, and then either the copy that was already running
on another node or one trial. More endpoints are lost only if more copies were
running before the first crash was known, which no node can distinguish from
ordinary requests.

**Failure of a rack or zone.** If several endpoints of one zone crash within
``window_s``, this is considered an infrastructure failure, and requests that
were in flight there are not suspects. The wait of step 1 is longer than the
window, so that no request is convicted before the other crashes are known. A
request that was exempted in this way, was run again and was in flight at
another crash is a suspect even if that crash is in such a window: otherwise a
request that crashes endpoints during a rack failure could continue from one
endpoint to the next. "In flight" means outstanding work at the endpoint, not
an idle session there, so that a request in a chain is in flight at one
endpoint at a time.

**Two suspects at two crashes.** The embedding program may retry suspects before
the wait of step 1 has passed, so that two of them are in flight at both
crashes. One that only replayed earlier steps at a crash is not convicted if the
other explains all of its crashes.
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
"""Most facts published for one crash; if a node had more requests in flight on
the endpoint, the remaining suspects are known only to itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashOutcome:
    """Consequences of a crash.

    Attributes:
        suspects: Fingerprints that were in flight.
        infrastructure: Whether it is considered a failure of a rack or zone;
            further crashes may still change this to true.
    """

    suspects: frozenset[str]
    infrastructure: bool


class Quarantine:
    """One node's view of which requests may run.

    Attributes:
        work: Work in flight from this node.
        crashes: The known crashes.
        publisher: Publishes facts to peers.
        convicted: Monotonic time at which each conviction expires.
        trials: Endpoints reserved for each suspect that runs alone.
        running_on_peers: Peers that run a suspect outside a trial, by
            fingerprint.
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
        self.publisher = quarantine_facts.QuarantinePublisher(
            settings, node, publish, withdraw
        )
        self.work = quarantine_work.WorkInFlight(clock)
        self.crashes = quarantine_crashes.Crashes(
            clock, settings, node, self.publisher.withdraw_fact
        )
        self.convicted: dict[str, float] = {}
        self.trials: dict[str, frozenset[str]] = {}
        self.running_on_peers: dict[str, set[str]] = {}

    # Work in flight.

    def in_flight(
        self, endpoint: str, fingerprint: str, *, is_replay: bool = False
    ) -> None:
        """Records that a request has outstanding work at an endpoint.

        Args:
            endpoint: Name of the endpoint.
            fingerprint: The request.
            is_replay: Whether the work only repeats what has run before, on an
                endpoint that was lost since.
        """
        self.work.begin(endpoint, fingerprint, is_replay=is_replay)

    def done(self, endpoint: str, fingerprint: str) -> None:
        """Records that the endpoint responded, or the work was abandoned."""
        if self.work.end(endpoint, fingerprint):
            self.publish_if_ended(fingerprint)

    def abandon_work(self, endpoint: str) -> None:
        """Drops the outstanding work at an endpoint that can't have run it."""
        for fingerprint in self.work.end_all(endpoint):
            self.publish_if_ended(fingerprint)

    def publish_if_ended(self, fingerprint: str) -> None:
        """Publishes the end of a suspect whose run was published before."""
        if fingerprint not in self.publisher.published_running:
            return
        if not self.work.is_running(fingerprint):
            self.publisher.publish_ended(fingerprint)

    # Crashes.

    def crashed(self, endpoint: str, at: float, zone: str) -> CrashOutcome:
        """Records the crash of an endpoint, even if it had no work.

        Args:
            endpoint: Name of the endpoint.
            at: Monotonic time in seconds.
            zone: Availability zone, or rack if known.
        """
        replaying = self.work.replaying_at(endpoint)
        start_times = self.work.end_all(endpoint)
        suspects = frozenset(start_times)
        implicated_again = {
            fingerprint
            for fingerprint, started in start_times.items()
            if self.crashes.was_excluded_before(fingerprint, started)
        }
        alone = suspects in [
            {fingerprint}
            for fingerprint, endpoints in self.trials.items()
            if endpoint in endpoints
        ]
        implicated = (
            suspects
            if self.implicates_requests(endpoint, alone)
            else frozenset()
        )
        crash = quarantine_crashes.Crash(
            endpoint, zone, at, set(), alone, replaying=replaying
        )
        keys = self.crashes.add_own(
            crash, implicated if alone else implicated - implicated_again
        )
        if implicated_again and not alone:
            firm = dataclasses.replace(crash, firm=True)
            keys += self.crashes.add_own(firm, implicated & implicated_again)
        self.crashes.exclude_if_infrastructure(crash)
        for key in keys[:MAX_FACTS_PER_CRASH]:
            self.publisher.publish_crash(key, self.crashes.by_key[key])
        for fingerprint in suspects:
            self.publish_if_ended(fingerprint)
        infrastructure = self.crashes.by_key[keys[0]].excluded
        return CrashOutcome(implicated, infrastructure)

    def implicates_requests(self, endpoint: str, alone: bool) -> bool:
        """Returns whether a crash implicates the requests in flight.

        At an endpoint reserved for a suspect, it implicates only that suspect.
        """
        return alone or endpoint not in self.reserved()

    # Verdicts.

    def may_run(self, fingerprint: str) -> quarantine_verdicts.Verdict:
        """Returns whether a request may be run now, and how."""
        now = self.clock.monotonic()
        left = self.convicted.get(fingerprint, now) - now
        if left > 0:
            return quarantine_verdicts.refused(left, convicted=True)
        crashes = self.crashes_against(fingerprint)
        if not crashes:
            return quarantine_verdicts.FREE
        if self.is_running_somewhere(fingerprint):
            return quarantine_verdicts.refused(self.settings.busy_retry_s)
        wait = (
            max(c.at for c in crashes) + self.settings.propagation_wait_s - now
        )
        if wait > 0:
            return quarantine_verdicts.refused(wait)
        if quarantine_crashes.justifies_conviction(
            crashes
        ) and not self.crashes.is_explained(fingerprint):
            return self.convict(fingerprint)
        return quarantine_verdicts.ALONE

    def crashes_against(
        self, fingerprint: str
    ) -> list[quarantine_crashes.Crash]:
        """Returns the crashes that count against a request."""
        return self.crashes.crashes_against(fingerprint)

    def is_running_somewhere(self, fingerprint: str) -> bool:
        """Returns whether a suspect is in flight on this or another node."""
        return (
            self.work.is_running(fingerprint)
            or fingerprint in self.trials
            or bool(self.running_on_peers.get(fingerprint))
        )

    def convict(self, fingerprint: str) -> quarantine_verdicts.Verdict:
        """Convicts a request and publishes it; returns the refusal."""
        duration_s = self.settings.conviction_s
        self.convicted[fingerprint] = self.clock.monotonic() + duration_s
        self.crashes.convict(fingerprint)
        self.publisher.publish_convicted(fingerprint)
        return quarantine_verdicts.refused(duration_s, convicted=True)

    def clear_suspect(self, fingerprint: str) -> None:
        """Clears a suspect that got past the crash point; publishes it."""
        self.crashes.clear(fingerprint, self.clock.monotonic())
        self.publisher.publish_cleared(fingerprint)

    # Trials.

    def reserved(self) -> frozenset[str]:
        """Returns the endpoints that any node reserved for suspects."""
        return frozenset().union(*self.trials.values())

    def may_use(self, endpoint: str, fingerprint: str) -> bool:
        """Returns whether a request may be sent to an endpoint.

        Nothing may run concurrently with a suspect: it would be lost in the
        same crash and could not be distinguished from the suspect.
        """
        if fingerprint in self.trials:
            return endpoint in self.trials[fingerprint]
        return endpoint not in self.reserved()

    def begin_trial(self, fingerprint: str, endpoints: Iterable[str]) -> bool:
        """Reserves endpoints for a suspect and publishes it.

        Returns:
            False if the verdict is not ALONE or an endpoint is already
            reserved.
        """
        chosen = frozenset(endpoints)
        verdict = self.may_run(fingerprint)
        if verdict.kind is not quarantine_verdicts.VerdictKind.ALONE:
            return False
        if chosen & self.reserved():
            return False
        self.trials[fingerprint] = chosen
        self.publisher.publish_trial(fingerprint, chosen)
        return True

    def end_trial(self, fingerprint: str, completed: bool) -> None:
        """Ends a trial and clears a suspect that completed."""
        if self.trials.pop(fingerprint, None) is None:
            return
        self.publisher.publish_trial_ended(fingerprint)
        if completed:
            self.clear_suspect(fingerprint)

    # Facts of peers.

    def merge(self, key: str, fact: peers.Fact | None) -> None:
        """Merges a peer's fact; the callback for QUARANTINE facts."""
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
                self.crashes.clear(rest, self.published_at(fact))
            case "convicted" if fact is not None:
                until = self.clock.monotonic() + fact.ttl_s
                self.convicted[rest] = until
                self.crashes.convict(rest)

    def published_at(self, fact: peers.Fact) -> float:
        """Returns the time at which a fact about a suspect was published."""
        age_s = max(0.0, self.settings.suspicion_s - fact.ttl_s)
        return self.clock.monotonic() - age_s

    def merge_crash(self, key: str, fact: peers.Fact | None) -> None:
        """Merges a peer's crash; publishes suspects that are running here."""
        if fact is None:
            self.crashes.exclude(key)
            return
        crash = quarantine_facts.decode_crash(fact, self.published_at(fact))
        if crash is None:
            return
        suspects = sorted(crash.fingerprints)
        self.crashes.add_from_peer(key, crash)
        for fingerprint in suspects:
            if self.work.is_running(fingerprint):
                self.publisher.publish_running(fingerprint)

    def merge_running(self, rest: str, fact: peers.Fact | None) -> None:
        """Records that a peer runs a suspect, or no longer does."""
        fingerprint, _, node = rest.partition("/")
        nodes = self.running_on_peers.setdefault(fingerprint, set())
        if fact is None:
            nodes.discard(node)
        else:
            nodes.add(node)
        if not nodes:
            del self.running_on_peers[fingerprint]

    def merge_trial(self, fingerprint: str, fact: peers.Fact | None) -> None:
        """Merges a peer's reservation of endpoints, or its release."""
        if fact is None:
            self.trials.pop(fingerprint, None)
            return
        endpoints = quarantine_facts.decode_trial(fact)
        if endpoints is not None:
            self.trials[fingerprint] = endpoints

    # Maintenance.

    def expire(self) -> None:
        """Removes expired crashes and convictions; call it periodically."""
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
    """Creates a quarantine without known crashes.

    Args:
        clock: Source of time.
        node: Name of this node.
        publish: ``Membership.publish``.
        withdraw: ``Membership.withdraw``.
        settings: None for the defaults.
    """
    return Quarantine(
        clock,
        settings or quarantine_verdicts.QuarantineSettings(),
        node,
        publish,
        withdraw,
    )
