from __future__ import annotations

import random
from unittest import mock

import pytest

from almondshift.coordination import membership as memberships
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
    membership.node = memberships.NodeIdentity(node, "", "", "z")
    membership.peers.return_value = [
        memberships.PeerInfo(name, "", "", "z", state, 0.0)
        for name in others
        for state in [memberships.PeerState.ALIVE]
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
        assert watching == min(nodes, load_exchange.WATCHERS)


def test_a_report_arrives_as_it_was_told_and_older() -> None:
    # A report told by a peer must reach the router as the engine gave it,
    # with the time on the way added to its age; else old news would count
    # as fresh. It once failed to decode, and ended the exchange with it.
    sender = _exchange("n1", ["n2"])
    sender._publish_reports()
    kind, key, value, ttl_s = sender.membership.publish.call_args.args
    receiver = _exchange("n2", ["n1"])
    fact = peers.Fact(kind, key, 1, "n1", ttl_s - 2.0, value)
    receiver._heard_report(key, fact)
    (report,) = receiver.directory.take_peer_report.call_args.args
    assert report.age_s == pytest.approx(2.5)
    assert report.holdings == REPORT.holdings


def test_use_of_accounts_and_loss_of_a_peer_reach_the_router() -> None:
    sender = _exchange("n1", ["n2"])
    sender._publish_use()
    kind, key, value, ttl_s = sender.membership.publish.call_args.args
    receiver = _exchange("n2", ["n1"])
    receiver._heard_use(key, peers.Fact(kind, key, 1, "n1", ttl_s, value))
    receiver._heard_use(key, None)
    told = [call.args[0] for call in receiver.driver.tell.call_args_list]
    assert told == [
        events.PeerLoad(100.0, "n1", {}, {}),
        events.PeerGone(100.0, "n1"),
    ]
