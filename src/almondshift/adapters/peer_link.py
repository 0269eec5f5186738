"""The peer link over TCP: length-prefixed frames, one answer for each.

A connection carries one call at a time. A call that times out closes its
connection: the answer may still come, and on a kept connection it would meet
a later call. The call number is checked as well.
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
    """Bounds of a peer link.

    Attributes:
        max_frame_bytes: Largest frame sent or taken.
        max_connections: Connections taken at once; more are closed.
        kept_per_peer: Idle connections kept to one peer.
        kept_in_all: Idle connections kept to all peers.
        idle_s: A connection without a frame for so long is closed.
        frame_s: Time within which a begun frame must be whole.
    """

    max_frame_bytes: int = 1_048_576
    max_connections: int = 512
    kept_per_peer: int = 2
    kept_in_all: int = 64
    idle_s: float = 300.0
    frame_s: float = 5.0


@dataclasses.dataclass(slots=True)
class LinkCounts:
    """What went over a link since it started."""

    calls: int = 0
    answered: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    wrong_secret: int = 0
    malformed: int = 0
    over_limit: int = 0


class TcpPeerLink(peers.PeerLink):
    """A peer link over TCP with a shared secret.

    The secret of outgoing messages is filled in here, and checked on
    incoming ones, so that no other part needs to know it.

    Attributes:
        address: ``host:port`` after ``start``; with port 0 the one that
            the operating system chose.
        counts: What went over the link.
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
        self.numbers = itertools.count(1)
        self.kept: collections.OrderedDict[iostream.IOStream, str] = (
            collections.OrderedDict()
        )
        self.busy: set[iostream.IOStream] = set()
        self.server: FrameServer | None = None

    async def start(
        self,
        handler: Callable[[peers.PeerMessage], Awaitable[peers.PeerMessage]],
    ) -> None:
        """Listens and answers with what ``handler`` gives."""
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
        for stream in [*self.kept, *self.busy]:
            stream.close()
        self.kept.clear()
        self.busy.clear()

    async def call(
        self, address: str, message: peers.PeerMessage, timeout_s: float
    ) -> expression.Result[peers.PeerMessage, errors.PeerUnreachable]:
        """Sends a message and waits for its answer.

        Returns:
            The answer, or ``PeerUnreachable``: as ``NOT_RUN`` if no byte
            was sent, else as ``UNKNOWN``.
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
        """Does one call on a kept or new connection."""
        stream = await self.connection(address, progress)
        number = next(self.numbers)
        content = self.encoded(peer_codec.Frame(number, message))
        progress.sent = True
        await stream.write(content)
        answer = await self.read_frame(stream)
        if answer.is_error() or answer.ok.call_number != number:
            detail = f"Peer {address} sent an answer that makes no sense."
            return expression.Error(errors.PeerUnreachable(detail))
        if not self.is_trusted(answer.ok.message):
            detail = f"Peer {address} answered with another secret."
            return expression.Error(errors.PeerUnreachable(detail))
        progress.whole = True
        self.counts.answered += 1
        return expression.Ok(answer.ok.message)

    async def connection(
        self, address: str, progress: CallProgress
    ) -> iostream.IOStream:
        """Returns a kept connection to the peer, or a new one."""
        stream = self.take_kept(address)
        if stream is not None:
            progress.stream = stream
            self.busy.add(stream)
            return stream
        host, port = split_address(address)
        stream = iostream.IOStream(
            socket.socket(family_of(host)),
            max_buffer_size=self.settings.max_frame_bytes + HEADER.size,
        )
        stream.set_nodelay(True)
        progress.stream = stream
        self.busy.add(stream)
        await stream.connect((host, port))
        return stream

    def take_kept(self, address: str) -> iostream.IOStream | None:
        """Takes the newest open kept connection to a peer, if any."""
        for stream, peer in reversed(self.kept.items()):
            if peer == address and not stream.closed():
                del self.kept[stream]
                return stream
        return None

    def release(self, address: str, progress: CallProgress) -> None:
        """Keeps the connection of a whole call, closes any other."""
        stream = progress.stream
        assert stream is not None
        self.busy.discard(stream)
        if not progress.whole or stream.closed() or self.server is None:
            stream.close()
            return
        same = [s for s, peer in self.kept.items() if peer == address]
        if len(same) >= self.settings.kept_per_peer:
            stream.close()
            return
        self.kept[stream] = address
        stream.set_close_callback(lambda: self.forget(stream))
        while len(self.kept) > self.settings.kept_in_all:
            oldest, _ = self.kept.popitem(last=False)
            oldest.close()

    def forget(self, stream: iostream.IOStream) -> None:
        """Drops a kept connection that the peer closed."""
        self.kept.pop(stream, None)

    def encoded(self, frame: peer_codec.Frame) -> bytes:
        """Returns header and content, with this link's secret.

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
        """Reads one frame; a begun frame must be whole within a limit.

        A sender that begins frames and never ends them would otherwise
        hold all connections that this node takes, one for each.
        """
        first = await stream.read_bytes(1)
        async with asyncio.timeout(self.settings.frame_s):
            rest = await stream.read_bytes(HEADER.size - 1)
        (size,) = HEADER.unpack(first + rest)
        if size > self.settings.max_frame_bytes:
            detail = f"a frame of {size} bytes"
            return expression.Error(peer_codec.MalformedFrame(detail))
        async with asyncio.timeout(self.settings.frame_s):
            content = await stream.read_bytes(size)
        self.counts.bytes_received += HEADER.size + size
        return peer_codec.decode(content, self.settings.max_frame_bytes)

    def is_trusted(self, message: peers.PeerMessage) -> bool:
        """Returns whether a message has the secret, in constant time.

        An answer carries none: it comes on a connection made by us.
        """
        if isinstance(message, peers.Answer):
            return True
        return hmac.compare_digest(
            message.secret.encode(), self.secret.encode()
        )


