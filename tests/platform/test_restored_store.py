"""Nodes that follow a store which returned from an older copy.

The store then has another era, gives out its versions again and lacks what was
written since the copy, until operators and engines write it again.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift.policy import feed_readers
from almondshift.ports import row_feeds
from tests.platform import standin_system as system

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import expression

    from almondshift.daemons import relay
    from almondshift.model import registered_engines
    from almondshift.ports import stores
    from tests.platform import standin_store

BOUND_S = 2.0
"""Time from the store's acknowledgement until a change is in force."""

AWAY_S = 0.8
FIRST_KEY = "key-2"
"""A key that configuration 3 revokes."""


def accounts(*keys: str) -> list[dict[str, Any]]:
    return [{"name": "account", "apiKeys": list(keys)}]


class Drill:
    """A running system whose store returns from a copy.

    Attributes:
        regressions: What became older on a node, as sampled all the time.
    """

    def __init__(self, running: system.StandinSystem) -> None:
        self.running = running
        self.store = running.store
        self.regressions: list[str] = []
        self.versions: dict[int, int] = {}
        self.left: dict[int, set[str]] = {}
        self.known: dict[int, set[str]] = {}
        self.lasting: set[str] = set()

    def put_config(self, version: int, *keys: str, path: str = "") -> None:
        content = system.config(version, tenants=accounts(system.KEY, *keys))
        if path:
            content["routes"].append(
                system.route("added", path, "safe", system.PLAIN_SERVICE)
            )
        self.store.put("op", "config", content)

    def put_entry(self, instance: str, state: str = "ready") -> None:
        engine = self.running.engines[instance]
        entry = engine.entry(system.PLAIN_SERVICE, "a", state)
        self.store.put("servers", instance, entry)

    def put_others(self, count: int) -> None:
        for number in range(count):
            self.store.put("other", f"row-{number}", {"n": self.store.version})

    def write_again(self, copy: standin_store.Copy) -> None:
        """Operators and engines write what the copy lacks."""
        lacking = [
            (key, value)
            for key, (value, version) in self.rows.items()
            if version > copy.version and key[0] in ("op", "servers")
        ]
        for (table, key), value in lacking:
            self.store.set_row(table, key, value)

    async def away(self, copy: standin_store.Copy, fails: bool = True) -> None:
        """Lets the store return from a copy, after a time away if it fails."""
        self.rows = dict(self.store.rows)
        if fails:
            self.store.go_away()
            await asyncio.sleep(AWAY_S)
        self.store.come_back(copy)

    def engines(
        self, process: relay.RelayProcess
    ) -> dict[str, registered_engines.RegisteredEngine]:
        found = process.node.catalogue.engines.values()
        return {engine.instance: engine for engine in found}

    def version(self, process: relay.RelayProcess) -> int:
        config = process.node.catalogue.config
        return 0 if config is None else config.version

    def sample(self) -> None:
        for process in self.running.nodes:
            mark, name = id(process), process.settings.node.name
            version = self.version(process)
            if version < self.versions.get(mark, 0):
                self.regressions.append(f"{name}: version {version}")
            self.versions[mark] = version
            engines = self.engines(process)
            left = self.left.setdefault(mark, set())
            for key, engine in engines.items():
                if engine.leaving:
                    left.add(key)
                elif key in left:
                    self.regressions.append(f"{name}: {key} is ready")
            known = self.known.setdefault(mark, set())
            for key in self.lasting & (known - engines.keys()):
                self.regressions.append(f"{name}: {key} is dropped")
            known.update(engines)

    def knows_all_nodes(self) -> bool:
        """Returns whether each node knows all others."""
        others = len(self.running.nodes) - 1
        return all(
            process.node.group is not None
            and len(process.node.group.serving()) == others
            for process in self.running.nodes
        )

    async def sample_all(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(0.01)

    async def in_force_s(self, condition: Any, bound_s: float = 6.0) -> float:
        """Returns the time until a condition holds on all nodes."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(bound_s):
                while not all(condition(p) for p in self.running.nodes):
                    await asyncio.sleep(0.01)
        return loop.time() - began_at


@contextlib.asynccontextmanager
async def running_drill(nodes: int) -> AsyncIterator[Drill]:
    async with system.running_system(nodes, zones="a") as running:
        await running.add_engine("pb", system.PLAIN_SERVICE, "a")
        if nodes > 1:
            await running.wait_for_peers()
        drill = Drill(running)
        sampling = asyncio.create_task(drill.sample_all())
        # Nodes pause after their first read.
        await asyncio.sleep(1.5)
        yield drill
        sampling.cancel()


class Case(enum.StrEnum):
    """How a node may notice the restored copy.

    BEHIND: versions are lower than those that nodes had, so that polls are
    refused. UNSEEN: no call fails and versions are higher again, only the era
    tells. PASSED: as UNSEEN, but open polls failed.
    """

    BEHIND = "behind"
    UNSEEN = "unseen"
    PASSED = "passed"


@pytest.mark.parametrize("eras", [1, 2])
@pytest.mark.parametrize("nodes", [1, 3, 9])
@pytest.mark.parametrize("case", list(Case), ids=str)
def test_later_changes_are_in_force_in_time(
    case: Case, nodes: int, eras: int
) -> None:
    """Otherwise nodes would follow the lost state until its versions pass."""

    async def scenario() -> None:
        async with running_drill(nodes) as drill:
            copy = drill.store.copy()
            drill.put_others(40)
            drill.put_config(2)
            await drill.in_force_s(lambda p: drill.version(p) == 2)
            for _ in range(eras):
                await drill.away(copy, fails=case is not Case.UNSEEN)
                drill.write_again(copy)
                if case is Case.BEHIND:
                    await asyncio.sleep(1.0)
            await drill.running.add_engine("pc", system.PLAIN_SERVICE, "a")
            drill.put_config(3, path="/added/")
            drill.put_entry("pa", "draining")
            if case is not Case.BEHIND:
                drill.put_others(400)
            seconds = await drill.in_force_s(
                lambda p: (
                    drill.version(p) == 3
                    and drill.engines(p)["pa"].leaving
                    and "pc" in drill.engines(p)
                )
            )
            print(f"{case} {nodes} nodes {eras} eras: {seconds:.2f} s")
            assert seconds < BOUND_S
            assert not drill.regressions

    asyncio.run(scenario())


@pytest.mark.parametrize("case", [Case.BEHIND, Case.UNSEEN], ids=str)
def test_nodes_that_ask_readers_follow_in_time(case: Case) -> None:
    """Otherwise they would take a reader's lower versions for older rows."""

    async def scenario() -> None:
        async with running_drill(feed_readers.FEW_NODES + 2) as drill:
            await drill.running.until(drill.knows_all_nodes)
            copy = drill.store.copy()
            drill.put_others(40)
            drill.put_config(2)
            await drill.in_force_s(lambda p: drill.version(p) == 2)
            await drill.away(copy, fails=case is not Case.UNSEEN)
            drill.write_again(copy)
            drill.store.calls.clear()
            await asyncio.sleep(1.0)
            drill.put_config(3)
            drill.put_entry("pa", "draining")
            if case is Case.UNSEEN:
                drill.put_others(400)
            seconds = await drill.in_force_s(
                lambda p: (
                    drill.version(p) == 3 and drill.engines(p)["pa"].leaving
                )
            )
            reads = [c for c in drill.store.calls if not c.endswith("-tx")]
            print(f"18 nodes {case}: {seconds:.2f} s, {len(reads)} reads")
            assert seconds < BOUND_S
            assert len(reads) <= 10 * len(drill.running.nodes)
            assert not drill.regressions

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [1, 3, 9])
def test_a_restored_copy_costs_a_few_calls(nodes: int) -> None:
    """Otherwise refused polls and dropped reads would follow without pause."""

    async def scenario() -> None:
        async with running_drill(nodes) as drill:
            copy = drill.store.copy()
            drill.put_others(40)
            drill.put_config(2)
            await drill.in_force_s(lambda p: drill.version(p) == 2)
            await drill.away(copy)
            drill.write_again(copy)
            drill.store.calls.clear()
            await asyncio.sleep(3.0)
            reads = [c for c in drill.store.calls if not c.endswith("-tx")]
            print(f"{nodes} nodes: {len(reads) / nodes:.1f} reads per node")
            assert len(reads) <= 14 * nodes

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("fails", [True, False], ids=["away", "unseen"])
def test_what_nodes_knew_outlasts_the_copy(nodes: int, fails: bool) -> None:
    """Otherwise a revoked key or a leaving engine would be used again.

    Nobody writes again for three seconds. One node starts meanwhile, and knows
    the newer state from its peers only.
    """

    async def scenario() -> None:
        async with running_drill(nodes) as drill:
            drill.put_config(2, FIRST_KEY)
            await drill.in_force_s(lambda p: drill.version(p) == 2)
            copy = drill.store.copy()
            drill.put_config(3)
            drill.put_entry("pa", "draining")
            await drill.in_force_s(
                lambda p: (
                    drill.version(p) == 3 and drill.engines(p)["pa"].leaving
                )
            )
            restored = asyncio.create_task(drill.away(copy, fails))
            await asyncio.sleep(AWAY_S / 2)
            started = await drill.running.add_node()
            seen = set()
            head = system.request("/look/x", "r", Authorization=FIRST_KEY)
            head = [
                f"Authorization: Bearer {FIRST_KEY}"
                if line.startswith("Authorization")
                else line
                for line in head
            ]
            address = started.settings.entry.address
            loop = asyncio.get_running_loop()
            end = loop.time() + 3.0
            ready_at = None
            while loop.time() < end:
                seen.add(drill.version(started))
                entry = drill.engines(started).get("pa")
                if drill.version(started):
                    ready_at = ready_at or loop.time()
                    assert entry is None or entry.leaving
                    status, _, _ = await system.send(address, head)
                    assert status in (401, 503)
                await asyncio.sleep(0.02)
            await restored
            assert seen <= {0, 3}
            assert ready_at is not None
            assert not drill.regressions
            drill.put_entry("pa")
            drill.left.clear()
            seconds = await drill.in_force_s(
                lambda p: not drill.engines(p)["pa"].leaving
            )
            assert seconds < BOUND_S

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("eras", [1, 2])
@pytest.mark.parametrize("fails", [True, False], ids=["away", "unseen"])
def test_engines_that_the_copy_lacks_are_kept(
    nodes: int, eras: int, fails: bool
) -> None:
    """Otherwise callers would be refused although the engine is alive."""

    async def scenario() -> None:
        async with running_drill(nodes) as drill:
            copy = drill.store.copy()
            await drill.running.add_engine("pc", system.PLAIN_SERVICE, "a")
            drill.put_config(2)
            await drill.in_force_s(
                lambda p: "pc" in drill.engines(p) and drill.version(p) == 2
            )
            drill.lasting = {"pc"}
            for _ in range(eras):
                await drill.away(copy, fails)
                drill.put_others(100)
                await asyncio.sleep(1.0)
            drill.put_entry("pc")
            await asyncio.sleep(3.0)
            assert not drill.regressions

    asyncio.run(scenario())


