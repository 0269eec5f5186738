"""The operators' HTTP API, on top of ``ports.operations``.

``GET /v1/admin/config[?version=N]``, ``POST /v1/admin/config``,
``GET /v1/admin/config/history?limit=N``, ``GET /v1/admin/status`` and
``GET /v1/admin/burn``. All use JSON and require the operators' secret.
"""

from __future__ import annotations

import dataclasses
import json
import logging
from typing import TYPE_CHECKING
from typing import Any
import uuid

import pydantic
import tornado.web

from almondshift import errors
from almondshift import log_events
from almondshift.adapters import problems

if TYPE_CHECKING:
    from almondshift.adapters import keys
    from almondshift.ports import operations

BEARER = "Bearer "
DEFAULT_LIMIT = 20
MAX_LIMIT = 500
MAX_REQUEST_ID_LENGTH = 128

logger = logging.getLogger(__name__)


class ApplyBody(pydantic.BaseModel):
    """The body of ``POST /v1/admin/config``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    text: str
    base: int = pydantic.Field(ge=0)
    change_id: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    author: str = pydantic.Field(min_length=1, max_length=200)


class OperatorHandler(tornado.web.RequestHandler):
    """Base class that checks the secret and renders errors."""

    calls: operations.Operations
    secret: keys.Secret
    request_id: str

    def initialize(
        self, operations: operations.Operations, secret: keys.Secret
    ) -> None:
        """Stores the arguments that tornado passes from the routes."""
        self.calls = operations
        self.secret = secret

    def prepare(self) -> None:
        """Rejects a request without the operators' secret."""
        self.request_id = request_id_of(self.request.headers)
        self.set_header(problems.REQUEST_ID_HEADER, self.request_id)
        header = self.request.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            raise errors.MissingKey(
                "The operators' secret was not sent.",
                remedy="Send 'Authorization: Bearer SECRET'; see the file "
                "in [operators] secret_file.",
            )
        if not self.secret.matches(header.removeprefix(BEARER).strip()):
            raise errors.WrongKey(
                "The operators' secret is wrong.",
                remedy="Use the secret in [operators] secret_file.",
            )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Renders an exception of a handler, without a traceback."""
        raised = kwargs.get("exc_info", (None, None, None))[1]
        error = self._to_typed_error(status_code, raised)
        problem = problems.render(error, self.request_id)
        self.set_status(problem.status)
        for name, value in problem.headers.items():
            self.set_header(name, value)
        self.finish(problem.body)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs only unexpected exceptions; callers receive typed errors."""
        known = (errors.AlmondshiftError, tornado.web.HTTPError)
        if isinstance(value, known):
            return
        event = log_events.RequestInternalError(self.request_id, repr(value))
        log_events.emit(logger, event)

    def send_json(self, value: Any) -> None:
        """Sends a JSON value."""
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", "no-store")
        self.finish(json.dumps(value))

    def integer_argument(self, name: str) -> int | None:
        """Returns a query argument, or None if it was not sent."""
        argument = self.get_query_argument(name, None)
        if argument is None:
            return None
        if not (
            argument.isascii() and argument.isdigit() and len(argument) < 16
        ):
            raise errors.MalformedRequest(
                f"The query argument {name} is not an integer."
            )
        return int(argument)

    def _to_typed_error(
        self, status_code: int, raised: BaseException | None
    ) -> BaseException:
        if isinstance(raised, tornado.web.HTTPError):
            return errors.MalformedRequest(
                f"The request was refused with status {status_code}.",
                remedy="See the operators' page for the available calls.",
            )
        return raised or RuntimeError(problems.INTERNAL_DETAIL)


class ConfigHandler(OperatorHandler):
    """``/v1/admin/config``."""

    async def get(self) -> None:
        """Sends the requested version, or the one active on this node."""
        version = self.integer_argument("version")
        shown = await self.calls.show_config(version)
        self.send_json(dataclasses.asdict(_unwrap(shown)))

    async def post(self) -> None:
        """Proposes a configuration text."""
        body = _parse_body(self.request.body)
        applied = await self.calls.apply_config(
            body.text, body.base, body.change_id, body.author
        )
        self.send_json(dataclasses.asdict(_unwrap(applied)))


class HistoryHandler(OperatorHandler):
    """``/v1/admin/config/history``."""

    async def get(self) -> None:
        """Sends accepted versions, newest first."""
        limit = self.integer_argument("limit") or DEFAULT_LIMIT
        found = await self.calls.config_history(min(limit, MAX_LIMIT))
        versions = [dataclasses.asdict(v) for v in _unwrap(found)]
        self.send_json({"versions": versions})


class StatusHandler(OperatorHandler):
    """``/v1/admin/status``."""

    def get(self) -> None:
        """Sends this node's state."""
        self.send_json(self.calls.status())


class BurnHandler(OperatorHandler):
    """``/v1/admin/burn``."""

    def get(self) -> None:
        """Sends this node's counts of met and missed objectives."""
        self.send_json(self.calls.objective_counts())


def create_routes(
    operations: operations.Operations, secret: keys.Secret
) -> list[Any]:
    """Returns routes for a ``tornado.web.Application``."""
    handler_args = {"operations": operations, "secret": secret}
    return [
        (r"/v1/admin/config", ConfigHandler, handler_args),
        (r"/v1/admin/config/history", HistoryHandler, handler_args),
        (r"/v1/admin/status", StatusHandler, handler_args),
        (r"/v1/admin/burn", BurnHandler, handler_args),
    ]


def request_id_of(headers: Any) -> str:
    """Returns the sender's request id if it is printable, or a new one."""
    sent: str = headers.get(problems.REQUEST_ID_HEADER, "")
    fits = 0 < len(sent) <= MAX_REQUEST_ID_LENGTH
    if fits and sent.isascii() and sent.isprintable():
        return sent
    return uuid.uuid4().hex


def _parse_body(body: bytes) -> ApplyBody:
    try:
        return ApplyBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        fault = error.errors(include_url=False)[0]
        location = ".".join(str(part) for part in fault["loc"]) or "body"
        raise errors.MalformedRequest(f"{location}: {fault['msg']}.") from error


def _unwrap(result: Any) -> Any:
    if result.is_ok():
        return result.ok
    raise result.error
