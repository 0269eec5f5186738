"""Nodes, store and engines over real sockets, as callers see them."""

from __future__ import annotations

import asyncio
import json
import re

import pytest

from almondshift.policy import engine_tracker
from tests.platform import standin_system as system

WHOLE = [f"token {number}" for number in range(1, 21)]


def tokens(body: bytes) -> list[str]:
    return re.findall(r"data: (token \d+)\n\n", body.decode())


async def chat(
    running: system.StandinSystem, request_id: str, node: int = 0, **fields: str
) -> tuple[int, dict[str, str], bytes]:
    entry = running.nodes[node].settings.entry.address
    head = system.request("/chat/x?q=1", request_id, **fields)
    return await system.send(entry, head, b"prompt")


def times_run(running: system.StandinSystem, request_id: str) -> int:
    return sum(e.ran.count(request_id) for e in running.engines.values())


def test_a_healthy_system_serves_all_kinds_of_requests() -> None:
    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            entry = running.nodes[1].settings.entry.address
            responses = await asyncio.gather(
                *(chat(running, f"r{n}", n % 2) for n in range(20))
            )
            for status, fields, body in responses:
                assert status == 200
                assert fields["x-engine-signature"].startswith("sig-")
                assert tokens(body) == WHOLE
            head = system.request("/once/x", "o1")
            status, fields, body = await system.send(entry, head, b"order")
            assert (status, body) == (200, b"done order")
            assert fields["x-request-id"] == "o1"
            assert times_run(running, "o1") == 1
            head = system.request("/look/x", "l1", method="GET")
            status, _, body = await system.send(entry, head)
            assert (status, body) == (200, b"done ")

    asyncio.run(scenario())


def test_endpoints_get_the_request_unchanged_and_without_the_key() -> None:
    async def scenario() -> None:
        async with system.running_system() as running:
            await chat(
                running, "r1", X_Tenant="forged", X_Hop_Count="1", X_A="b"
            )
            [engine] = [e for e in running.engines.values() if e.ran]
            [received_headers] = engine.received_headers
            assert engine.received_bodies == [b"prompt"]
            assert "Authorization" not in received_headers
            assert received_headers["X-Tenant"] == "account"
            assert received_headers["X-A"] == "b"
            assert received_headers["X-Expect-Instance"] == engine.instance
            assert 0 < int(received_headers["X-Deadline-Ms"]) <= 4000
            assert received_headers["X-Hop-Count"].startswith(
                engine.address + "=0-"
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        ("/none/x", {}, 404),
        ("/chat/x", {"Authorization": ""}, 401),
        ("/chat/x", {"Authorization": "Bearer other"}, 401),
        ("/chat/x", {"Host": "other.example"}, 404),
        ("/chat/x", {"X_Request_Id": ""}, 400),
        ("/chat/x", {"X_Deadline_Ms": "soon"}, 400),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused(
    path: str, fields: dict[str, str], status: int
) -> None:
    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            entry = running.nodes[0].settings.entry.address
            head = system.request(path, "r1", **fields)
            if "X_Request_Id" in fields:
                head = [line for line in head if "Request-Id" not in line]
            response = await system.send(entry, head, b"x")
            assert response[0] == status
            assert "x-engine-signature" not in response[1]
            assert json.loads(response[2])["remedy"]
            assert times_run(running, "r1") == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "head",
    [
        "POST /chat/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Content-Length: 5\r\n\r\nabcde",
        "POST /chat/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /chat/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST /chat/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n",
        "POST /chat/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n",
        "POST /chat/x HTTP/9.9\r\nbroken\r\n\r\n",
        "\x00\x01\x02\r\n\r\n",
        "GET /" + "a" * 70_000 + " HTTP/1.1\r\n\r\n",
    ],
    ids=range(8),
)
def test_malformed_requests_reach_no_endpoint(head: str) -> None:
    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            entry = running.nodes[0].settings.entry.address
            host, _, port = entry.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode("latin-1"))
            status, _, _ = await system.read_answer(reader)
            assert status in (0, 400)
            writer.close()
            assert all(not e.ran for e in running.engines.values())
            assert (await chat(running, "r1"))[0] == 200

    asyncio.run(scenario())


