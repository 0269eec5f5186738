"""Nodes that lose their links to engines while others keep theirs."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import engine_tracker
from almondshift.relay import stream_run
from tests.platform import cut_links
from tests.platform import loop_delays
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

DETECTED_S = 3.0
"""Time after which callers of a node that has lost its links have to be
served."""

MAX_REFUSAL_TIME_S = 0.5
CUTS = list(cut_links.Cut)


@pytest.mark.parametrize(
    "cut", [cut_links.Cut.RESET, cut_links.Cut.SILENT], ids=str
)
def test_a_node_without_engines_notices_it_and_their_return(
    cut: cut_links.Cut,
) -> None:
    """Guards against a lost link that looks like an overload in the log."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            for engine in running.engines.values():
                engine.events = 400
            streams = [
                asyncio.create_task(whole.chat(running, f"r{n}"))
                for n in range(4)
            ]
            await running.until(
                lambda: sum(map(len, map(ran, running.engines.values()))) == 4
            )
            states = [
                p.node.shared.links.of(system.MODEL_SERVICE)
                for p in running.nodes
            ]
            pool.begin(cut)
            await running.until(lambda: states[0].is_isolated, DETECTED_S)
            assert not states[1].is_isolated
            pool.end()
            await running.until(lambda: not states[0].is_isolated, DETECTED_S)
            for stream in streams:
                stream.cancel()

    asyncio.run(scenario())


def ran(engine: object) -> list[str]:
    found: list[str] = engine.ran  # type: ignore[attr-defined]
    return found


def test_a_silent_engine_does_not_isolate_a_node() -> None:
    """Guards against a node that leaves its engines since one is silent."""

    async def scenario() -> None:
        async with system.running_system(zones="ab") as running:
            [process] = running.nodes
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            busy = next(e for e in running.engines.values() if e.ran)
            busy.is_dead = True
            for _ in range(15):
                await asyncio.sleep(0.1)
                links = process.node.shared.links
                assert not links.is_isolated(system.MODEL_SERVICE)
            stream.cancel()

    asyncio.run(scenario())


async def send_tries(
    running: system.StandinSystem, node: int, count: int, name: str
) -> list[tuple[str, int, int]]:
    """Sends requests of all kinds; returns path, status and times run."""
    entry = running.nodes[node].settings.entry.address
    results = []
    for number in range(count):
        for path in ("/chat/x", "/look/x", "/once/x"):
            request_id = f"{name}-{path[1:5]}-{node}-{number}"
            head = system.request(path, request_id)
            status, _, _ = await system.send(entry, head, b"x")
            times = whole.times_run(running, request_id)
            results.append((path, status, times))
    return results


@pytest.mark.parametrize("cut_nodes", [(0,), (0, 2), (0, 1, 2)], ids=len)
@pytest.mark.parametrize("cut", CUTS, ids=str)
def test_callers_of_a_node_without_engines_are_served(
    cut: cut_links.Cut, cut_nodes: tuple[int, ...]
) -> None:
    """Guards against nodes that refuse callers whom their peers could serve.

    One node, all nodes of a zone, or all but one lose all engines.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=4) as running:
            await running.wait_for_peers()
            pools = [
                cut_links.create_cuttable_pool(running.nodes[node])
                for node in cut_nodes
            ]
            await asyncio.gather(
                *(send_tries(running, node, 3, "before") for node in cut_nodes)
            )
            for pool in pools:
                pool.begin(cut)
            loop = asyncio.get_running_loop()
            until = loop.time() + DETECTED_S
            while loop.time() < until:
                await asyncio.gather(
                    *(whole.chat(running, "early", n) for n in cut_nodes)
                )
            results = await asyncio.gather(
                *(send_tries(running, node, 8, "cut") for node in cut_nodes)
            )
            tried = [result for found in results for result in found]
            assert {status for _, status, _ in tried} == {200}
            assert {times for path, _, times in tried if path == "/once/x"} == {
                1
            }

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "cut", [cut_links.Cut.SILENT, cut_links.Cut.ACCEPT], ids=str
)
def test_a_node_on_a_busy_machine_notices_that_it_is_cut_off(
    cut: cut_links.Cut,
) -> None:
    """Guards against callers who wait as each check of the links is late."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            await send_tries(running, 0, 3, "before")
            async with loop_delays.delays_of_the_process(
                seconds=0.2, gap_s=0.02
            ):
                pool.begin(cut)
                caller = asyncio.create_task(send_tries(running, 0, 8, "cut"))
                links = running.nodes[0].node.shared.links
                await running.until(
                    lambda: links.is_isolated(system.MODEL_SERVICE),
                    DETECTED_S,
                )
                caller.cancel()

    asyncio.run(scenario())


