"""Serves callers from the node's configuration, entries and services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_rows
from almondshift.model import fleet as fleets
from almondshift.model import prefixes
from almondshift.node import stored_completions
from almondshift.ports import gateway
from almondshift.ports import plain_services

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.adapters import keys
    from almondshift.coordination import drain as drains
    from almondshift.model import completions as requests
    from almondshift.node import at_most_once
    from almondshift.node import completions
    from almondshift.node import entries
    from almondshift.node import plain_calls

    ExpectedSeconds = Callable[[str, float], float]


class NodeGateway(gateway.Gateway):
    """Serves callers through the components of a node.

    Attributes:
        expected_s: Returns the expected response time of a service for a
            number of tokens, in seconds; 0.0 while that is not known.
        current: The configuration in force.
        key_table: Bearer keys of ``current``.
    """

    def __init__(
        self,
        completion_service: completions.CompletionService,
        plain_service: plain_calls.PlainCalls,
        once: at_most_once.AtMostOnce,
        entry_list: entries.EntryList,
        drain: drains.Drain,
        expected_s: ExpectedSeconds,
    ) -> None:
        self.completion_service = completion_service
        self.plain_service = plain_service
        self.at_most_once = once
        self.entry_list = entry_list
        self.drain = drain
        self.expected_s = expected_s
        self.current: fleets.Fleet | None = None
        self.key_table: keys.KeyTable | None = None
        self._cut_callbacks: dict[
            str, Callable[[errors.NodeLeaving], None]
        ] = {}

    def current_fleet(self) -> fleets.Fleet | None:
        """Returns the configuration in force."""
        return self.current

    def account_of(self, key: str) -> fleets.Account | None:
        """Returns the client account of a bearer key."""
        return self.key_table.find(key) if self.key_table else None

    def ready(self) -> bool:
        """Returns whether callers should be sent here."""
        return self.drain.is_listed and self.current is not None

    def begin(
        self,
        admission: gateway.Admission,
        cut: Callable[[errors.NodeLeaving], None],
    ) -> expression.Result[None, errors.NodeLeaving]:
        """Admits a request, or refuses it and names other addresses."""
        taken = self.drain.begin(
            admission.request_id,
            self.expected_s(admission.service, admission.tokens),
            admission.deadline,
        )
        if taken.is_error():
            return expression.Error(self._with_other_addresses(taken.error))
        self._cut_callbacks[admission.request_id] = cut
        return taken

    def end(self, request_id: str) -> None:
        """Records that a request ended."""
        self._cut_callbacks.pop(request_id, None)
        self.drain.end(request_id)

    def cut(self, request_id: str, error: errors.AlmondshiftError) -> None:
        """Ends a request with a final error because the node closes."""
        cut = self._cut_callbacks.get(request_id)
        if cut is not None and isinstance(error, errors.NodeLeaving):
            cut(error)

    def _with_other_addresses(
        self, error: errors.NodeLeaving
    ) -> errors.NodeLeaving:
        found = self.entry_list.entries_for("").addresses
        names = ", ".join(entry.address for entry in found)
        if names:
            error.remedy = f"Use another address: {names}."
        return error

    def entries(self, account: str) -> gateway.Entries:
        """Returns the addresses for an account."""
        return self.entry_list.entries_for(account)

    async def complete(
        self, request: requests.CompletionRequest
    ) -> expression.Result[gateway.CompletionStream, errors.AlmondshiftError]:
        """Starts a completion, or returns its stored result."""
        if request.idempotent:
            return await self._start(request)
        kept = await self.at_most_once.run(
            request.account,
            request.service,
            request.idempotency_key,
            stored_completions.fingerprint_body(request),
            request.deadline,
            lambda: self._run_to_end(request),
        )
        match kept:
            case expression.Result(tag="ok", ok=result):
                return stored_completions.to_stream(request.request_id, result)
            case expression.Result(error=error):
                return expression.Error(error)

    async def _start(
        self, request: requests.CompletionRequest
    ) -> expression.Result[gateway.CompletionStream, errors.AlmondshiftError]:
        hints = self._prefixes(request)
        match await self.completion_service.start(request, hints):
            case expression.Result(tag="ok", ok=running):
                return expression.Ok(running)
            case expression.Result(error=error):
                return expression.Error(error)

    async def _run_to_end(
        self, request: requests.CompletionRequest
    ) -> expression.Result[claim_rows.StoredResult, errors.AlmondshiftError]:
        return await stored_completions.collect(await self._start(request))

    async def call_plain(
        self, request: gateway.PlainRequest
    ) -> expression.Result[plain_services.PlainAnswer, errors.AlmondshiftError]:
        """Calls a plain service."""
        service = self._service(request.service)
        if service is None:
            return expression.Error(
                errors.UnknownService(f"There is no {request.service!r}.")
            )
        if service.may_repeat(request.method):
            return await self.plain_service.call(
                request, service.priority, idempotent=True
            )
        kept = await self.at_most_once.run(
            request.account,
            request.service,
            request.idempotency_key,
            _fingerprint_body(request),
            request.deadline,
            lambda: self._call_once(request, service),
        )
        match kept:
            case expression.Result(tag="ok", ok=result):
                return expression.Ok(_to_plain_answer(result))
            case expression.Result(error=error):
                return expression.Error(error)

    async def _call_once(
        self, request: gateway.PlainRequest, service: fleets.Service
    ) -> expression.Result[claim_rows.StoredResult, errors.AlmondshiftError]:
        called = await self.plain_service.call(
            request, service.priority, idempotent=False
        )
        match called:
            case expression.Result(tag="ok", ok=response):
                return expression.Ok(
                    claim_rows.StoredResult(
                        response.status,
                        response.content_type,
                        response.body,
                    )
                )
            case expression.Result(error=error):
                return expression.Error(error)

    def _service(self, name: str) -> fleets.Service | None:
        return self.current.services.get(name) if self.current else None

    def _prefixes(self, request: requests.CompletionRequest) -> tuple[int, ...]:
        service = self._service(request.service)
        if service is None or self.current is None:
            return ()
        model = self.current.models[service.model]
        found = prefixes.digests(
            model.name, model.version, service.adapter, request.prompt
        )
        return tuple(reversed(found))


def _fingerprint_body(request: gateway.PlainRequest) -> bytes:
    return b"\n".join(
        [request.method.encode(), request.path.encode(), request.body]
    )


def _to_plain_answer(
    kept: claim_rows.StoredResult,
) -> plain_services.PlainAnswer:
    return plain_services.PlainAnswer(kept.status, kept.content_type, kept.body)
