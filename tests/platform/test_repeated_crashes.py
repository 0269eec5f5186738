"""A request that crashes its endpoints, whose registry entries stay.

An endpoint that crashes closes its port at once. Its entry stays in the
registry until its lease ends, or for as long as the store does not respond.
"""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import crash_strikes
from tests.platform import crashing_endpoints
from tests.platform import cut_links
from tests.platform import standin_system as system

CRASHING_BODY = b"crashes"

ENDPOINTS = 45
CALLERS = 3

PAUSE_S = 0.6
"""Pause of each caller before it sends the request again."""

LATE_S = 3.0
MAX_LATE_RUNS = 3
"""The stated target: at most this many runs later than ``LATE_S`` after the
third crash."""

SPREAD_S = 1.0
"""Time within which peers learn of urgent facts."""


async def send_repeatedly(
    running: system.StandinSystem, path: str, caller: int, until: float
) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        node = (caller + number) % len(running.nodes)
        entry = running.nodes[node].settings.entry.address
        head = system.request(path, f"bad-{caller}-{number}")
        status, _, _ = await system.send(entry, head, CRASHING_BODY)
        assert status in (0, 502, 503)
        number += 1
        await asyncio.sleep(PAUSE_S)


@pytest.mark.parametrize("path", ["/once/x", "/look/x", "/chat/x"])
@pytest.mark.parametrize("registry", list(crashing_endpoints.Registry), ids=str)
def test_a_repeated_request_does_not_crash_endpoints_until_their_leases_end(
    registry: crashing_endpoints.Registry, path: str
) -> None:
    """Guards against crashes that count only once the registry shows them."""

    async def scenario() -> None:
        async with system.running_system(nodes=3, zones="abc") as running:
            await running.wait_for_peers()
            for index in range(ENDPOINTS):
                await running.add_engine(f"q{index}", system.PLAIN_SERVICE, "a")
            await running.until(
                lambda: all(
                    len(process.node.catalogue.engines) == len(running.engines)
                    for process in running.nodes
                )
            )
            endpoints = crashing_endpoints.CrashingEndpoints(
                running, registry, CRASHING_BODY
            )
            if registry is crashing_endpoints.Registry.SILENT_STORE:
                running.store.faults.is_silent = True
            until = endpoints.loop.time() + LATE_S + crashing_endpoints.LEASE_S
            await asyncio.gather(
                *(
                    send_repeatedly(running, path, caller, until)
                    for caller in range(CALLERS)
                )
            )
            assert (
                endpoints.runs_after(LATE_S, crash_strikes.MAX_STRIKES)
                <= MAX_LATE_RUNS
            )
            assert (
                endpoints.runs_after(SPREAD_S, crash_strikes.MAX_STRIKES) == 0
            )
            running.store.faults.is_silent = False

    asyncio.run(scenario())


REPLACED_S = 3.0
"""Time after a crash at which another endpoint starts at the same address."""

SOON_DROPPED_S = 3.3
"""Time after which the entry of the crashed one leaves the registry."""


class ReplacedEndpoints(crashing_endpoints.CrashingEndpoints):
    """Endpoints that are replaced at their addresses after a crash."""

    def crash(self, engine: system.standin_engines.StandinEngine) -> None:
        self.crashed_at.append(self.loop.time())
        if engine.is_dead:
            return  # Another run of the request at the same moment.
        engine.is_dead = True
        self.closing.add(self.loop.create_task(self.replace(engine)))

    async def replace(
        self, engine: system.standin_engines.StandinEngine
    ) -> None:
        await engine.close()
        await asyncio.sleep(REPLACED_S)
        running = self.running
        instance = f"{engine.instance}r"
        created = system.standin_engines.StandinEngine(
            running.cluster, instance, ""
        )
        await created.start(int(engine.address.rpartition(":")[2]))
        created.crashing_body = CRASHING_BODY
        created.on_crash = lambda: self.crash(created)
        running.engines[instance] = created
        entry = created.entry(system.PLAIN_SERVICE, "a")
        running.store.put("servers", instance, entry)
        await asyncio.sleep(SOON_DROPPED_S - REPLACED_S)
        running.store.remove("servers", engine.instance)


@pytest.mark.parametrize("path", ["/once/x", "/look/x"])
@pytest.mark.parametrize("is_cut", [False, True], ids=["own", "passed_on"])
def test_a_repeated_request_does_not_crash_replacements(
    is_cut: bool, path: str
) -> None:
    """Guards against replacements that crash before the last lease ends.

    All endpoints of the service crash within a moment, and others start at
    their addresses. One node may have to pass its requests to peers.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=3, zones="abc") as running:
            await running.wait_for_peers()
            endpoints = ReplacedEndpoints(running, body=CRASHING_BODY)
            if is_cut:
                pool = cut_links.create_cuttable_pool(running.nodes[0])
                pool.begin(cut_links.Cut.RESET)
            until = endpoints.loop.time() + 2 * REPLACED_S + LATE_S
            await asyncio.gather(
                *(
                    send_repeatedly(running, path, caller, until)
                    for caller in range(2 * CALLERS)
                )
            )
            await asyncio.gather(*endpoints.closing)
            assert len(endpoints.crashed_at) >= crash_strikes.MAX_STRIKES
            assert (
                endpoints.runs_after(LATE_S, crash_strikes.MAX_STRIKES)
                <= MAX_LATE_RUNS
            )
            assert (
                endpoints.runs_after(SPREAD_S, crash_strikes.MAX_STRIKES) == 0
            )
            head = system.request("/once/x", "fine")
            entry = running.nodes[1].settings.entry.address
            assert (await system.send(entry, head, b"fine"))[0] == 200

    asyncio.run(scenario())


SHORT_LEASE_S = 1.0
SHORT_DEADLINE_MS = "300"


@pytest.mark.parametrize("path", ["/once/x", "/look/x"])
def test_endpoints_that_fall_silent_count_once_their_leases_end(
    path: str,
) -> None:
    """Guards against crashes that never count as no connection was reset.

    The VMs of the endpoints lose power; the requests end by their deadlines.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            for index in range(ENDPOINTS):
                await running.add_engine(f"q{index}", system.PLAIN_SERVICE, "a")
            lost: list[str] = []
            loop = asyncio.get_running_loop()

            def crash(engine: system.standin_engines.StandinEngine) -> None:
                engine.is_dead = True
                lost.append(engine.instance)
                loop.call_later(
                    SHORT_LEASE_S,
                    running.store.remove,
                    "servers",
                    engine.instance,
                )

            for engine in running.engines.values():
                engine.crashing_body = CRASHING_BODY
                engine.crashes_silently = True
                engine.on_crash = lambda engine=engine: crash(engine)
            for number in range(crash_strikes.MAX_STRIKES):
                head = system.request(
                    path, f"bad-{number}", X_Deadline_Ms=SHORT_DEADLINE_MS
                )
                entry = running.nodes[number % 2].settings.entry.address
                assert (await system.send(entry, head, CRASHING_BODY))[0] == 504
            await running.until(
                lambda: (
                    not any(
                        instance in process.node.catalogue.engines
                        for process in running.nodes
                        for instance in lost
                    )
                )
            )
            await asyncio.sleep(SPREAD_S)
            known = len(lost)
            for node in running.nodes:
                head = system.request(path, "bad-again")
                entry = node.settings.entry.address
                status, _, body = await system.send(entry, head, CRASHING_BODY)
                assert status == 503
                assert b"crashes_endpoints" in body
            assert len(lost) == known

    asyncio.run(scenario())
