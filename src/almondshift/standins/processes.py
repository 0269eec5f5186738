"""What the stand-ins' daemons share: port file, signals and clean-up."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal


def write_port_file(path: str, address: str) -> None:
    """Writes ``host:port`` so that a reader sees all of it or no file."""
    target = pathlib.Path(path)
    partial = target.with_name(f"{target.name}.{os.getpid()}.part")
    partial.write_text(address)
    partial.replace(target)


async def wait_for_signal() -> None:
    """Returns at the first SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
