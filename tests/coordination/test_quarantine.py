from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from almondshift import errors
from almondshift.coordination import quarantine
from almondshift.coordination import quarantine_trials
from almondshift.coordination import quarantine_verdicts
from almondshift.ports import peers
from tests.coordination import crashing
from tests.coordination import network
from tests.coordination import tables

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

NODES = ["n0", "n1", "n2"]
POISON = crashing.POISON
CONVICTION_S = quarantine_verdicts.QuarantineSettings().conviction_s


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("resend_s", [0.1, 0.7, 2.0, 6.0])
def test_resent_poison_crashes_two_endpoints_at_most(
    seed: int, resend_s: float
) -> None:
    """A request crashes its endpoints, and its caller tries each node in turn.

    n0 sees the first crash; the caller gives up on n0 and retries through n1,
    then n2, before and after these learn of the crash. Other requests run
    concurrently. At most two endpoints are lost, the request is refused in
    the end, and all other callers get their responses.
    """

    async def scenario() -> None:
        system = crashing.CrashingSystem(seed)
        for number in range(30):
            system.spawn(
                system.request(NODES[number % 3], f"innocent-{number}")
            )
        system.spawn(system.request("n0", POISON))
        await system.clock.advance(crashing.CRASH_S + resend_s)
        for node in ("n1", "n2", "n0"):
            system.spawn(system.request(node, POISON))
            await system.clock.advance(3.0)
        await system.clock.advance(300.0)
        assert 1 <= len(system.endpoints_lost_to_poison) <= 2
        assert system.outcomes.pop(POISON) == "convicted"
        assert set(system.outcomes.values()) == {"answered"}
        assert not any(
            name != POISON
            for state in system.quarantines.values()
            for name in state.convicted
        )
        await system.close()

    asyncio.run(scenario())


def test_suspect_waits_for_a_copy_running_on_a_peer() -> None:
    """The request takes 10 s to crash an endpoint; its caller retries at 9 s.

    n1 is running the second copy when n0 sees the first crash. n0 may not run
    a trial in the meantime: the copy will crash the second endpoint.
    """

    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        system.crash_s = 10.0
        system.spawn(system.request("n0", POISON))
        await system.clock.advance(9.0)
        system.spawn(system.request("n1", POISON))
        await system.clock.advance(100.0)
        assert len(system.endpoints_lost_to_poison) == 2
        assert system.outcomes[POISON] == "convicted"
        await system.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_zone_failure_convicts_no_request(seed: int) -> None:
    """A zone fails while requests run there, then a second one.

    The same requests may be in flight in both. All are answered in the
    remaining zone, and none is delayed as a suspect for long.
    """

    async def scenario() -> None:
        system = crashing.CrashingSystem(seed)
        for number in range(30):
            system.spawn(
                system.request(NODES[number % 3], f"innocent-{number}")
            )
        await system.clock.advance(0.2)
        system.spawn(system.fail_zone("zone-0"))
        await system.clock.advance(4.0)
        system.spawn(system.fail_zone("zone-1"))
        await system.clock.advance(60.0)
        assert set(system.outcomes.values()) == {"answered"}
        assert not any(s.convicted for s in system.quarantines.values())
        await system.close()

    asyncio.run(scenario())


def test_suspect_is_refused_while_the_platform_is_down() -> None:
    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        system.table.is_down = True
        system.spawn(system.request("n0", POISON))
        await system.clock.advance(60.0)
        assert len(system.endpoints_lost_to_poison) == 1
        system.table.is_down = False
        await system.clock.advance(60.0)
        assert len(system.endpoints_lost_to_poison) == 2
        assert system.outcomes[POISON] == "convicted"
        await system.close()

    asyncio.run(scenario())


