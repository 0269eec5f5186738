"""The report of a soak, as JSON and as text."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING
from typing import Any

from tests.soak import disturbances

if TYPE_CHECKING:
    import pathlib

    from tests.soak import faults as soak_faults
    from tests.soak import judge as soak_judge
    from tests.soak import layout
    from tests.soak import system as soak_system


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The results of a soak.

    Attributes:
        faults: Injected faults: time, kind, duration, target and variant.
        requests: Number of requests by outcome.
        peak_node_mb: Largest resident memory of a node.
        pauses: When the harness, and with it all links, was paused.
        engine_pauses: When sound engines were silent.
        repeats: Repeats of each service in its worst window.
        times: Requests that were handed more time than was left.
        cut_off_routes: Requests served at nodes without engines, by route.
    """

    options: dict[str, Any]
    faults: list[str]
    requests: dict[str, int]
    undisturbed: int
    runs: int
    refused_after_run: int
    node_starts: int
    engine_starts: int
    peak_node_mb: float
    pauses: list[str]
    engine_pauses: list[str]
    repeats: dict[str, str]
    times: str
    cut_off_routes: dict[str, str]
    violations: list[soak_judge.Violation]
    disturbances: list[str]


def create_report(
    options: layout.SoakOptions,
    faults: list[soak_faults.Fault],
    system: soak_system.SoakSystem,
    judge: soak_judge.Judge,
) -> Report:
    engines = system.engines + system.departed
    return Report(
        options=dataclasses.asdict(options),
        faults=[
            f"{f.at_s:.2f} {type(f).__name__} {f.lasts_s} s, "
            f"pick {f.pick:.3f}, shape {f.shape:.3f}"
            for f in faults
        ],
        requests=dict(sorted(judge.counts.items())),
        undisturbed=judge.undisturbed,
        runs=sum(len(work.ran) for work in judge.work.values()),
        refused_after_run=judge.refused_after_run,
        node_starts=sum(node.starts for node in system.nodes),
        engine_starts=sum(engine.starts for engine in engines),
        peak_node_mb=round(max(node.peak_mb for node in system.nodes), 1),
        pauses=[
            f"{d.start - judge.started:.2f} {d.what}"
            for d in system.disturbances.all
            if d.target == disturbances.HARNESS
        ],
        engine_pauses=[
            f"{p.start - judge.started:.2f} to {p.end - judge.started:.2f} "
            f"{p.engine}"
            for p in system.disturbances.pauses
        ],
        repeats={
            service: f"{window.repeats} of {window.allowed:.1f}"
            for service, window in judge.repeat_windows.items()
        },
        times=f"{len(judge.times.excessive)} of {judge.times.counted}",
        cut_off_routes=judge.cut_off_routes,
        violations=judge.violations,
        disturbances=[
            f"{d.start - judge.started:.2f} to {d.end - judge.started:.2f} "
            f"{d.target}: {d.what}"
            for d in system.disturbances.all
        ],
    )


def write(report: Report, folder: pathlib.Path) -> None:
    """Writes ``report.json`` and ``report.txt``."""
    content = json.dumps(dataclasses.asdict(report), indent=1)
    (folder / "report.json").write_text(content + "\n")
    (folder / "report.txt").write_text(render_text(report) + "\n")


def render_text(report: Report) -> str:
    requests = ", ".join(f"{k}: {v}" for k, v in report.requests.items())
    lines = [
        f"options: {report.options}",
        f"faults: {len(report.faults)}",
        f"requests: {requests}",
        f"requests at undisturbed nodes: {report.undisturbed}",
        f"runs at engines: {report.runs}",
        f"idempotent requests that ran and were refused: "
        f"{report.refused_after_run}",
        f"starts: nodes {report.node_starts}, engines {report.engine_starts}",
        f"largest node: {report.peak_node_mb} MB",
        f"pauses of the harness: {len(report.pauses)}",
        f"pauses of sound engines: {len(report.engine_pauses)}",
        f"repeats in the worst window, of those allowed: {report.repeats}",
        f"requests handed more time than was left, of those that were sent "
        f"late: {report.times}",
        f"served at nodes without engines: {report.cut_off_routes}",
        f"violations: {len(report.violations)}",
    ]
    for violation in report.violations:
        lines.append(
            f"  {violation.at_s:.2f} s {violation.promise.name}: "
            f"{violation.detail}"
        )
    return "\n".join(lines)
