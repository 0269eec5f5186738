"""Sends calls to plain services and retries them only where it is safe."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import uuid

import expression

from almondshift import errors
from almondshift.coordination import quarantine_verdicts
from almondshift.node import refusals
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.ports import plain_services

if TYPE_CHECKING:
    from almondshift.model import fleet
    from almondshift.node import crash_guard
    from almondshift.node import directory
    from almondshift.node import router_driver
    from almondshift.ports import clocks
    from almondshift.ports import gateway

MAX_ATTEMPTS = 3
CALL_TIMEOUT_S = 10.0

PlainResult = expression.Result[
    plain_services.PlainAnswer, errors.AlmondshiftError
]


class PlainCalls:
    """Dispatches calls to the endpoints of plain services."""

    def __init__(
        self,
        service: plain_services.PlainService,
        endpoint_directory: directory.Directory,
        driver: router_driver.RouterDriver,
        guard: crash_guard.CrashGuard,
        clock: clocks.Clock,
    ) -> None:
        self.service = service
        self.directory = endpoint_directory
        self.driver = driver
        self.guard = guard
        self.clock = clock

    async def call(
        self,
        request: gateway.PlainRequest,
        priority: fleet.Priority,
        idempotent: bool,
    ) -> PlainResult:
        """Calls until there is a response or no safe retry is left.

        A call with an unknown outcome is retried only if idempotent:
        otherwise a pause notice, for example, could take effect twice.
        """
        admitted = self.guard.admit(request.request_id, _fingerprint(request))
        if admitted.is_error():
            return expression.Error(admitted.error)
        try:
            return await self._call_with_retries(request, priority, idempotent)
        finally:
            self.guard.forget(request.request_id)

    async def _call_with_retries(
        self,
        request: gateway.PlainRequest,
        priority: fleet.Priority,
        idempotent: bool,
    ) -> PlainResult:
        error: errors.AlmondshiftError | None = None
        for _ in range(MAX_ATTEMPTS):
            match await self._try_once(request, priority, idempotent):
                case expression.Result(tag="ok", ok=response):
                    return expression.Ok(response)
                case expression.Result(error=error):
                    if not _may_retry(error, idempotent):
                        break
                    allowed = await self.guard.admit_retry(request.request_id)
                    if allowed.is_error():
                        return expression.Error(allowed.error)
        assert error is not None
        return expression.Error(_to_final_error(error, idempotent))

    async def _try_once(
        self,
        request: gateway.PlainRequest,
        priority: fleet.Priority,
        idempotent: bool,
    ) -> PlainResult:
        match await self._choose_endpoint(request, priority, idempotent):
            case expression.Result(tag="ok", ok=endpoint):
                return await self._send(request, endpoint, idempotent)
            case expression.Result(error=error):
                return expression.Error(error)

    async def _choose_endpoint(
        self,
        request: gateway.PlainRequest,
        priority: fleet.Priority,
        idempotent: bool,
    ) -> expression.Result[str, errors.AlmondshiftError]:
        now = self.clock.monotonic()
        if request.deadline <= now:
            return expression.Error(
                errors.DeadlinePast("The deadline had passed on arrival.")
            )
        arrival = events.Arrival(
            at=now,
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            priority=priority,
            prompt_tokens=1,
            max_tokens=0,
            deadline=request.deadline,
            idempotent=idempotent,
        )
        try:
            decision = await asyncio.wait_for(
                self.driver.decide(arrival), request.deadline - now
            )
        except TimeoutError:
            return expression.Error(
                errors.DeadlinePast("The deadline passed in the queue.")
            )
        if isinstance(decision, actions.DispatchPlain):
            return expression.Ok(decision.endpoint)
        if isinstance(decision, actions.Refuse):
            return expression.Error(refusals.to_error(decision))
        return expression.Error(
            errors.UnknownService("This service takes only completions.")
        )

    async def _send(
        self, request: gateway.PlainRequest, endpoint: str, idempotent: bool
    ) -> PlainResult:
        address = self.directory.address(endpoint)
        if address is None:
            self._notify_router(request, completed=False)
            return expression.Error(
                errors.EndpointUnreachable(f"Endpoint {endpoint} is gone.")
            )
        left = request.deadline - self.clock.monotonic()
        call = plain_services.PlainCall(
            request_id=request.request_id,
            attempt=uuid.uuid4().hex,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            timeout_s=max(min(left, CALL_TIMEOUT_S), 0.001),
            repeatable=idempotent,
        )
        async with self.guard.call_slot(endpoint, request.request_id):
            outcome = await self.service.call(address, call)
            self._notify_router(request, completed=outcome.is_ok())
            match outcome:
                case expression.Result(tag="ok", ok=response):
                    self.guard.plain_answered(endpoint, request.request_id)
                    return expression.Ok(response)
                case expression.Result(error=error):
                    await self.guard.plain_failed(
                        endpoint, request.request_id, error
                    )
                    return expression.Error(error)
        raise AssertionError(outcome)

    def _notify_router(
        self, request: gateway.PlainRequest, *, completed: bool
    ) -> None:
        now = self.clock.monotonic()
        if completed:
            self.driver.notify(events.Completed(now, request.request_id))
        else:
            self.driver.notify(events.Abandoned(now, request.request_id))


def _fingerprint(request: gateway.PlainRequest) -> str:
    content = f"{request.method} {request.path}\n".encode() + request.body
    return quarantine_verdicts.fingerprint_of(request.service, content)


def _may_retry(error: errors.AlmondshiftError, idempotent: bool) -> bool:
    if isinstance(error, errors.EndpointOutcomeUnknown):
        return idempotent
    return isinstance(
        error, errors.EndpointUnreachable | errors.EndpointRefused
    )


def _to_final_error(
    error: errors.AlmondshiftError, idempotent: bool
) -> errors.AlmondshiftError:
    if not isinstance(error, errors.EndpointOutcomeUnknown):
        return error
    if idempotent:
        return errors.UpstreamFailed("No endpoint gave a complete answer.")
    return errors.OutcomeUnknown(
        "The call was sent, but no complete answer was received."
    )
