from __future__ import annotations

import dataclasses
import json
import random
from unittest import mock

import pytest

from almondshift.coordination import membership as memberships
from almondshift.coordination import peer_types
from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.node import directory
from almondshift.node import load_exchange
from almondshift.node import router_driver
from almondshift.node import usage
from almondshift.policy import events
from almondshift.ports import clocks
from almondshift.ports import peers

REPORT = endpoints.LoadReport(
    endpoint="e1",
    instance="i",
    role=endpoints.EndpointRole.SERVING,
    leaving=False,
    holdings=(endpoints.Holding("m", 1, "", layers.LayerRange(0, 4), True),),
    sessions=3,
    queued_items=1,
    order_number=7,
    age_s=0.5,
)


def _exchange(node: str, others: list[str]) -> load_exchange.LoadExchange:
    membership = mock.create_autospec(memberships.Membership, instance=True)
    membership.node = peer_types.NodeIdentity(node, "", "", "z")
    membership.peers.return_value = [
        peer_types.PeerInfo(name, "", "", "z", state, 0.0)
        for name in others
        for state in [peer_types.PeerState.ALIVE]
    ]
    known = mock.create_autospec(directory.Directory, instance=True)
    known.endpoints = {
        "e1": directory.Endpoint(mock.Mock(), report=REPORT, watched=True)
    }
    clock = mock.create_autospec(clocks.Clock, instance=True)
    clock.monotonic.return_value = 100.0
    return load_exchange.create_load_exchange(
        membership,
        known,
        mock.create_autospec(router_driver.RouterDriver, instance=True),
        usage.create_usage(),
        clock,
        random.Random(1),
    )


@pytest.mark.parametrize("nodes", [1, 3, 4, 9, 40])
def test_each_engine_has_three_watchers(nodes: int) -> None:
    names = [f"n{i}" for i in range(nodes)]
    exchanges = [
        _exchange(name, [other for other in names if other != name])
        for name in names
    ]
    for engine in ("e1", "e2", "e3"):
        watching = sum(1 for e in exchanges if e.watches(engine))
        assert watching == min(nodes, load_exchange.WATCHERS_PER_ENGINE)


def _publisher_and_other() -> tuple[
    load_exchange.LoadExchange, load_exchange.LoadExchange
]:
    pair = _exchange("n1", ["n2"]), _exchange("n2", ["n1"])
    first, second = sorted(pair, key=lambda e: e.rank("e1"))
    return first, second


def _set_time(exchange: load_exchange.LoadExchange, now: float) -> None:
    exchange.clock.monotonic.return_value = now


def _set_report(
    exchange: load_exchange.LoadExchange, name: str, **changes: object
) -> None:
    report = dataclasses.replace(REPORT, endpoint=name, **changes)
    known = directory.Endpoint(mock.Mock(), report=report, watched=True)
    known.reported_at = exchange.clock.monotonic()
    exchange.directory.endpoints[name] = known


def _published(
    exchange: load_exchange.LoadExchange, kind: peers.FactKind
) -> list[peers.Fact]:
    calls = [call.args for call in exchange.membership.publish.call_args_list]
    exchange.membership.publish.reset_mock()
    return [
        peers.Fact(kind, key, 1, "peer", ttl_s, value)
        for found, key, value, ttl_s in calls
        if found is kind
    ]


def _deliver(
    sender: load_exchange.LoadExchange, receiver: load_exchange.LoadExchange
) -> None:
    calls = [call.args for call in sender.membership.publish.call_args_list]
    sender.membership.publish.reset_mock()
    for kind, key, value, ttl_s in calls:
        fact = peers.Fact(kind, key, 1, "peer", ttl_s, value)
        if kind is peers.FactKind.ENGINE_LOAD:
            receiver._on_state_fact(key, fact)
        else:
            receiver._on_usage_fact("peer", fact)


def _applied_reports(
    exchange: load_exchange.LoadExchange,
) -> list[endpoints.LoadReport]:
    calls = exchange.directory.take_peer_report.call_args_list
    return [call.args[0] for call in calls]


