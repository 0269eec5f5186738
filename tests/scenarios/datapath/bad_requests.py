"""Requests that a node must refuse, by their names in feature files."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING
from typing import Any

from tornado import httpclient

from tests.faults import systems

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

COMPLETIONS = "/v1/completions"
PORTAL = "/v1/services/portal/pause"
OVERSIZE_BODY_BYTES = 1_000_001
CHUNK = b" " * 50_000
NO_ANSWER = 599
ENDLESS_CHUNKS = 1_000
TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class BadRequest:
    """A raw request.

    Attributes:
        chunks: Chunks sent after ``body``; if set, without Content-Length.
    """

    path: str = COMPLETIONS
    method: str = "POST"
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    key: str = systems.KEY
    chunks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RawAnswer:
    """A raw response."""

    status: int
    content_type: str
    body: bytes

    @property
    def problem(self) -> dict[str, Any]:
        """The problem object."""
        found: dict[str, Any] = json.loads(self.body)
        return found


def completion(**changes: Any) -> bytes:
    """Returns a valid body with the given changes."""
    body = {"model": "chat", "prompt": [1, 2, 3], "max_tokens": 4}
    return json.dumps({**body, **changes}).encode()


VALID_COMPLETION = completion()

BAD_REQUESTS = {
    "no key": BadRequest(body=VALID_COMPLETION, key=""),
    "a wrong key": BadRequest(body=VALID_COMPLETION, key="no-such-key"),
    "half a JSON object": BadRequest(body=VALID_COMPLETION[:-5]),
    "a body that is no JSON": BadRequest(body=b"\xff\xfe\x00"),
    "an empty body": BadRequest(body=b""),
    "a JSON list": BadRequest(body=b"[]"),
    "a deeply nested body": BadRequest(body=b"[" * 100_000),
    "no prompt": BadRequest(body=b'{"model": "chat"}'),
    "an empty prompt": BadRequest(body=completion(prompt=[])),
    "a prompt of words and numbers": BadRequest(body=completion(prompt=["a"])),
    "a negative token": BadRequest(body=completion(prompt=[-1])),
    "a prompt over the limit": BadRequest(body=completion(prompt=[1] * 5000)),
    "a text over the limit": BadRequest(body=completion(prompt="x" * 5000)),
    "no tokens wanted": BadRequest(body=completion(max_tokens=0)),
    "too many tokens wanted": BadRequest(body=completion(max_tokens=10**6)),
    "an unknown service": BadRequest(body=completion(model="nobody")),
    "a plain service by completion": BadRequest(
        body=completion(model="portal")
    ),
    "a model service by path": BadRequest(path="/v1/services/chat/x"),
    "an unknown plain service": BadRequest(path="/v1/services/nobody/x"),
    "a body over the limit": BadRequest(body=b" " * OVERSIZE_BODY_BYTES),
    "a chunked body over the limit": BadRequest(
        body=VALID_COMPLETION, chunks=21
    ),
    "a body that has no end": BadRequest(
        body=VALID_COMPLETION, chunks=ENDLESS_CHUNKS
    ),
    "a plain body over the limit": BadRequest(
        path=PORTAL,
        headers={"Idempotency-Key": "k1"},
        body=b" " * OVERSIZE_BODY_BYTES,
    ),
    "no Idempotency-Key for a completion": BadRequest(
        body=completion(model="once")
    ),
    "no Idempotency-Key for a call": BadRequest(path=PORTAL, body=b"{}"),
    "an Idempotency-Key that is too long": BadRequest(
        path=PORTAL, headers={"Idempotency-Key": "k" * 201}, body=b"{}"
    ),
    "a deadline that is past": BadRequest(
        headers={"Request-Deadline": "0"}, body=VALID_COMPLETION
    ),
    "a deadline before 1970": BadRequest(
        headers={"Request-Deadline": "-5"}, body=VALID_COMPLETION
    ),
    "a deadline that is no number": BadRequest(
        headers={"Request-Deadline": "soon"}, body=VALID_COMPLETION
    ),
    "a past deadline for a call": BadRequest(
        path=PORTAL,
        headers={"Idempotency-Key": "k2", "Request-Deadline": "0"},
        body=b"{}",
    ),
    "a path that is not served": BadRequest(path="/v2/completions"),
    "a method that is not served": BadRequest(method="GET"),
    "a service without endpoints": BadRequest(
        path="/v1/services/nowhere/x", body=b"{}"
    ),
    "a service that depends on it": BadRequest(body=completion(model="orphan")),
}

EXTRA_SERVICES = """
[service slip]
kind = plain
idempotent = no

[service nowhere]
kind = plain
idempotent = yes

[service orphan]
kind = model
model = m
depends_on = nowhere
"""


async def send(
    client: httpclient.AsyncHTTPClient, address: str, wanted: BadRequest
) -> RawAnswer:
    """Sends a request unmodified and returns the response."""
    headers = dict(wanted.headers)
    if wanted.key:
        headers["Authorization"] = f"Bearer {wanted.key}"
    request = httpclient.HTTPRequest(
        f"http://{address}{wanted.path}",
        method=wanted.method,
        headers=headers,
        allow_nonstandard_methods=True,
        request_timeout=TIMEOUT_S,
    )
    if wanted.chunks:
        request.body_producer = _producer(wanted)
    elif wanted.method != "GET":
        request.body = wanted.body
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, httpclient.HTTPError):
        return RawAnswer(NO_ANSWER, "", b"")
    return RawAnswer(
        response.code,
        response.headers.get("Content-Type", ""),
        response.body or b"",
    )


def _producer(wanted: BadRequest) -> Any:
    async def produce(write: Any) -> None:
        for part in _parts(wanted):
            await write(part)

    return produce


def _parts(wanted: BadRequest) -> Iterator[bytes]:
    yield wanted.body
    for _ in range(wanted.chunks):
        yield CHUNK
