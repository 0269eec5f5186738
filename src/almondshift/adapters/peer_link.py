"""Peer link over TCP: length-prefixed frames, one reply per request.

A connection carries one call at a time. A call that times out closes its
connection: its reply may still arrive and, on a reused connection, would be
taken for the reply to a later call. The call number is checked as well.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import hmac
import ipaddress
import itertools
import socket
import struct
from typing import TYPE_CHECKING

import expression
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from almondshift import errors
from almondshift.adapters import peer_codec
from almondshift.model import addresses
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HEADER = struct.Struct(">I")

REFUSED_REMEDY = (
    "Check that the peer runs and that [peers] secret is the same on both."
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLinkSettings:
    """Limits of a peer link.

    Attributes:
        max_frame_bytes: Largest frame sent or accepted.
        max_connections: Incoming connections at once; more are closed.
        max_idle_per_peer: Idle connections kept to one peer.
        max_idle_total: Idle connections kept to all peers.
        idle_timeout_s: Idle time after which an incoming connection is closed.
        frame_timeout_s: Timeout for the rest of a header, for the content of
            a frame, and for writing a reply.
    """

    max_frame_bytes: int = 1_048_576
    max_connections: int = 512
    max_idle_per_peer: int = 2
    max_idle_total: int = 64
    idle_timeout_s: float = 300.0
    frame_timeout_s: float = 5.0


@dataclasses.dataclass(slots=True)
class LinkCounts:
    """Counters of a link since it started."""

    calls: int = 0
    answered: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    wrong_secret: int = 0
    malformed: int = 0
    over_limit: int = 0


class TcpPeerLink(peers.PeerLink):
    """A peer link over TCP with a shared secret.

    The secret is added to outgoing messages and checked on incoming ones
    here, so that no other module needs to know it.

    Attributes:
        address: ``host:port`` after ``start``; with port 0 the port that
            the operating system chose.
        counts: Counters of calls, bytes and rejected connections.
    """

    def __init__(
        self, host: str, port: int, secret: str, settings: PeerLinkSettings
    ) -> None:
        self.host = host
        self.port = port
        self.secret = secret
        self.settings = settings
        self.address = f"{host}:{port}"
        self.counts = LinkCounts()
        self.call_numbers = itertools.count(1)
        self.idle_streams: collections.OrderedDict[iostream.IOStream, str] = (
            collections.OrderedDict()
        )
        self.active_streams: set[iostream.IOStream] = set()
        self.server: FrameServer | None = None

    async def start(
        self,
        handler: Callable[[peers.PeerMessage], Awaitable[peers.PeerMessage]],
    ) -> None:
        """Listens and replies with the result of ``handler``."""
        sockets = netutil.bind_sockets(self.port, self.host)
        self.server = FrameServer(self, handler)
        self.server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    async def close(self) -> None:
        """Closes the listener and all connections."""
        if self.server is not None:
            self.server.stop()
            self.server.close_connections()
        for stream in [*self.idle_streams, *self.active_streams]:
            stream.close()
        self.idle_streams.clear()
        self.active_streams.clear()

    async def call(
        self, address: str, message: peers.PeerMessage, timeout_s: float
    ) -> expression.Result[peers.PeerMessage, errors.PeerUnreachable]:
        """Sends a message and waits for its reply.

        Returns:
            The reply, or ``PeerUnreachable``, with the execution state
            ``NOT_RUN`` if no byte was sent, else ``UNKNOWN``.
        """
        self.counts.calls += 1
        progress = CallProgress()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.call_once(address, message, progress)
        except (TimeoutError, OSError, iostream.StreamClosedError) as error:
            return expression.Error(unreachable(address, progress, error))
        finally:
            if progress.stream is not None:
                self.release(address, progress)

    async def call_once(
        self,
        address: str,
        message: peers.PeerMessage,
        progress: CallProgress,
    ) -> expression.Result[peers.PeerMessage, errors.PeerUnreachable]:
        """Makes one call on an idle or new connection."""
        stream = await self.get_connection(address, progress)
        number = next(self.call_numbers)
        content = self.encode_frame(peer_codec.Frame(number, message))
        progress.sent = True
        await stream.write(content)
        reply = await self.read_frame(stream)
        if reply.is_error() or reply.ok.call_number != number:
            detail = f"Peer {address} sent an invalid reply."
            return expression.Error(errors.PeerUnreachable(detail))
        if not self.has_valid_secret(reply.ok.message):
            detail = f"Peer {address} replied with a wrong secret."
            return expression.Error(errors.PeerUnreachable(detail))
        progress.completed = True
        self.counts.answered += 1
        return expression.Ok(reply.ok.message)

    async def get_connection(
        self, address: str, progress: CallProgress
    ) -> iostream.IOStream:
        """Returns an idle connection to the peer, or a new one."""
        stream = self.take_idle(address)
        if stream is not None:
            progress.stream = stream
            self.active_streams.add(stream)
            return stream
        host, port = split_address(address)
        stream = iostream.IOStream(
            socket.socket(family_of(host)),
            max_buffer_size=self.settings.max_frame_bytes + HEADER.size,
        )
        stream.set_nodelay(True)
        progress.stream = stream
        self.active_streams.add(stream)
        await stream.connect((host, port))
        return stream

    def take_idle(self, address: str) -> iostream.IOStream | None:
        """Takes the newest open idle connection to a peer, if any."""
        for stream, peer in reversed(self.idle_streams.items()):
            if peer == address and not stream.closed():
                del self.idle_streams[stream]
                return stream
        return None

    def release(self, address: str, progress: CallProgress) -> None:
        """Keeps the connection if its call completed, else closes it."""
        stream = progress.stream
        assert stream is not None
        self.active_streams.discard(stream)
        if not progress.completed or stream.closed() or self.server is None:
            stream.close()
            return
        same = [s for s, peer in self.idle_streams.items() if peer == address]
        if len(same) >= self.settings.max_idle_per_peer:
            stream.close()
            return
        self.idle_streams[stream] = address
        stream.set_close_callback(lambda: self.remove_idle(stream))
        while len(self.idle_streams) > self.settings.max_idle_total:
            oldest, _ = self.idle_streams.popitem(last=False)
            oldest.close()

    def remove_idle(self, stream: iostream.IOStream) -> None:
        """Removes an idle connection that the peer closed."""
        self.idle_streams.pop(stream, None)

    def encode_frame(self, frame: peer_codec.Frame) -> bytes:
        """Returns the frame's header and content, with this link's secret.

        Raises:
            ValueError: If the message is over the frame limit.
        """
        message = frame.message
        if not isinstance(message, peers.Answer):
            message = dataclasses.replace(message, secret=self.secret)
        content = peer_codec.encode(
            peer_codec.Frame(frame.call_number, message),
            self.settings.max_frame_bytes,
        )
        self.counts.bytes_sent += HEADER.size + len(content)
        return HEADER.pack(len(content)) + content

    async def read_frame(
        self, stream: iostream.IOStream
    ) -> expression.Result[peer_codec.Frame, peer_codec.MalformedFrame]:
        """Reads one frame, with a timeout after its first byte.

        Otherwise a sender that starts frames and never completes them could
        occupy all incoming connections of this node.
        """
        first = await stream.read_bytes(1)
        async with asyncio.timeout(self.settings.frame_timeout_s):
            rest = await stream.read_bytes(HEADER.size - 1)
        (size,) = HEADER.unpack(first + rest)
        if size > self.settings.max_frame_bytes:
            detail = f"frame too large: {size} bytes"
            return expression.Error(peer_codec.MalformedFrame(detail))
        async with asyncio.timeout(self.settings.frame_timeout_s):
            content = await stream.read_bytes(size)
        self.counts.bytes_received += HEADER.size + size
        return peer_codec.decode(content, self.settings.max_frame_bytes)

    def has_valid_secret(self, message: peers.PeerMessage) -> bool:
        """Returns whether a message has the secret, in constant time.

        A reply carries none: it arrives on a connection opened by this node.
        """
        if isinstance(message, peers.Answer):
            return True
        return hmac.compare_digest(
            message.secret.encode(), self.secret.encode()
        )


@dataclasses.dataclass(slots=True)
class CallProgress:
    """Progress of a call; decides its error and whether to reuse its stream."""

    stream: iostream.IOStream | None = None
    sent: bool = False
    completed: bool = False


class FrameServer(tcpserver.TCPServer):
    """Accepts connections and replies to their frames in sequence."""

    def __init__(
        self,
        link: TcpPeerLink,
        handler: Callable[[peers.PeerMessage], Awaitable[peers.PeerMessage]],
    ) -> None:
        limit = link.settings.max_frame_bytes + HEADER.size
        super().__init__(max_buffer_size=limit)
        self.link = link
        self.handler = handler
        self.streams: set[iostream.IOStream] = set()

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Serves one connection until it ends or violates the protocol."""
        del address
        if len(self.streams) >= self.link.settings.max_connections:
            self.link.counts.over_limit += 1
            stream.close()
            return
        stream.set_nodelay(True)
        self.streams.add(stream)
        try:
            while await self.serve_frame(stream):
                pass
        except (TimeoutError, OSError, iostream.StreamClosedError):
            pass
        finally:
            self.streams.discard(stream)
            stream.close()

    async def serve_frame(self, stream: iostream.IOStream) -> bool:
        """Replies to one frame; returns whether to keep the connection."""
        async with asyncio.timeout(self.link.settings.idle_timeout_s):
            request = await self.link.read_frame(stream)
        if request.is_error():
            self.link.counts.malformed += 1
            return False
        frame = request.ok
        if isinstance(frame.message, peers.Answer):
            self.link.counts.malformed += 1
            return False
        if not self.link.has_valid_secret(frame.message):
            self.link.counts.wrong_secret += 1
            return False
        answer = await self.handler(frame.message)
        reply = peer_codec.Frame(frame.call_number, answer)
        async with asyncio.timeout(self.link.settings.frame_timeout_s):
            await stream.write(self.link.encode_frame(reply))
        return True

    def close_connections(self) -> None:
        """Closes all accepted connections."""
        for stream in list(self.streams):
            stream.close()


