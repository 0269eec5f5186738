"""Edge cases of graceful stops, such as partial requests or a silent store."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import TYPE_CHECKING
from unittest import mock

import pytest

from almondshift import errors
from almondshift.adapters import relay_settings
from almondshift.coordination import drain as drains
from almondshift.model import relayed
from almondshift.node import application as node_application
from almondshift.relay import application
from tests.fakes import clocks
from tests.platform import standin_system as system
from tests.platform import test_planned_stops as stops
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from collections.abc import Iterator

    from almondshift.relay import gateway as gateways
    from tests.platform import standin_engines

LARGE_BODY_BYTES = 12_000_000
SMALL_WINDOW_BYTES = 16_384
READ_DELAY_S = 1.0
POLL_INTERVAL_S = 1.0
REFUSAL_S = 0.1
"""Time in which a request is read and refused, but no key is confirmed."""


def set_drain(
    running: system.StandinSystem, hold_s: float, grace_s: float
) -> None:
    section = relay_settings.DrainSection(hold_s, grace_s)
    running.nodes[0].node.settings.drain = section


def test_a_response_to_a_slow_caller_is_not_truncated() -> None:
    """Guards against a node that exits with unsent response data.

    The endpoint's response is complete and written to the connection, so no
    request is running, but a slow caller has yet to read most of it. A node
    that exits now, two seconds before it has to, truncates the response.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            limits = {
                "maxBodyBytes": 2 * LARGE_BODY_BYTES,
                "idleTimeoutMs": 15_000,
            }
            running.store.put("op", "config", system.config(2, limits=limits))
            node = running.nodes[0].node
            await running.until(
                lambda: node.gateway.limits().body_bytes > LARGE_BODY_BYTES
            )
            set_drain(running, 0.2, 4.0)
            host, _, port = node.settings.entry.address.rpartition(":")
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES
            )
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=SMALL_WINDOW_BYTES
            )
            head = system.request("/once/x", "big")
            text = "\r\n".join(
                [*head, f"Content-Length: {LARGE_BODY_BYTES}", "", ""]
            )
            writer.write(text.encode() + bytes(LARGE_BODY_BYTES))
            await running.until(lambda: whole.times_run(running, "big") == 1)
            await running.until(lambda: not node.shared.running)
            stopping = asyncio.create_task(stops.stop(running))
            await asyncio.sleep(READ_DELAY_S)
            status, _, body = await system.read_answer(reader)
            writer.close()
            await stopping
            assert (status, len(body)) == (200, LARGE_BODY_BYTES + len("done "))

    asyncio.run(scenario())


def test_the_gateway_refuses_by_the_clock_not_by_a_timer() -> None:
    """Guards against accepting a request after the hold time.

    The event loop of a stopping node was busy, so the timer that checks the
    hold time has not run yet when the request is read.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            node = running.nodes[0].node
            set_drain(running, 0.3, 6.0)
            stopping = asyncio.create_task(stops.stop(running))
            await asyncio.sleep(0.1)
            time.sleep(0.4)
            refused = is_refused(node.gateway)
            await stopping
            assert refused

    asyncio.run(scenario())


def test_a_request_after_the_hold_time_is_refused_between_two_polls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against accepting requests until the next poll of the hold time.

    An idle node polls the hold time, and a request comes 2 ms after the hold
    time, long before the next poll. Requests after the hold time must be
    refused, since their responses might be truncated.
    """
    # An idle node exits at the first poll after the hold time, and then refuses
    # connections. With polls every 50 ms, a delayed poll can come in the few ms
    # between the hold time and the request.
    monkeypatch.setattr(application, "STOP_TICK_S", POLL_INTERVAL_S)

    async def scenario(hold_s: float) -> int:
        async with system.running_system(zones="a") as running:
            set_drain(running, hold_s, 6.0)
            process = running.nodes.pop()
            draining = asyncio.create_task(process.stop_gracefully())

            async def close_when_drained() -> None:
                await draining
                await process.close()

            closing = asyncio.create_task(close_when_drained())
            while process.node.shared.drain.since_s() < hold_s + 0.002:
                await asyncio.sleep(0.001)
            head = system.request("/chat/x", "late", X_Token_Usage="100,3")
            assert not draining.done()
            status, _, _ = await system.send(
                process.settings.entry.address, head
            )
            await closing
            return status

    found = [asyncio.run(scenario(0.31 + n / 200)) for n in range(5)]
    assert found == [503] * 5


