"""``almondshift config``: check, apply and inspect configurations."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import datetime
import getpass
import importlib.resources
import json
import pathlib
from typing import TYPE_CHECKING

from almondshift import data
from almondshift import errors
from almondshift.adapters import fleet_render
from almondshift.adapters import fleet_text
from almondshift.console import applying
from almondshift.console import exit_codes
from almondshift.console import nodes
from almondshift.console import output

if TYPE_CHECKING:
    from almondshift.adapters import http_operations_client
    from almondshift.model import fleet
    from almondshift.ports import operations

    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

EPILOG = """\
examples:
  almondshift config sample > fleet.ini
  almondshift config check fleet.ini
  almondshift config apply fleet.ini --node 10.0.0.1:8080 --base 41
  almondshift config show --node 10.0.0.1:8080 > fleet.ini
  almondshift config history --node 10.0.0.1:8080
  almondshift config diff 41 fleet.ini --node 10.0.0.1:8080
"""
HISTORY_HEADERS = ("version", "accepted", "author", "change id")
DIFF_HEADERS = ("section", "key", "old", "new")
DEFAULT_HISTORY_LIMIT = 20
SAMPLE_FILE = "sample.ini"


def add_parser(subparsers: Subparsers) -> None:
    """Adds the command and its actions."""
    parser = subparsers.add_parser(
        "config",
        help="check, apply and inspect configurations",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True)
    sample = actions.add_parser("sample", help="print a sample to start from")
    sample.set_defaults(run=run_sample)
    _add_check(actions)
    _add_apply(actions)
    _add_show(actions)
    _add_history(actions)
    _add_diff(actions)


def _add_check(actions: Subparsers) -> None:
    parser = actions.add_parser("check", help="validate a file")
    parser.add_argument("file", metavar="FILE")
    parser.add_argument(
        "--canonical",
        action="store_true",
        help="print the canonical text: every key, sorted",
    )
    parser.set_defaults(run=run_check)


def _add_apply(actions: Subparsers) -> None:
    parser = actions.add_parser(
        "apply", help="propose a file as the new version"
    )
    parser.add_argument("file", metavar="FILE")
    parser.add_argument(
        "--base",
        type=int,
        metavar="N",
        help="the version the file is based on (default: the one in force)",
    )
    parser.add_argument(
        "--author", default=_current_user(), help="default: the current user"
    )
    nodes.add_options(parser)
    parser.set_defaults(run=run_apply)


def _add_show(actions: Subparsers) -> None:
    parser = actions.add_parser("show", help="print a version's text")
    parser.add_argument(
        "--version", type=int, metavar="N", help="default: the one in force"
    )
    nodes.add_options(parser)
    parser.set_defaults(run=run_show)


def _add_history(actions: Subparsers) -> None:
    parser = actions.add_parser("history", help="list accepted versions")
    parser.add_argument("--limit", type=int, default=DEFAULT_HISTORY_LIMIT)
    parser.add_argument(
        "--change-id", metavar="ID", help="only the change with this id"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    nodes.add_options(parser)
    parser.set_defaults(run=run_history)


def _add_diff(actions: Subparsers) -> None:
    parser = actions.add_parser("diff", help="compare versions or files")
    parser.add_argument("old", metavar="A", help="a version or a file")
    parser.add_argument("new", metavar="B", help="a version or a file")
    nodes.add_options(parser)
    parser.set_defaults(run=run_diff)


def run_sample(args: argparse.Namespace) -> int:
    """Prints the sample configuration that the demo uses."""
    sample = importlib.resources.files(data).joinpath(SAMPLE_FILE)
    print(sample.read_text(encoding="utf-8"), end="")
    return exit_codes.ExitCode.OK


def run_check(args: argparse.Namespace) -> int:
    """Validates a file without a running system."""
    parsed = _parse(read_file(args.file), 0)
    if args.canonical:
        print(fleet_render.render(parsed), end="")
        return exit_codes.ExitCode.OK
    print(
        f"ok: {len(parsed.models)} models, {len(parsed.services)} "
        f"services, {len(parsed.accounts)} accounts"
    )
    return exit_codes.ExitCode.OK


def run_apply(args: argparse.Namespace) -> int:
    """Validates a file locally, then proposes it to a node."""
    text = read_file(args.file)
    _parse(text, 0)
    accepted = asyncio.run(_apply(args, text))
    print(f"accepted as version {accepted.version}")
    return exit_codes.ExitCode.OK


async def _apply(
    args: argparse.Namespace, text: str
) -> operations.ConfigVersion:
    addresses = nodes.read_addresses(args)
    client = nodes.create_client(args)
    try:
        base = args.base
        if base is None:
            base = (await _fetch_version(client, addresses, None)).version
            output.print_message(
                f"based on version {base}, in force at {addresses[0]}"
            )
        proposal = applying.create_proposal(text, base, args.author)
        return await applying.propose(client, addresses, proposal)
    finally:
        client.close()


def run_show(args: argparse.Namespace) -> int:
    """Prints a version's text, and its number and author on standard error."""
    config_version = asyncio.run(_connect_and_fetch_version(args, args.version))
    verified = (
        "" if config_version.verified else " (unverified: platform unreachable)"
    )
    output.print_message(
        f"version {config_version.version}{verified} by {config_version.author}"
    )
    print(
        config_version.text,
        end="" if config_version.text.endswith("\n") else "\n",
    )
    return exit_codes.ExitCode.OK


