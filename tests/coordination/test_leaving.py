from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from almondshift.coordination import leaving
from almondshift.model import endpoints
from almondshift.ports import peers
from tests.coordination import network

if TYPE_CHECKING:
    from collections.abc import Callable

LIST_LAG_S = 10


def vm(state: endpoints.VmState) -> endpoints.Vm:
    kind = endpoints.EndpointKind.ENGINE
    return endpoints.Vm("e", "10.0.0.1:80", "a", kind, "", state)


def listed(state: endpoints.VmState) -> Callable[..., None]:
    return lambda known: known.update_vm_list([vm(state)])


def reported(instance: str) -> Callable[..., None]:
    return lambda known: known.endpoint_reported_leaving("e", instance)


def seen(instance: str) -> Callable[..., None]:
    return lambda known: known.instance_seen("e", instance)


def peer_reported(instance: str) -> Callable[..., None]:
    value = leaving.LeavingValue(instance=instance).model_dump_json().encode()
    fact = peers.Fact(peers.FactKind.LEAVING, "e", 1, "n", 60.0, value)
    return lambda known: known.fact_changed("e", fact)


def waited(seconds: float) -> Callable[..., None]:
    def wait(known: leaving.LeavingEndpoints) -> None:
        assert isinstance(known.clock, network.ManualClock)
        known.clock.now += seconds

    return wait


LIVE = listed(endpoints.VmState.LIVE)
LISTED_LEAVING = listed(endpoints.VmState.LEAVING)
GONE: Callable[..., None] = lambda known: known.update_vm_list([])  # noqa: E731


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([], False),
        ([LISTED_LEAVING], True),
        ([reported("i1")], True),
        ([reported("")], True),
        ([peer_reported("i1")], True),
        ([reported("i1"), LIVE], True),
        ([peer_reported("i1"), LIVE], True),
        ([LISTED_LEAVING, LIVE], False),
        ([LISTED_LEAVING, GONE], False),
        ([reported("i1"), seen("i2")], False),
        ([reported("i1"), seen("i2"), peer_reported("i1")], False),
        ([seen("i1"), peer_reported("i2")], True),
        ([seen("i1"), peer_reported("i0"), seen("i1")], False),
        ([peer_reported(""), seen("i1")], True),
        ([peer_reported(""), seen("i1"), seen("i2")], False),
        ([seen("i1"), LISTED_LEAVING, seen("i2"), LISTED_LEAVING], False),
        ([LISTED_LEAVING, seen("i1"), LISTED_LEAVING], True),
        ([peer_reported("i1"), waited(61.0)], False),
        ([reported("i1"), waited(leaving.LEAVING_TTL_S + 1)], False),
    ],
)
def test_is_leaving_after_events(
    events: list[Callable[..., None]], expected: bool
) -> None:
    known = leaving.create_leaving_endpoints(
        network.ManualClock(), lambda *_: None
    )
    for event in events:
        event(known)
    assert known.is_leaving("e") is expected


@pytest.mark.parametrize("value", [b"{}", b"\xff", b"[]", b'{"instance": 3}'])
def test_invalid_facts_are_ignored(value: bytes) -> None:
    known = leaving.create_leaving_endpoints(
        network.ManualClock(), lambda *_: None
    )
    fact = peers.Fact(peers.FactKind.LEAVING, "e", 1, "n", 60.0, value)
    known.fact_changed("e", fact)
    assert not known.is_leaving("e")


