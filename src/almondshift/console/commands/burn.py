"""``almondshift burn``: the burn of error budgets over all nodes."""

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
A burn of 1 uses the budget exactly up; the alarm 'fast' asks for someone
now, 'slow' for someone today. Nodes keep counts in memory, so the report
says how far they go back, and which nodes did not answer.

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
        help="report the burn of service-level error budgets",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    nodes.add_options(parser)
    form = parser.add_mutually_exclusive_group()
    form.add_argument("--json", action="store_true", help="print JSON")
    form.add_argument(
        "--html", metavar="FILE", help="write a self-contained page"
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Asks all nodes, and prints or writes the report."""
    answers = asyncio.run(_ask(args))
    report = burn_report.create_report(answers)
    if args.html:
        page = burn_report.render_html(report)
        pathlib.Path(args.html).write_text(page, encoding="utf-8")
        output.note(f"written: {args.html}")
    elif args.json:
        print(burn_report.render_json(report))
    else:
        print(burn_report.render_text(report))
    if report.silent:
        return exit_codes.ExitCode.UNREACHABLE
    return exit_codes.ExitCode.OK


async def _ask(
    args: argparse.Namespace,
) -> list[nodes.Answered[burn.Snapshot]]:
    seeds = nodes.addresses(args)
    client = nodes.create_client(args)
    try:
        statuses = await nodes.statuses(client, seeds)
        found = [answer.address for answer in statuses]
        return await nodes.call_all(found, client.burn)
    finally:
        client.close()