def test_a_node_on_a_busy_machine_reads_late_responses() -> None:
    """Guards against a node that takes its own delays for a cut."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            await send_tries(running, 0, 3, "before")
            links = running.nodes[0].node.shared.links
            state = links.of(system.MODEL_SERVICE)
            loop = asyncio.get_running_loop()
            async with loop_delays.delays_of_the_process(
                seconds=0.2, gap_s=0.02
            ):
                until = loop.time() + DETECTED_S
                while loop.time() < until:
                    checked_at = state.checked_at
                    state.want_check(loop.time())
                    await running.until(
                        lambda at=checked_at: state.checked_at > at  # type: ignore[misc]
                    )
                    assert not state.is_isolated

    asyncio.run(scenario())


@pytest.mark.parametrize("prefixes", [("a", "b"), ("p",)], ids=str)
@pytest.mark.parametrize(
    "cut", [cut_links.Cut.RESET, cut_links.Cut.SILENT], ids=str
)
def test_callers_are_served_if_a_node_loses_one_service(
    cut: cut_links.Cut, prefixes: tuple[str, ...]
) -> None:
    """Guards against a lost service that goes unnoticed beside a live one."""

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            await send_tries(running, 0, 3, "before")
            lost = frozenset(
                engine.address
                for name, engine in running.engines.items()
                if name.startswith(prefixes)
            )
            pool.begin(cut, lost)
            loop = asyncio.get_running_loop()
            until = loop.time() + DETECTED_S
            while loop.time() < until:
                await send_tries(running, 0, 1, f"early-{loop.time()}")
            tried = await send_tries(running, 0, 8, "cut")
            assert {status for _, status, _ in tried} == {200}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "cut", [cut_links.Cut.RESET, cut_links.Cut.SILENT], ids=str
)
def test_begun_streams_of_a_node_that_loses_all_engines_are_completed(
    cut: cut_links.Cut,
) -> None:
    """Guards against responses that break off though a peer could resume."""

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            for engine in running.engines.values():
                engine.events = 100
                engine.gap_s = 0.02
            streams = [
                asyncio.create_task(whole.chat(running, f"r{n}"))
                for n in range(6)
            ]
            await asyncio.sleep(0.5)
            pool.begin(cut)
            wanted = [f"token {number}" for number in range(1, 101)]
            for stream in streams:
                status, _, body = await stream
                assert (status, whole.tokens(body)) == (200, wanted)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "cut", [cut_links.Cut.RESET, cut_links.Cut.SILENT], ids=str
)
def test_requests_are_refused_at_once_if_no_node_reaches_engines(
    cut: cut_links.Cut,
) -> None:
    """Guards against requests that nodes pass to each other in vain."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            for process in running.nodes:
                cut_links.create_cuttable_pool(process).begin(cut)
            loop = asyncio.get_running_loop()
            until = loop.time() + 2 * DETECTED_S
            while loop.time() < until:
                await asyncio.gather(
                    *(whole.chat(running, "early", node) for node in (0, 1))
                )
            for number in range(6):
                started = loop.time()
                status, fields, _ = await whole.chat(
                    running, f"r{number}", number % 2
                )
                assert status == 503
                assert float(fields["retry-after"]) > 0
                assert loop.time() - started < MAX_REFUSAL_TIME_S

    asyncio.run(scenario())


