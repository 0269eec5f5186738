from __future__ import annotations

import asyncio
import random

import expression
from hypothesis import stateful
from hypothesis import strategies
import pytest

from almondshift import errors
from almondshift.coordination import versioned_config
from almondshift.ports import operations
from almondshift.ports import stores
from almondshift.standins.platform import tables
from tests.fakes import clocks
from tests.fakes import machines
from tests.fakes import tables as fake_tables

STORE_TIMEOUT_S = 1.0
APPLY_LIMIT_S = 5.0

Outcome = fake_tables.Outcome
Config = versioned_config.VersionedConfig[str]


def validate(
    text: str, version: int
) -> expression.Result[str, errors.ConfigInvalid]:
    if text.startswith("bad"):
        return expression.Error(
            errors.ConfigInvalid(
                "is wrong", section="s", key="k", remedy="Correct it."
            )
        )
    return expression.Ok(text.upper())


def node(
    store: fake_tables.FakeTableStore, clock: clocks.VirtualClock
) -> Config:
    return versioned_config.create_versioned_config(
        store, clock, random.Random(1), validate
    )


def applied(
    config: Config, text: str, base: int, change_id: str
) -> versioned_config.VersionResult:
    return asyncio.run(_applied(config, text, base, change_id))


async def _applied(
    config: Config, text: str, base: int, change_id: str
) -> versioned_config.VersionResult:
    clock = config.clock
    assert isinstance(clock, clocks.VirtualClock)
    task = asyncio.create_task(config.apply(text, base, change_id, "ana"))
    await clocks.settle()
    await clock.advance(10.0)
    return await task


@pytest.mark.parametrize(
    ("outcomes", "expected", "stored"),
    [
        ([], None, True),
        ([Outcome.REFUSED], errors.StoreUnavailable, False),
        ([Outcome.OK, Outcome.REFUSED], errors.StoreUnavailable, False),
        ([Outcome.OK, Outcome.LOST], None, True),
        ([Outcome.OK, Outcome.DROPPED], None, True),
        (
            [Outcome.OK, Outcome.LOST] + [Outcome.REFUSED] * 20,
            errors.StoreOutcomeUnknown,
            True,
        ),
        (
            [Outcome.OK] + [Outcome.DROPPED] * 20,
            errors.StoreOutcomeUnknown,
            False,
        ),
    ],
)
def test_apply_reports_the_known_outcome(
    outcomes: list[Outcome],
    expected: type[errors.AlmondshiftError] | None,
    stored: bool,
) -> None:
    # The store refuses, loses a response after the write took effect, or
    # drops the write. The operator gets "accepted" only for a text that is
    # stored, "unavailable" only for one that is not, and otherwise "unknown"
    # with the change id to retry with.
    store = fake_tables.FakeTableStore()
    store.outcomes.extend(outcomes)
    result = applied(node(store, clocks.VirtualClock()), "text", 0, "c1")
    row = store.shared.read("config", "change/c1")
    assert (row is not None) is stored
    if expected is None:
        assert result.ok.version == 1
        return
    assert type(result.error) is expected
    if expected is errors.StoreOutcomeUnknown:
        assert "c1" in result.error.remedy


@pytest.mark.parametrize(
    ("text", "base", "change_id", "expected"),
    [
        ("second", 1, "c2", None),
        ("second", 0, "c2", errors.ConfigConflict),
        ("second", 2, "c2", errors.ConfigConflict),
        ("bad", 1, "c2", errors.ConfigInvalid),
        ("first", 0, "c1", None),
        ("other", 0, "c1", errors.ConfigConflict),
        ("other", 1, "c1", errors.ConfigConflict),
    ],
)
def test_second_apply(
    text: str,
    base: int,
    change_id: str,
    expected: type[errors.AlmondshiftError] | None,
) -> None:
    store = fake_tables.FakeTableStore()
    config = node(store, clocks.VirtualClock())
    applied(config, "first", 0, "c1")
    rows = dict(store.shared.rows)
    result = applied(config, text, base, change_id)
    if expected is None:
        assert result.ok.text == text
        return
    assert type(result.error) is expected
    assert store.shared.rows == rows
    assert config.value == "FIRST"
    if base == 0 and change_id == "c2":
        assert "--base 1" in result.error.remedy


