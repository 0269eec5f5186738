"""``almondshift keys``: hashes the keys of client accounts."""

from __future__ import annotations

import argparse
import sys

from almondshift.adapters import keys
from almondshift.console import exit_codes
from almondshift.console import nodes

EPILOG = """\
The key is read from standard input, so that it stays out of the shell's
history and the process list.

example:
  head -c 32 /dev/urandom | base64 | tee members.key | almondshift keys hash
"""


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser("keys", help="work with account keys")
    actions = parser.add_subparsers(dest="action", required=True)
    hash_parser = actions.add_parser(
        "hash",
        help="print the key_hash of a key on standard input",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    hash_parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Prints the hash of the first line of standard input."""
    key = sys.stdin.readline().strip()
    if not key:
        raise nodes.UsageError(
            "There is no key on standard input.",
            remedy="Pipe it in, e.g. 'almondshift keys hash < members.key'.",
        )
    if not key.isascii():
        raise nodes.UsageError(
            "The key is not ASCII.",
            remedy="Use ASCII letters and digits: others may break in headers.",
        )
    print(keys.hash_key(key))
    return exit_codes.ExitCode.OK
