"""Planned stops at their edges: half-read messages, crowds, silent stores."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import TYPE_CHECKING
from unittest import mock

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

BIG_BYTES = 12_000_000
SMALL_WINDOW = 16_384
READ_LATER_S = 1.0


def set_drain(
    running: system.StandinSystem, hold_s: float, grace_s: float
) -> None:
    section = relay_settings.DrainSection(hold_s, grace_s)
    running.nodes[0].node.settings.drain = section


def test_an_answer_on_its_way_to_a_slow_caller_is_not_cut() -> None:
    """A caller reads a large answer slowly while its node is stopped.

    The endpoint's answer is whole and handed to the connection, so nothing
    runs any more; most of it still waits in the node for the caller to read.
    The node ends two seconds before it has to, and the caller gets a part.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            limits = {"maxBodyBytes": 2 * BIG_BYTES, "idleTimeoutMs": 15_000}
            running.store.put("op", "config", system.config(2, limits=limits))
            node = running.nodes[0].node
            await running.until(
                lambda: node.gateway.limits().body_bytes > BIG_BYTES
            )
            set_drain(running, 0.2, 4.0)
            host, _, port = node.settings.entry.address.rpartition(":")
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=SMALL_WINDOW
            )
            head = system.request("/once/x", "big")
            text = "\r\n".join([*head, f"Content-Length: {BIG_BYTES}", "", ""])
            writer.write(text.encode() + bytes(BIG_BYTES))
            await running.until(lambda: whole.times_run(running, "big") == 1)
            await running.until(lambda: not node.shared.running)
            stopping = asyncio.create_task(stops.stop(running))
            await asyncio.sleep(READ_LATER_S)
            status, _, body = await system.read_answer(reader)
            writer.close()
            await stopping
            assert (status, len(body)) == (200, BIG_BYTES + len("done "))

    asyncio.run(scenario())


def test_the_gateway_refuses_by_the_time_not_by_the_last_look() -> None:
    """The hold time of a stopping node is over, and a request is read.

    The node's loop was busy, so the timer that looks at the hold time has not
    run yet. The request must be refused all the same.
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


def test_a_caller_after_the_hold_time_is_refused_between_two_looks() -> None:
    """A caller sends a request some ms after the hold time, none is busy.

    The node looks at the time twenty times a second, and takes what comes
    between the end of the hold time and its next look. The hold time says
    that who comes later doesn't bear the risk of a cut.
    """

    async def scenario(hold_s: float) -> int:
        async with system.running_system(zones="a") as running:
            node = running.nodes[0].node
            set_drain(running, hold_s, 6.0)
            entry = node.settings.entry.address
            stopping = asyncio.create_task(stops.stop(running))
            while node.shared.drain.since_s() < hold_s + 0.002:
                await asyncio.sleep(0.001)
            head = system.request("/chat/x", "late", X_Token_Usage="100,3")
            status, _, _ = await system.send(entry, head)
            await stopping
            return status

    # All well between two looks: right after one, an idle node is gone.
    found = [asyncio.run(scenario(0.31 + n / 200)) for n in range(5)]
    assert found == [503] * 5


def is_refused(gateway: gateways.Gateway) -> bool:
    """Returns whether a request read at this moment is refused."""
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


def test_a_node_that_joins_during_its_stop_is_named_to_no_caller() -> None:
    """A node is asked to stop before the store let it join the others.

    The store answers again while the node takes leave. It joined then, as one
    that serves, and the others sent callers to a node that was about to end.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            other = running.nodes[0].node
            running.store.faults.is_silent = True
            leaving = await running.add_node("b")
            entry = leaving.settings.entry.address
            await asyncio.sleep(0.3)
            leaving.front.keep_no_connections()
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


