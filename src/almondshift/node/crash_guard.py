"""Prevents one request from crashing one endpoint after another.

Most crashes are not caused by a request, and callers then expect a response
within a second. Requests in flight at a crash (suspects) are therefore retried
at once, but only one suspect at a time runs on an endpoint, so that a second
crash identifies the request that was in flight at both. That request is held
until peers know of it and a rack failure is ruled out, and is then refused. A
suspect that gets past the step at which the endpoint crashed is cleared.
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

CONNECT_TIMEOUT_S = 0.1
DESCRIBE_TIMEOUT_S = 0.1
MAX_CHECKS = 8
CHECK_INTERVAL_S = 0.03
IDLE_CHECK_INTERVAL_S = 0.3
"""Interval between checks of idle endpoints. The engines of a failing rack
don't all die at once, so several checks have to fit into the window in which
crashes are attributed to the rack."""

RETRY_SLOT_S = 0.04
RETRY_SLOTS = 8
SINGLE_CRASH = 1

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _StepPosition:
    """A step: its first layer and its positions, from ``start`` to ``end``."""

    layer: int
    start: int
    end: int


class CrashGuard:
    """Detects crashes behind failed calls and serialises suspects.

    Attributes:
        quarantine: The crashes known to this node and its peers.
    """

    def __init__(
        self,
        quarantine: quarantines.Quarantine,
        endpoint_directory: directory.Directory,
        rank: Callable[[str], int],
        clock: clocks.Clock,
    ) -> None:
        self.quarantine = quarantine
        self.directory = endpoint_directory
        self.rank = rank
        self.clock = clock
        self._fingerprints: dict[str, str] = {}
        self._crash_positions: dict[str, _StepPosition] = {}
        self._suspect_locks: dict[str, asyncio.Lock] = {}
        self._crash_checks: dict[str, asyncio.Task[bool]] = {}
        self._crashed_instances: dict[str, str] = {}

    def admit(
        self, request_id: str, fingerprint: str
    ) -> expression.Result[None, errors.Quarantined]:
        """Admits a new request, or refuses one that crashed endpoints.

        Args:
            request_id: The request; ``forget`` has to be called when it ends.
            fingerprint: From ``quarantine_verdicts.fingerprint_of``.
        """
        verdict = self.quarantine.may_run(fingerprint)
        if verdict.kind is quarantine_verdicts.VerdictKind.REFUSED:
            return expression.Error(_refusal(verdict))
        self._fingerprints[request_id] = fingerprint
        return expression.Ok(None)

    def forget(self, request_id: str) -> None:
        """Removes a request that ended."""
        self._fingerprints.pop(request_id, None)

    def _fingerprint(self, request_id: str) -> str:
        """Returns the fingerprint, or the id itself once the request ended."""
        return self._fingerprints.get(request_id, request_id)

    @contextlib.asynccontextmanager
    async def call_slot(
        self,
        endpoint: str,
        request_id: str,
        item: steps.StepItem | None = None,
    ) -> AsyncIterator[None]:
        """Wraps one call; lets only one suspect at a time use an endpoint.

        Args:
            endpoint: The endpoint that is called.
            request_id: The request.
            item: The step; None for a call to a plain service.
        """
        fingerprint = self._fingerprint(request_id)
        if not self.quarantine.crashes_against(fingerprint):
            self.quarantine.in_flight(endpoint, fingerprint)
            yield
            return
        lock = self._suspect_locks.setdefault(endpoint, asyncio.Lock())
        async with lock:
            self.quarantine.in_flight(
                endpoint,
                fingerprint,
                is_replay=self._is_replay(fingerprint, item),
            )
            yield

    def _is_replay(self, fingerprint: str, item: steps.StepItem | None) -> bool:
        """Returns whether a step ends before the one of the first crash."""
        crash_position = self._crash_positions.get(fingerprint)
        if crash_position is None or item is None:
            return False
        return item.position + len(item.inputs) <= crash_position.start

    async def step_ended(
        self,
        endpoint: str,
        item: steps.StepItem,
        outcome: expression.Result[steps.StepResult, engines.EngineError],
    ) -> None:
        """Records the outcome of a step; waits for the crash check if any."""
        fingerprint = self._fingerprint(item.request_id)
        step_position = _StepPosition(
            item.layers.start,
            item.position,
            item.position + len(item.inputs),
        )
        if not _is_unknown(outcome):
            self.quarantine.done(endpoint, fingerprint)
            self._note_progress(fingerprint, step_position, outcome.is_ok())
        elif await self._has_crashed(endpoint):
            self._crash_positions.setdefault(fingerprint, step_position)
            self._log_suspect(item.request_id, endpoint)
        else:
            self.quarantine.done(endpoint, fingerprint)

    def call_abandoned(self, endpoint: str, request_id: str) -> None:
        """Records that a call was cancelled by its caller."""
        fingerprint = self._fingerprint(request_id)
        self.quarantine.done(endpoint, fingerprint)

    async def plain_failed(
        self, endpoint: str, request_id: str, error: errors.AlmondshiftError
    ) -> None:
        """Records a failed call to a plain service."""
        fingerprint = self._fingerprint(request_id)
        unknown = isinstance(error, errors.EndpointOutcomeUnknown)
        if not unknown or not await self._has_crashed(endpoint):
            self.quarantine.done(endpoint, fingerprint)

    def plain_answered(self, endpoint: str, request_id: str) -> None:
        """Records a complete response of a plain service; clears a suspect."""
        fingerprint = self._fingerprint(request_id)
        self.quarantine.done(endpoint, fingerprint)
        if self.quarantine.crashes_against(fingerprint):
            self.quarantine.clear_suspect(fingerprint)

    async def admit_retry(
        self, request_id: str
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Admits a request for a retry after a failure, or refuses it.

        After one crash the request is retried almost at once. After two, the
        quarantine's wait has to pass before the final response: a caller that
        gets it earlier could send the request through a node that doesn't
        know of the crashes yet.
        """
        fingerprint = self._fingerprint(request_id)
        if self._crash_count(fingerprint) == SINGLE_CRASH:
            await self.clock.sleep(self._retry_delay_s(fingerprint))
        while self._crash_count(fingerprint) > SINGLE_CRASH:
            await self._check_idle_endpoints(fingerprint)
            verdict = self.quarantine.may_run(fingerprint)
            if verdict.convicted:
                return expression.Error(
                    self._conviction_error(request_id, verdict)
                )
            if verdict.kind is not quarantine_verdicts.VerdictKind.REFUSED:
                break
            await self.clock.sleep(
                min(verdict.retry_after_s, IDLE_CHECK_INTERVAL_S)
            )
        verdict = self.quarantine.may_run(fingerprint)
        if verdict.convicted:
            return expression.Error(self._conviction_error(request_id, verdict))
        return expression.Ok(None)

    def _retry_delay_s(self, fingerprint: str) -> float:
        """Returns the delay that staggers retries between nodes.

        Several nodes may have suspects of the same crash. If they retried
        them at the same time on one endpoint, an innocent request would be in
        flight at the second crash too and be refused like the guilty one. The
        order of the nodes differs by endpoint, so that no node always waits
        longest.
        """
        endpoint = self.quarantine.crashes_against(fingerprint)[0].endpoint
        return RETRY_SLOT_S * (self.rank(endpoint) % RETRY_SLOTS)

    async def _check_idle_endpoints(self, fingerprint: str) -> None:
        """Checks whether idle endpoints crashed along with the busy ones.

        When a rack fails, this node notices at once only the crashes of the
        engines that run its work. Without checking the others, two crashes in
        the rack would be attributed to the request that was moved from one
        engine to the other.
        """
        crashes = self.quarantine.crashes_against(fingerprint)
        zones = {crash.zone for crash in crashes}
        known_dead = {crash.endpoint for crash in crashes}
        names = [
            name
            for name, known in self.directory.endpoints.items()
            if known.vm.zone in zones and name not in known_dead
        ]
        await asyncio.gather(*(self._has_crashed(name) for name in names))

    def _conviction_error(
        self, request_id: str, verdict: quarantine_verdicts.Verdict
    ) -> errors.Quarantined:
        log_events.emit(
            logger,
            log_events.RequestQuarantined(
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

    def _crash_count(self, fingerprint: str) -> int:
        crashes = self.quarantine.crashes_against(fingerprint)
        return len({crash.endpoint for crash in crashes})

    def _note_progress(
        self, fingerprint: str, step_position: _StepPosition, is_ok: bool
    ) -> None:
        crash_position = self._crash_positions.get(fingerprint)
        if crash_position is None or not is_ok:
            return
        if (
            step_position.layer < crash_position.layer
            or step_position.end < crash_position.end
        ):
            return
        del self._crash_positions[fingerprint]
        self.quarantine.clear_suspect(fingerprint)

    async def _has_crashed(self, endpoint: str) -> bool:
        """Checks for a crash; concurrent failed calls share one check."""
        task = self._crash_checks.get(endpoint)
        if task is None:
            task = asyncio.create_task(self._check_crash(endpoint))
            self._crash_checks[endpoint] = task
            task.add_done_callback(
                lambda _: self._crash_checks.pop(endpoint, None)
            )
        return await asyncio.shield(task)

    async def _check_crash(self, endpoint: str) -> bool:
        known = self.directory.endpoints.get(endpoint)
        if known is None or not await self._is_dead(known):
            return False
        instance = known.description.instance if known.description else ""
        if instance and self._crashed_instances.get(endpoint) == instance:
            # These requests were sent to it after the crash.
            self.quarantine.abandon_work(endpoint)
            return True
        self._crashed_instances[endpoint] = instance
        now = self.clock.monotonic()
        self.quarantine.crashed(endpoint, now, known.vm.zone)
        return True

    async def _is_dead(self, known: directory.Endpoint) -> bool:
        """Returns whether the process is gone or was replaced by another.

        A terminating process may still accept a connection and then break
        it. If that counted as alive, its crash would be attributed to no
        request, so the check repeats until the process responds or refuses
        the connection. If a process accepts a connection but sends nothing,
        the process or its network link is frozen: that is no crash, and
        callers must not wait until it recovers.
        """
        for _ in range(MAX_CHECKS):
            if not await _accepts(known.vm.address):
                return True
            if known.engine is None or known.description is None:
                return False
            try:
                async with asyncio.timeout(DESCRIBE_TIMEOUT_S):
                    response = await known.engine.describe()
            except TimeoutError:
                return False
            if response.is_ok():
                return response.ok.instance != known.description.instance
            await self.clock.sleep(CHECK_INTERVAL_S)
        return False


async def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
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
    endpoint_directory: directory.Directory,
    rank: Callable[[str], int],
    clock: clocks.Clock,
) -> CrashGuard:
    """Builds a guard.

    Args:
        quarantine: This node's quarantine state.
        endpoint_directory: The endpoints.
        rank: Returns this node's rank among the live nodes for an endpoint,
            from 0.
        clock: Source of time.
    """
    return CrashGuard(quarantine, endpoint_directory, rank, clock)
