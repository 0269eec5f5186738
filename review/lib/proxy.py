"""A proxy that can reset all channels to a server and refuse new ones."""

from __future__ import annotations

import asyncio


class Proxy:
    """Passes bytes on between its clients and one server."""

    def __init__(self, upstream: str, host: str = "127.0.0.1") -> None:
        self.upstream = upstream
        self.host = host
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens; on the former port if it did before."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Resets all channels; new ones are refused until the next start."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.upstream.rpartition(":")
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            self.writers.add(far_writer)
            try:
                await asyncio.gather(
                    self.pump(reader, far_writer), self.pump(far_reader, writer)
                )
            finally:
                self.writers.discard(far_writer)
                far_writer.close()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
            if not writer.is_closing():
                writer.close()
        except OSError:
            writer.transport.abort()