def test_the_directory_lists_the_serving_nodes() -> None:
    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            entries = {n.settings.entry.address for n in running.nodes}
            directory = running.nodes[0].settings.entry.directory_address

            async def resolve() -> set[str]:
                head = ["GET /resolve?name=h&zone=a HTTP/1.1", "Host: x"]
                _, _, body = await system.send(directory, head)
                return set(json.loads(body)["addresses"])

            async with asyncio.timeout(8):
                while await resolve() != entries:
                    await asyncio.sleep(0.05)
            leaving = running.nodes[1]
            stopping = asyncio.create_task(leaving.stop_gracefully())
            await running.until(lambda: leaving.node.gateway.leaving)
            await asyncio.sleep(0.1)
            assert await resolve() == entries - {leaving.settings.entry.address}
            head = ["GET /readyz HTTP/1.1", "Host: x"]
            ready = leaving.settings.entry.ready_address
            assert (await system.send(ready, head))[0] == 503
            await stopping

    asyncio.run(scenario())


def test_a_stopping_node_completes_its_streams() -> None:
    """Guards against a stream that is truncated by a planned stop.

    A stream is running when its node is asked to stop. It must complete, and a
    later request must be refused with a short Retry-After.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.gap_s = 0.05
            stream = asyncio.create_task(chat(running, "r1"))
            await running.until(lambda: times_run(running, "r1") == 1)
            process = running.nodes[0]
            stopping = asyncio.create_task(process.stop_gracefully())
            await asyncio.sleep(0.4)
            late = await chat(running, "late")
            assert late[0] == 503
            assert float(late[1]["retry-after"]) < 1
            assert times_run(running, "late") == 0
            assert tokens((await stream)[2]) == WHOLE
            await stopping

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("failed_position", "has_spare", "runs"),
    [("middle", True, 1), ("middle", False, 2), ("first", False, 2)],
)
def test_a_stream_continues_when_an_engine_falls_silent(
    failed_position: str, has_spare: bool, runs: int
) -> None:
    """Guards against a stream that stalls with a dead engine on its path.

    The engine stops without closing its connections. The first engine reports
    the one that it waits for, and the stream is moved if its zone has another
    engine with the layers. Otherwise, or if the first engine itself is silent,
    it is resumed in the other zone after the caller's last event. The caller
    must get each event once and in order before it gives up.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for zone in "ab" if has_spare else "":
                spare = await running.add_engine(
                    f"{zone}9", "model", zone, "big"
                )
                await running.until(lambda spare=spare: spare.layers)
                spare.layers = (20, 60)
                spare.on_change()
            for engine in running.engines.values():
                engine.gap_s = 0.05
            stream = asyncio.create_task(chat(running, "r1"))
            await running.until(lambda: times_run(running, "r1") == 1)
            await asyncio.sleep(0.2)
            [run] = running.nodes[0].node.shared.running
            path = run.attempt.path  # type: ignore[attr-defined]
            part = path[1] if failed_position == "middle" else path[0]
            running.cluster.engines[part.address].is_dead = True
            status, _, body = await stream
            assert status == 200
            assert tokens(body) == WHOLE
            assert times_run(running, "r1") == runs

    asyncio.run(scenario())


def test_a_stream_that_is_cut_within_an_event_resumes_before_it() -> None:
    """Guards against an event that mixes the output of two runs.

    The first engine closes the connection within an event. The partial event
    must be dropped, and another engine resumes after the last complete one.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.cut_after = 12
            status, _, body = await chat(running, "r1")
            assert status == 200
            assert tokens(body) == WHOLE
            assert body.count(b"da") == 20
            assert times_run(running, "r1") == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "method", "status", "runs"),
    [("/once/x", "POST", 502, 1), ("/look/x", "GET", 502, 2)],
)
def test_a_request_whose_response_is_lost_is_repeated_only_if_safe(
    path: str, method: str, status: int, runs: int
) -> None:
    """Guards against an order that runs twice or is reported as not run.

    Each endpoint runs the request and then closes without a response.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for name in ("pa", "pb"):
                running.engines[name].resets = True
            entry = running.nodes[0].settings.entry.address
            head = system.request(path, "r1", method=method)
            response = await system.send(entry, head, b"")
            assert response[0] == status
            assert times_run(running, "r1") == runs

    asyncio.run(scenario())


def test_a_disconnected_caller_cancels_its_request_at_once() -> None:
    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.events, engine.gap_s = 500, 0.05
            entry = running.nodes[0].settings.entry.address
            host, _, port = entry.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = [*system.request("/chat/x", "r1"), "Content-Length: 0"]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            await reader.readuntil(b"token 2")
            writer.close()
            await running.until(
                lambda: any(
                    "r1" in e.cancelled for e in running.engines.values()
                ),
                1.0,
            )
            assert not running.nodes[0].node.shared.running

    asyncio.run(scenario())


