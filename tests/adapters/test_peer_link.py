from __future__ import annotations

import asyncio
import contextlib
import random
import struct
from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st
import pytest

from almondshift import errors
from almondshift.adapters import peer_codec
from almondshift.adapters import peer_link
from almondshift.ports import peers
from tests.faults import proxy as fault_proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

SECRET = "secret"
SMALL = peer_link.PeerLinkSettings(
    max_frame_bytes=4_096, max_connections=3, frame_timeout_s=0.3
)


async def echo(message: peers.PeerMessage) -> peers.PeerMessage:
    assert isinstance(message, peers.Question)
    if message.topic == "slow":
        await asyncio.sleep(0.3)
    return peers.Answer(known=True, body=message.body)


def question(body: bytes, topic: str = "t") -> peers.Question:
    return peers.Question("node-1", "", topic, body)


@contextlib.asynccontextmanager
async def two_links(
    settings: peer_link.PeerLinkSettings = SMALL, secret: str = SECRET
) -> AsyncIterator[tuple[peer_link.TcpPeerLink, peer_link.TcpPeerLink]]:
    server = peer_link.create_peer_link("127.0.0.1", 0, SECRET, settings)
    client = peer_link.create_peer_link("127.0.0.1", 0, secret, settings)
    await server.start(echo)
    await client.start(echo)
    try:
        yield client, server
    finally:
        await client.close()
        await server.close()


def test_concurrent_calls_get_their_own_replies() -> None:
    async def scenario() -> None:
        settings = peer_link.PeerLinkSettings()
        async with two_links(settings) as (client, server):
            bodies = [str(number).encode() for number in range(50)]
            replies = await asyncio.gather(
                *(
                    client.call(server.address, question(body), 5.0)
                    for body in bodies
                )
            )
            assert [reply.ok.body for reply in replies] == bodies  # type: ignore[union-attr]
            assert len(client.idle_streams) == settings.max_idle_per_peer
            assert not client.active_streams

    asyncio.run(scenario())


def test_late_reply_is_not_delivered_to_later_call() -> None:
    """Otherwise a caller would get the reply to a call that timed out.

    The first call times out while the peer is still working; its reply
    arrives later. The second call must get its own reply: the connection of
    the first is closed, never reused.
    """

    async def scenario() -> None:
        async with two_links() as (client, server):
            late = await client.call(
                server.address, question(b"first", "slow"), 0.1
            )
            assert late.error.execution is errors.Execution.UNKNOWN
            assert not client.idle_streams
            reply = await client.call(
                server.address, question(b"second", "slow"), 5.0
            )
            assert reply.ok == peers.Answer(known=True, body=b"second")

    asyncio.run(scenario())


def test_reply_with_wrong_call_number_is_rejected() -> None:
    async def wrong_number(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4_096)
        answer = peers.Answer(known=True, body=b"")
        content = peer_codec.encode(peer_codec.Frame(999, answer), 4_096)
        writer.write(struct.pack(">I", len(content)) + content)

    async def scenario() -> None:
        server = await asyncio.start_server(wrong_number, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with two_links() as (client, _):
            address = f"127.0.0.1:{port}"
            result = await client.call(address, question(b""), 5.0)
            assert "sent an invalid reply" in result.error.detail
            assert not client.idle_streams
        server.close()

    asyncio.run(scenario())


def test_wrong_secret_closes_the_connection() -> None:
    async def scenario() -> None:
        async with two_links(secret="guess") as (client, server):
            result = await client.call(server.address, question(b""), 5.0)
            assert result.error.execution is errors.Execution.UNKNOWN
            assert "secret" in result.error.remedy
            assert server.counts.wrong_secret == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:1",
        "no-number:80",
        "nothing",
        "127.0.0.1:x",
        "127.0.0.1:70000",
        "127.0.0.1:" + "9" * 5_000,
    ],
    ids=lambda address: address[:20],
)
def test_failure_before_sending_is_not_run(address: str) -> None:
    async def scenario() -> None:
        async with two_links() as (client, _):
            result = await client.call(address, question(b""), 2.0)
            assert result.error.execution is errors.Execution.NOT_RUN
            assert not client.active_streams

    asyncio.run(scenario())


