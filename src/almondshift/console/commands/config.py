"""``almondshift config``: check, apply and look at configurations."""

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
HISTORY_HEADS = ("version", "accepted", "author", "change id")
DIFF_HEADS = ("section", "key", "old", "new")
DEFAULT_LIMIT = 20
SAMPLE = "sample.ini"


def add_parser(subparsers: Subparsers) -> None:
    """Adds the command and its actions."""
    parser = subparsers.add_parser(
        "config",
        help="check, apply and look at configurations",
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
        help="print the text with every key, sorted",
    )
    parser.set_defaults(run=run_check)


def _add_apply(actions: Subparsers) -> None:
    parser = actions.add_parser("apply", help="propose a file")
    parser.add_argument("file", metavar="FILE")
    parser.add_argument(
        "--base",
        type=int,
        metavar="N",
        help="the version that the file was made from (default: in force)",
    )
    parser.add_argument("--author", default=_user(), help="default: the user")
    nodes.add_options(parser)
    parser.set_defaults(run=run_apply)


def _add_show(actions: Subparsers) -> None:
    parser = actions.add_parser("show", help="print a version's text")
    parser.add_argument(
        "--version", type=int, metavar="N", help="default: in force"
    )
    nodes.add_options(parser)
    parser.set_defaults(run=run_show)


def _add_history(actions: Subparsers) -> None:
    parser = actions.add_parser("history", help="list accepted versions")
    parser.add_argument("--limit", type=int, default=DEFAULT_LIMIT)
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
    """Prints the sample fleet that the demo uses."""
    sample = importlib.resources.files(data).joinpath(SAMPLE)
    print(sample.read_text(encoding="utf-8"), end="")
    return exit_codes.ExitCode.OK


def run_check(args: argparse.Namespace) -> int:
    """Validates a file without a running system."""
    checked = _parse(read_file(args.file), 0)
    if args.canonical:
        print(fleet_render.render(checked), end="")
        return exit_codes.ExitCode.OK
    print(
        f"ok: {len(checked.models)} models, {len(checked.services)} "
        f"services, {len(checked.accounts)} accounts"
    )
    return exit_codes.ExitCode.OK


def run_apply(args: argparse.Namespace) -> int:
    """Checks a file here, then proposes it to a node."""
    text = read_file(args.file)
    _parse(text, 0)
    accepted = asyncio.run(_apply(args, text))
    print(f"accepted as version {accepted.version}")
    return exit_codes.ExitCode.OK


async def _apply(
    args: argparse.Namespace, text: str
) -> operations.ConfigVersion:
    named = nodes.addresses(args)
    client = nodes.create_client(args)
    try:
        base = args.base
        if base is None:
            base = (await _show(client, named, None)).version
            output.note(f"based on version {base}, in force at {named[0]}")
        proposal = applying.create_proposal(text, base, args.author)
        return await applying.propose(client, named, proposal)
    finally:
        client.close()


def run_show(args: argparse.Namespace) -> int:
    """Prints a version's text, and on standard error what it is."""
    shown = asyncio.run(_show_one(args, args.version))
    verified = "" if shown.verified else " (unverified: platform away)"
    output.note(f"version {shown.version}{verified} by {shown.author}")
    print(shown.text, end="" if shown.text.endswith("\n") else "\n")
    return exit_codes.ExitCode.OK


async def _show_one(
    args: argparse.Namespace, version: int | None
) -> operations.ConfigVersion:
    named = nodes.addresses(args)
    client = nodes.create_client(args)
    try:
        return await _show(client, named, version)
    finally:
        client.close()


async def _show(
    client: http_operations_client.NodeClient,
    named: list[str],
    version: int | None,
) -> operations.ConfigVersion:
    shown = await nodes.first_reachable(
        named, lambda node: client.show(node, version)
    )
    if shown.is_error():
        raise shown.error
    return shown.ok


def run_history(args: argparse.Namespace) -> int:
    """Lists accepted versions, newest first."""
    versions = asyncio.run(_history(args))
    if args.change_id:
        versions = [v for v in versions if v.change_id == args.change_id]
    if args.json:
        print(json.dumps([dataclasses.asdict(v) for v in versions], indent=2))
    else:
        rows = [
            (v.version, _instant(v.accepted_at), v.author, v.change_id)
            for v in versions
        ]
        print(output.table(HISTORY_HEADS, rows))
    if args.change_id and not versions:
        output.note(f"error: no accepted change has the id {args.change_id}")
        output.note("remedy: Ask with a larger --limit if it is old.")
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK


async def _history(
    args: argparse.Namespace,
) -> list[operations.ConfigVersion]:
    named = nodes.addresses(args)
    client = nodes.create_client(args)
    try:
        found = await nodes.first_reachable(
            named, lambda node: client.history(node, args.limit)
        )
    finally:
        client.close()
    if found.is_error():
        raise found.error
    return found.ok


def run_diff(args: argparse.Namespace) -> int:
    """Prints what differs, by section and key."""
    changes = fleet_render.diff(_load(args, args.old), _load(args, args.new))
    if not changes:
        print("no difference")
        return exit_codes.ExitCode.OK
    rows = [(c.section, c.key, c.old, c.new) for c in changes]
    print(output.table(DIFF_HEADS, rows))
    return exit_codes.ExitCode.OK


def _load(args: argparse.Namespace, source: str) -> fleet.Fleet:
    """Reads a version from a node if ``source`` is a number, or a file."""
    if not (source.isascii() and source.isdigit()):
        return _parse(read_file(source), 0)
    version = int(source)
    return _parse(asyncio.run(_show_one(args, version)).text, version)


def read_file(path: str) -> str:
    """Reads a text.

    Raises:
        errors.ConfigInvalid: It cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8-sig")
    except (OSError, ValueError) as error:
        raise errors.ConfigInvalid(
            f"{path!r} cannot be read ({type(error).__name__}).",
            section="file",
            key=None,
            remedy="Check the path, its rights and that it is UTF-8.",
        ) from error


def _parse(text: str, version: int) -> fleet.Fleet:
    parsed = fleet_text.parse(text, version)
    if parsed.is_error():
        raise parsed.error
    return parsed.ok


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _instant(wall: float) -> str:
    instant = datetime.datetime.fromtimestamp(wall, datetime.UTC)
    return instant.strftime("%Y-%m-%d %H:%M:%S UTC")
