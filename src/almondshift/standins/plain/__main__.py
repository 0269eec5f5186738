"""Runs the plain service stand-in as a process."""

from __future__ import annotations

import argparse
import asyncio

from almondshift.standins import processes
from almondshift.standins.plain import server
from almondshift.standins.plain import settings as plain_settings


def create_parser() -> argparse.ArgumentParser:
    """Creates the command-line parser."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--grace-s", type=float, default=10.0)
    parser.add_argument("--advertise", default="", metavar="HOST:PORT")
    parser.add_argument("--ledger-limit", type=int, default=100_000)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", default="")
    parser.add_argument("--platform", default="", metavar="HOST:PORT")
    return parser


async def run(options: argparse.Namespace) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
    settings = plain_settings.PlainSettings(
        name=options.name,
        zone=options.zone,
        service=options.service,
        port=options.port,
        advertise=options.advertise,
        ledger_limit=options.ledger_limit,
        grace_s=options.grace_s,
    )
    plain = server.create_plain(settings)
    await processes.serve(
        plain, options.platform, options.port_file, settings.grace_s
    )


if __name__ == "__main__":
    asyncio.run(run(create_parser().parse_args()))