def test_a_node_that_knows_no_answer_times_promises_nothing() -> None:
    """A node that has just started is stopped in a crowd.

    It has given no answer yet, and takes a late caller's stream since it
    assumes three seconds, with nearly four left. The stream takes 4.5 s and
    is cut. It knows no figure by which it could keep its promise.
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


def test_streams_that_still_run_count_for_the_estimate() -> None:
    """Engines slow down, and the node is stopped before a stream has ended.

    All answers that the node remembers took half a second. Twenty streams of
    the same length have run for two and none has ended: that the next one
    takes half a second is known to be wrong, yet it is taken, and cut.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.events, engine.gap_s = 10, 0.05
            for n in range(stops.ANSWERS_BEFORE):
                await whole.chat(running, f"b{n}", X_Token_Usage="100,90")
            for engine in running.engines.values():
                engine.events, engine.gap_s = 90, 0.05
            crowd = [
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
            await asyncio.gather(*crowd)
            cut = whole.times_run(running, "late") == 1 and status == 0
            assert not cut

    asyncio.run(scenario())


def test_an_answer_in_flight_tells_its_caller_that_the_node_leaves() -> None:
    """A request runs when its node is asked to stop; then it is answered.

    Its caller keeps the connection, since the answer doesn't say otherwise,
    and sends its next request to a node that is about to end.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            entry = running.nodes[0].settings.entry.address
            set_drain(running, 1.0, 3.0)
            for engine in running.engines.values():
                engine.hold_s = 0.5
            head = system.request("/once/x", "held")
            held = asyncio.create_task(system.send(entry, head, b"order"))
            await running.until(lambda: whole.times_run(running, "held") == 1)
            await stops.stop(running)
            status, fields, _ = await held
            assert status == 200
            assert fields.get("connection") == "close"

    asyncio.run(scenario())


def test_a_half_read_request_is_refused_while_other_answers_run() -> None:
    """The head of a request is read, its body comes after the hold time.

    Another answer keeps the node alive. The caller gets a refusal that says
    that nothing ran.
    """
    status, kind = asyncio.run(half_read(keep_alive=True))
    assert (status, kind) == (503, "node_leaving")


def test_a_half_read_request_of_an_idle_node_gets_an_answer() -> None:
    """The same with nothing else running: the node has seconds left.

    It ended at the hold time, and the connection closed in the middle of the
    request, though a caller that is heard could be told that nothing ran.
    """
    status, kind = asyncio.run(half_read(keep_alive=False))
    assert (status, kind) == (503, "node_leaving")


async def half_read(keep_alive: bool) -> tuple[int, str]:
    async with stops.system_with_slow_streams() as running:
        set_drain(running, 0.4, 4.0)
        host, _, port = running.nodes[0].settings.entry.address.rpartition(":")
        if keep_alive:
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
        if keep_alive:
            await stream
        assert whole.times_run(running, "half") == 0
        return status, kind


def test_a_denial_in_waiting_is_answered_when_the_grace_time_ends() -> None:
    """The grace time is shorter than the hold time, as operators may set it.

    A caller with an unknown key comes just before the end; the node asks the
    silent store about the key. It ended without a word to that caller, whose
    request it had read and run nowhere.
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


def test_a_node_closes_within_its_margin_while_the_store_is_silent() -> None:
    """A node that gave orders is stopped while the store says nothing.

    It has what it kept back of the grace time for closing. It waited a second
    for the store to take its lease back, and was killed before it told its
    peers and closed its connections.
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


def test_an_answer_is_not_given_up_for_a_repeat_that_must_be_cut() -> None:
    """A request has waited for its endpoint for a second when its node stops.

    Answers are known to take a second and a half. The node lost patience with
    a second of its own left, and sent the request to another endpoint: the
    first would have answered in time, the second was cut.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            entry = running.nodes[0].settings.entry.address
            for engine in running.engines.values():
                engine.hold_s = 1.5
            await asyncio.gather(
                *(
                    system.send(entry, system.request("/once/x", f"b{n}"))
                    for n in range(stops.ANSWERS_BEFORE)
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


def test_a_node_leaves_the_list_before_it_waits_for_the_store() -> None:
    """The product's own node is stopped while the store answers slowly.

    It gave its lease back first. For that second it was named to callers and
    took all they sent, and its grace time began a second after the platform's,
    which killed it before it gave final errors.
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


def test_a_begun_stream_outlives_refusals_of_full_engines() -> None:
    """A stream that was refused once and then ran for a while loses its engine.

    All other engines are full for a moment and refuse it two times. That made
    four sends with the refusal before it began, and its answer was broken
    off at once, though its caller waits two seconds for the next event and
    the engines had room before that. No stop was needed for it.
    """

    async def scenario() -> None:
        async with system.running_system(zones="abc") as running:
            sheds = iter([True, False, True, True])
            for engine in running.engines.values():
                shed_in_turn(engine, sheds)
            status, _, body = await whole.chat(running, "r1")
            assert (status, whole.tokens(body)) == (200, whole.WHOLE)

    asyncio.run(scenario())


def shed_in_turn(
    engine: standin_engines.StandinEngine, sheds: Iterator[bool]
) -> None:
    """Lets an engine refuse a send, or break a stream after five events."""
    runs = engine.refusal

    def refusal(path: list[tuple[str, int, int]]) -> tuple[int, str]:
        engine.cut_after = -1
        is_shed = next(sheds, None)
        if is_shed:
            return 503, engine.address
        if is_shed is False:
            engine.cut_after = 5
        return runs(path)

    engine.refusal = refusal  # type: ignore[method-assign]