def test_report_arrives_unchanged_with_increased_age() -> None:
    # A report published by a peer must reach the router unchanged, with the
    # transit time added to its age; otherwise stale loads would count as
    # fresh. A report that failed to decode used to end the whole exchange.
    sender, receiver = _publisher_and_other()
    sender._publish_states()
    kind, key, value, ttl_s = sender.membership.publish.call_args.args
    fact = peers.Fact(kind, key, 1, "peer", ttl_s - 2.0, value)
    receiver._on_state_fact(key, fact)
    (report,) = receiver.directory.take_peer_report.call_args.args
    assert report.age_s == pytest.approx(2.5)
    assert report.holdings == REPORT.holdings


def test_usage_and_peer_loss_reach_the_router() -> None:
    sender = _exchange("n1", ["n2"])
    sender._publish_usage()
    kind, key, value, ttl_s = sender.membership.publish.call_args.args
    receiver = _exchange("n2", ["n1"])
    receiver._on_usage_fact(key, peers.Fact(kind, key, 1, "n1", ttl_s, value))
    receiver._on_usage_fact(key, None)
    notified = [call.args[0] for call in receiver.driver.notify.call_args_list]
    assert notified == [
        events.PeerLoad(100.0, "n1", {}, {}),
        events.PeerGone(100.0, "n1"),
    ]


@pytest.mark.parametrize("nodes", [1, 2, 3, 9, 40])
def test_only_one_node_publishes_an_engine(nodes: int) -> None:
    # When three watchers published each of 820 engines, the exchange of 390
    # nodes was full, and the loads of most engines reached no other node.
    names = [f"n{i}" for i in range(nodes)]
    published_count = 0
    for name in names:
        exchange = _exchange(name, [other for other in names if other != name])
        exchange.publish()
        published_count += len(_published(exchange, peers.FactKind.ENGINE_LOAD))
    assert published_count == 1


def test_the_next_watcher_takes_over() -> None:
    # The node that publishes an engine is lost. If the next one didn't
    # publish at once, requests would be routed by stale loads for minutes.
    sender, other = _publisher_and_other()
    other._publish_states()
    assert not _published(other, peers.FactKind.ENGINE_LOAD)
    other.membership.peers.return_value = []
    _set_time(other, 101.0)
    other._publish_states()
    assert len(_published(other, peers.FactKind.ENGINE_LOAD)) == 1


def test_watcher_that_is_first_again_republishes_the_state() -> None:
    # The next watcher published another state in the meantime, which would
    # otherwise remain in effect.
    sender, _ = _publisher_and_other()
    alone = sender.membership.peers.return_value
    sender._publish_states()
    better = next(n for n in map(str, range(99)) if _is_first(n, sender))
    sender.membership.peers.return_value = [
        dataclasses.replace(alone[0], name=better)
    ]
    _set_time(sender, 101.0)
    sender._publish_states()
    sender.membership.peers.return_value = alone
    _set_time(sender, 102.0)
    sender.membership.publish.reset_mock()
    sender._publish_states()
    assert len(_published(sender, peers.FactKind.ENGINE_LOAD)) == 1


def _is_first(name: str, than: load_exchange.LoadExchange) -> bool:
    own = load_exchange._score(than.membership.node.name, "e1")
    return load_exchange._score(name, "e1") > own


@pytest.mark.parametrize(
    ("changes", "after_s", "published_count"),
    [
        ({}, 1.0, 0),
        ({"sessions": 60, "queued_items": 50}, 1.0, 0),
        ({}, load_exchange.STATE_REPUBLISH_INTERVAL_S, 1),
        ({"instance": "other"}, 1.0, 1),
        ({"leaving": True}, 1.0, 1),
        ({"role": endpoints.EndpointRole.DRAINING}, 1.0, 1),
        ({"holdings": ()}, 1.0, 1),
        ({"order_number": 8}, 1.0, 1),
    ],
)
def test_state_is_published_on_change_or_after_an_interval(
    changes: dict[str, object], after_s: float, published_count: int
) -> None:
    sender, _ = _publisher_and_other()
    sender._publish_states()
    sender.membership.publish.reset_mock()
    _set_time(sender, 100.0 + after_s)
    _set_report(sender, "e1", **changes)
    sender._publish_states()
    assert (
        len(_published(sender, peers.FactKind.ENGINE_LOAD)) == published_count
    )