def test_routes_keep_their_time_limit() -> None:
    async def scenario() -> None:
        async with system.running_system() as running:
            for name in ("pa", "pb"):
                running.engines[name].response_delay_s = 3.0
            entry = running.nodes[0].settings.entry.address
            started = asyncio.get_running_loop().time()
            head = system.request("/once/x", "r1", X_Deadline_Ms="300")
            response = await system.send(entry, head, b"")
            assert response[0] == 504
            assert asyncio.get_running_loop().time() - started < 0.6

    asyncio.run(scenario())


def test_a_node_without_the_store_gets_the_configuration_from_its_peers() -> (
    None
):
    """Guards against a revoked key that still works at one node.

    One node can't reach the store when a new configuration revokes the key. It
    must get the configuration from its peer.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="a") as running:
            cut = running.nodes[1]
            await running.until(
                lambda: (
                    cut.node.group is not None
                    and bool(cut.node.group.serving())
                )
            )
            cut.store_pool.close()
            cut.node.feed.direct.address = "127.0.0.1:9"  # type: ignore[attr-defined]
            changed = system.config(
                2, tenants=[{"name": "account", "apiKeys": ["key-2"]}]
            )
            running.store.put("op", "config", changed)
            await running.until(
                lambda: (
                    cut.node.catalogue.config is not None
                    and cut.node.catalogue.config.version == 2
                )
            )
            assert (await chat(running, "r1", 1))[0] in (401, 503)
            assert times_run(running, "r1") == 0
            response = await chat(
                running, "r2", 1, Authorization="Bearer key-2"
            )
            assert response[0] == 200

    asyncio.run(scenario())


def test_a_draining_engine_gets_no_new_work() -> None:
    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            running.store.put(
                "servers",
                "pa",
                running.engines["pa"].entry("plain", "a", "draining"),
            )
            engines = running.nodes[0].node.catalogue.engines
            await running.until(lambda: engines["pa"].leaving)
            entry = running.nodes[0].settings.entry.address
            head = system.request("/once/x", "r1")
            response = await system.send(entry, head, b"")
            assert response[0] == 503
            assert not running.engines["pa"].ran

    asyncio.run(scenario())


def test_routing_continues_while_the_store_is_unavailable() -> None:
    async def scenario() -> None:
        async with system.running_system() as running:
            running.store.faults.refuses = 503
            await asyncio.sleep(0.3)
            assert (await chat(running, "r1"))[0] == 200
            running.store.faults.is_silent = True
            assert (await chat(running, "r2"))[0] == 200

    asyncio.run(scenario())


def test_layers_of_a_dead_engine_are_placed_on_other_engines() -> None:
    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            dead = running.engines["a2"]
            dead.is_dead = True
            running.store.remove("servers", "a2")
            await running.until(
                lambda: "a2" not in running.nodes[0].node.catalogue.engines
            )
            await running.until(running.serves)
            assert (await chat(running, "r1"))[0] == 200

    asyncio.run(scenario())


def test_a_move_skips_engines_that_died_together() -> None:
    """Guards against a pause for each engine of a rack that failed.

    A stream's engine and two of its possible replacements die together. The
    dead replacements look alive until they refuse the move. The next one must
    be tried at once, so that the caller's pause is that of one dead engine.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            # Otherwise the node would place other layers on the replacements.
            await running.nodes[0].node.keeper.close()
            for name in ("a7", "a8", "a9"):
                spare = await running.add_engine(name, "model", "a", "big")
                spare.layers = (20, 60)
                spare.on_change()
            for engine in running.engines.values():
                engine.gap_s = 0.05
            shared = running.nodes[0].node.shared
            known = shared.catalogue.engines
            await running.until(lambda: {"a7", "a8", "a9"} <= known.keys())
            for zone_b in ("b0", "b1", "b2", "b3"):
                shared.tracker.suspect(
                    zone_b, engine_tracker.Suspicion.GONE, 1e12
                )
            stream = asyncio.create_task(chat(running, "r1"))
            await running.until(lambda: times_run(running, "r1") == 1)
            await asyncio.sleep(0.2)
            [run] = shared.running
            used = run.attempt.path[1].instance  # type: ignore[attr-defined]
            middle = [e for e in running.engines if e in ("a7", "a8", "a9")]
            others = [e for e in middle if e != used]
            for name in [used, *others[:2]]:
                running.engines[name].is_dead = True
            moves = system.record_moves(shared)
            status, _, body = await stream
            assert status == 200
            assert tokens(body) == WHOLE
            assert times_run(running, "r1") == 1
            assert moves[-1].outcome == "done"
            assert {m.refused_by for m in moves[:-1]} <= set(others[:2])
            assert moves[-1].silent_s - moves[0].silent_s < 0.15

    asyncio.run(scenario())
