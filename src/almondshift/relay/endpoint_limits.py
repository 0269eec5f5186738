"""Rate limits that endpoints name in their responses."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.ports import path_engines

if TYPE_CHECKING:
    from almondshift.model import rate_limits
    from almondshift.ports import clocks
    from almondshift.relay import catalogue
    from almondshift.relay import observer

INVALID_LOG_GAP_S = 10.0
"""Minimum interval between log lines for one endpoint's invalid limits, in
seconds."""


@dataclasses.dataclass(slots=True)
class KnownLimit:
    """The limit that an endpoint named last.

    Attributes:
        per_s: Requests per second from all nodes.
        named_at: Loop time of the latest response that named it.
    """

    per_s: float
    named_at: float


class EndpointLimits(path_engines.CallObserver):
    """The limits in force, as this node knows them.

    Attributes:
        known: By instance.
        invalid_logged_at: Monotonic time of the last log line, by address.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        registry: catalogue.Catalogue,
        relay_observer: observer.RelayObserver,
    ) -> None:
        self.clock = clock
        self.catalogue = registry
        self.observer = relay_observer
        self.known: dict[str, KnownLimit] = {}
        self.invalid_logged_at: dict[str, float] = {}

    def on_call(self, purpose: rate_limits.CallPurpose, address: str) -> None:
        """Counts a call to an endpoint."""
        del address
        self.observer.endpoint_calls.labels(purpose.value).inc()

    def on_limit(self, notice: rate_limits.LimitNotice) -> None:
        """Records what a response says about its endpoint's limit."""
        if notice.invalid:
            self.record_invalid(notice)
            return
        instance = notice.instance or self.instance_at(notice.address)
        if not instance:
            return
        if notice.per_s is not None:
            self.set_limit(instance, notice.per_s, notice.purpose.value)
        elif self.has_ended(instance, notice):
            self.end_limit(instance, notice.purpose.value)

    def instance_at(self, address: str) -> str:
        """Returns the instance registered at an address; "" for none."""
        engine = self.catalogue.by_address(address)
        return engine.instance if engine is not None else ""

    def record_invalid(self, notice: rate_limits.LimitNotice) -> None:
        """Counts and logs a limit that can't be used; it changes nothing."""
        self.observer.invalid_limits.inc()
        now = self.clock.monotonic()
        logged_at = self.invalid_logged_at.get(notice.address, -math.inf)
        if now - logged_at < INVALID_LOG_GAP_S:
            return
        self.invalid_logged_at[notice.address] = now
        self.observer.emit(
            log_events.EndpointLimitInvalid(notice.address, notice.invalid)
        )

    def has_ended(self, instance: str, notice: rate_limits.LimitNotice) -> bool:
        """Returns whether a response without a limit ends the known one.

        Responses overtake each other. Only one to a request that was sent
        after the limit was last named shows that it is no longer in force.
        """
        known = self.known.get(instance)
        return (
            known is not None
            and notice.is_genuine
            and notice.sent_at > known.named_at
        )

    def set_limit(self, instance: str, per_s: float, told_by: str) -> None:
        """Records a limit; logs it if it is new or has changed."""
        now = asyncio.get_running_loop().time()
        known = self.known.get(instance)
        if known is None:
            self.known[instance] = KnownLimit(per_s, now)
            self.log_change(instance, None, per_s, told_by)
            return
        known.named_at = now
        if known.per_s != per_s:
            self.log_change(instance, known.per_s, per_s, told_by)
            known.per_s = per_s

    def end_limit(self, instance: str, told_by: str) -> None:
        """Drops a limit that the endpoint no longer names."""
        known = self.known.pop(instance, None)
        if known is not None:
            self.log_change(instance, known.per_s, None, told_by)

    def log_change(
        self,
        instance: str,
        previous_per_s: float | None,
        per_s: float | None,
        told_by: str,
    ) -> None:
        """Logs a change of an endpoint's limit."""
        self.observer.emit(
            log_events.EndpointLimitChanged(
                endpoint=instance,
                per_s=per_s,
                previous_per_s=previous_per_s,
                told_by=told_by,
            )
        )

    def forget(self, instance: str) -> None:
        """Drops an endpoint that is gone."""
        self.known.pop(instance, None)


def create_endpoint_limits(
    clock: clocks.Clock,
    registry: catalogue.Catalogue,
    relay_observer: observer.RelayObserver,
) -> EndpointLimits:
    """Creates a record without known limits."""
    return EndpointLimits(clock, registry, relay_observer)