class Harness:
    """One node's quarantine and the facts that it published."""

    def __init__(self) -> None:
        self.clock = network.ManualClock()
        self.published: dict[str, bytes] = {}
        self.state = quarantine.create_quarantine(
            self.clock, "n0", self.publish, self.withdraw
        )

    def publish(
        self, kind: peers.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        assert kind is peers.FactKind.QUARANTINE
        assert ttl_s > 0
        self.published[key] = value

    def withdraw(self, kind: peers.FactKind, key: str) -> None:
        assert kind is peers.FactKind.QUARANTINE
        self.published.pop(key, None)
        self.state.merge(key, None)

    def crash(self, endpoint: str, *names: str, zone: str = "a") -> None:
        for name in names:
            self.state.in_flight(endpoint, name)
        self.state.crashed(endpoint, self.clock.now, zone)

    def verdict(self, name: str) -> quarantine_verdicts.VerdictKind:
        return self.state.may_run(name).kind


def one_crash(harness: Harness) -> None:
    harness.crash("e1", "f", "g")


def one_crash_and_wait(harness: Harness) -> None:
    one_crash(harness)
    harness.clock.now += 3.1


def two_crashes(harness: Harness) -> None:
    one_crash_and_wait(harness)
    harness.crash("e2", "f")
    harness.clock.now += 3.1


def crash_in_trial(harness: Harness) -> None:
    one_crash_and_wait(harness)
    assert harness.state.begin_trial("f", ["e1"])
    harness.crash("e1", "f")
    harness.state.end_trial("f", completed=False)
    harness.clock.now += 3.1


def cleared(harness: Harness) -> None:
    one_crash_and_wait(harness)
    assert harness.state.begin_trial("f", ["e2"])
    harness.state.end_trial("f", completed=True)


def conviction_expired(harness: Harness) -> None:
    two_crashes(harness)
    assert harness.verdict("f") is quarantine_verdicts.VerdictKind.REFUSED
    harness.clock.now += 1_801.0


def zone_failure(harness: Harness) -> None:
    for endpoint in ("e1", "e2", "e3"):
        harness.crash(endpoint, "f")


def zone_failure_and_one_more(harness: Harness) -> None:
    zone_failure(harness)
    harness.crash("e4", "g")


def zone_failure_without_work(harness: Harness) -> None:
    one_crash(harness)
    harness.crash("e2")
    harness.crash("e3")


def crashes_in_different_zones(harness: Harness) -> None:
    one_crash(harness)
    harness.crash("e2", zone="b")
    harness.crash("e3", zone="c")
    harness.clock.now += 3.1


def second_crash_in_zone_failure(harness: Harness) -> None:
    zone_failure(harness)
    harness.clock.now += 0.1
    harness.crash("e4", "f", "g")
    harness.clock.now += 3.1


def crash_in_every_zone(harness: Harness) -> None:
    for number, zone in enumerate(("a", "b", "c")):
        harness.crash(f"e{number}", "f", zone=zone)
    harness.clock.now += 3.1


def running_on_peer(harness: Harness) -> None:
    one_crash_and_wait(harness)
    fact = peers.Fact(
        peers.FactKind.QUARANTINE, "running/f/n1", 1, "n1", 60.0, b"{}"
    )
    harness.state.merge("running/f/n1", fact)


@pytest.mark.parametrize(
    ("events", "f", "g"),
    [
        (one_crash, "refused", "refused"),
        (one_crash_and_wait, "alone", "alone"),
        (two_crashes, "refused", "alone"),
        (crash_in_trial, "refused", "alone"),
        (cleared, "free", "alone"),
        (conviction_expired, "free", "free"),
        (zone_failure, "free", "free"),
        (zone_failure_and_one_more, "free", "free"),
        (zone_failure_without_work, "free", "free"),
        (crashes_in_different_zones, "alone", "alone"),
        (second_crash_in_zone_failure, "alone", "free"),
        (crash_in_every_zone, "refused", "free"),
        (running_on_peer, "refused", "alone"),
    ],
)
def test_verdict(events: Callable[[Harness], None], f: str, g: str) -> None:
    harness = Harness()
    events(harness)
    assert (harness.verdict("f"), harness.verdict("g")) == (f, g)


def test_nothing_runs_concurrently_with_a_suspect() -> None:
    harness = Harness()
    one_crash_and_wait(harness)
    state = harness.state
    assert state.begin_trial("f", ["e1", "e2"])
    assert not state.begin_trial("g", ["e2", "e3"])
    assert state.may_use("e1", "f")
    assert not state.may_use("e3", "f")
    assert not state.may_use("e1", "innocent")
    assert state.may_use("e3", "innocent")
    assert state.begin_trial("g", ["e3"])


def test_facts_of_a_large_crash_fit_the_exchange() -> None:
    harness = Harness()
    names = [f"{number:016x}" for number in range(1_000)]
    harness.crash("endpoint-with-a-long-name", *names)
    sizes = [len(value) for value in harness.published.values()]
    assert len(sizes) == quarantine.MAX_FACTS_PER_CRASH
    assert max(sizes) <= 1_500


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b"\xff"])
@pytest.mark.parametrize("subject", ["crash", "trial", "running", "what"])
def test_invalid_facts_are_ignored(subject: str, value: bytes) -> None:
    harness = Harness()
    key = f"{subject}/f/n1"
    fact = peers.Fact(peers.FactKind.QUARANTINE, key, 1, "n1", 60.0, value)
    harness.state.merge(key, fact)
    assert harness.verdict("f") is quarantine_verdicts.VerdictKind.FREE


