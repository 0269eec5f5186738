"""``almondshift demo``: sample requests to an embedded system."""

from __future__ import annotations

import argparse

from almondshift.daemons import demo

EPILOG = """\
Exits with 0 only if every answer was correct.

examples:
  almondshift demo
  almondshift demo --keep
"""


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser(
        "demo",
        help="send sample requests to an embedded system of stand-ins",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep the system running afterwards, for manual requests",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the demo."""
    return demo.run(keep=args.keep)