def test_a_service_without_a_health_check_gets_no_queries() -> None:
    """Guards against malformed requests to endpoints that can't be queried."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            changed = system.config(2)
            changed["services"][1].pop("healthPath")
            running.store.put("op", "config", changed)
            catalogue = running.nodes[0].node.catalogue
            await running.until(
                lambda: catalogue.config and catalogue.config.version == 2
            )
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            pool.begin(cut_links.Cut.RESET)
            results = await send_tries(running, 0, 5, "cut")
            assert {status for _, status, _ in results} == {200}
            pool.end()
            for engine in (running.engines["pa"], running.engines["pb"]):
                assert not engine.other_calls
                assert len(engine.arrivals) == len(engine.ran)

    asyncio.run(scenario())


@pytest.mark.parametrize("cut", CUTS, ids=str)
def test_callers_of_a_node_that_sends_nothing_are_served(
    cut: cut_links.Cut,
) -> None:
    """Guards against a node that refuses all and so never sees its links fail.

    It took too few engines for lost to pass requests to peers, but too many to
    have a path.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            shared = running.nodes[0].node.shared
            pool.begin(cut)
            for instance in ("a0", "b0"):
                shared.lost_engines.suspect(
                    instance,
                    engine_tracker.Suspicion.UNREACHABLE,
                    engine_tracker.Evidence.PEER,
                )
            loop = asyncio.get_running_loop()
            until = loop.time() + DETECTED_S
            while loop.time() < until:
                await whole.chat(running, f"early-{loop.time()}")
                await asyncio.sleep(0.1)
            for number in range(10):
                status, _, _ = await whole.chat(running, f"r{number}")
                assert status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("cut", CUTS, ids=str)
def test_callers_of_a_service_without_a_health_check_are_served(
    cut: cut_links.Cut,
) -> None:
    """Guards against plain requests that wait for endpoints out of reach.

    The endpoints can't be queried; the node knows from another service that it
    has lost its links.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            changed = system.config(2)
            changed["services"][1].pop("healthPath")
            running.store.put("op", "config", changed)
            catalogue = running.nodes[0].node.catalogue
            await running.until(
                lambda: catalogue.config and catalogue.config.version == 2
            )
            await send_tries(running, 0, 3, "before")
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            pool.begin(cut)
            loop = asyncio.get_running_loop()
            until = loop.time() + DETECTED_S
            while loop.time() < until:
                early = asyncio.create_task(
                    send_tries(running, 0, 1, f"early-{loop.time()}")
                )
                await asyncio.sleep(0.2)
            results = await send_tries(running, 0, 8, "cut")
            assert {status for _, status, _ in results} == {200}
            await early
            pool.end()
            links = running.nodes[0].node.shared.links
            await running.until(
                lambda: not links.is_isolated(system.PLAIN_SERVICE), DETECTED_S
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "cut", [cut_links.Cut.RESET, cut_links.Cut.SILENT], ids=str
)
def test_a_stream_without_attempts_left_survives_the_loss_of_links(
    cut: cut_links.Cut,
) -> None:
    """Guards against begun streams that end while the node learns of a cut.

    The stream is resumed on a pooled connection, which is cut too. Both
    attempts of its route are used before the node knows that its link is lost.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            for engine in running.engines.values():
                engine.events = 100
                engine.gap_s = 0.02
            await asyncio.gather(
                *(whole.chat(running, f"warm-{n}") for n in range(6))
            )
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await asyncio.sleep(0.4)
            [run] = running.nodes[0].node.shared.running
            assert isinstance(run, stream_run.StreamRun)
            assert run.attempt is not None
            run.ended_runs.add_settled(run.routed.route.max_attempts - 1)
            pool.begin(cut)
            status, _, body = await stream
            assert status == 200
            assert len(whole.tokens(body)) == 100

    asyncio.run(scenario())
