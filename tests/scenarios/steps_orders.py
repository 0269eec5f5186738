"""Steps for the control lease and orders to engines."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING
from typing import Any

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import proxy as fault_proxy
from tests.faults import systems

if TYPE_CHECKING:
    from tests.scenarios import control as controls

ENGINE_FLAGS = {"check": (), "ignore": ("--ignore-fencing",)}
FORMER = "former holder"
FORMER_FENCING = "fencing number of the former holder"
LATE_ORDER = "late order"


@given(
    parsers.parse(
        "a system of {nodes:d} nodes with engines that {check} fencing numbers"
    )
)
def start_checking(control: controls.Control, nodes: int, check: str) -> None:
    engines = tuple(
        dataclasses.replace(shape, extra=ENGINE_FLAGS[check])
        for shape in systems.ENGINES
    )
    control.start(nodes, engines)


async def _lease(control: controls.Control) -> dict[str, Any]:
    rows = await control.rows("leases", "control")
    found: dict[str, Any] = rows[0]["value"] if rows else {}
    return found


@when("the lease holder freezes")
def freeze_holder(control: controls.Control) -> None:
    row = control.world.run(_lease(control))
    control.world.notes[FORMER] = row["holder"]
    control.world.notes[FORMER_FENCING] = row["fencing"]
    control.frozen.add(row["holder"])
    control.system.nodes[row["holder"]].freeze()


@when("another node holds the lease")
def another_holds(control: controls.Control) -> None:
    former = control.world.notes[FORMER]

    async def holds() -> bool:
        row = await _lease(control)
        return bool(row) and row["holder"] != former

    control.world.run(control.system.wait_for(holds, "a new holder"))


@when(parsers.parse("the model is changed to version {version:d}"))
def change_model(control: controls.Control, version: int) -> None:
    node = next(n for n in control.system.nodes if n not in control.frozen)
    text = systems.fleet_text().replace(
        "layers = 12\nversion = 1", f"layers = 12\nversion = {version}"
    )
    applied = control.world.run(control.system.apply(text, 1, node))
    assert applied.is_ok(), applied


async def _report(control: controls.Control, engine: str) -> dict[str, Any]:
    found: dict[str, Any] = await control.system.get_json(
        control.system.engines[engine].address, "/v1/load"
    )
    return found


def _holds(report: dict[str, Any], version: int) -> bool:
    ready = [h for h in report.get("holdings", []) if h["ready"]]
    return bool(ready) and all(h["version"] == version for h in ready)


@given(parsers.parse("all engines hold version {version:d}"))
@then(parsers.parse("all engines hold version {version:d}"))
def engines_hold(control: controls.Control, version: int) -> None:
    reports: dict[str, dict[str, Any]] = {}

    async def hold() -> bool:
        for engine in control.system.engines:
            reports[engine] = await _report(control, engine)
        return all(_holds(report, version) for report in reports.values())

    control.world.run(
        control.system.wait_for(
            hold, f"version {version}", seen=lambda: reports
        )
    )


@when("the platform is cut off from the former holder")
def cut_platform(control: controls.Control) -> None:
    proxy = control.proxies[control.world.notes[FORMER]]
    proxy.blocked_directions.update(fault_proxy.Direction)


@when("the former holder thaws")
def thaw_holder(control: controls.Control) -> None:
    former = control.world.notes[FORMER]
    control.system.nodes[former].thaw()
    control.frozen.discard(former)


@when(
    parsers.parse(
        "the former holder sees that engines hold version {version:d}"
    )
)
def former_holder_sees(control: controls.Control, version: int) -> None:
    former = control.world.notes[FORMER]

    async def sees() -> bool:
        status = await control.system.status(former)
        rows = status.get("endpoints", [])
        engines = [row for row in rows if row["kind"] == "engine"]
        return bool(engines) and all(
            held["version"] == version
            for row in engines
            for held in row["holdings"]
            if held["ready"]
        )

    control.world.run(control.system.wait_for(sees, f"{former} sees"))


async def _orders(
    control: controls.Control, engine: str
) -> list[dict[str, Any]]:
    found = await control.system.get_json(
        control.system.engines[engine].address, "/v1/orders"
    )
    rows: list[dict[str, Any]] = found["rows"]
    return rows


@then("no engine got an order with a lower fencing number than before")
def fencing_never_decreases(control: controls.Control) -> None:
    for engine in control.system.engines:
        rows = control.world.run(_orders(control, engine))
        numbers = [row["fencing"] for row in rows]
        assert numbers, engine
        pairs = itertools.pairwise(numbers)
        assert all(one <= other for one, other in pairs), (engine, rows)


@when(
    parsers.parse(
        "an order of the former holder for version {version:d} reaches {engine}"
    )
)
def late_order(control: controls.Control, version: int, engine: str) -> None:
    """Sends what a holder would send if it was paused just before the call."""
    rows = control.world.run(_orders(control, engine))
    earlier = next(row for row in rows if row["version"] == version)
    body = {
        "fencing": control.world.notes[FORMER_FENCING],
        "role": "serving",
        "model": systems.MODEL,
        "version": version,
        "adapter": "",
        "start": earlier["start"],
        "end": earlier["end"],
    }
    control.world.notes[LATE_ORDER] = len(rows)
    control.world.run(
        control.system.post_json(
            control.system.engines[engine].address, "/v1/orders", body
        )
    )


@then(parsers.parse("{engine} rejected it as stale"))
def rejected_stale(control: controls.Control, engine: str) -> None:
    assert _late_status(control, engine) == "stale"


@then(parsers.parse("{engine} accepted it"))
def accepted_late_order(control: controls.Control, engine: str) -> None:
    assert _late_status(control, engine) == "accepted"


def _late_status(control: controls.Control, engine: str) -> str:
    rows = control.world.run(_orders(control, engine))
    number = control.world.notes[FORMER_FENCING]
    late = [
        row
        for row in rows[control.world.notes[LATE_ORDER] :]
        if row["fencing"] == number
    ]
    assert len(late) == 1, rows
    status: str = late[0]["status"]
    return status
