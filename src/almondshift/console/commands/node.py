"""``almondshift node``: runs a node."""

from __future__ import annotations

import argparse

from almondshift.daemons import node

EPILOG = """\
example:
  almondshift node --settings node.ini
"""


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser(
        "node",
        help="run a node until SIGTERM",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, help="the settings file")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the daemon."""
    return node.run(args.settings)
