"""Membership with message loss, partitions and node failures."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from almondshift.coordination import peer_types
from almondshift.ports import peers
from tests.coordination import network

if TYPE_CHECKING:
    from collections.abc import Coroutine

NAMES = [f"node-{number}" for number in range(5)]
KINDS = [peers.FactKind.LEAVING, peers.FactKind.CONFIG]
SETTLE_ROUNDS = 45

WAITED_S = peer_types.MembershipSettings().pause_threshold_s + 1.0
"""Time that a message may wait for a frozen node and still be accepted."""

names = st.sampled_from(NAMES)
keys = st.sampled_from(["a", "b"])
kinds = st.sampled_from(KINDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The model's record of a value that a node published."""

    kind: peers.FactKind
    key: str
    origin: str
    ends_at: float


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Facts expire in time on all nodes, and nodes agree once faults end."""

    @stateful.initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.loop = asyncio.new_event_loop()
        self.cluster = network.Cluster(seed)
        self.cluster.seeds = [network.address_of(name) for name in NAMES]
        self.stated: dict[bytes, Statement] = {}
        self.values = 0
        for name in NAMES:
            self.do(self.cluster.add(name))

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.loop.close()

    def do(self, work: Coroutine[Any, Any, Any]) -> None:
        self.loop.run_until_complete(work)

    def runs(self, name: str) -> bool:
        return name in self.cluster.nodes and not self.cluster.frozen(name)

    @stateful.rule(
        name=names, kind=kinds, key=keys, ttl_s=st.sampled_from([5.0, 60.0])
    )
    def publish(
        self, name: str, kind: peers.FactKind, key: str, ttl_s: float
    ) -> None:
        if not self.runs(name):
            return
        self.values += 1
        value = str(self.values).encode()
        self.cluster.nodes[name].publish(kind, key, value, ttl_s)
        ends_at = self.cluster.clock.now + ttl_s
        self.stated[value] = Statement(kind, key, name, ends_at)

    @stateful.rule(name=names, kind=kinds, key=keys)
    def withdraw(self, name: str, kind: peers.FactKind, key: str) -> None:
        if not self.runs(name):
            return
        self.cluster.nodes[name].withdraw(kind, key)

    @stateful.rule(rounds=st.integers(1, 8))
    def run_rounds(self, rounds: int) -> None:
        self.do(self.cluster.run(rounds))

    @stateful.rule(seconds=st.sampled_from([3.0, 20.0, 700.0]))
    def pass_time(self, seconds: float) -> None:
        """Advances the clock without rounds, as on a suspended host."""
        self.cluster.clock.now += seconds

    @stateful.rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def drop(self, share: float) -> None:
        self.cluster.simulated_network.drop_rate = share

    @stateful.rule(group=st.sets(names))
    def partition(self, group: set[str]) -> None:
        groups = {network.address_of(name): 1 for name in group}
        self.cluster.simulated_network.groups = groups

    @stateful.rule(name=names)
    def freeze(self, name: str) -> None:
        if name in self.cluster.nodes:
            self.cluster.freeze(name)

    @stateful.rule(name=names)
    def thaw(self, name: str) -> None:
        if name in self.cluster.nodes:
            self.do(self.cluster.thaw(name))

    @stateful.rule(name=names)
    def kill(self, name: str) -> None:
        if name in self.cluster.nodes:
            self.cluster.kill(name)

    @stateful.rule(name=names, step_s=st.sampled_from([0.0, -900.0]))
    def restart(self, name: str, step_s: float) -> None:
        if name in self.cluster.nodes:
            self.cluster.kill(name)
        self.cluster.clock.wall_offset += step_s
        self.do(self.cluster.add(name))

    @stateful.invariant()
    def facts_are_stated_and_not_ended(self) -> None:
        if not hasattr(self, "cluster"):
            return
        now = self.cluster.clock.now
        for node in self.cluster.running():
            for kind in KINDS:
                for fact in node.facts(kind).values():
                    self.check(fact, now)

    def check(self, fact: peers.Fact, now: float) -> None:
        statement = self.stated[fact.value]
        assert fact.kind is statement.kind
        assert fact.key == statement.key
        assert fact.origin == statement.origin
        assert now <= statement.ends_at + WAITED_S

    @stateful.rule()
    def settle(self) -> None:
        """Without faults, all running nodes agree within ``SETTLE_ROUNDS``."""
        simulated_network = self.cluster.simulated_network
        simulated_network.drop_rate = 0.0
        simulated_network.groups = {}
        for name in list(self.cluster.nodes):
            self.do(self.cluster.thaw(name))
        self.do(self.cluster.run(SETTLE_ROUNDS))
        assert self.cluster.is_joined(), self.cluster.views()
        views = [
            {
                (kind, key): (fact.version, fact.value)
                for kind in KINDS
                for key, fact in node.facts(kind).items()
            }
            for node in self.cluster.running()
        ]
        assert all(view == views[0] for view in views), views


TestMembership = MembershipMachine.TestCase
TestMembership.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=30,
    stateful_step_count=25,
    database=None,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