def test_fingerprint_separates_service_and_content() -> None:
    fingerprints = {
        quarantine_verdicts.fingerprint_of("a", b"bc"),
        quarantine_verdicts.fingerprint_of("ab", b"c"),
        quarantine_verdicts.fingerprint_of("a", b"bd"),
    }
    assert len(fingerprints) == 3


def set_loses_answers(table: tables.MemoryTable) -> None:
    table.loses_answers = True


def set_down(table: tables.MemoryTable) -> None:
    table.is_down = True


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (lambda table: None, None),
        (set_loses_answers, None),
        (set_down, errors.StoreUnavailable),
    ],
)
def test_claim_of_a_suspect(
    fault: Callable[[tables.MemoryTable], None], error: type | None
) -> None:
    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        fault(system.table)
        first = await system.trials["n0"].claim("f")
        assert first.is_ok() is (error is None)
        if error is not None:
            assert isinstance(first.error, error)
            return
        second = await system.trials["n1"].claim("f")
        assert isinstance(second.error, errors.Quarantined)

    asyncio.run(scenario())


def test_row_of_a_dead_node_expires_like_a_conviction() -> None:
    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        assert (await system.trials["n0"].claim("f")).is_ok()
        for waited_s, is_ok in ((0.0, False), (1_700.0, False), (200.0, True)):
            system.clock.now += waited_s
            result = await system.trials["n1"].claim("f")
            assert result.is_ok() is is_ok

    asyncio.run(scenario())


def test_trial_ended_by_a_zone_failure_may_be_repeated() -> None:
    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        state = system.quarantines["n0"]
        trials = system.trials["n0"]
        state.in_flight("e1", "f")
        state.crashed("e1", system.clock.now, "zone-1")
        system.clock.now += 3.1
        begin = asyncio.ensure_future(
            trials.begin("f", ["e0"], lambda endpoint: True)
        )
        await system.clock.advance(3.1)
        trial = (await begin).ok
        state.in_flight("e0", "f")
        for endpoint in ("e0", "e3", "e6"):
            state.crashed(endpoint, system.clock.now, "zone-0")
        finish = asyncio.ensure_future(
            trials.finish(trial, quarantine_trials.TrialOutcome.CRASHED)
        )
        await system.clock.advance(3.1)
        await finish
        assert not system.table.rows
        assert state.may_run("f").kind is quarantine_verdicts.VerdictKind.ALONE
        await system.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("is_sound_replay", "is_poison_replay", "is_convicted"),
    [(True, False, False), (False, False, True), (True, True, True)],
    ids=["only the sound one replays", "neither replays", "both replay"],
)
@pytest.mark.parametrize("first", ["n0", "n1"])
def test_a_suspect_that_replayed_is_not_convicted_for_anothers_crashes(
    first: str,
    is_sound_replay: bool,
    is_poison_replay: bool,
    is_convicted: bool,
) -> None:
    """Guards against refusing a sound request that met a poisonous one twice.

    They run on different nodes, whose verdicts come in either order.
    """

    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        n0, n1 = system.quarantines["n0"], system.quarantines["n1"]
        for endpoint, is_second in (("e0", False), ("e1", True)):
            n0.in_flight(
                endpoint, POISON, is_replay=is_second and is_poison_replay
            )
            n1.in_flight(
                endpoint, "sound", is_replay=is_second and is_sound_replay
            )
            for state in (n0, n1):
                state.crashed(
                    endpoint, system.clock.now, system.zones[endpoint]
                )
            await system.clock.advance(0.3)
        await system.clock.advance(3.1)
        verdicts = {}
        for node in sorted(("n0", "n1"), key=lambda name: name != first):
            name = POISON if node == "n0" else "sound"
            verdicts[name] = system.quarantines[node].may_run(name)
            await system.clock.advance(1.1)
        assert verdicts[POISON].convicted
        assert verdicts["sound"].convicted is is_convicted
        await system.close()

    asyncio.run(scenario())


