"""``almondshift trace``: a request's history, from the nodes' log lines."""

from __future__ import annotations

import argparse
import dataclasses
import datetime
import json
import sys
from typing import TYPE_CHECKING
from typing import Any

from almondshift.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

EPILOG = """\
The files hold log lines of any number of nodes, in any order. Text before
the first brace of a line is ignored. Lines about the endpoints of the request
are shown too, from WINDOW seconds before it to WINDOW seconds after it.

example:
  almondshift trace 9c41d07be2a35f68 node-1.log node-2.log
"""

DEFAULT_WINDOW_S = 5.0
COMMON_FIELDS = frozenset(
    {"time", "node", "event", "message", "level", "logger"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A log line; ``time`` is ISO 8601, so that it sorts as text."""

    time: str
    node: str
    event: str
    message: str
    fields: dict[str, Any]

    def format(self) -> str:
        """Returns the line in human-readable form."""
        details = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time} {self.node} {self.event} {self.message}: {details}"


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Adds the command."""
    parser = subparsers.add_parser(
        "trace",
        help="show the history of a request, from the nodes' logs",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("request_id", help="the id that the caller sent")
    parser.add_argument("files", nargs="*", help="log files; none: stdin")
    parser.add_argument(
        "--window", type=float, default=DEFAULT_WINDOW_S, help="seconds"
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Prints the log lines about a request and its endpoints, by time."""
    lines = list(_read(args.files))
    found = trace(lines, args.request_id, args.window)
    if not found:
        print(
            f"No log line mentions request {args.request_id}. Give the logs of "
            "all nodes that the caller may have used, from the time of the "
            "request.",
            file=sys.stderr,
        )
        return int(exit_codes.ExitCode.FAILED)
    for line in found:
        print(line.format())
    return int(exit_codes.ExitCode.OK)


def trace(
    lines: Iterable[LogLine], request_id: str, window_s: float
) -> list[LogLine]:
    """Returns the lines of a request, and of its endpoints around that time."""
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [
        x for x in ordered if x.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    endpoints = _endpoints(request_lines)
    start = _epoch_s(request_lines[0].time) - window_s
    end = _epoch_s(request_lines[-1].time) + window_s
    return [
        line
        for line in ordered
        if line.fields.get("request_id") == request_id
        or (
            line.fields.get("endpoint") in endpoints
            and "request_id" not in line.fields
            and start <= _epoch_s(line.time) <= end
        )
    ]


def parse(text: str) -> LogLine | None:
    """Returns the parsed log line, or None for any other text."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    return LogLine(
        time=str(fields.get("time", "")),
        node=str(fields.get("node", "")),
        event=str(fields["event"]),
        message=str(fields.get("message", "")),
        fields={k: v for k, v in fields.items() if k not in COMMON_FIELDS},
    )


def _read(files: list[str]) -> Iterator[LogLine]:
    if not files:
        yield from _parse_all(sys.stdin)
    for name in files:
        with open(name, encoding="utf-8") as stream:
            yield from _parse_all(stream)


def _parse_all(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        line = parse(text)
        if line is not None:
            yield line


def _endpoints(request_lines: list[LogLine]) -> set[str]:
    endpoints: set[str] = set()
    for line in request_lines:
        for key in ("endpoint", "away_from"):
            if line.fields.get(key):
                endpoints.add(str(line.fields[key]))
        endpoints.update(
            filter(None, str(line.fields.get("instances", "")).split(","))
        )
    return endpoints


def _epoch_s(time: str) -> float:
    """Returns seconds since the epoch, or 0 for an invalid time."""
    try:
        return datetime.datetime.fromisoformat(time).timestamp()
    except ValueError:
        return 0.0
