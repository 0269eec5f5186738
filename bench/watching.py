"""Measures the cost for a node of watching engines, without HTTP calls.

Run as ``python -m bench.watching``; takes about 70 seconds. Each size uses
the real directory, the real choice of watchers and engines that answer at
once in this process. Add the cost of an HTTP call, as measured by
``python -m bench.pipeline_calls``, for each requested load report.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from typing import TYPE_CHECKING
from unittest import mock

import expression

from almondshift.adapters import system_clock
from almondshift.coordination import leaving
from almondshift.coordination import membership as memberships
from almondshift.coordination import peer_types
from almondshift.model import endpoints
from almondshift.node import directory
from almondshift.node import load_exchange
from almondshift.node import router_driver
from almondshift.policy import step_timeouts
from almondshift.ports import engines as engine_ports
from almondshift.ports import vm_lists
from bench import exchange

if TYPE_CHECKING:
    from almondshift import errors

SIZES = ((8, 30), (80, 270), (390, 820))
"""Nodes and engines."""

WARM_UP_S = 18.0
"""Covers the first requests to the engines, which are spread over this time."""

MEASURE_S = 4.0
CLOCK = system_clock.create_system_clock()


class StaticVmList(vm_lists.VmList):
    """A static list of VMs."""

    def __init__(self, vms: list[endpoints.Vm]) -> None:
        self.vms = vms

    async def list(
        self,
    ) -> expression.Result[list[endpoints.Vm], errors.StoreUnavailable]:
        """Returns the VMs."""
        return expression.Ok(self.vms)


class InstantEngines(engine_ports.EngineFactory):
    """Engines that answer at once.

    Attributes:
        load_requests: Number of load reports requested.
    """

    def __init__(self) -> None:
        self.load_requests = 0

    def build(self, name: str, address: str) -> engine_ports.Engine:
        """Returns an engine."""
        del address
        engine = mock.Mock()
        description = endpoints.EndpointDescription(
            name, f"{1:016x}", "kind", 8, 0.005, 0.0002, 16, 64
        )
        report = exchange.make_load_report(name, 1, 9)

        async def describe() -> object:
            return expression.Ok(description)

        async def load() -> object:
            self.load_requests += 1
            return expression.Ok(report)

        async def cache_events(after: int) -> object:
            del after
            return expression.Ok([])

        async def nothing() -> None:
            return None

        engine.describe = describe
        engine.load = load
        engine.cache_events = cache_events
        engine.start = nothing
        engine.close = nothing
        return engine


def make_membership(nodes: int) -> memberships.Membership:
    """Returns a membership with ``nodes`` nodes, all of them alive."""
    system = exchange.System(nodes)
    link = exchange.CodecLink({}, "node-0:1", exchange.Traffic())
    identity = peer_types.NodeIdentity("node-0", "node-0:1", "", "zone")
    membership = memberships.create_membership(
        link, CLOCK, random.Random(1), identity, system.seeds
    )
    membership.settings = dataclasses.replace(
        membership.settings, suspect_after_heartbeats=10_000
    )
    membership.join()
    for number in range(1, nodes):
        value = peer_types.NodeValue(peer="p:1", entry="e:1", zone="zone")
        membership.publish(
            exchange.peers.FactKind.NODE,
            f"node-{number}",
            value.model_dump_json().encode(),
            600.0,
        )
    return membership


async def measure(nodes: int, count: int) -> None:
    """Prints processor time and requested load reports per second."""
    membership = make_membership(nodes)
    driver = router_driver.create_router_driver(exchange.IdleRouter(), CLOCK)
    factory = InstantEngines()
    node_directory = directory.Directory(
        StaticVmList([exchange.make_vm(f"engine-{n}") for n in range(count)]),
        factory,
        driver,
        step_timeouts.create_step_timeouts(),
        leaving.create_leaving_endpoints(CLOCK, membership.publish),
        CLOCK,
        random.Random(1),
        directory.DirectorySettings(),
    )
    node_exchange = load_exchange.create_load_exchange(
        membership,
        node_directory,
        driver,
        driver.usage,
        CLOCK,
        random.Random(1),
    )
    node_directory.watches = node_exchange.watches
    await node_directory.start()
    await asyncio.sleep(WARM_UP_S)
    requested, started = factory.load_requests, time.process_time()
    await asyncio.sleep(MEASURE_S)
    share = (time.process_time() - started) / MEASURE_S
    requested = factory.load_requests - requested
    watched = sum(e.watched for e in node_directory.endpoints.values())
    print(
        f"{nodes} nodes, {count} engines: {watched} watched, "
        f"{requested / MEASURE_S:.0f} reports requested per second, "
        f"{100 * share:.2f}% of a core without the calls",
        flush=True,
    )
    await node_directory.close()


async def measure_sizes() -> None:
    """Measures all sizes."""
    for nodes, count in SIZES:
        await measure(nodes, count)


def main() -> None:
    """Prints the figures."""
    asyncio.run(measure_sizes())


if __name__ == "__main__":
    main()
