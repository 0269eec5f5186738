"""Replacement of a failed stage of a request that is running.

Load pattern: stages that die in the middle of requests, singly or a whole
availability zone at once. If a request were begun anew, its caller would
wait twice and the lost work would come on top of the load; if it were given
up, a change of hardware would have cost the caller its answer.

Grounds: a failed stage is replaced at once when another engine has its
layers, if need be one without room, because the request has already cost its
work. When there is none, it waits for one for at most five seconds or half
of its remaining time, whichever is less (an engine that takes over a range
loads it in seconds), and is then refused. An endpoint that failed is not
asked again by the same request, unless there is no other and it has reported
since: a pause of all replicas of a range (a cut link, a frozen host) would
else fail every request on them though all are back a second later. One that
only refused for being full is asked once something has changed. Replacing a
stage goes on with the same run, so it is done for non-idempotent requests too.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import topology as topologies

if TYPE_CHECKING:
    from almondshift.policy import chain_choice
    from almondshift.policy import ejection
    from almondshift.policy import lanes

WAIT_S = 5.0
WAIT_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A request that waits for a replacement of a failed stage.

    Attributes:
        tried: State of topology and load at which there was none, and the
            failed endpoints that had come back by then.
    """

    event: events.StageFailed
    flight: lanes.Flight
    until: float
    tried: tuple[int, int, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Recovered:
    """What became of requests that waited.

    Attributes:
        replaced: Replacements that were found.
        given_up: Requests that have waited for as long as they may.
    """

    replaced: list[actions.Replace]
    given_up: list[str]


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
        self._waiting: dict[str, _Waiting] = {}

    def note(self, event: events.StageFailed) -> None:
        """Takes what a failure says of its endpoint."""
        name = event.chain.stages[event.index].endpoint
        reasons = events.FailureReason
        if event.reason is reasons.LEAVING:
            self.topology.leave(name)
        elif event.reason is reasons.REFUSED:
            self.chooser.full(name)
        else:
            certain = event.reason is reasons.UNREACHABLE
            if self.health.failed(name, event.at, certain=certain):
                self.chooser.refresh(name)
        self.chooser.sync()

    def start(
        self, event: events.StageFailed, flight: lanes.Flight
    ) -> actions.Replace | None:
        """Replaces a failed stage now, or lets its request wait for that."""
        failed = event.chain.stages[event.index].endpoint
        full = event.reason is events.FailureReason.REFUSED
        if not full:
            flight.failed.add(failed)
        avoid = frozenset(flight.failed | {failed})
        replaced = self._replace(event, flight, event.at, avoid)
        if replaced is None:
            left = flight.request.arrival.deadline - event.at
            until = event.at + min(WAIT_S, left * WAIT_SHARE)
            tried = self._state(frozenset())
            waiting = _Waiting(event, flight, until, tried)
            self._waiting[event.request_id] = waiting
        return replaced

    def forget(self, request_id: str) -> None:
        """Forgets a request that ended."""
        self._waiting.pop(request_id, None)

    def go_on(self, at: float) -> Recovered:
        """Tries those that wait again if something has changed."""
        recovered = Recovered([], [])
        for request_id, waiting in list(self._waiting.items()):
            replaced = self._try_again(waiting, at)
            if replaced is not None:
                del self._waiting[request_id]
                recovered.replaced.append(replaced)
            elif at >= waiting.until:
                del self._waiting[request_id]
                recovered.given_up.append(request_id)
        return recovered

    def _try_again(
        self, waiting: _Waiting, at: float
    ) -> actions.Replace | None:
        back = self._back(waiting)
        if waiting.tried == self._state(back):
            return None
        # An engine that refused for being full is asked again only when it
        # has room; else each change elsewhere would cost a repeat.
        force = waiting.event.reason is not events.FailureReason.REFUSED
        flight = waiting.flight
        replaced = None
        for avoid in (frozenset(flight.failed), flight.failed - back):
            replaced = replaced or self._replace(
                waiting.event, flight, at, frozenset(avoid), force=force
            )
        waiting.tried = self._state(back)
        return replaced

    def _back(self, waiting: _Waiting) -> frozenset[str]:
        """Returns failed endpoints that have reported since the failure."""
        known = self.topology.endpoints
        return frozenset(
            name
            for name in waiting.flight.failed
            if name in known and known[name].reported_at > waiting.event.at
        )

    def _state(self, back: frozenset[str]) -> tuple[int, int, frozenset[str]]:
        return (self.topology.generation, self.chooser.openings, back)

    def _replace(
        self,
        event: events.StageFailed,
        flight: lanes.Flight,
        at: float,
        avoid: frozenset[str],
        *,
        force: bool = True,
    ) -> actions.Replace | None:
        chain = event.chain
        job = dataclasses.replace(
            flight.request.job, prompt_tokens=event.positions, prefixes=()
        )
        choice = self.chooser.choose(
            topologies.Target(chain.model, chain.version, chain.adapter),
            chain.stages[event.index].layers,
            job,
            at,
            avoid=avoid,
            force=force,
        )
        if choice is None:
            return None
        self.chooser.started(choice.stages, flight.request.job, at)
        if flight.first_at is not None:
            self.chooser.prompted(choice.stages, flight.request.job)
        flight.stages += choice.stages
        flight.chain = chain.replace(event.index, choice.stages)
        return actions.Replace(event.request_id, event.index, choice.stages)