def version(number: int, text: str) -> operations.ConfigVersion:
    return operations.ConfigVersion(number, text, f"c{number}", "a", 0, True)


@pytest.mark.parametrize(
    ("offers", "active_version"),
    [
        ([version(3, "c")], 3),
        ([version(3, "c"), version(2, "b")], 3),
        ([version(2, "b"), version(3, "c")], 3),
        ([version(2, "b"), version(3, "bad")], 2),
        ([version(2, "b"), version(2, "x")], 2),
    ],
)
def test_new_node_takes_highest_of_peers_as_unverified(
    offers: list[operations.ConfigVersion], active_version: int
) -> None:
    # The platform is down when a node starts. It applies the highest version
    # that its peers know, and its status shows it as unverified.
    store = fake_tables.FakeTableStore()
    store.down = True
    config = node(store, clocks.VirtualClock())
    for offered in offers:
        config.offer(offered)
    assert config.current is not None
    assert config.current.version == active_version
    assert not config.current.verified
    assert (
        config.value
        == offers[
            [o.version for o in offers].index(active_version)
        ].text.upper()
    )


def test_store_confirms_or_corrects_versions_from_peers() -> None:
    store = fake_tables.FakeTableStore()
    clock = clocks.VirtualClock()
    applied(node(store, clock), "first", 0, "c1")
    for offered in (version(1, "first"), version(1, "forged")):
        config = node(store, clock)
        config.offer(offered)
        asyncio.run(config.poll())
        assert config.current is not None
        assert (config.current.verified, config.value) == (True, "FIRST")


def test_text_that_this_node_cannot_parse_changes_nothing() -> None:
    store = fake_tables.FakeTableStore()
    clock = clocks.VirtualClock()
    old = node(store, clock)
    applied(old, "first", 0, "c1")
    newer = node(store, clock)
    newer.validate = lambda text, number: expression.Ok(text)
    applied(newer, "bad for old nodes", 1, "c2")
    asyncio.run(old.poll())
    assert old.value == "FIRST"
    assert old.rejected is not None
    assert old.rejected.version == 2


def test_read_loop_backs_off_while_the_store_is_down() -> None:
    async def case() -> tuple[int, int]:
        store = fake_tables.FakeTableStore()
        clock = clocks.VirtualClock()
        config = node(store, clock)
        await config.start()
        await clock.advance(60.0)
        up = store.reads
        store.down = True
        await clock.advance(60.0)
        await config.close()
        return up, store.reads - up

    up, down = asyncio.run(case())
    assert 50 <= up <= 75
    assert down <= 20


class HangingStore(fake_tables.FakeTableStore):
    """While down, it answers nothing, and calls end with their time-out."""

    def __init__(
        self, shared: tables.MemoryTables, clock: clocks.VirtualClock
    ) -> None:
        super().__init__(shared)
        self.clock = clock

    async def read(
        self, table: str, key: str
    ) -> expression.Result[stores.Row | None, stores.StoreError]:
        found = await super().read(table, key)
        if found.is_error():
            await self.clock.sleep(STORE_TIMEOUT_S)
        return found


@pytest.mark.parametrize("poll_s", [0.3, 1.0])
def test_a_version_from_peers_is_confirmed_soon_after_an_outage(
    poll_s: float,
) -> None:
    """Guards against a node that waits out a long back-off.

    A node starts during an outage and has its version from a peer. A version
    is to be in force on all nodes within 5 s, so once the store responds, the
    node must read it within that time, however long the outage was.
    """

    async def confirmed(seed: int) -> bool:
        clock = clocks.VirtualClock()
        accepted = fake_tables.FakeTableStore()
        await node(accepted, clock).apply("first", 0, "c1", "ana")
        store = HangingStore(accepted.shared, clock)
        store.down = True
        config = versioned_config.create_versioned_config(
            store,
            clock,
            random.Random(seed),
            validate,
            versioned_config.ConfigSettings(interval_s=poll_s),
        )
        config.offer(version(1, "first"))
        await config.start()
        await clock.advance(20.0 + random.Random(seed).uniform(0.0, 10.0))
        store.down = False
        await clock.advance(APPLY_LIMIT_S)
        await config.close()
        assert config.current is not None
        return config.current.verified

    late = [seed for seed in range(100) if not asyncio.run(confirmed(seed))]
    assert not late


