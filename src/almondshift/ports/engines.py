"""The interface to model engines; it hides everything engine-specific."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import expression

from almondshift import errors

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import endpoints
    from almondshift.model import orders
    from almondshift.model import steps

EngineError = (
    errors.EndpointUnreachable
    | errors.EndpointRefused
    | errors.EndpointOutcomeUnknown
)


class Engine(abc.ABC):
    """A connection to one engine.

    A call that fails with ``EndpointUnreachable`` sent nothing. One that
    fails with ``EndpointOutcomeUnknown`` may have run, and the connection
    it used is closed, so that a late response can't be taken for that of a
    later call.
    """

    @abc.abstractmethod
    async def start(self) -> None:
        """Makes the connection usable."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections; calls in flight fail as unknown."""

    @abc.abstractmethod
    async def describe(
        self,
    ) -> expression.Result[endpoints.EndpointDescription, EngineError]:
        """Requests the engine's description of itself."""

    @abc.abstractmethod
    async def step(
        self, items: Sequence[steps.StepItem], timeout_s: float
    ) -> expression.Result[list[steps.StepResult], EngineError]:
        """Runs items of many requests in one call.

        Returns:
            A result for each item in the same order, as the engine sent
            them; the caller checks the echoed fields.
        """

    @abc.abstractmethod
    async def cancel(
        self, sessions: Sequence[str]
    ) -> expression.Result[None, EngineError]:
        """Drops sessions and queued items; unknown ones are ignored."""

    @abc.abstractmethod
    async def export_kv(
        self, session: str
    ) -> expression.Result[steps.KvSnapshot, EngineError]:
        """Exports the KV cache of a session."""

    @abc.abstractmethod
    async def import_kv(
        self, snapshot: steps.KvSnapshot
    ) -> expression.Result[None, EngineError]:
        """Opens a session from an exported KV cache."""

    @abc.abstractmethod
    async def load(
        self,
    ) -> expression.Result[endpoints.LoadReport, EngineError]:
        """Reads the engine's load report, which may be stale."""

    @abc.abstractmethod
    async def cache_events(
        self, after: int
    ) -> expression.Result[list[endpoints.CacheEvent], EngineError]:
        """Reads cache events with a sequence number above ``after``."""

    @abc.abstractmethod
    async def order(
        self, order: orders.Order
    ) -> expression.Result[orders.OrderAnswer, EngineError]:
        """Sends an order; idempotent."""


class EngineFactory(abc.ABC):
    """Makes engine connections."""

    @abc.abstractmethod
    def build(self, name: str, address: str) -> Engine:
        """Builds a connection to an endpoint without starting it."""