@pytest.mark.parametrize("state_first", [True, False])
def test_merged_report_has_the_age_of_the_counts(
    state_first: bool,
) -> None:
    # The state was published a minute ago, the counts just now. With the age
    # of the state the router would exclude the engine as stale.
    sender, receiver = _publisher_and_other()
    sender._publish_states()
    (state,) = _published(sender, peers.FactKind.ENGINE_LOAD)
    _set_time(sender, 160.0)
    _set_report(sender, "e1", sessions=9, queued_items=4)
    _set_time(sender, 161.0)
    sender._publish_usage()
    (use,) = _published(sender, peers.FactKind.ACCOUNT_USE)
    _set_time(receiver, 162.0)
    state = dataclasses.replace(state, ttl_s=state.ttl_s - 62.0)
    use = dataclasses.replace(use, ttl_s=use.ttl_s - 1.0)
    if state_first:
        receiver._on_state_fact("e1", state)
    receiver._on_usage_fact("peer", use)
    if not state_first:
        receiver._on_state_fact("e1", state)
    last = _applied_reports(receiver)[-1]
    assert (last.sessions, last.queued_items) == (9, 4)
    assert last.age_s == pytest.approx(2.5)
    assert last.holdings == REPORT.holdings


def test_counts_of_a_former_instance_are_not_merged() -> None:
    sender, receiver = _publisher_and_other()
    sender.publish()
    _deliver(sender, receiver)
    _set_time(sender, 102.0)
    _set_time(receiver, 102.0)
    _set_report(sender, "e1", instance="new", sessions=50)
    sender._publish_usage()
    _deliver(sender, receiver)
    assert all(report.sessions == 3 for report in _applied_reports(receiver))


def test_most_changed_counts_are_published_first() -> None:
    # One node publishes more engines than fit into a fact. None may be left
    # out for ever, and the most changed one has to be published first.
    sender = _exchange("n1", [])
    names = [f"a-rather-long-name-of-an-engine-{i}" for i in range(200)]
    for name in names:
        _set_report(sender, name)
    published_names: set[str] = set()
    for second in range(20):
        _set_time(sender, 101.0 + second)
        sender._publish_usage()
        (use,) = _published(sender, peers.FactKind.ACCOUNT_USE)
        assert len(use.value) <= load_exchange.MAX_VALUE_BYTES
        published_names |= {row[0] for row in json.loads(use.value)["loads"]}
    assert published_names == {"e1", *names}
    _set_report(sender, names[7], sessions=40)
    sender._publish_usage()
    (use,) = _published(sender, peers.FactKind.ACCOUNT_USE)
    assert json.loads(use.value)["loads"][0][0] == names[7]


def test_usage_with_long_names_fits() -> None:
    sender = _exchange("n1", [])
    sender.meter.in_flight.update({"e" * 90 + str(i): 5 for i in range(40)})
    sender._publish_usage()
    (use,) = _published(sender, peers.FactKind.ACCOUNT_USE)
    value = json.loads(use.value)
    assert len(use.value) <= load_exchange.MAX_VALUE_BYTES
    assert value["in_flight"]
    assert [row[0] for row in value["loads"]] == ["e1"]


@pytest.mark.parametrize(
    ("part", "bad"),
    [
        ("loads", ["e1"]),
        ("loads", ["e1", 1, -3, 0, 0.0]),
        ("loads", ["e1", 1, 3, 0, float("nan")]),
        ("loads", [None, 1, 3, 0, 0.0]),
        ("loads", 7),
        ("in_flight", None),
        ("in_flight", "many"),
        ("use", -1),
        ("use", float("inf")),
        ("load", "full"),
    ],
)
def test_invalid_value_does_not_discard_others(part: str, bad: object) -> None:
    # A peer of another version publishes a value that is invalid here.
    sender, receiver = _publisher_and_other()
    _set_report(sender, "e1", sessions=8)
    sender.meter.in_flight.update({"e1": 2})
    sender.publish()
    (state,) = _published_keeping(sender, peers.FactKind.ENGINE_LOAD)
    (use,) = _published(sender, peers.FactKind.ACCOUNT_USE)
    value = json.loads(use.value)
    if part == "loads":
        value["loads"].insert(0, bad)
    elif part == "load":
        value["load"] = bad
    else:
        value.setdefault(part, {})["other"] = bad
    receiver._on_state_fact("e1", state)
    _set_time(receiver, 100.5)
    changed = dataclasses.replace(use, value=json.dumps(value).encode())
    receiver._on_usage_fact("peer", changed)
    (notified,) = [
        call.args[0] for call in receiver.driver.notify.call_args_list
    ]
    assert notified == events.PeerLoad(100.5, "peer", {"e1": 2}, {})
    assert receiver._rows["e1"].row.sessions == 8


