"""Base handlers: bodies, keys, deadlines and problem responses."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import Any
import uuid

import expression
import tornado.iostream
import tornado.web

from almondshift import errors
from almondshift.adapters import problems

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from almondshift.adapters import request_observer
    from almondshift.adapters.http_front import contexts
    from almondshift.model import fleet
    from almondshift.ports import gateway

DEFAULT_BODY_LIMIT_BYTES = 1_000_000
DEFAULT_DEADLINE_MS = 60_000
MAX_DEADLINE_MS = 3_600_000
MAX_DISCARDED_BYTES = 8_000_000
"""Bytes over the limit that are still read and discarded: closing a connection
with unread bytes resets it, and the caller would lose the error response.
Beyond this limit the connection is closed anyway."""

BEARER = "Bearer "
MAX_KEY_LENGTH = 200
INTERNAL = 500

logger = logging.getLogger(__name__)


class BaseHandler(tornado.web.RequestHandler):
    """Responds to every failure with a typed problem, never a traceback."""

    def initialize(self, context: contexts.FrontContext) -> None:
        """Stores the shared context and the request's time of arrival."""
        self.context = context
        self.node = context.node
        self.clock = context.clock
        self.request_id = uuid.uuid4().hex
        self.arrived = self.clock.monotonic()
        self.record: request_observer.RequestRecord | None = None

    def set_default_headers(self) -> None:
        """Removes the ``Server`` header."""
        self.clear_header("Server")

    def prepare(self) -> Awaitable[None] | None:
        """Adds the request id to every response."""
        self.set_header(problems.REQUEST_ID_HEADER, self.request_id)
        return None

    def known_fleet(self) -> fleet.Fleet:
        """Returns the active configuration."""
        found = self.node.current_fleet()
        if found is None:
            raise errors.ServiceNotReady(
                "The node has no configuration yet.", retry_after_s=1.0
            )
        return found

    def account(self) -> fleet.Account:
        """Returns the client account whose key was sent."""
        header = self.request.headers.get("Authorization", "")
        if not header.startswith(BEARER) or len(header) == len(BEARER):
            raise errors.MissingKey("The request has no bearer key.")
        self.known_fleet()
        found = self.node.account_of(header[len(BEARER) :].strip())
        if found is None:
            raise errors.WrongKey("The bearer key belongs to no account.")
        return found

    def deadline(self) -> float:
        """Returns the monotonic time by which the caller needs a response."""
        header = self.request.headers.get("Request-Deadline")
        if header is None:
            return self.arrived + DEFAULT_DEADLINE_MS / 1000
        try:
            allowed = int(header)
        except ValueError:
            raise errors.MalformedRequest(
                "Request-Deadline is not an integer in milliseconds."
            ) from None
        if allowed <= 0:
            raise errors.DeadlinePast("Request-Deadline is already past.")
        return self.arrived + min(allowed, MAX_DEADLINE_MS) / 1000

    def idempotency_key(self) -> str:
        """Returns the request's ``Idempotency-Key``, or an empty string."""
        key = self.request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY_LENGTH:
            raise errors.MalformedRequest(
                f"Idempotency-Key is over {MAX_KEY_LENGTH} characters."
            )
        return key

    def begin_record(self, account: str, service: str) -> None:
        """Opens the record of this request."""
        self.record = self.context.observer.begin(
            self.request_id, account, service, self.arrived
        )

    def write_problem(self, error: BaseException) -> None:
        """Responds with a problem, discarding any prepared response."""
        if self.record is not None:
            self.record.failed(_to_typed_error(error))
        problem = problems.render(error, self.request_id)
        self.clear()
        self.set_status(problem.status)
        for name, value in problem.headers.items():
            self.set_header(name, value)
        self.finish(problem.body)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Renders an exception of a handler."""
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None
        if isinstance(error, tornado.web.HTTPError):
            error = _error_for_status(status_code)
        if error is None:
            error = _error_for_status(status_code)
        if self._headers_written:
            self.finish()
            return
        self.write_problem(error)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs only unexpected exceptions."""
        expected = (
            errors.AlmondshiftError,
            tornado.web.HTTPError,
            tornado.iostream.StreamClosedError,
        )
        if isinstance(value, expected):
            return
        logger.error("request %s failed", self.request_id, exc_info=value)


