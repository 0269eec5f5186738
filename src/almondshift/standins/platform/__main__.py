"""Runs the platform stand-in as a process."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import signal

from almondshift.standins.platform import server
from almondshift.standins.platform import settings


def create_parser() -> argparse.ArgumentParser:
    """Creates the command-line parser."""
    defaults = settings.PlatformSettings()
    parser = argparse.ArgumentParser(
        prog="almondshift.standins.platform",
        description="A small stand-in for the platform.",
    )
    parser.add_argument("--host", default=defaults.host)
    parser.add_argument("--port", type=int, default=defaults.port)
    parser.add_argument(
        "--port-file",
        type=pathlib.Path,
        help="file to write host:port to once the stand-in listens",
    )
    parser.add_argument("--vm-lag-s", type=float, default=defaults.vm_lag_s)
    parser.add_argument(
        "--weights-per-s", type=float, default=defaults.weights_per_s
    )
    return parser


def write_port_file(path: pathlib.Path, address: str) -> None:
    """Writes the address atomically; readers never see a partial file."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    temporary.write_text(f"{address}\n")
    temporary.replace(path)


async def run(arguments: argparse.Namespace) -> None:
    """Serves until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    platform = server.create_platform(
        settings.PlatformSettings(
            host=arguments.host,
            port=arguments.port,
            vm_lag_s=arguments.vm_lag_s,
            weights_per_s=arguments.weights_per_s,
        )
    )
    await platform.start()
    if arguments.port_file is not None:
        write_port_file(arguments.port_file, platform.address)
    await stop.wait()
    await platform.close()


if __name__ == "__main__":
    asyncio.run(run(create_parser().parse_args()))
