"""``almondshift relay``: runs a relay node."""

from __future__ import annotations

import argparse

EPILOG = """\
example:
  almondshift relay --settings relay.ini
"""


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser(
        "relay",
        help="run a relay node, for engines that pass work along a path",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, help="the settings file")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Runs the daemon."""
    # Imported lazily: other commands do not need the platform modules.
    from almondshift.daemons import relay

    return relay.run(args.settings)