def _published_keeping(
    exchange: load_exchange.LoadExchange, kind: peers.FactKind
) -> list[peers.Fact]:
    calls = list(exchange.membership.publish.call_args_list)
    found = _published(exchange, kind)
    exchange.membership.publish.call_args_list.extend(calls)
    return found


def test_failed_publication_does_not_affect_others() -> None:
    sender = _exchange("n1", [])
    _set_report(sender, "e2")

    def refuse_first(kind: object, key: str, *_: object) -> None:
        if key == "e1":
            raise ValueError("too long")

    sender.membership.publish.side_effect = refuse_first
    sender.publish()
    keys = [c.args[1] for c in sender.membership.publish.call_args_list]
    assert keys == ["n1", "e1", "e2"]


@pytest.mark.parametrize(
    ("nodes", "seconds", "max_bytes"),
    [
        (1, 1.0, 1500),
        (5, 1.0, 1500),
        (9, 1.0, 1000),
        (20, 1.0, 450),
        (80, 4.0, 200),
        (400, 20.0, 200),
    ],
)
def test_usage_facts_become_rarer_and_shorter_with_more_nodes(
    nodes: int, seconds: float, max_bytes: int
) -> None:
    # With facts as long and as frequent as in a small system, those of 81
    # nodes exceeded the capacity of the exchange, and all became stale.
    exchange = _exchange("n0", [f"n{i}" for i in range(1, nodes)])
    exchange.meter.in_flight.update({f"engine-{i}": 9 for i in range(40)})
    for i in range(40):
        _set_report(exchange, f"engine-{i}")
    exchange.rank("e1")
    exchange._ranks = dict.fromkeys(exchange.directory.endpoints, 0)
    assert exchange.usage_interval_s() == pytest.approx(seconds)
    exchange._publish_usage()
    (use,) = _published(exchange, peers.FactKind.ACCOUNT_USE)
    assert len(use.value) <= exchange.max_value_bytes_now() == max_bytes
    assert len(json.loads(use.value)["in_flight"]) >= 3
    assert len(json.loads(use.value)["loads"]) >= 3


def test_ranks_follow_joining_and_leaving_nodes() -> None:
    # With a wrong rank, no node would publish an engine, or several would.
    exchange = _exchange("n0", [])
    rng = random.Random(7)
    every = _exchange("n0", [f"n{i}" for i in range(1, 30)])
    others = every.membership.peers.return_value
    for second in range(20):
        alive = rng.sample(others, rng.randrange(len(others)))
        exchange.membership.peers.return_value = alive
        _set_time(exchange, 200.0 + second)
        fresh = _exchange("n0", [peer.name for peer in alive])
        for engine in ("e1", "e2", "e3", f"e{second}"):
            assert exchange.rank(engine) == fresh.rank(engine)


@pytest.mark.parametrize(
    ("versions", "after_s", "published_count"),
    [
        ({("m", 1)}, 1.0, 0),
        ({("m", 1), ("m", 2)}, 1.0, 1),
        (set(), 1.0, 1),
        (set(), 0.05, 0),
    ],
)
def test_a_change_of_the_versions_in_use_is_published_early(
    versions: set[tuple[str, int]], after_s: float, published_count: int
) -> None:
    """Guards against a rollout that waits for the next regular usage fact."""
    sender = _exchange("n1", ["n2"])
    sender.versions.own_versions = lambda: {("m", 1)}
    sender.publish()
    _published(sender, peers.FactKind.ACCOUNT_USE)
    sender.versions.own_versions = lambda: versions
    _set_time(sender, 100.0 + after_s)
    sender.publish_changed_versions()
    uses = _published(sender, peers.FactKind.ACCOUNT_USE)
    assert len(uses) == published_count
    assert sender.membership.start_extra_round.call_count == published_count


def test_versions_in_use_reach_a_peer_until_they_expire() -> None:
    sender, receiver = _publisher_and_other()
    sender.versions.own_versions = lambda: {("m", 1), ("m", 2)}
    sender._publish_usage()
    (use,) = _published(sender, peers.FactKind.ACCOUNT_USE)
    node = sender.membership.node.name
    receiver._on_usage_fact(node, use)
    assert receiver.versions.in_use() == {("m", 1), ("m", 2)}
    receiver._on_usage_fact(node, None)
    assert receiver.versions.in_use() == set()