@tornado.web.stream_request_body
class BodyHandler(BaseHandler):
    """A handler that accepts a body of limited size.

    The limit is enforced here, since the server's own limit would respond
    with an empty 400 and close, which doesn't tell the caller the reason.
    """

    work: asyncio.Future[None] | None = None
    leaving_error: errors.NodeLeaving | None = None

    def prepare(self) -> Awaitable[None] | None:
        """Rejects a body whose Content-Length is over the limit.

        The rejection is immediate if the caller sent ``Expect`` and waits
        before it sends the body, or if the body is too long to discard;
        otherwise it follows once the body has been read.
        """
        super().prepare()
        self.chunks: list[bytes] = []
        self.received = 0
        found = self.node.current_fleet()
        self.limit = (
            found.body_limit_bytes if found else DEFAULT_BODY_LIMIT_BYTES
        )
        expects_continue = "Expect" in self.request.headers
        allowed = (
            self.limit if expects_continue else self.limit + MAX_DISCARDED_BYTES
        )
        if self._content_length() > allowed:
            raise self._too_large()
        return None

    def _content_length(self) -> int:
        length = self.request.headers.get("Content-Length", "0")
        return int(length) if length.isascii() and length.isdigit() else 0

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Stores a part of the body, up to the limit."""
        self.received += len(chunk)
        if (
            self.received > self.limit + MAX_DISCARDED_BYTES
            and not self._finished
        ):
            self.write_problem(self._too_large())
            return None
        if self.received <= self.limit:
            self.chunks.append(chunk)
        return None

    async def run_admitted(
        self, admission: gateway.Admission, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a request's work, unless the node is draining.

        The work is cancelled when the caller disconnects, or when the node
        closes before the request has ended.
        """
        match self.node.begin(admission, self._cancel_for_leaving):
            case expression.Result(tag="ok"):
                pass
            case expression.Result(error=error):
                raise error
        self.work = asyncio.ensure_future(work())
        try:
            await self.work
        except asyncio.CancelledError:
            self.end_early()
        finally:
            self.node.end(self.request_id)

    def on_connection_close(self) -> None:
        """Cancels the work when the caller disconnects."""
        if self.work is not None:
            self.work.cancel()

    def end_early(self) -> None:
        """Sends the final error, or records that the caller disconnected."""
        if self.leaving_error is not None:
            self.write_final(self.leaving_error)
        elif self.record is not None:
            self.record.abandoned()

    def write_final(self, error: errors.AlmondshiftError) -> None:
        """Responds with an error; overridden for streams."""
        self.write_problem(error)

    def _cancel_for_leaving(self, error: errors.NodeLeaving) -> None:
        self.leaving_error = error
        if self.work is not None:
            self.work.cancel()

    def body(self) -> bytes:
        """Returns the whole body."""
        if self.received > self.limit:
            raise self._too_large()
        return b"".join(self.chunks)

    def _too_large(self) -> errors.BodyTooLarge:
        return errors.BodyTooLarge(
            f"The body is over the limit of {self.limit} bytes."
        )


class NotFoundHandler(BaseHandler):
    """Responds to requests for unknown paths."""

    def prepare(self) -> Awaitable[None] | None:
        """Rejects the request."""
        raise tornado.web.HTTPError(404)


def _to_typed_error(error: BaseException) -> errors.AlmondshiftError:
    if isinstance(error, errors.AlmondshiftError):
        return error
    return _error_for_status(INTERNAL)


def _error_for_status(status: int) -> errors.AlmondshiftError:
    if status >= INTERNAL:
        return errors.AlmondshiftError(
            "The node failed while it handled the request.",
            execution=errors.Execution.UNKNOWN,
        )
    error = errors.MalformedRequest(
        "The path or method is not served here.",
        remedy="See the callers' page for the paths and methods.",
    )
    error.status = status  # type: ignore[misc]
    return error
