"""``POST /v1/completions``: buffered and streamed responses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import expression
import msgspec
import tornado.iostream

from almondshift import errors
from almondshift.adapters import completion_body
from almondshift.adapters import problems
from almondshift.adapters.http_front import base
from almondshift.model import completions
from almondshift.model import fleet
from almondshift.ports import gateway

if TYPE_CHECKING:
    from collections.abc import Mapping

DONE = b"data: [DONE]\n\n"

RETRY_AFTER_DEADLINE_S = 1.0
"""Retry-After, in seconds, if the request may still run at its deadline."""


class CompletionsHandler(base.BodyHandler):
    """Runs completions."""

    stream: gateway.CompletionStream | None = None

    async def post(self) -> None:
        """Responds with JSON, or with server-sent events if streaming."""
        request = self._request()
        admission = gateway.Admission(
            request.request_id,
            request.service,
            request.max_tokens,
            request.deadline,
        )
        await self.run_admitted(admission, lambda: self._serve_in_time(request))

    async def _serve_in_time(
        self, request: completions.CompletionRequest
    ) -> None:
        """Ends the work at the deadline, wherever it is waiting.

        One timer per request covers queue, engines and a slow caller; timers
        for each step would cost more than the steps themselves.
        """
        left = request.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(left):
                await self._serve(request)
        except TimeoutError:
            self._end_at_deadline(request)

    def _end_at_deadline(self, request: completions.CompletionRequest) -> None:
        """Sends the error response at the deadline.

        If the caller has not accepted all bytes, the connection is closed:
        the stream then has no end, so it can't be mistaken for a complete one.
        """
        error = _deadline_error(request, self.stream)
        if self.stream is not None:
            self.stream.close()
        if not self._headers_written:
            raise error
        if self._has_unsent_bytes():
            if self.record is not None:
                self.record.failed(error)
            self._drop_connection()
            return
        self._write_error_event(error)

    def _has_unsent_bytes(self) -> bool:
        stream = getattr(self.request.connection, "stream", None)
        return stream is not None and stream.writing()

    async def _serve(self, request: completions.CompletionRequest) -> None:
        match await self.node.complete(request):
            case expression.Result(tag="ok", ok=stream):
                self.stream = stream
            case expression.Result(error=error):
                raise error
        if request.stream:
            await self._respond_streamed(request, stream)
        else:
            await self._respond_whole(request, stream)

    def end_early(self) -> None:
        """Closes the stream, then responds if the caller is connected."""
        if self.stream is not None:
            self.stream.close()
        super().end_early()

    def write_final(self, error: errors.AlmondshiftError) -> None:
        """Responds with a problem, or with an error event in a stream."""
        if self._headers_written:
            self._write_error_event(error)
        else:
            self.write_problem(error)

    def _request(self) -> completions.CompletionRequest:
        account = self.account()
        deadline = self.deadline()
        match completion_body.parse(self.body()):
            case expression.Result(tag="ok", ok=body):
                pass
            case expression.Result(error=error):
                raise error
        self.begin_record(account.name, body.model)
        service = self._service(body.model, account)
        prompt = self._prompt(body, service)
        return completions.CompletionRequest(
            request_id=self.request_id,
            account=account.name,
            service=service.name,
            prompt=prompt,
            max_tokens=body.max_tokens,
            priority=service.priority,
            deadline=deadline,
            idempotent=service.idempotent,
            idempotency_key=self._key_for(service),
            stream=body.stream,
        )

    def _service(self, name: str, account: fleet.Account) -> fleet.Service:
        found = self.known_fleet().services.get(name)
        allowed = not account.services or name in account.services
        if found is None or not allowed:
            raise errors.UnknownService(f"There is no service {name!r}.")
        if found.kind is not fleet.ServiceKind.MODEL:
            raise errors.UnknownService(
                f"Service {name!r} does not serve completions.",
                remedy=f"Call it under /v1/services/{name}/.",
            )
        return found

    def _prompt(
        self, body: completion_body.CompletionBody, service: fleet.Service
    ) -> tuple[int, ...]:
        if isinstance(body.prompt, str):
            prompt = self.context.tokenizer.encode(body.prompt)
        else:
            prompt = tuple(body.prompt)
        if len(prompt) > service.max_prompt_tokens:
            raise errors.PromptTooLong(
                f"The prompt has {len(prompt)} tokens; "
                f"{service.max_prompt_tokens} are allowed."
            )
        if body.max_tokens > service.max_output_tokens:
            raise errors.MalformedRequest(
                f"Field max_tokens: at most {service.max_output_tokens} "
                "are allowed."
            )
        return prompt

    def _key_for(self, service: fleet.Service) -> str:
        key = self.idempotency_key()
        if not service.idempotent and not key:
            raise errors.IdempotencyKeyRequired(
                f"Service {service.name!r} is not idempotent."
            )
        return key

    async def _respond_whole(
        self,
        request: completions.CompletionRequest,
        stream: gateway.CompletionStream,
    ) -> None:
        async with contextlib.aclosing(stream.tokens()) as source:
            tokens = [self._record_token(token) async for token in source]
        self._record_end(stream)
        response = self._chunk(request, tuple(tokens), "length")
        response["usage"] = _usage(request, len(tokens))
        response["almondshift"] = _details(stream)
        await self.finish(response)

    async def _respond_streamed(
        self,
        request: completions.CompletionRequest,
        stream: gateway.CompletionStream,
    ) -> None:
        count = 0
        try:
            async with contextlib.aclosing(stream.tokens()) as source:
                async for token in source:
                    if count == 0:
                        self._begin_events()
                    count += 1
                    self._record_token(token)
                    event = self._chunk(request, (token,), None)
                    await self._send(request, event)
        except errors.AlmondshiftError as error:
            if count == 0:
                raise
            self._write_error_event(error)
            return
        self._record_end(stream)
        last = self._chunk(request, (), "length")
        last["usage"] = _usage(request, count)
        last["almondshift"] = _details(stream)
        await self._send(request, last)
        await self.finish(DONE)

    def _record_token(self, token: int) -> int:
        if self.record is not None:
            self.record.token()
        return token

    def _record_end(self, stream: gateway.CompletionStream) -> None:
        if self.record is not None:
            self.record.answered(stream.summary().recoveries)

    def _begin_events(self) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")

    async def _send(
        self, request: completions.CompletionRequest, event: Mapping[str, Any]
    ) -> None:
        """Writes an event and waits until it was written to the socket.

        Otherwise a stalled caller would fill the node's memory with tokens.
        Waiting here applies backpressure until the deadline ends the request.
        """
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
        try:
            await self.flush()
        except tornado.iostream.StreamClosedError:
            raise asyncio.CancelledError from None

    def _drop_connection(self) -> None:
        """Closes without an end marker: the caller sees a truncated stream."""
        connection = self.request.connection
        stream = getattr(connection, "stream", None)
        if stream is not None:
            stream.close()

    def _write_error_event(self, error: errors.AlmondshiftError) -> None:
        error.execution = errors.Execution.RAN
        if self.record is not None:
            self.record.failed(error)
        problem = problems.describe(error, self.request_id)
        self.write(
            b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
        )
        self.finish()

    def _chunk(
        self,
        request: completions.CompletionRequest,
        tokens: tuple[int, ...],
        finish_reason: str | None,
    ) -> dict[str, Any]:
        choice = {
            "index": 0,
            "text": self.context.tokenizer.decode(tokens),
            "tokens": list(tokens),
            "finish_reason": finish_reason,
        }
        return {
            "id": request.request_id,
            "object": "text_completion",
            "model": request.service,
            "choices": [choice],
        }


def _deadline_error(
    request: completions.CompletionRequest,
    stream: gateway.CompletionStream | None,
) -> errors.AlmondshiftError:
    """Returns the error of a request whose deadline passed.

    A non-idempotent request runs to completion before there is a stream, and
    continues after this response. If it reported "not run", the caller would
    retry with a new key, and the request would run twice.
    """
    if stream is not None:
        return errors.DeadlineExceeded(
            "The deadline passed.", execution=stream.execution()
        )
    if request.idempotent:
        return errors.DeadlinePast("The deadline passed in the queue.")
    return errors.OutcomeUnknown(
        "The deadline passed; the request may be running.",
        remedy="Retry with the same Idempotency-Key.",
        retry_after_s=RETRY_AFTER_DEADLINE_S,
    )


def _usage(
    request: completions.CompletionRequest, count: int
) -> dict[str, int]:
    return {
        "prompt_tokens": len(request.prompt),
        "completion_tokens": count,
        "total_tokens": len(request.prompt) + count,
    }


def _details(stream: gateway.CompletionStream) -> dict[str, Any]:
    summary = stream.summary()
    chain = stream.chain()
    return {
        "version": chain.version if chain else None,
        "stages": [dataclasses.asdict(t) for t in summary.timings],
        "recoveries": [dataclasses.asdict(r) for r in summary.recoveries],
    }