def cut(proxy: fault_proxy.FaultProxy) -> None:
    proxy.cut()


def swallow(proxy: fault_proxy.FaultProxy) -> None:
    proxy.swallow_answers = True


def silence_up(proxy: fault_proxy.FaultProxy) -> None:
    proxy.blocked_directions.add(fault_proxy.Direction.UP)


@pytest.mark.parametrize("fault", [swallow, silence_up])
def test_link_recovers_after_a_fault(
    fault: Callable[[fault_proxy.FaultProxy], None],
) -> None:
    """A network fault fails only the current call, in time and as unknown.

    The first call leaves an idle connection; the second hits the fault and
    times out; the third uses a new connection.
    """

    async def scenario() -> None:
        async with two_links() as (client, server):
            proxy = await fault_proxy.create_fault_proxy(server.address)
            first = await client.call(proxy.address, question(b"1"), 5.0)
            fault(proxy)
            second = await client.call(proxy.address, question(b"2"), 0.2)
            proxy.heal()
            third = await client.call(proxy.address, question(b"3"), 5.0)
            await proxy.close()
            assert first.is_ok()
            assert second.error.execution is errors.Execution.UNKNOWN
            assert third.ok == peers.Answer(known=True, body=b"3")

    asyncio.run(scenario())


def test_idle_connection_closed_by_peer_is_not_reused() -> None:
    async def scenario() -> None:
        async with two_links() as (client, server):
            proxy = await fault_proxy.create_fault_proxy(server.address)
            await client.call(proxy.address, question(b"1"), 5.0)
            assert client.idle_streams
            proxy.cut()
            await asyncio.sleep(0.05)
            again = await client.call(proxy.address, question(b"2"), 5.0)
            await proxy.close()
            assert again.is_ok()

    asyncio.run(scenario())


async def send_raw(address: str, content: bytes) -> bytes:
    """Sends bytes and returns what is received until the peer closes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    try:
        async with asyncio.timeout(5.0):
            return await reader.read(65_536)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def framed(content: bytes) -> bytes:
    return struct.pack(">I", len(content)) + content


@pytest.mark.parametrize(
    "content",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff",
        framed(b""),
        framed(b"\x00" * 100),
        framed(
            peer_codec.encode(
                peer_codec.Frame(1, peers.Answer(True, b"")), 4_096
            )
        ),
        b"\x00\x00\x00\x64begun",
        b"\x00\x00",
    ],
)
def test_malformed_frames_close_the_connection(content: bytes) -> None:
    async def scenario() -> None:
        async with two_links() as (client, server):
            assert await send_raw(server.address, content) == b""
            reply = await client.call(server.address, question(b"x"), 5.0)
            assert reply.is_ok()

    asyncio.run(scenario())


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)
@hypothesis.given(st.lists(st.binary(min_size=1, max_size=200), max_size=5))
def test_fuzzed_frames_neither_crash_nor_leak(contents: list[bytes]) -> None:
    async def scenario() -> None:
        async with two_links() as (client, server):
            for content in contents:
                assert await send_raw(server.address, framed(content)) == b""
            await asyncio.sleep(0)
            assert server.server is not None
            assert not server.server.streams
            reply = await client.call(server.address, question(b"x"), 5.0)
            assert reply.is_ok()

    asyncio.run(scenario())


def test_connections_over_the_limit_are_closed() -> None:
    async def scenario() -> None:
        async with two_links() as (_, server):
            host, _, port = server.address.rpartition(":")
            held = [
                await asyncio.open_connection(host, int(port))
                for _ in range(SMALL.max_connections)
            ]
            await asyncio.sleep(0.05)
            assert await send_raw(server.address, b"") == b""
            assert server.counts.over_limit == 1
            for _, writer in held:
                writer.close()

    asyncio.run(scenario())


def test_message_over_frame_limit_raises_at_sender() -> None:
    async def scenario() -> None:
        async with two_links() as (client, server):
            big = question(random.Random(1).randbytes(5_000))
            with pytest.raises(ValueError, match="bytes"):
                await client.call(server.address, big, 5.0)
            assert not client.active_streams

    asyncio.run(scenario())
