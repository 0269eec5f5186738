from __future__ import annotations

import pytest

from almondshift.model import fleet
from almondshift.policy import topology
from tests.policy import fleets


def _make_topology(model_version: int = 1) -> topology.Topology:
    topo = topology.create_topology()
    topo.configure(fleets.make_fleet(model_version=model_version))
    for name in ("a", "b", "c", "d"):
        event = fleets.seen(name)
        topo.update_vm(event.vm, event.description)
    return topo


def _version(topo: topology.Topology) -> int | None:
    assert topo.fleet is not None
    target = topo.target_of(topo.fleet.services["chat"])
    return target.version if target else None


@pytest.mark.parametrize(
    ("held", "wanted", "version"),
    [
        ({"a": (0, 8, 1)}, 1, 1),
        ({"a": (0, 8, 1), "b": (0, 8, 2)}, 2, 2),
        ({"a": (0, 8, 1), "b": (0, 4, 2)}, 2, 1),
        ({"a": (0, 8, 1), "b": (0, 4, 2), "c": (4, 8, 2)}, 2, 2),
        ({"a": (0, 8, 1), "b": (0, 8, 2)}, 3, 2),
        ({"a": (0, 8, 3), "b": (0, 4, 2)}, 2, 3),
        ({"a": (0, 4, 1), "b": (4, 8, 2)}, 2, None),
        ({"a": (0, 5, 1), "b": (3, 8, 1)}, 1, 1),
        ({}, 1, None),
    ],
)
def test_version_in_use(
    held: dict[str, tuple[int, int, int]], wanted: int, version: int | None
) -> None:
    topo = _make_topology(wanted)
    for name, (start, end, has) in held.items():
        event = fleets.reported(name, (start, end), version=has)
        topo.report(event.report, event.at)
    assert _version(topo) == version


def test_only_an_engines_own_ready_report_counts() -> None:
    topo = _make_topology()
    topo.report(fleets.reported("a", (0, 8), ready=False).report, 0.0)
    assert _version(topo) is None
    topo.report(fleets.reported("a", (0, 8)).report, 1.0)
    assert _version(topo) == 1
    topo.report(fleets.reported("a", (0, 8), leaving=True).report, 2.0)
    assert _version(topo) is None


def test_a_late_report_does_not_undo_a_newer_one() -> None:
    topo = _make_topology()
    topo.report(fleets.reported("a", (0, 8)).report, 5.0)
    assert not topo.report(
        fleets.reported("a", (0, 8), ready=False).report, 4.0
    )
    assert _version(topo) == 1


def test_an_engine_that_left_is_used_again_only_after_a_restart() -> None:
    topo = _make_topology()
    topo.report(fleets.reported("a", (0, 8)).report, 1.0)
    topo.mark_leaving("a")
    topo.report(fleets.reported("a", (0, 8)).report, 2.0)
    assert _version(topo) is None
    topo.report(fleets.reported("a", (0, 8), instance="a-2").report, 3.0)
    assert _version(topo) == 1


def test_dependencies_decide_readiness() -> None:
    topo = _make_topology()
    services = (
        fleet.Service("p", fleet.ServiceKind.PLAIN, depends_on=("chat",)),
        fleet.Service("x", fleet.ServiceKind.PLAIN, depends_on=("p",)),
        fleet.Service("loop", fleet.ServiceKind.PLAIN, depends_on=("loop",)),
    )
    topo.configure(fleets.make_fleet(version=2, services=services))
    for name in ("p", "x", "loop"):
        event = fleets.seen(f"on-{name}", service=name)
        topo.update_vm(event.vm, None)
    assert not topo.service_ready("x")
    topo.report(fleets.reported("a", (0, 8)).report, 1.0)
    assert topo.service_ready("x")
    assert not topo.service_ready("loop")


def test_an_older_configuration_is_ignored() -> None:
    topo = _make_topology()
    topo.configure(fleets.make_fleet(version=5, model_version=3))
    topo.configure(fleets.make_fleet(version=4, model_version=2))
    assert topo.fleet is not None and topo.fleet.version == 5