def test_all_nodes_stop_dispatching_before_the_list_is_updated() -> None:
    """An endpoint is leaving; only one node learns it from the endpoint.

    The platform's list shows it 10 s later. Requests that other nodes send
    in between would be refused or lost, and callers would wait for a retry;
    so every node must know within 3 s.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(9)
        sets = {}
        for node in cluster.running():
            known = leaving.create_leaving_endpoints(
                cluster.clock, node.publish
            )
            node.subscribe(peers.FactKind.LEAVING, known.fact_changed)
            known.instance_seen("e", "i1")
            sets[node.node.name] = known
        sets["node-4"].endpoint_reported_leaving("e", "i1")
        for known in sets.values():
            known.update_vm_list([vm(endpoints.VmState.LIVE)])
        rounds = await cluster.run_until(
            lambda: all(known.is_leaving("e") for known in sets.values()),
            LIST_LAG_S,
        )
        assert rounds <= 3

    asyncio.run(scenario())


def test_peers_are_notified_at_intervals() -> None:
    clock = network.ManualClock()
    published: list[str] = []
    known = leaving.create_leaving_endpoints(
        clock, lambda kind, key, value, ttl_s: published.append(key)
    )
    for _ in range(10):
        known.endpoint_reported_leaving("e", "i1")
    assert published == ["e"]
    clock.now += leaving.REPUBLISH_AFTER_S
    known.endpoint_reported_leaving("e", "i1")
    assert published == ["e", "e"]


class LeavingMachine(stateful.RuleBasedStateMachine):
    """One endpoint is replaced repeatedly; two nodes get reports about it.

    The list shows the state of a random earlier time; facts from the peer
    arrive late and in any order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = network.ManualClock()
        self.reports: list[peers.Fact] = []
        self.known = leaving.create_leaving_endpoints(
            self.clock, lambda *_: None
        )
        self.peer_node = leaving.create_leaving_endpoints(
            self.clock, self.publish
        )
        self.instance = 1
        self.is_leaving = False
        self.was_reported = False
        self.history = [endpoints.VmState.LIVE]

    def publish(
        self, kind: peers.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        version = len(self.reports) + 1
        self.reports.append(peers.Fact(kind, key, version, "n", ttl_s, value))

    @stateful.precondition(lambda self: not self.is_leaving)
    @stateful.rule()
    def leave(self) -> None:
        self.is_leaving = True
        self.history.append(endpoints.VmState.LEAVING)

    @stateful.precondition(lambda self: self.is_leaving)
    @stateful.rule()
    def replace(self) -> None:
        self.instance += 1
        self.is_leaving = False
        self.was_reported = False
        self.history.append(endpoints.VmState.LIVE)

    @stateful.rule(lag=st.integers(0, 3))
    def list_vms(self, lag: int) -> None:
        index = max(0, len(self.history) - 1 - lag)
        self.known.update_vm_list([vm(self.history[index])])

    @stateful.rule()
    def report(self) -> None:
        """The endpoint reports to the node itself."""
        name = f"i{self.instance}"
        self.known.instance_seen("e", name)
        if self.is_leaving:
            self.known.endpoint_reported_leaving("e", name)
            self.was_reported = True

    @stateful.precondition(lambda self: self.is_leaving)
    @stateful.rule()
    def refuse_to_peer(self) -> None:
        self.peer_node.endpoint_reported_leaving("e", f"i{self.instance}")

    @stateful.precondition(lambda self: self.reports)
    @stateful.rule(data=st.data())
    def report_arrives(self, data: st.DataObject) -> None:
        report_fact = data.draw(st.sampled_from(self.reports))
        self.known.fact_changed("e", report_fact)
        current = f'"i{self.instance}"'.encode()
        if self.is_leaving and current in report_fact.value:
            self.was_reported = True

    @stateful.invariant()
    def known_leaving_instance_stays_leaving(self) -> None:
        """Nothing is dispatched to an instance known to be leaving."""
        if self.is_leaving and self.was_reported:
            assert self.known.is_leaving("e")

    @stateful.rule()
    def settle(self) -> None:
        """With an up-to-date list and a fresh report, the state is right."""
        self.known.update_vm_list([vm(self.history[-1])])
        self.report()
        assert self.known.is_leaving("e") is self.is_leaving


TestLeaving = LeavingMachine.TestCase
TestLeaving.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=30,
    database=None,
)