async def _connect_and_fetch_version(
    args: argparse.Namespace, version: int | None
) -> operations.ConfigVersion:
    addresses = nodes.read_addresses(args)
    client = nodes.create_client(args)
    try:
        return await _fetch_version(client, addresses, version)
    finally:
        client.close()


async def _fetch_version(
    client: http_operations_client.NodeClient,
    addresses: list[str],
    version: int | None,
) -> operations.ConfigVersion:
    result = await nodes.call_first_reachable(
        addresses, lambda node: client.show(node, version)
    )
    if result.is_error():
        raise result.error
    return result.ok


def run_history(args: argparse.Namespace) -> int:
    """Lists accepted versions, newest first."""
    versions = asyncio.run(_fetch_history(args))
    if args.change_id:
        versions = [v for v in versions if v.change_id == args.change_id]
    if args.json:
        print(json.dumps([dataclasses.asdict(v) for v in versions], indent=2))
    else:
        rows = [
            (v.version, _format_time(v.accepted_at), v.author, v.change_id)
            for v in versions
        ]
        print(output.format_table(HISTORY_HEADERS, rows))
    if args.change_id and not versions:
        output.print_message(
            f"error: no accepted change has the id {args.change_id}"
        )
        output.print_message(
            "remedy: Retry with a larger --limit if the change is old."
        )
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK


async def _fetch_history(
    args: argparse.Namespace,
) -> list[operations.ConfigVersion]:
    addresses = nodes.read_addresses(args)
    client = nodes.create_client(args)
    try:
        result = await nodes.call_first_reachable(
            addresses, lambda node: client.history(node, args.limit)
        )
    finally:
        client.close()
    if result.is_error():
        raise result.error
    return result.ok


def run_diff(args: argparse.Namespace) -> int:
    """Prints the differences, by section and key."""
    changes = fleet_render.diff(
        _load_fleet(args, args.old), _load_fleet(args, args.new)
    )
    if not changes:
        print("no difference")
        return exit_codes.ExitCode.OK
    rows = [(c.section, c.key, c.old, c.new) for c in changes]
    print(output.format_table(DIFF_HEADERS, rows))
    return exit_codes.ExitCode.OK


def _load_fleet(args: argparse.Namespace, source: str) -> fleet.Fleet:
    """Fetches a version if ``source`` is a number, else reads a file."""
    if not (source.isascii() and source.isdigit()):
        return _parse(read_file(source), 0)
    version = int(source)
    return _parse(
        asyncio.run(_connect_and_fetch_version(args, version)).text, version
    )


def read_file(path: str) -> str:
    """Reads a UTF-8 text file.

    Raises:
        errors.ConfigInvalid: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8-sig")
    except (OSError, ValueError) as error:
        raise errors.ConfigInvalid(
            f"{path!r} cannot be read ({type(error).__name__}).",
            section="file",
            key=None,
            remedy="Check the path, its permissions and that it is UTF-8.",
        ) from error


def _parse(text: str, version: int) -> fleet.Fleet:
    parsed = fleet_text.parse(text, version)
    if parsed.is_error():
        raise parsed.error
    return parsed.ok


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _format_time(epoch_s: float) -> str:
    utc_time = datetime.datetime.fromtimestamp(epoch_s, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S UTC")
