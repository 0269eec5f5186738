"""Evidence of crashes, and how many harmless requests are refused for it."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import Any

import pytest

from almondshift.policy import crash_strikes
from almondshift.relay import crash_watch
from almondshift.relay import port_checks
from tests.fakes import clocks
from tests.fakes import routed as fake_routed

STREAMS = 60
"""Streams that run on an engine."""


class Port(enum.StrEnum):
    """What a check of an endpoint's port finds."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


PORT_RESULTS = {Port.OPEN: True, Port.CLOSED: False, Port.SILENT: None}


@dataclasses.dataclass
class FakePorts:
    """Ports of endpoints, by address."""

    port: Port
    checks: int = 0

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        del address, timeout_s
        self.checks += 1
        return PORT_RESULTS[self.port]


def routed(name: str) -> Any:
    return fake_routed.routed(name, name.encode())


def create_watch(ports: FakePorts) -> crash_watch.CrashWatch:
    return crash_watch.create_crash_watch(
        clocks.VirtualClock(),
        ports,  # type: ignore[arg-type]
    )


async def break_streams(
    watch: crash_watch.CrashWatch,
    instance: str,
    names: list[str],
    sends: int = 1,
) -> None:
    """Breaks the connections of streams to an endpoint; ends its checks."""
    for name in names:
        watch.note_broken(routed(name), sends, instance, "127.0.0.1:1")
    while watch.ports.checking:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("port", "is_leaving", "strikes"),
    [
        pytest.param(Port.CLOSED, False, STREAMS, id="crash"),
        pytest.param(Port.OPEN, False, 0, id="links reset"),
        pytest.param(Port.SILENT, False, 0, id="silent for a second"),
        pytest.param(Port.CLOSED, True, 0, id="planned leave"),
    ],
)
def test_only_a_closed_port_without_notice_is_a_crash(
    port: Port, is_leaving: bool, strikes: int
) -> None:
    """Guards against strikes for endpoints that did not crash."""

    async def scenario() -> None:
        ports = FakePorts(port)
        watch = create_watch(ports)
        watch.is_leaving = lambda instance: is_leaving
        await break_streams(watch, "e1", [f"r{n}" for n in range(STREAMS)])
        assert len(watch.strikes.strikes) == strikes
        assert ports.checks <= len(port_checks.CHECK_DELAYS_S)
        await watch.close()

    asyncio.run(scenario())


def test_an_endpoint_that_falls_silent_crashed_if_the_registry_drops_it() -> (
    None
):
    async def scenario() -> None:
        watch = create_watch(FakePorts(Port.SILENT))
        await break_streams(watch, "e1", ["r1"])
        watch.endpoint_gone("e1", was_leaving=False)
        assert len(watch.strikes.strikes) == 1
        await watch.close()

    asyncio.run(scenario())


RACK = 3


@pytest.mark.parametrize(
    ("runs_on", "waited_s", "refused"),
    [
        pytest.param(1, 10.0, 0, id="lost at once"),
        pytest.param(2, 10.0, 0, id="one after another, resumed once"),
        pytest.param(3, 0.0, 0, id="one after another, resumed twice"),
        pytest.param(3, 10.0, STREAMS, id="the same, none answered"),
    ],
)
def test_streams_of_a_lost_rack_are_refused_only_after_three_crashes(
    runs_on: int, waited_s: float, refused: int
) -> None:
    """Counts harmless streams that are refused as their rack is lost.

    Each of three engines runs sixty of them, or sixty run on one after
    another of the engines. Streams that met all three crashes can't be told
    from one that causes them; they have a while to be answered.
    """

    async def scenario() -> None:
        watch = create_watch(FakePorts(Port.CLOSED))
        names = [f"r{n}" for n in range(STREAMS)]
        for index in range(RACK):
            running = names
            if runs_on == 1:
                running = [f"{name}/{index}" for name in names]
            if index < max(runs_on, 1) or runs_on == 1:
                await break_streams(watch, f"e{index}", running, index)
        clock = watch.clock
        assert isinstance(clock, clocks.VirtualClock)
        clock.now += waited_s
        counted = sum(watch.is_refused(routed(name)) for name in names)
        assert counted == refused
        await watch.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("engines", [1, 2, 3])
def test_streams_that_meet_the_same_crashes_are_not_refused_at_once(
    engines: int,
) -> None:
    """Guards against harmless streams refused beside one that crashes engines.

    Sixty streams leave each crashed engine together and meet the next crash.
    Only the request that crashes engines is in flight at all crashes of a
    second group.
    """

    async def scenario() -> None:
        watch = create_watch(FakePorts(Port.CLOSED))
        names = ["bad", *(f"r{n}" for n in range(STREAMS - 1))]
        for index in range(engines):
            await break_streams(watch, f"e{index}", names, index)
        refused = [name for name in names if watch.is_refused(routed(name))]
        assert not refused
        for name in names[1:]:
            watch.note_answered(routed(name))
        for index in range(engines, crash_strikes.MAX_STRIKES):
            await break_streams(watch, f"e{index}", ["bad", "other"], index)
        refused = [name for name in names if watch.is_refused(routed(name))]
        assert refused == ["bad"]
        await watch.close()

    asyncio.run(scenario())


def test_crashes_by_a_refused_part_count_against_no_other_request() -> None:
    """Guards against sound streams refused as they met a part's crashes.

    Sixty streams resume together on each next engine that the part crashes.
    """

    async def scenario() -> None:
        watch = create_watch(FakePorts(Port.CLOSED))
        watch.note_answered(fake_routed.routed("r", b"r", ("first", "own")))
        names = [f"r{n}" for n in range(STREAMS)]
        for index in range(4):
            bad = fake_routed.routed(
                f"bad{index}", b"%d" % index, ("first", "part", f"own{index}")
            )
            watch.note_broken(bad, 1, f"e{index}", "127.0.0.1:1")
            await break_streams(watch, f"e{index}", names, index)
        clock = watch.clock
        assert isinstance(clock, clocks.VirtualClock)
        clock.now += 10.0
        assert watch.is_refused(bad)
        assert not any(watch.is_refused(routed(name)) for name in names)
        await watch.close()

    asyncio.run(scenario())


def test_requests_in_flight_at_the_same_crashes_are_refused_later() -> None:
    """Guards against a request that is never refused since others ran too."""
    strikes = crash_strikes.CrashStrikes()
    for index in range(crash_strikes.MAX_STRIKES):
        for name in ("one", "other"):
            strikes.strike(name, f"e{index}", float(index))
    last = crash_strikes.MAX_STRIKES - 1.0
    for name in ("one", "other"):
        assert not strikes.is_refused(name, last)
        assert strikes.is_refused(name, last + crash_strikes.AMBIGUOUS_S)


def test_a_crash_counts_once_for_all_copies_of_a_request() -> None:
    """Guards against a request refused after one crash that nodes report."""
    strikes = crash_strikes.CrashStrikes()
    strikes.note_broken_attempt("r", "r/1", "e1", 0.0)
    strikes.crashed("e1", 0.1)
    for _ in range(crash_strikes.MAX_STRIKES):
        strikes.strike("r", "e1", 0.2)
    assert not strikes.is_refused("r", 10.0)