def create_peer_link(
    host: str,
    port: int,
    secret: str,
    settings: PeerLinkSettings | None = None,
) -> TcpPeerLink:
    """Creates a peer link that will listen on ``host:port``.

    Args:
        host: IP address.
        port: TCP port; 0 lets the operating system choose.
        secret: Secret shared by all nodes of the system.
        settings: Limits; the defaults if None.
    """
    return TcpPeerLink(host, port, secret, settings or PeerLinkSettings())


def unreachable(
    address: str, progress: CallProgress, error: Exception
) -> errors.PeerUnreachable:
    """Returns the error of a failed call, with its execution state."""
    reason = str(error) or type(error).__name__
    detail = f"No reply from peer {address}: {reason}."
    if progress.sent:
        return errors.PeerUnreachable(detail, remedy=REFUSED_REMEDY)
    return errors.PeerUnreachable(
        detail,
        remedy=REFUSED_REMEDY,
        execution=errors.Execution.NOT_RUN,
    )


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``; the host may be in brackets."""
    host, _, text = address.rpartition(":")
    port = addresses.parse_port(text)
    if port is None:
        raise OSError(f"{address!r} is not host:port")
    return host.strip("[]"), port


def family_of(host: str) -> socket.AddressFamily:
    """Returns the address family of an IP address."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError as error:
        raise OSError(f"{host!r} is not an IP address") from error
    return socket.AF_INET6 if version == 6 else socket.AF_INET