NODES = strategies.integers(0, 2)


class ConfigMachine(machines.LoopMachine):
    """Concurrent changes on three nodes whose stores fail independently."""

    def __init__(self) -> None:
        super().__init__()
        shared = tables.MemoryTables()
        self.stores = [fake_tables.FakeTableStore(shared) for _ in range(3)]
        self.configs = [node(store, self.clock) for store in self.stores]
        self.active_versions = [0, 0, 0]
        self.applies: list[
            tuple[str, str, asyncio.Task[versioned_config.VersionResult]]
        ] = []
        self.texts: dict[int, str] = {}
        for config in self.configs:
            config.subscribe(self.on_active_version)
        self.begin_with_two_versions()

    def begin_with_two_versions(self) -> None:
        """Starts with nodes at versions 2, 1 and none."""
        self.run(self.configs[0].apply("one", 0, "a", "ana"))
        self.run(self.configs[1].poll())
        self.run(self.configs[0].apply("two", 1, "b", "ana"))

    def on_active_version(
        self, accepted: operations.ConfigVersion, value: str
    ) -> None:
        assert not accepted.text.startswith("bad")
        known = self.texts.setdefault(accepted.version, accepted.text)
        assert known == accepted.text

    @stateful.rule(
        index=NODES,
        bad=strategies.booleans(),
        behind=strategies.sampled_from([0, 0, 0, 1]),
    )
    def apply(self, index: int, bad: bool, behind: int) -> None:
        number = len(self.applies)
        config = self.configs[index]
        newest = 0 if config.current is None else config.current.version
        text = f"bad {number}" if bad else f"text {number}"
        base = max(0, newest - behind)
        change = config.apply(text, base, f"c{number}", "ana")
        self.applies.append((f"c{number}", text, self.begin(change)))

    @stateful.rule(index=NODES)
    def poll(self, index: int) -> None:
        self.begin(self.configs[index].poll())

    @stateful.rule(index=NODES, other=NODES)
    def offer(self, index: int, other: int) -> None:
        current = self.configs[other].current
        if current is not None:
            self.configs[index].offer(current)

    @stateful.rule(
        index=NODES,
        outcomes=strategies.lists(
            strategies.sampled_from(fake_tables.MOSTLY_OK), max_size=4
        ),
    )
    def fail_next(self, index: int, outcomes: list[Outcome]) -> None:
        self.stores[index].outcomes.extend(outcomes)

    @stateful.rule(index=NODES)
    def pause(self, index: int) -> None:
        self.stores[index].paused = True

    @stateful.rule(index=NODES)
    def resume(self, index: int) -> None:
        self.stores[index].resume()
        self.settle()

    @stateful.rule(index=NODES)
    def apply_late_writes(self, index: int) -> None:
        self.stores[index].apply_late_writes()

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 1.0]))
    def pass_time(self, seconds: float) -> None:
        self.advance(seconds)

    @stateful.invariant()
    def never_goes_back(self) -> None:
        for index, config in enumerate(self.configs):
            current = config.current
            newest = 0 if current is None else current.version
            assert newest >= self.active_versions[index]
            self.active_versions[index] = newest

    def teardown(self) -> None:
        try:
            self.heal()
            self.check_answers()
            self.check_convergence()
        finally:
            super().teardown()

    def heal(self) -> None:
        for store in self.stores:
            store.outcomes.clear()
            store.resume()
            store.apply_late_writes()
        self.advance(60.0)

    def check_answers(self) -> None:
        for change_id, text, task in self.applies:
            row = self.stores[0].shared.read("config", f"change/{change_id}")
            result = task.result()
            if result.is_ok():
                assert row is not None
                assert row.value["version"] == result.ok.version
                known = self.texts.get(result.ok.version, text)
                assert known == text
            elif not isinstance(result.error, errors.StoreOutcomeUnknown):
                assert row is None

    def check_convergence(self) -> None:
        for config in self.configs:
            self.run(config.poll())
        currents = {config.current for config in self.configs}
        assert len(currents) == 1
        current = currents.pop()
        assert current is None or current.verified


ConfigMachine.TestCase.settings = machines.SETTINGS
TestConfigMachine = ConfigMachine.TestCase
