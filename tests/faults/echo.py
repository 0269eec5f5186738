"""A TCP echo server as a minimal process for tests."""

from __future__ import annotations

import argparse
import asyncio
import pathlib


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while chunk := await reader.read(65_536):
        writer.write(chunk)
        await writer.drain()
    writer.close()


async def run(port_file: pathlib.Path) -> None:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    temporary = port_file.with_suffix(".draft")
    temporary.write_text(f"127.0.0.1:{port}\n")
    temporary.replace(port_file)
    await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port-file", type=pathlib.Path, required=True)
    asyncio.run(run(parser.parse_args().port_file))
