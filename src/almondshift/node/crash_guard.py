"""Keeps one request from taking down one endpoint after another.

Most crashes are no request's doing, and those who wait then want their answer
within a second. So what was in flight at a crash is run again at once, but
never two such suspects on one endpoint at a time: a second crash then names
the request that was in flight at both. That one is held until peers know of
it and until it is clear that no rack died, and is then refused. A suspect
that got past the step at which the endpoint crashed is cleared.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift import log_events
from almondshift.coordination import quarantine as quarantines
from almondshift.coordination import quarantine_verdicts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from almondshift.model import steps
    from almondshift.node import directory
    from almondshift.ports import clocks
    from almondshift.ports import engines

CONNECT_S = 0.1
ANSWER_S = 0.1
LOOKS = 8
LOOK_AGAIN_S = 0.03
LOOK_AROUND_S = 0.3
"""Time between looks at idle endpoints; several fall in the window in which
deaths are taken for those of a rack, as its engines don't die all at once."""

SLOT_S = 0.04
MAX_SLOTS = 8
SINGLE_LOSS = 1

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """How far a request was when an endpoint crashed under it."""

    layer: int
    position: int


class CrashGuard:
    """Judges broken calls, and gives suspects their turns.

    Attributes:
        quarantine: What is known of crashes, here and at peers.
    """

    def __init__(
        self,
        quarantine: quarantines.Quarantine,
        known: directory.Directory,
        rank: Callable[[str], int],
        clock: clocks.Clock,
    ) -> None:
        self.quarantine = quarantine
        self.directory = known
        self.rank = rank
        self.clock = clock
        self._fingerprints: dict[str, str] = {}
        self._places: dict[str, _Place] = {}
        self._turns: dict[str, asyncio.Lock] = {}
        self._judging: dict[str, asyncio.Task[bool]] = {}

    def admit(
        self, request_id: str, fingerprint: str
    ) -> expression.Result[None, errors.Quarantined]:
        """Takes a new request, or refuses one that crashed endpoints.

        Args:
            request_id: The request; ``forget`` has to follow.
            fingerprint: From ``quarantine_verdicts.fingerprint_of``.
        """
        verdict = self.quarantine.may_run(fingerprint)
        if verdict.kind is quarantine_verdicts.VerdictKind.REFUSED:
            return expression.Error(_refusal(verdict))
        self._fingerprints[request_id] = fingerprint
        return expression.Ok(None)

    def forget(self, request_id: str) -> None:
        """Drops a request that ended."""
        self._fingerprints.pop(request_id, None)

    def _fingerprint(self, request_id: str) -> str:
        """Returns the fingerprint; the id itself once it is forgotten."""
        return self._fingerprints.get(request_id, request_id)

    @contextlib.asynccontextmanager
    async def turn(self, endpoint: str, request_id: str) -> AsyncIterator[None]:
        """Runs one call; suspects wait for each other at an endpoint."""
        fingerprint = self._fingerprint(request_id)
        if not self.quarantine.counting(fingerprint):
            self.quarantine.in_flight(endpoint, fingerprint)
            yield
            return
        lock = self._turns.setdefault(endpoint, asyncio.Lock())
        async with lock:
            self.quarantine.in_flight(endpoint, fingerprint)
            yield

    async def ended(
        self,
        endpoint: str,
        item: steps.StepItem,
        outcome: expression.Result[steps.StepResult, engines.EngineError],
    ) -> None:
        """Takes the outcome of a step; waits for the judgement of a crash."""
        fingerprint = self._fingerprint(item.request_id)
        place = _Place(item.layers.start, item.position + len(item.inputs))
        if not _is_unknown(outcome):
            self.quarantine.done(endpoint, fingerprint)
            self._note_passed(fingerprint, place, outcome.is_ok())
        elif await self._crashed(endpoint):
            self._places.setdefault(fingerprint, place)
            self._log_suspect(item.request_id, endpoint)
        else:
            self.quarantine.done(endpoint, fingerprint)

    def gave_up(self, endpoint: str, request_id: str) -> None:
        """Notes that nobody waits for a call any more."""
        fingerprint = self._fingerprint(request_id)
        self.quarantine.done(endpoint, fingerprint)

    async def plain_ended(
        self, endpoint: str, request_id: str, error: errors.AlmondshiftError
    ) -> None:
        """Takes a failed call to a plain service."""
        fingerprint = self._fingerprint(request_id)
        unknown = isinstance(error, errors.EndpointOutcomeUnknown)
        if not unknown or not await self._crashed(endpoint):
            self.quarantine.done(endpoint, fingerprint)

    def plain_answered(self, endpoint: str, request_id: str) -> None:
        """Takes a whole answer of a plain service; it clears a suspect."""
        fingerprint = self._fingerprint(request_id)
        self.quarantine.done(endpoint, fingerprint)
        if self.quarantine.counting(fingerprint):
            self.quarantine.passed(fingerprint)

    async def may_go_on(
        self, request_id: str
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Lets a request be run again after a failure, or refuses it.

        One loss is let pass at once. After two, the wait of the quarantine
        is kept before the final answer: a caller that is told earlier could
        send the request through a node that has not heard of it.
        """
        fingerprint = self._fingerprint(request_id)
        if self._losses(fingerprint) == SINGLE_LOSS:
            await self.clock.sleep(self._slot_s(fingerprint))
        while self._losses(fingerprint) > SINGLE_LOSS:
            await self._look_around(fingerprint)
            verdict = self.quarantine.may_run(fingerprint)
            if verdict.convicted:
                return expression.Error(self._convicted(request_id, verdict))
            if verdict.kind is not quarantine_verdicts.VerdictKind.REFUSED:
                break
            await self.clock.sleep(min(verdict.retry_after_s, LOOK_AROUND_S))
        verdict = self.quarantine.may_run(fingerprint)
        if verdict.convicted:
            return expression.Error(self._convicted(request_id, verdict))
        return expression.Ok(None)

    def _slot_s(self, fingerprint: str) -> float:
        """Returns how long this node's suspects wait for those of others.

        Several nodes have suspects of one crash. Run again at one moment on
        one endpoint, an innocent one would be lost with the guilty one a
        second time and be refused for it. The nodes' order differs for each
        endpoint, so that none always waits longest.
        """
        endpoint = self.quarantine.counting(fingerprint)[0].endpoint
        return SLOT_S * (self.rank(endpoint) % MAX_SLOTS)

    async def _look_around(self, fingerprint: str) -> None:
        """Looks for idle endpoints that died with those that were busy.

        Of a rack that dies, only engines with work of this node show it at
        once. Without the others two of them would look like the doing of
        the request that was moved from the one to the other.
        """
        crashes = self.quarantine.counting(fingerprint)
        zones = {crash.zone for crash in crashes}
        known_dead = {crash.endpoint for crash in crashes}
        names = [
            name
            for name, known in self.directory.endpoints.items()
            if known.vm.zone in zones and name not in known_dead
        ]
        await asyncio.gather(*(self._crashed(name) for name in names))

    def _convicted(
        self, request_id: str, verdict: quarantine_verdicts.Verdict
    ) -> errors.Quarantined:
        log_events.emit(
            logger,
            log_events.QuarantineConvicted(
                request_id=request_id,
                fingerprint=self._fingerprint(request_id),
                expires_s=round(verdict.retry_after_s, 1),
            ),
        )
        error = _refusal(verdict)
        error.execution = errors.Execution.RAN
        return error

    def _log_suspect(self, request_id: str, endpoint: str) -> None:
        log_events.emit(
            logger,
            log_events.QuarantineSuspect(
                request_id=request_id,
                fingerprint=self._fingerprint(request_id),
                endpoint=endpoint,
            ),
        )

    def _losses(self, fingerprint: str) -> int:
        crashes = self.quarantine.counting(fingerprint)
        return len({crash.endpoint for crash in crashes})

    def _note_passed(
        self, fingerprint: str, place: _Place, is_ok: bool
    ) -> None:
        failed = self._places.get(fingerprint)
        if failed is None or not is_ok:
            return
        if place.layer < failed.layer or place.position < failed.position:
            return
        del self._places[fingerprint]
        self.quarantine.passed(fingerprint)

    async def _crashed(self, endpoint: str) -> bool:
        """Finds out, once for all calls that broke, whether it crashed."""
        task = self._judging.get(endpoint)
        if task is None:
            task = asyncio.create_task(self._judge(endpoint))
            self._judging[endpoint] = task
            task.add_done_callback(lambda _: self._judging.pop(endpoint, None))
        return await asyncio.shield(task)

    async def _judge(self, endpoint: str) -> bool:
        known = self.directory.endpoints.get(endpoint)
        if known is None or not await self._is_dead(known):
            return False
        now = self.clock.monotonic()
        self.quarantine.crashed(endpoint, now, known.vm.zone)
        return True

    async def _is_dead(self, known: directory.Endpoint) -> bool:
        """Returns whether the process is gone or is another one now.

        A process that is just ending may still accept a connection and then
        break it. Taken for alive, its loss would count against nobody, so
        it is looked at again until it answers or refuses. One that takes a
        connection and says nothing is frozen, or its link is: no crash, and
        whoever waits for the judgement must not wait for it to thaw.
        """
        for _ in range(LOOKS):
            if not await _accepts(known.vm.address):
                return True
            if known.engine is None or known.description is None:
                return False
            try:
                async with asyncio.timeout(ANSWER_S):
                    answer = await known.engine.describe()
            except TimeoutError:
                return False
            if answer.is_ok():
                return answer.ok.instance != known.description.instance
            await self.clock.sleep(LOOK_AGAIN_S)
        return False


async def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return True
    except OSError:
        return False
    writer.close()
    return True


def _is_unknown(
    outcome: expression.Result[steps.StepResult, engines.EngineError],
) -> bool:
    return outcome.is_error() and isinstance(
        outcome.error, errors.EndpointOutcomeUnknown
    )


def _refusal(verdict: quarantine_verdicts.Verdict) -> errors.Quarantined:
    if verdict.convicted:
        detail = "This request crashed two endpoints."
    else:
        detail = "This request was in flight when an endpoint crashed."
    return errors.Quarantined(detail, retry_after_s=verdict.retry_after_s)


def create_crash_guard(
    quarantine: quarantines.Quarantine,
    known: directory.Directory,
    rank: Callable[[str], int],
    clock: clocks.Clock,
) -> CrashGuard:
    """Builds a guard.

    Args:
        quarantine: This node's part of the quarantine.
        known: The endpoints.
        rank: This node's place among the live nodes for an endpoint, from 0.
        clock: Source of time.
    """
    return CrashGuard(quarantine, known, rank, clock)
