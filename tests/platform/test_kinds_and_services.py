"""Routes of each kind, on services with and without model engines."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.platform import standin_engines
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from almondshift.daemons import relay

ROUTES = [
    system.route(
        "talk",
        "/talk/",
        "streaming",
        system.PLAIN_SERVICE,
        canResume=True,
        maxAttempts=2,
    ),
    system.route("say", "/say/", "streaming", system.PLAIN_SERVICE),
    system.route("find", "/find/", "safe", system.MODEL_SERVICE, maxAttempts=2),
    system.route("act", "/act/", "unsafe", system.MODEL_SERVICE),
]

CHUNKED = standin_engines.Framing.CHUNKED
LENGTH = standin_engines.Framing.LENGTH
CLOSE = standin_engines.Framing.CLOSE

EVENT = standin_engines.event(3)

CUTS = {
    "before the event": 0,
    "in a field": 1,
    "after a line": EVENT.index(b"\n") + 1,
    "in the data": len(EVENT) - 4,
    "after one line feed": len(EVENT) - 1,
}

BODIES = {
    "one line": b"done",
    "JSON": b'{"done": true}',
    "paragraphs": b"one\n\ntwo\n\n",
    "empty": b"",
    "long": b"x" * 2_000_000,
}


@contextlib.asynccontextmanager
async def running_routes(nodes: int = 1) -> AsyncIterator[system.StandinSystem]:
    """Runs a system with a route of each kind on each kind of service."""
    async with system.running_system(nodes=nodes) as running:
        routes = [*system.config()["routes"], *ROUTES]
        config = system.config(2, routes=routes)
        running.store.put("op", "config", config)
        await running.until(lambda: all(map(has_routes, running.nodes)))
        yield running


def has_routes(process: relay.RelayProcess) -> bool:
    config = process.node.catalogue.config
    return config is not None and config.version == 2


def plain_endpoints(
    running: system.StandinSystem,
) -> list[standin_engines.StandinEngine]:
    return [running.engines["pa"], running.engines["pb"]]


async def ask(
    running: system.StandinSystem, path: str, request_id: str, **fields: str
) -> tuple[int, dict[str, str], bytes]:
    entry = running.nodes[0].settings.entry.address
    head = system.request(path, request_id, **fields)
    return await system.send(entry, head, b"question")


@pytest.mark.parametrize("framing", [CHUNKED, LENGTH, CLOSE])
@pytest.mark.parametrize("cut", CUTS)
def test_a_stream_of_a_plain_service_that_is_cut_is_resumed(
    cut: str, framing: standin_engines.Framing
) -> None:
    """Guards against a stream that looks complete without its last events."""

    async def scenario() -> None:
        async with running_routes() as running:
            for endpoint in plain_endpoints(running):
                endpoint.framing = framing
            faulty = running.engines["pa"]
            faulty.cut_event = (3, CUTS[cut])
            if framing is CLOSE and cut == "before the event":
                faulty.cut_event = (3, 1)
            responses = await asyncio.gather(
                *(ask(running, "/talk/x", f"r{n}") for n in range(8))
            )
            assert faulty.ran
            for status, _, body in responses:
                assert status == 200
                assert whole.tokens(body) == whole.WHOLE

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", [CHUNKED, LENGTH, CLOSE])
@pytest.mark.parametrize("event", [1, 3])
def test_a_stream_of_a_plain_service_that_may_not_repeat_is_cut(
    framing: standin_engines.Framing, event: int
) -> None:
    """Guards against a cut stream that is passed on as complete."""

    async def scenario() -> None:
        async with running_routes() as running:
            for endpoint in plain_endpoints(running):
                endpoint.framing = framing
                endpoint.cut_event = (event, 5)
            status, _, body = await ask(running, "/say/x", "r1")
            assert status == (502 if event == 1 else 0)
            assert b"token 3" not in body
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())


def test_events_of_a_plain_service_are_passed_on_as_they_arrive() -> None:
    """Guards against streams that reach callers only when they are complete."""

    async def scenario() -> None:
        async with running_routes() as running:
            for endpoint in plain_endpoints(running):
                endpoint.framing = CLOSE
                endpoint.gap_s = 0.1
            entry = running.nodes[0].settings.entry.address
            host, _, port = entry.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = [*system.request("/talk/x", "r1"), "Content-Length: 0"]
            writer.write("\r\n".join([*head, "", ""]).encode())
            async with asyncio.timeout(1.0):
                await reader.readuntil(b"token 1\n\n")
            writer.close()

    asyncio.run(scenario())


def test_a_stream_leaves_a_silent_plain_endpoint() -> None:
    """Guards against streams that hang with their endpoint."""

    async def scenario() -> None:
        async with running_routes() as running:
            for endpoint in plain_endpoints(running):
                endpoint.framing = CHUNKED
            running.engines["pa"].gap_s = 60.0
            responses = await asyncio.gather(
                *(ask(running, "/talk/x", f"r{n}") for n in range(4))
            )
            assert running.engines["pa"].ran
            for status, _, body in responses:
                assert status == 200
                assert whole.tokens(body) == whole.WHOLE

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "times", "status"), [("/talk/x", 2, 500), ("/say/x", 1, 500)]
)
def test_a_failed_stream_of_a_plain_service_repeats_if_it_may(
    path: str, times: int, status: int
) -> None:
    """Guards against repeats beyond a route's kind after an error response."""

    async def scenario() -> None:
        async with running_routes() as running:
            for endpoint in plain_endpoints(running):
                endpoint.status = status
            found, _, _ = await ask(running, path, "r1")
            assert found == status
            assert whole.times_run(running, "r1") == times

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/find/x", "/act/x"])
@pytest.mark.parametrize("body", BODIES)
def test_a_response_of_model_engines_is_passed_on_unchanged(
    path: str, body: str
) -> None:
    """Guards against responses that are cut since they are no stream."""

    async def scenario() -> None:
        async with running_routes() as running:
            for engine in running.engines.values():
                engine.whole_body = BODIES[body]
            status, fields, found = await ask(running, path, "r1")
            assert status == 200
            assert fields["x-engine-signature"].startswith("sig-")
            assert found == BODIES[body]
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(("path", "times"), [("/find/x", 2), ("/act/x", 1)])
def test_a_failure_of_model_engines_repeats_only_idempotent_requests(
    path: str, times: int
) -> None:
    """Guards against requests that run twice over paths."""

    async def scenario() -> None:
        async with running_routes() as running:
            for engine in running.engines.values():
                engine.whole_body = b"failed"
                engine.status = 500
            status, _, body = await ask(running, path, "r1")
            assert (status, body) == (500, b"failed")
            assert whole.times_run(running, "r1") == times

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/chat/x", whole.WHOLE),
        ("/talk/x", whole.WHOLE),
        ("/find/x", b"answer"),
        ("/look/x", b"done question"),
    ],
)
def test_a_peer_serves_each_kind_of_route_on_each_kind_of_service(
    path: str, expected: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that only the node of their caller can serve."""

    async def scenario() -> None:
        async with running_routes(nodes=2) as running:
            await running.wait_for_peers()
            for endpoint in plain_endpoints(running):
                endpoint.framing = CLOSE if path == "/talk/x" else None
            if path == "/find/x":
                for engine in running.engines.values():
                    engine.whole_body = b"answer"
            shared = running.nodes[0].node.shared
            isolated = [
                shared.links.of(service)
                for service in (system.MODEL_SERVICE, system.PLAIN_SERVICE)
            ]
            monkeypatch.setattr(
                type(isolated[0]),
                "is_isolated",
                property(lambda links: links in isolated),
            )
            status, _, body = await ask(running, path, "r1")
            assert status == 200
            served = shared.observer.registry.get_sample_value(
                "almondshift_relay_via_peers_total", {"outcome": "answered"}
            )
            assert served == 1
            found: Any = body
            if isinstance(expected, list):
                found = whole.tokens(body)
            assert found == expected
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", [CHUNKED, CLOSE])
def test_a_begun_stream_without_ids_is_not_resumed(
    framing: standin_engines.Framing,
) -> None:
    """Guards against events that reach the caller twice."""

    async def scenario() -> None:
        async with running_routes() as running:
            for endpoint in plain_endpoints(running):
                endpoint.framing = framing
                endpoint.numbers_events = False
                endpoint.cut_event = (3, 1)
            status, _, _ = await ask(running, "/talk/x", "r1")
            assert status == 0
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())
