"""The ``almondshift`` command."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift.console import exit_codes
from almondshift.console import nodes
from almondshift.console import output
from almondshift.console.commands import burn
from almondshift.console.commands import config
from almondshift.console.commands import demo
from almondshift.console.commands import keys
from almondshift.console.commands import node
from almondshift.console.commands import relay
from almondshift.console.commands import status
from almondshift.console.commands import trace
from almondshift.console.commands import version

if TYPE_CHECKING:
    from collections.abc import Sequence

COMMANDS = (
    config,
    status,
    trace,
    burn,
    node,
    relay,
    demo,
    keys,
    version,
)
"""Modules with ``add_parser(subparsers)`` and ``run(args) -> int``."""

EPILOG = """\
exit codes:
  0  done
  1  failed; the remedy is on standard error
  2  wrong usage
  3  another change was accepted first
  4  a node could not be reached
  5  the outcome is unknown

examples:
  almondshift config check fleet.ini
  almondshift config apply fleet.ini --node 10.0.0.1:8080
  almondshift status --node 10.0.0.1:8080
"""


def create_parser() -> argparse.ArgumentParser:
    """Returns the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="almondshift",
        description="A router for models split across accelerators.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(
        title="commands", dest="command", required=True
    )
    for command in COMMANDS:
        command.add_parser(subparsers)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    args = create_parser().parse_args(argv)
    try:
        return int(args.run(args))
    except nodes.UsageError as error:
        output.report_error(error)
        return exit_codes.ExitCode.USAGE
    except errors.AlmondshiftError as error:
        return output.report_error(error)
    except BrokenPipeError:
        # The reader of the pipe, such as head, closed it early.
        sys.stderr.close()
        return exit_codes.ExitCode.FAILED


if __name__ == "__main__":
    sys.exit(main())