def test_an_engine_that_the_copy_lacks_and_that_is_gone_is_dropped() -> None:
    """Otherwise requests would be sent to an engine that has ended."""

    async def scenario() -> None:
        async with running_drill(3) as drill:
            copy = drill.store.copy()
            await drill.running.add_engine("pc", system.PLAIN_SERVICE, "a")
            await drill.in_force_s(lambda p: "pc" in drill.engines(p))
            await drill.away(copy)
            drill.put_others(100)
            seconds = await drill.in_force_s(
                lambda p: "pc" not in drill.engines(p)
            )
            assert 1.0 < seconds < 2 * BOUND_S

    asyncio.run(scenario())


def test_an_engine_that_left_does_not_return_with_the_copy() -> None:
    """Otherwise requests would be sent to an engine that has ended."""

    async def scenario() -> None:
        async with running_drill(3) as drill:
            copy = drill.store.copy()
            drill.store.remove("servers", "pa")
            await drill.in_force_s(lambda p: "pa" not in drill.engines(p))
            await drill.away(copy)
            drill.put_others(100)
            for _ in range(150):
                await asyncio.sleep(0.01)
                for process in drill.running.nodes:
                    assert "pa" not in drill.engines(process)
            drill.put_entry("pa")
            seconds = await drill.in_force_s(lambda p: "pa" in drill.engines(p))
            assert seconds < BOUND_S

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [1, 3])
def test_a_platform_without_eras_is_followed_again(nodes: int) -> None:
    """Guards against refused polls for ever on platforms without eras."""

    async def scenario() -> None:
        async with running_drill(nodes) as drill:
            drill.store.era = None
            copy = drill.store.copy()
            drill.put_others(400)
            drill.put_config(2)
            await drill.in_force_s(lambda p: drill.version(p) == 2)
            await drill.away(copy)
            drill.store.calls.clear()
            drill.put_config(3)
            seconds = await drill.in_force_s(lambda p: drill.version(p) == 3)
            print(f"{nodes} nodes without eras: {seconds:.2f} s")
            assert seconds < 2 * BOUND_S
            assert len(drill.store.calls) < 40 * nodes

    asyncio.run(scenario())


