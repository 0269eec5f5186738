from __future__ import annotations

import asyncio

import msgspec
import pytest

from almondshift import errors
from almondshift.adapters import http_engine
from tests import asynchronous
from tests.adapters import closing_servers
from tests.standins import rigs

RESULT = ("r", "s", 1, 0, 0, 4, "m", 1, "", "ok", (1, 2, 3))


def build_response(status: str, body: bytes = b"", length: int = 0) -> bytes:
    size = length or len(body)
    head = f"HTTP/1.1 {status}\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (build_response("200 OK", msgspec.msgpack.encode([RESULT])), None),
        (
            build_response("200 OK", msgspec.msgpack.encode([RESULT] * 2)),
            errors.EndpointOutcomeUnknown,
        ),
        (build_response("200 OK", b"{}"), errors.EndpointOutcomeUnknown),
        (build_response("200 OK", b"x", 9), errors.EndpointOutcomeUnknown),
        (build_response("500 Error"), errors.EndpointOutcomeUnknown),
        (build_response("503 Busy"), errors.EndpointOutcomeUnknown),
        (build_response("599 Other"), errors.EndpointOutcomeUnknown),
        (build_response("503 Busy\r\nX-Not-Run: 1"), errors.EndpointRefused),
        (build_response("400 Bad"), errors.EndpointRefused),
        (build_response("409 Conflict"), errors.EndpointOutcomeUnknown),
        (
            build_response("302 Found\r\nLocation: /elsewhere"),
            errors.EndpointOutcomeUnknown,
        ),
        (b"nonsense\r\n\r\n", errors.EndpointOutcomeUnknown),
        (b"", errors.EndpointOutcomeUnknown),
    ],
    ids=str,
)
@asynchronous.run
async def test_response_to_step(
    response: bytes, error: type[errors.AlmondshiftError] | None
) -> None:
    """Only an explicit refusal means that nothing ran; nothing is retried."""
    bodies = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        bodies.append(await closing_servers.read_request(reader))
        writer.write(response)
        writer.close()

    factory = http_engine.create_factory()
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        engine = factory.build("e1", f"127.0.0.1:{port}")
        await engine.start()
        outcome = await engine.step([rigs.make_item()], 5.0)
    await factory.close()

    assert len(bodies) == 1
    if error is None:
        assert outcome.ok[0].answers(rigs.make_item())
    else:
        assert isinstance(outcome.error, error)
