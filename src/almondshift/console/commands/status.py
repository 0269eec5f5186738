"""``almondshift status``: what all nodes see."""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any

from almondshift.console import exit_codes
from almondshift.console import nodes
from almondshift.console import output

EPILOG = """\
One node is enough: it names the others. Nodes that do not answer are listed,
and the exit code is then 4.

Relay nodes are asked at their metrics addresses, which need no secret, and
name no others: give each with --node.

examples:
  almondshift status --node 10.0.0.1:8080
  almondshift status --relay --node 10.0.0.1:9464 --node 10.0.0.2:9464
  almondshift status --node 10.0.0.1:8080 --json
"""
HEADS = ("node", "zone", "address", "config", "verified", "lease", "answer")
SECTIONS = ("endpoints", "services", "quarantine")

Answers = list[nodes.Answered[dict[str, Any]]]


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser(
        "status",
        help="show nodes, endpoints, services and quarantine",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    nodes.add_options(parser)
    parser.add_argument(
        "--relay",
        action="store_true",
        help="the nodes are relay nodes, named by their metrics addresses",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Asks all nodes and prints what they say."""
    answers = asyncio.run(_ask(args))
    print(render_json(answers) if args.json else render_text(answers))
    silent = [answer for answer in answers if answer.error is not None]
    for answer in silent:
        output.note(f"no answer from {answer.address}: {answer.error}")
    if silent:
        return exit_codes.ExitCode.UNREACHABLE
    return exit_codes.ExitCode.OK


async def _ask(args: argparse.Namespace) -> Answers:
    seeds = nodes.addresses(args)
    client = nodes.create_client(args, needs_secret=not args.relay)
    try:
        return await nodes.statuses(client, seeds)
    finally:
        client.close()


def render_json(answers: Answers) -> str:
    """Returns each node's answer, or why there is none."""
    rows = [
        {
            "address": answer.address,
            "answered": answer.error is None,
            "error": None if answer.error is None else str(answer.error),
            "status": answer.value,
        }
        for answer in answers
    ]
    return json.dumps({"nodes": rows}, indent=2)


def render_text(answers: Answers) -> str:
    """Returns tables: all nodes, then what the best informed one sees."""
    blocks = [output.table(HEADS, [_row(answer) for answer in answers])]
    known = [answer for answer in answers if answer.value is not None]
    if known:
        source = max(known, key=_config_version)
        blocks.extend(_sections(source))
    return "\n\n".join(blocks)


def _row(answer: nodes.Answered[dict[str, Any]]) -> list[Any]:
    if answer.value is None:
        return [None, None, answer.address, None, None, None, "none"]
    value = answer.value
    config = _object(value, "config")
    return [
        value.get("node"),
        value.get("zone"),
        answer.address,
        config.get("version"),
        config.get("verified"),
        _lease(value),
        "ok",
    ]


def _lease(value: dict[str, Any]) -> str:
    lease = _object(value, "lease")
    if not lease.get("holder"):
        return ""
    return f"{lease['holder']} #{lease.get('fencing')}"


def _sections(answer: nodes.Answered[dict[str, Any]]) -> list[str]:
    value = answer.value or {}
    return [
        f"{name} (as {answer.address} sees them):\n"
        + output.table_of(value.get(name))
        for name in SECTIONS
    ]


def _config_version(answer: nodes.Answered[dict[str, Any]]) -> int:
    version = _object(answer.value or {}, "config").get("version")
    return version if isinstance(version, int) else 0


def _object(value: dict[str, Any], key: str) -> dict[str, Any]:
    found = value.get(key)
    return found if isinstance(found, dict) else {}
