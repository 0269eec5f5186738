"""Renders typed errors as ``application/problem+json``."""

from __future__ import annotations

import dataclasses
import json
import math
from typing import Any

from almondshift import errors

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:almondshift:problem:"
REQUEST_ID_HEADER = "X-Request-Id"
INTERNAL_DETAIL = "The node failed while it handled the request."
UNAUTHORIZED = 401
MAX_RETRY_AFTER_S = 3600


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A response to send: status, headers and a JSON body."""

    status: int
    headers: dict[str, str]
    body: bytes


def render(error: BaseException, request_id: str) -> Problem:
    """Renders an error; the details of an untyped exception are hidden.

    For an untyped exception it is unknown whether the request ran.
    """
    if not isinstance(error, errors.AlmondshiftError):
        error = errors.AlmondshiftError(
            INTERNAL_DETAIL, execution=errors.Execution.UNKNOWN
        )
    body = json.dumps(describe(error, request_id)).encode()
    return Problem(error.status, _headers(error, request_id), body)


def describe(error: errors.AlmondshiftError, request_id: str) -> dict[str, Any]:
    """Returns the members of the JSON object, also used for SSE events.

    Keys: type, title, status, detail, kind, execution, remedy, request_id;
    retry_after_s (whole seconds) where a retry makes sense; section and key
    for an invalid configuration.
    """
    described: dict[str, Any] = {
        "type": TYPE_PREFIX + error.kind,
        "title": error.kind.replace("_", " ").capitalize(),
        "status": error.status,
        "detail": error.detail,
        "kind": error.kind,
        "execution": error.execution.value,
        "remedy": error.remedy,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        described["retry_after_s"] = round_up_seconds(error.retry_after_s)
    if isinstance(error, errors.ConfigInvalid):
        described["section"] = error.section
        described["key"] = error.key
    return described


def round_up_seconds(seconds: float) -> int:
    """Rounds up to at least one, so that no caller retries too early."""
    if not seconds < MAX_RETRY_AFTER_S:
        return MAX_RETRY_AFTER_S
    return math.ceil(max(1.0, seconds))


def _headers(error: errors.AlmondshiftError, request_id: str) -> dict[str, str]:
    headers = {
        "Content-Type": CONTENT_TYPE,
        "Cache-Control": "no-store",
        REQUEST_ID_HEADER: request_id,
    }
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(round_up_seconds(error.retry_after_s))
    if error.status == UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    return headers
