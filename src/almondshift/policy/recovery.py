"""Replacement of failed stages of running requests.

Stages fail in the middle of requests, one at a time or an entire availability
zone at once. If a request were restarted, its caller would wait twice and the
lost work would add to the load. If it were abandoned, the caller would get no
response because of a change of hardware.

A failed stage is replaced at once if another engine holds its layers, even one
without spare capacity, because work has already been spent on the request. If
there is none, the request waits for one for at most five seconds or half of its
remaining time, whichever is less, and is then refused. An engine that takes
over a range loads it within seconds.

The same request doesn't use a failed endpoint again, unless there is no other
and the endpoint has reported since. Without this exception, a pause of all
replicas of a range (a cut link, a frozen host) would fail every request on
them although all are back a second later. An endpoint that only refused
because it was full is tried again once something has changed. One that doesn't
serve the layers, contrary to its known report, is not used until that changes.

Replacing a stage continues the same run, so it is also done for requests that
aren't idempotent.

A recovery that the retry budget doesn't cover may only use spare capacity: it
takes no slot while new requests wait, and no engine at its limit. The budget
therefore still bounds retried work under overload, but doesn't end a running
request while engines are idle.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import actions
from almondshift.policy import chain_choice
from almondshift.policy import events
from almondshift.policy import topology as topologies

if TYPE_CHECKING:
    from almondshift.policy import ejection
    from almondshift.policy import lanes

MAX_WAIT_S = 5.0
MAX_WAIT_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _PendingRecovery:
    """A request that waits for the replacement of a failed stage.

    Attributes:
        attempted_state: Generations of topology and capacity at the last
            unsuccessful attempt, and the failed endpoints that had reported
            again by then.
        within_budget: Whether the retry budget covers it.
    """

    event: events.StageFailed
    running: lanes.RunningRequest
    until: float
    attempted_state: tuple[int, int, frozenset[str]]
    within_budget: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ExpiredRecovery:
    """A recovery that has reached its maximum wait.

    Attributes:
        reason: Why no replacement was found.
    """

    request_id: str
    reason: actions.RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryResult:
    """Outcome of an attempt to recover waiting requests.

    Attributes:
        replaced: Replacements that were found.
        expired: Recoveries that have reached their maximum wait.
    """

    replaced: list[actions.Replace]
    expired: list[ExpiredRecovery]


class Recovery:
    """Finds replacements for failed stages."""

    def __init__(
        self,
        topology: topologies.Topology,
        chooser: chain_choice.ChainChooser,
        health: ejection.Ejection,
    ) -> None:
        self.topology = topology
        self.chooser = chooser
        self.health = health
        self._pending: dict[str, _PendingRecovery] = {}

    def record_failure(self, event: events.StageFailed) -> None:
        """Updates the state of the endpoint that failed."""
        name = event.chain.stages[event.index].endpoint
        reasons = events.FailureReason
        if event.reason is reasons.LEAVING:
            self.topology.mark_leaving(name)
        elif event.reason is reasons.REFUSED:
            self.chooser.mark_full(name)
        elif event.reason is reasons.NOT_SERVED:
            chain = event.chain
            self.topology.disprove_report(
                name,
                topologies.Target(chain.model, chain.version, chain.adapter),
                chain.stages[event.index].layers,
                event.at,
            )
        else:
            unreachable = event.reason is reasons.UNREACHABLE
            if self.health.record_failure(
                name, event.at, unreachable=unreachable
            ):
                self.chooser.refresh(name)
        self.chooser.sync()

    def start(
        self,
        event: events.StageFailed,
        running: lanes.RunningRequest,
        *,
        within_budget: bool = True,
    ) -> actions.Replace | None:
        """Replaces a failed stage now, or queues it for a later attempt.

        Args:
            event: The failure.
            running: The request.
            within_budget: False to use only spare capacity.
        """
        failed = event.chain.stages[event.index].endpoint
        reasons = events.FailureReason
        if event.reason not in (reasons.REFUSED, reasons.NOT_SERVED):
            running.failed_endpoints.add(failed)
        avoid = frozenset(running.failed_endpoints | {failed})
        eligibility = _eligibility(event, within_budget, is_first_attempt=True)
        replaced = self._replace(event, running, event.at, avoid, eligibility)
        if replaced is None:
            remaining_s = running.request.arrival.deadline - event.at
            until = event.at + min(MAX_WAIT_S, remaining_s * MAX_WAIT_SHARE)
            attempted_state = self._current_state(frozenset())
            pending = _PendingRecovery(
                event, running, until, attempted_state, within_budget
            )
            self._pending[event.request_id] = pending
        return replaced

    def forget(self, request_id: str) -> None:
        """Removes a request that has ended."""
        self._pending.pop(request_id, None)

    def retry_pending(self, at: float) -> RecoveryResult:
        """Retries waiting recoveries if something has changed."""
        result = RecoveryResult([], [])
        for request_id, pending in list(self._pending.items()):
            replaced = self._retry(pending, at)
            if replaced is not None:
                del self._pending[request_id]
                result.replaced.append(replaced)
            elif at >= pending.until:
                del self._pending[request_id]
                reason = (
                    actions.RefusalReason.NO_REPLACEMENT
                    if pending.within_budget
                    else actions.RefusalReason.RETRY_BUDGET
                )
                result.expired.append(ExpiredRecovery(request_id, reason))
        return result

    def _retry(
        self, pending: _PendingRecovery, at: float
    ) -> actions.Replace | None:
        running = pending.running
        if not pending.within_budget and len(running.request.lane.queue):
            return None
        reporting = self._reporting_again(pending)
        if pending.attempted_state == self._current_state(reporting):
            return None
        eligibility = _eligibility(
            pending.event, pending.within_budget, is_first_attempt=False
        )
        replaced = None
        for avoid in (
            frozenset(running.failed_endpoints),
            running.failed_endpoints - reporting,
        ):
            replaced = replaced or self._replace(
                pending.event, running, at, frozenset(avoid), eligibility
            )
        pending.attempted_state = self._current_state(reporting)
        return replaced

    def _reporting_again(self, pending: _PendingRecovery) -> frozenset[str]:
        """Returns failed endpoints that have reported since their failure."""
        endpoints = self.topology.endpoints
        return frozenset(
            name
            for name in pending.running.failed_endpoints
            if name in endpoints
            and endpoints[name].reported_at > pending.event.at
        )

    def _current_state(
        self, reporting: frozenset[str]
    ) -> tuple[int, int, frozenset[str]]:
        return (
            self.topology.generation,
            self.chooser.capacity_generation,
            reporting,
        )

    def _replace(
        self,
        event: events.StageFailed,
        running: lanes.RunningRequest,
        at: float,
        avoid: frozenset[str],
        eligibility: chain_choice.Eligibility,
    ) -> actions.Replace | None:
        chain = event.chain
        job = dataclasses.replace(
            running.request.job, prompt_tokens=event.positions, prefixes=()
        )
        choice = self.chooser.choose(
            topologies.Target(chain.model, chain.version, chain.adapter),
            chain.stages[event.index].layers,
            job,
            at,
            avoid=avoid,
            eligibility=eligibility,
        )
        if choice is None:
            return None
        self.chooser.started(choice.stages, running.request.job, at)
        if running.first_token_at is not None:
            self.chooser.prefill_finished(choice.stages, running.request.job)
        running.stages += choice.stages
        running.chain = chain.replace(event.index, choice.stages)
        return actions.Replace(event.request_id, event.index, choice.stages)


def _eligibility(
    event: events.StageFailed, within_budget: bool, *, is_first_attempt: bool
) -> chain_choice.Eligibility:
    """Returns which engines may replace a failed stage.

    An engine that refused because it was full is only tried again when it has
    capacity. Otherwise each change elsewhere would cost a retry.
    """
    refused_as_full = event.reason is events.FailureReason.REFUSED
    if refused_as_full and not is_first_attempt:
        return chain_choice.Eligibility.AVAILABLE
    if not within_budget:
        return chain_choice.Eligibility.BELOW_LIMIT
    return chain_choice.Eligibility.ANY