@dataclasses.dataclass(slots=True)
class CallProgress:
    """How far a call came: decides what is known and what is kept."""

    stream: iostream.IOStream | None = None
    sent: bool = False
    whole: bool = False


class FrameServer(tcpserver.TCPServer):
    """Takes connections and answers their frames one after another."""

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
        """Serves one connection until it ends or breaks a rule."""
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
        """Answers one frame; returns whether the connection may go on."""
        async with asyncio.timeout(self.link.settings.idle_s):
            request = await self.link.read_frame(stream)
        if request.is_error():
            self.link.counts.malformed += 1
            return False
        frame = request.ok
        if isinstance(frame.message, peers.Answer):
            self.link.counts.malformed += 1
            return False
        if not self.link.is_trusted(frame.message):
            self.link.counts.wrong_secret += 1
            return False
        answer = await self.handler(frame.message)
        reply = peer_codec.Frame(frame.call_number, answer)
        async with asyncio.timeout(self.link.settings.frame_s):
            await stream.write(self.link.encoded(reply))
        return True

    def close_connections(self) -> None:
        """Closes every connection that was taken."""
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
        host: IP number.
        port: TCP port; 0 lets the operating system choose.
        secret: Shared by all nodes of the system.
        settings: Bounds; the defaults if None.
    """
    return TcpPeerLink(host, port, secret, settings or PeerLinkSettings())


def unreachable(
    address: str, progress: CallProgress, error: Exception
) -> errors.PeerUnreachable:
    """Returns the error of a failed call, with what is known of it."""
    reason = str(error) or type(error).__name__
    detail = f"No answer from peer {address}: {reason}."
    if progress.sent:
        return errors.PeerUnreachable(detail, remedy=REFUSED_REMEDY)
    return errors.PeerUnreachable(
        detail,
        remedy=REFUSED_REMEDY,
        execution=errors.Execution.NOT_RUN,
    )


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``; the host may be in brackets."""
    host, _, port = address.rpartition(":")
    if not port.isdecimal():
        raise OSError(f"{address!r} is no host:port")
    return host.strip("[]"), int(port)


def family_of(host: str) -> socket.AddressFamily:
    """Returns the address family of an IP number."""
    try:
        version = ipaddress.ip_address(host).version
    except ValueError as error:
        raise OSError(f"{host!r} is no IP number") from error
    return socket.AF_INET6 if version == 6 else socket.AF_INET