def test_a_replaying_request_is_convicted_beside_requests_new_to_crashes() -> (
    None
):
    """Guards against a poisonous request that others in flight would cover."""

    async def scenario() -> None:
        system = crashing.CrashingSystem(1)
        state = system.quarantines["n0"]
        for endpoint, is_second in (("e0", False), ("e1", True)):
            state.in_flight(endpoint, POISON, is_replay=is_second)
            state.in_flight(endpoint, f"bystander at {endpoint}")
            state.crashed(endpoint, system.clock.now, system.zones[endpoint])
        await system.clock.advance(3.1)
        assert state.may_run(POISON).convicted
        await system.close()

    asyncio.run(scenario())


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Callers, a request that crashes endpoints, zone failures and outages.

    The request is resent by its caller once the previous copy has ended in a
    crash, but not in parallel before the first crash; see ``quarantine``.
    """

    @stateful.initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.loop = asyncio.new_event_loop()
        self.system = crashing.CrashingSystem(seed)
        self.number = 0

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.do(self.system.close())
            self.loop.close()

    def do(self, work: Coroutine[Any, Any, Any]) -> None:
        self.loop.run_until_complete(work)

    async def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        self.system.spawn(work)
        await self.system.clock.advance(0.0)

    @stateful.rule(node=st.sampled_from(NODES), count=st.integers(1, 8))
    def send(self, node: str, count: int) -> None:
        for _ in range(count):
            self.number += 1
            name = f"innocent-{self.number}"
            self.do(self.spawn(self.system.request(node, name)))

    @stateful.precondition(lambda self: self.system.free_copies == 0)
    @stateful.rule(node=st.sampled_from(NODES))
    def send_poison(self, node: str) -> None:
        self.do(self.spawn(self.system.request(node, POISON)))

    @stateful.rule(zone=st.sampled_from(["zone-0", "zone-1"]))
    def fail_zone(self, zone: str) -> None:
        if self.system.alive(zone) < crashing.ZONE_SIZE - 1:
            return
        self.do(self.spawn(self.system.fail_zone(zone)))

    @stateful.rule(seconds=st.sampled_from([0.2, 1.0, 4.0, 20.0]))
    def pass_time(self, seconds: float) -> None:
        self.do(self.system.clock.advance(seconds))

    @stateful.rule(is_down=st.booleans())
    def platform(self, is_down: bool) -> None:
        self.system.table.is_down = is_down

    @stateful.rule()
    def settle(self) -> None:
        self.system.table.is_down = False
        self.do(self.system.clock.advance(crashing.REQUEST_TIMEOUT_S + 60.0))
        outcomes = dict(self.system.outcomes)
        outcomes.pop(POISON, None)
        assert set(outcomes.values()) <= {"answered"}, outcomes

    @stateful.invariant()
    def poison_crashes_two_endpoints_at_most(self) -> None:
        """Convictions expire, so at most two per conviction period."""
        if not hasattr(self, "system"):
            return
        since = self.system.clock.now - CONVICTION_S
        assert len(self.system.lost_since(since)) <= 2

    @stateful.invariant()
    def no_innocent_is_convicted(self) -> None:
        if not hasattr(self, "system"):
            return
        for state in self.system.quarantines.values():
            assert set(state.convicted) <= {POISON}


TestQuarantine = QuarantineMachine.TestCase
TestQuarantine.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=15,
    database=None,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
