"""``almondshift status``: the state that all nodes report."""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any

from almondshift.console import exit_codes
from almondshift.console import nodes
from almondshift.console import output

EPILOG = """\
One node address is enough: the node lists the others. Nodes that do not
answer are shown too, and the exit code is then 4.

Relay nodes are queried at their metrics addresses, which need no secret. They
do not list other nodes: give each with --node.

examples:
  almondshift status --node 10.0.0.1:8080
  almondshift status --relay --node 10.0.0.1:9464 --node 10.0.0.2:9464
  almondshift status --node 10.0.0.1:8080 --json
"""
HEADERS = ("node", "zone", "address", "config", "verified", "lease", "answer")
SECTIONS = ("endpoints", "services", "quarantine")

StatusResults = list[nodes.NodeResult[dict[str, Any]]]


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
        help="the nodes are relay nodes, given by their metrics addresses",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Fetches the statuses of all nodes and prints them."""
    results = asyncio.run(_fetch_statuses(args))
    print(render_json(results) if args.json else render_text(results))
    silent = [result for result in results if result.error is not None]
    for result in silent:
        output.print_message(f"no answer from {result.address}: {result.error}")
    if silent:
        return exit_codes.ExitCode.UNREACHABLE
    return exit_codes.ExitCode.OK


async def _fetch_statuses(args: argparse.Namespace) -> StatusResults:
    seeds = nodes.read_addresses(args)
    client = nodes.create_client(args, needs_secret=not args.relay)
    try:
        return await nodes.fetch_statuses(client, seeds)
    finally:
        client.close()


def render_json(results: StatusResults) -> str:
    """Returns each node's status or error."""
    rows = [
        {
            "address": result.address,
            "answered": result.error is None,
            "error": None if result.error is None else str(result.error),
            "status": result.value,
        }
        for result in results
    ]
    return json.dumps({"nodes": rows}, indent=2)


def render_text(results: StatusResults) -> str:
    """Returns tables of all nodes, and of what the most up-to-date one sees."""
    blocks = [
        output.format_table(HEADERS, [_row(result) for result in results])
    ]
    reachable = [result for result in results if result.value is not None]
    if reachable:
        source = max(reachable, key=_config_version)
        blocks.extend(_sections(source))
    return "\n\n".join(blocks)


def _row(result: nodes.NodeResult[dict[str, Any]]) -> list[Any]:
    if result.value is None:
        return [None, None, result.address, None, None, None, "none"]
    value = result.value
    config = _get_object(value, "config")
    return [
        value.get("node"),
        value.get("zone"),
        result.address,
        config.get("version"),
        config.get("verified"),
        _lease(value),
        "ok",
    ]


def _lease(value: dict[str, Any]) -> str:
    lease = _get_object(value, "lease")
    if not lease.get("holder"):
        return ""
    return f"{lease['holder']} #{lease.get('fencing')}"


def _sections(result: nodes.NodeResult[dict[str, Any]]) -> list[str]:
    value = result.value or {}
    return [
        f"{name} (as {result.address} sees them):\n"
        + output.format_objects(value.get(name))
        for name in SECTIONS
    ]


def _config_version(result: nodes.NodeResult[dict[str, Any]]) -> int:
    version = _get_object(result.value or {}, "config").get("version")
    return version if isinstance(version, int) else 0


def _get_object(value: dict[str, Any], key: str) -> dict[str, Any]:
    item = value.get(key)
    return item if isinstance(item, dict) else {}
