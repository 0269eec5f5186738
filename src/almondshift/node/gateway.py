"""The node towards callers: joins configuration, entries and services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.model import fleet as fleets
from almondshift.model import prefixes
from almondshift.ports import gateway

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.adapters import keys
    from almondshift.model import completions as requests
    from almondshift.node import completions
    from almondshift.node import plain_calls
    from almondshift.ports import plain_services

SAFE_METHODS = frozenset({"GET", "HEAD"})


class NodeGateway(gateway.Gateway):
    """Serves callers with what the node's parts know.

    Attributes:
        current: The configuration in force.
        key_table: Bearer keys of ``current``.
        leaving: Why no new request is taken, while draining.
        in_flight: Requests taken and not answered yet.
    """

    def __init__(
        self,
        completion_service: completions.CompletionService,
        plain_service: plain_calls.PlainCalls,
        list_entries: Callable[[str], gateway.Entries],
        is_ready: Callable[[], bool],
    ) -> None:
        self.completion_service = completion_service
        self.plain_service = plain_service
        self.list_entries = list_entries
        self.is_ready = is_ready
        self.current: fleets.Fleet | None = None
        self.key_table: keys.KeyTable | None = None
        self.leaving: errors.NodeLeaving | None = None

    def current_fleet(self) -> fleets.Fleet | None:
        """Returns the configuration in force."""
        return self.current

    def account_of(self, key: str) -> fleets.Account | None:
        """Returns the client account of a bearer key."""
        return self.key_table.find(key) if self.key_table else None

    def ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return self.leaving is None and self.is_ready()

    def refusal(self) -> errors.NodeLeaving | None:
        """Returns why no new request is taken, if so."""
        return self.leaving

    def entries(self, account: str) -> gateway.Entries:
        """Returns the addresses for an account."""
        return self.list_entries(account)

    async def complete(
        self, request: requests.CompletionRequest
    ) -> expression.Result[gateway.CompletionStream, errors.AlmondshiftError]:
        """Starts a completion."""
        hints = self._prefixes(request)
        match await self.completion_service.start(request, hints):
            case expression.Result(tag="ok", ok=running):
                return expression.Ok(running)
            case expression.Result(error=error):
                return expression.Error(error)

    async def call_plain(
        self, request: gateway.PlainRequest
    ) -> expression.Result[plain_services.PlainAnswer, errors.AlmondshiftError]:
        """Calls a plain service."""
        service = self._service(request.service)
        if service is None:
            return expression.Error(
                errors.UnknownService(f"There is no {request.service!r}.")
            )
        repeatable = service.idempotent or request.method in SAFE_METHODS
        return await self.plain_service.call(
            request, service.priority, repeatable
        )

    def _service(self, name: str) -> fleets.Service | None:
        return self.current.services.get(name) if self.current else None

    def _prefixes(self, request: requests.CompletionRequest) -> tuple[int, ...]:
        service = self._service(request.service)
        if service is None or self.current is None:
            return ()
        model = self.current.models[service.model]
        found = prefixes.digests(model.name, model.version, request.prompt)
        return tuple(reversed(found))
