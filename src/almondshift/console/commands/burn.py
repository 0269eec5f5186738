"""``almondshift burn``: error budget burn rates over all nodes."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
from typing import TYPE_CHECKING

from almondshift.console import burn_report
from almondshift.console import exit_codes
from almondshift.console import nodes
from almondshift.console import output

if TYPE_CHECKING:
    from almondshift.policy import burn

EPILOG = """\
A burn rate of 1 uses up the budget exactly; the alarm 'fast' calls for action
now, 'slow' for action today. Nodes keep counts in memory only, so the report
states how far they go back, and which nodes did not answer.

examples:
  almondshift burn --node 10.0.0.1:8080
  almondshift burn --node 10.0.0.1:8080 --html burn.html
"""


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser(
        "burn",
        help="report burn rates of service-level error budgets",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    nodes.add_options(parser)
    formats = parser.add_mutually_exclusive_group()
    formats.add_argument("--json", action="store_true", help="print JSON")
    formats.add_argument(
        "--html", metavar="FILE", help="write a self-contained page"
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Fetches counts from all nodes, and prints or writes the report."""
    results = asyncio.run(_fetch_snapshots(args))
    report = burn_report.create_report(results)
    if args.html:
        page = burn_report.render_html(report)
        pathlib.Path(args.html).write_text(page, encoding="utf-8")
        output.print_message(f"written: {args.html}")
    elif args.json:
        print(burn_report.render_json(report))
    else:
        print(burn_report.render_text(report))
    if report.silent:
        return exit_codes.ExitCode.UNREACHABLE
    return exit_codes.ExitCode.OK


async def _fetch_snapshots(
    args: argparse.Namespace,
) -> list[nodes.NodeResult[burn.Snapshot]]:
    seeds = nodes.read_addresses(args)
    client = nodes.create_client(args)
    try:
        status_results = await nodes.fetch_statuses(client, seeds)
        addresses = [result.address for result in status_results]
        return await nodes.call_all(addresses, client.burn)
    finally:
        client.close()