def is_refused(gateway: gateways.Gateway) -> bool:
    """Returns whether a request that is read now is refused."""
    request = relayed.RelayedRequest(
        request_id="late",
        method="POST",
        host=system.HOST,
        target="/chat/x",
        path="/chat/x",
        headers=(),
        body=b"",
        wait_s=4.0,
        key=system.KEY,
        last_event_id="",
        prompt_tokens=100,
        output_tokens=3,
        expected_tokens=0,
    )
    try:
        gateway.route(request)
    except errors.NodeLeaving:
        return True
    return False


def test_a_node_that_joins_during_its_stop_is_not_listed() -> None:
    """Guards against callers that are sent to a node that is about to exit.

    A node is asked to stop before it could join the group, since the store was
    silent. The store responds again during the drain, and the node joins; it
    must not join as a serving node.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            other = running.nodes[0].node
            running.store.faults.is_silent = True
            leaving = await running.add_node("b")
            entry = leaving.settings.entry.address
            await asyncio.sleep(0.3)
            leaving.front.disable_keep_alive()
            leaving.node.settings.drain = relay_settings.DrainSection(4.0, 6.0)
            stopping = asyncio.create_task(leaving.node.stop_gracefully())
            await asyncio.sleep(0.1)
            running.store.faults.is_silent = False
            named = False
            for _ in range(60):
                await asyncio.sleep(0.05)
                named = named or entry in other.gateway.addresses("a")
            joined = leaving.node.group is not None
            await stopping
            assert joined
            assert not named

    asyncio.run(scenario())


def test_a_node_without_response_times_accepts_no_late_stream() -> None:
    """Guards against a truncated stream on a node that has just started.

    The node has completed no response yet. If it assumes three seconds with
    nearly four left, it accepts a late caller's stream that takes 4.5 s, and
    truncates it. Without measured response times it must refuse the stream.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.events, engine.gap_s = 90, 0.05
            set_drain(running, 1.2, 4.5)
            entry = running.nodes[0].settings.entry.address
            stopping = asyncio.create_task(stops.stop(running))
            await asyncio.sleep(0.5)
            head = system.request(
                "/chat/x", "late", X_Token_Usage="100,90", X_Deadline_Ms="9000"
            )
            status, _, body = await system.send(entry, head)
            await stopping
            cut = whole.times_run(running, "late") == 1 and status == 0
            assert not cut, len(whole.tokens(body))

    asyncio.run(scenario())


def test_running_streams_count_for_the_estimate() -> None:
    """Guards against outdated estimates after engines have slowed down.

    All recorded responses took half a second, but twenty streams of the same
    length have been running for two seconds. An estimate of half a second is
    known to be wrong then; a late stream that is accepted on it is truncated.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.events, engine.gap_s = 10, 0.05
            for n in range(stops.STREAMS_BEFORE_STOP):
                await whole.chat(running, f"b{n}", X_Token_Usage="100,90")
            for engine in running.engines.values():
                engine.events, engine.gap_s = 90, 0.05
            running_streams = [
                asyncio.create_task(
                    whole.chat(running, f"c{n}", X_Token_Usage="100,90")
                )
                for n in range(20)
            ]
            await asyncio.sleep(2.0)
            set_drain(running, 1.2, 3.0)
            entry = running.nodes[0].settings.entry.address
            stopping = asyncio.create_task(stops.stop(running))
            await asyncio.sleep(1.0)
            head = system.request("/chat/x", "late", X_Token_Usage="100,90")
            status, _, _ = await system.send(entry, head)
            await stopping
            await asyncio.gather(*running_streams)
            cut = whole.times_run(running, "late") == 1 and status == 0
            assert not cut

    asyncio.run(scenario())


def test_a_response_during_a_stop_closes_its_connection() -> None:
    """Guards against callers that reuse a connection to an exiting node.

    A request is running when its node is asked to stop. Its response must have
    ``Connection: close``, or the caller sends its next request on it.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            entry = running.nodes[0].settings.entry.address
            set_drain(running, 1.0, 3.0)
            for engine in running.engines.values():
                engine.response_delay_s = 0.5
            head = system.request("/once/x", "held")
            held = asyncio.create_task(system.send(entry, head, b"order"))
            await running.until(lambda: whole.times_run(running, "held") == 1)
            await stops.stop(running)
            status, fields, _ = await held
            assert status == 200
            assert fields.get("connection") == "close"

    asyncio.run(scenario())


