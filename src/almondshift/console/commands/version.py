"""``almondshift version``: prints the package version."""

from __future__ import annotations

import importlib.metadata
from typing import TYPE_CHECKING

from almondshift.console import exit_codes

if TYPE_CHECKING:
    import argparse

PACKAGE = "almondshift"


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser("version", help="print the version")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Prints the version."""
    print(importlib.metadata.version(PACKAGE))
    return exit_codes.ExitCode.OK