def test_a_node_that_the_store_refuses_follows_the_new_era() -> None:
    """Otherwise a node would reject its peers' rows for their lower versions.

    The store returns for the other nodes only.
    """

    async def scenario() -> None:
        async with running_drill(2) as drill:
            address = drill.store.listen()
            await drill.running.add_node("a", address)
            await drill.running.wait_for_peers()
            await drill.in_force_s(lambda p: drill.version(p) == 1)
            await asyncio.sleep(1.5)
            copy = drill.store.copy()
            drill.put_others(400)
            drill.put_config(2)
            await drill.in_force_s(lambda p: drill.version(p) == 2)
            drill.store.faults.refused = {address}
            await drill.away(copy)
            await asyncio.sleep(1.0)
            drill.put_config(3)
            drill.put_entry("pa", "draining")
            seconds = await drill.in_force_s(
                lambda p: (
                    drill.version(p) == 3 and drill.engines(p)["pa"].leaving
                )
            )
            print(f"refused node: {seconds:.2f} s")
            assert seconds < BOUND_S
            assert not drill.regressions

    asyncio.run(scenario())


class HeldFeed(row_feeds.RowFeed):
    """Holds back all responses of the store, as for a paused node."""

    def __init__(self, feed: row_feeds.RowFeed) -> None:
        self.feed = feed
        self.released = asyncio.Event()

    async def read_whole(
        self, table: str
    ) -> expression.Result[row_feeds.TableChange, stores.StoreError]:
        result = await self.feed.read_whole(table)
        await self.released.wait()
        return result

    async def wait_for_changes(
        self, table: str, after: Any, wait_s: float
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        result = await self.feed.wait_for_changes(table, after, wait_s)
        await self.released.wait()
        return result


@pytest.mark.parametrize("eras", [1, 2])
def test_responses_of_a_former_era_that_arrive_late_have_no_effect(
    eras: int,
) -> None:
    """Guards against a reader that was paused throughout and then acts on it.

    Its last responses are of the former era.
    """

    async def scenario() -> None:
        async with running_drill(3) as drill:
            node = drill.running.nodes[1].node
            copy = drill.store.copy()
            held = HeldFeed(node.feed.direct)
            node.feed.direct = held
            drill.put_others(400)
            drill.put_config(2)
            await asyncio.sleep(BOUND_S + 1.0)
            for _ in range(eras):
                await drill.away(copy)
                drill.write_again(copy)
            drill.put_config(3)
            drill.put_entry("pa", "draining")
            await asyncio.sleep(1.0)
            held.released.set()
            seconds = await drill.in_force_s(
                lambda p: (
                    drill.version(p) == 3 and drill.engines(p)["pa"].leaving
                )
            )
            print(f"paused node: {seconds:.2f} s")
            assert seconds < BOUND_S
            assert not drill.regressions

    asyncio.run(scenario())