def test_a_partial_request_is_refused_while_others_run() -> None:
    """The head of a request is read, its body arrives after the hold time.

    Another response keeps the node running. The caller must be told that the
    request did not run.
    """
    status, kind = asyncio.run(send_partial_request(has_other_stream=True))
    assert (status, kind) == (503, "node_leaving")


def test_a_partial_request_at_an_idle_node_gets_a_response() -> None:
    """Guards against an idle node that exits while it reads a request.

    The node has seconds left after the hold time, in which it can still tell
    the caller that the request did not run.
    """
    status, kind = asyncio.run(send_partial_request(has_other_stream=False))
    assert (status, kind) == (503, "node_leaving")


async def send_partial_request(has_other_stream: bool) -> tuple[int, str]:
    async with stops.system_with_slow_streams() as running:
        set_drain(running, 0.4, 4.0)
        host, _, port = running.nodes[0].settings.entry.address.rpartition(":")
        if has_other_stream:
            stream = asyncio.create_task(whole.chat(running, "other"))
            await running.until(lambda: whole.times_run(running, "other") == 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        head = system.request("/once/x", "half")
        text = "\r\n".join([*head, "Content-Length: 8", "", "half"])
        writer.write(text.encode())
        stopping = asyncio.create_task(stops.stop(running))
        await asyncio.sleep(0.8)
        status, kind = 0, ""
        try:
            writer.write(b"half")
            status, _, body = await system.read_answer(reader)
            kind = json.loads(body)["kind"] if status else ""
        except ConnectionError:
            pass
        writer.close()
        await stopping
        if has_other_stream:
            await stream
        assert whole.times_run(running, "half") == 0
        return status, kind


def test_a_pending_key_lookup_gets_a_response_at_the_end() -> None:
    """Guards against a node that exits during a key lookup.

    The grace time is shorter than the hold time, as operators may set it. A
    caller with an unknown key comes just before its end, and the node asks the
    silent store about the key. It has read the request but run it nowhere, so
    it must still respond.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            set_drain(running, 3.0, 1.0)
            entry = running.nodes[0].settings.entry.address
            running.store.faults.is_silent = True
            await asyncio.sleep(0.6)
            stopping = asyncio.create_task(stops.stop(running))
            await asyncio.sleep(0.5)
            head = system.request(
                "/look/x", "unknown", Authorization="Bearer other"
            )
            status, _, _ = await system.send(entry, head)
            running.store.faults.is_silent = False
            await stopping
            assert status in (401, 503)

    asyncio.run(scenario())


@pytest.mark.parametrize("key", ["other", system.KEY])
def test_a_request_after_the_last_cut_is_refused(key: str) -> None:
    """Guards against a request that is begun when nothing will end it.

    The grace time is shorter than the hold time, as operators may set it. A
    request comes after the unfinished ones were cut and before the connections
    are closed. Nobody cuts it any more, so it must be refused at once.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            set_drain(running, 3.0, 0.5)
            process = running.nodes.pop()
            running.store.faults.is_silent = True
            await process.node.stop_gracefully()
            head = system.request(
                "/look/x", "late", Authorization=f"Bearer {key}"
            )
            late = asyncio.create_task(
                system.send(process.settings.entry.address, head)
            )
            await asyncio.sleep(REFUSAL_S)
            running.store.faults.is_silent = False
            await process.close()
            status, _, body = await late
            assert (status, whole.times_run(running, "late")) == (503, 0)
            assert json.loads(body)["kind"] == "node_leaving"

    asyncio.run(scenario())


def test_a_request_that_crosses_the_close_is_refused() -> None:
    """Guards against a connection that is reset as its node closes.

    A caller connects and sends a request just before its node stops listening.
    The kernel accepts the connection, and the node has not seen it yet.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            set_drain(running, 0.2, 3.0)
            process = running.nodes.pop()
            host, _, port = process.settings.entry.address.rpartition(":")
            head = system.request("/look/x", "late")
            text = "\r\n".join([*head, "Content-Length: 0", "", ""])
            stop_listening = process.front.server.stop
            callers: list[socket.socket] = []

            def send_and_stop_listening() -> None:
                if not callers:
                    callers.append(socket.create_connection((host, int(port))))
                    callers[0].sendall(text.encode())
                stop_listening()

            with mock.patch.object(
                process.front.server, "stop", send_and_stop_listening
            ):
                await process.stop_gracefully()
                await process.close()
            reader, writer = await asyncio.open_connection(sock=callers[0])
            status, _, body = await system.read_answer(reader)
            writer.close()
            assert (status, whole.times_run(running, "late")) == (503, 0)
            assert json.loads(body)["kind"] == "node_leaving"

    asyncio.run(scenario())


def test_a_node_closes_within_its_margin_while_the_store_is_silent() -> None:
    """Guards against a lease holder that is killed before it has closed.

    A node that holds the lease is stopped while the store is silent. To close,
    it has only the reserved margin of the grace time; if it waits a second to
    release the lease, it can neither notify its peers nor close its
    connections.
    """

    async def scenario() -> float:
        async with system.running_system(zones="a") as running:
            node = running.nodes[0].node
            await running.until(lambda: node.keeper.lease.grant() is not None)
            set_drain(running, 0.2, 1.0)
            running.store.faults.is_silent = True
            process = running.nodes.pop()
            await process.stop_gracefully()
            began_at = time.monotonic()
            await process.close()
            return time.monotonic() - began_at

    took_s = asyncio.run(scenario())
    assert took_s < application.STOP_MARGIN_S


def test_a_stopping_node_does_not_retry_what_would_end_in_time() -> None:
    """Guards against a retry at another endpoint that can't end in time.

    A request has waited about a second for its endpoint when its node is
    stopped, and responses are known to take 1.5 s. The first endpoint would
    respond in time, while a retry with a second left would be cut off.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            entry = running.nodes[0].settings.entry.address
            for engine in running.engines.values():
                engine.response_delay_s = 1.5
            await asyncio.gather(
                *(
                    system.send(entry, system.request("/once/x", f"b{n}"))
                    for n in range(stops.STREAMS_BEFORE_STOP)
                )
            )
            set_drain(running, 0.2, 1.5)
            head = system.request("/look/x", "late")
            late = asyncio.create_task(system.send(entry, head))
            await running.until(lambda: whole.times_run(running, "late") == 1)
            await asyncio.sleep(0.8)
            await stops.stop(running)
            status, _, _ = await late
            assert (status, whole.times_run(running, "late")) == (200, 1)

    asyncio.run(scenario())


def test_a_node_is_delisted_before_it_waits_for_the_store() -> None:
    """Guards against a stop that starts with the release of the lease.

    The store is slow to release the lease of the product's own node. If the
    node waits for that first, it is still listed for a second and accepts all
    requests. Its grace time also starts a second after the platform's, which
    kills the node before it has sent its final errors.
    """

    async def scenario() -> bool:
        clock = clocks.VirtualClock()
        node = mock.Mock()
        node.reconciler.close = mock.AsyncMock()
        node.lease.close = lambda: clock.sleep(1.0)
        node.drain = drains.create_drain(
            clock, drains.DrainSettings(), mock.AsyncMock(), mock.Mock()
        )
        stopping = asyncio.create_task(
            node_application.Node.stop_gracefully(node)
        )
        await clock.advance(0.5)
        listed = bool(node.drain.is_listed)
        stopping.cancel()
        return listed

    assert not asyncio.run(scenario())


def test_a_started_stream_survives_refusals_of_full_engines() -> None:
    """Guards against counting refusals as attempts of a started stream.

    A stream that was refused once before it started loses its engine, and is
    refused twice by full engines. With four attempts in all it would be given
    up at once, although its caller waits two seconds for the next event and
    the engines have free memory before that. No node is stopped here.
    """

    async def scenario() -> None:
        async with system.running_system(zones="abc") as running:
            refusals = iter([True, False, True, True])
            for engine in running.engines.values():
                refuse_or_cut_in_turn(engine, refusals)
            status, _, body = await whole.chat(running, "r1")
            assert (status, whole.tokens(body)) == (200, whole.WHOLE)

    asyncio.run(scenario())


def refuse_or_cut_in_turn(
    engine: standin_engines.StandinEngine, refusals: Iterator[bool]
) -> None:
    """Makes an engine refuse a stream, or cut it after five events, in turn."""
    runs = engine.refusal

    def refusal(path: list[tuple[str, int, int]]) -> tuple[int, str]:
        engine.cut_after = -1
        is_refusal = next(refusals, None)
        if is_refusal:
            return 503, engine.address
        if is_refusal is False:
            engine.cut_after = 5
        return runs(path)

    engine.refusal = refusal  # type: ignore[method-assign]
