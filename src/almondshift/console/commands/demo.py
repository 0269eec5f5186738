"""``almondshift demo``: the main job on embedded stand-ins."""

from __future__ import annotations

import argparse

from almondshift.daemons import demo

EPILOG = """\
Exits with 0 only if every answer was right.

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
        help="run the main job on embedded stand-ins",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--keep",
        action="store_true",
        help="stay up afterwards, for trying by hand",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the demo."""
    return demo.run(keep=args.keep)
