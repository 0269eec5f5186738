"""Orders that engines do not respond to."""

from __future__ import annotations

import json
import types
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from almondshift.coordination import lease as coordination_lease
from almondshift.model import relayed
from almondshift.model import revisions
from almondshift.platform import decode
from almondshift.policy import engine_tracker
from almondshift.ports import path_engines
from almondshift.ports import row_feeds
from almondshift.relay import catalogue
from almondshift.relay import layer_keeper
from tests import asynchronous
from tests.fakes import clocks
from tests.platform import standin_system

if TYPE_CHECKING:
    from almondshift.relay import context

LAYERS = 80
GRANT = coordination_lease.LeaseGrant(1, 1e12)
NO_OUTAGE = -1e9

Held = tuple[int, int] | None


class FakeLease:
    """A lease that this node holds."""

    owner = holder = "node"

    def grant(self) -> coordination_lease.LeaseGrant:
        return GRANT


class FakeEngines(path_engines.PathEngines):
    """Engines that execute orders at once, or do not respond.

    Attributes:
        silent: Engines that do not respond and do nothing.
        orders_sent: Orders that were sent, including those to silent engines.
        executed: Orders that were executed.
        on_executed: Called with each executed order.
    """

    def __init__(self, clock: clocks.VirtualClock) -> None:
        self.clock = clock
        self.silent: set[str] = set()
        self.orders_sent: list[tuple[str, int, int]] = []
        self.executed: list[tuple[str, int, int]] = []
        self.on_executed = lambda instance, start, end: None

    async def place(
        self,
        address: str,
        instance: str,
        start: int,
        end: int,
        expected_orders: int | None,
        timeout_s: float,
    ) -> path_engines.OrderAnswer:
        self.orders_sent.append((instance, start, end))
        if instance in self.silent:
            await self.clock.sleep(timeout_s)
            return path_engines.OrderAnswer(path_engines.OrderOutcome.UNKNOWN)
        self.executed.append((instance, start, end))
        self.on_executed(instance, start, end)
        return path_engines.OrderAnswer(path_engines.OrderOutcome.BEGUN)

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        del timeout_s
        return address.partition(":")[0] not in self.silent

    async def report(
        self, address: str, timeout_s: float
    ) -> relayed.EngineReport | None:
        if address.partition(":")[0] in self.silent:
            await self.clock.sleep(timeout_s)
            return None
        return relayed.EngineReport(1.0, 0.0, 1.0, 0, 0, False, 0, ())

    def forward(self, *values: Any) -> path_engines.ForwardedRequest:
        raise NotImplementedError

    async def is_healthy(self, *values: Any) -> bool | None:
        raise NotImplementedError

    async def repath(self, *values: Any) -> path_engines.OrderAnswer:
        raise NotImplementedError

    def forget(self, address: str) -> None:
        raise NotImplementedError


class Fleet:
    """Engines of one zone, and a layer keeper that places their layers."""

    def __init__(self, held: dict[str, Held]) -> None:
        self.clock = clocks.VirtualClock()
        self.engines = FakeEngines(self.clock)
        self.engines.on_executed = self.set_layers
        decoders = catalogue.Decoders(
            decode.decode_config, decode.decode_engine
        )
        self.known = catalogue.Catalogue(decoders, "config")
        config = json.dumps(standin_system.config()).encode()
        self.known.apply_config_row(
            row_feeds.FeedRow("config", config, revisions.Revision(0, 1)),
            verified=True,
        )
        self.revision = 1
        shared = types.SimpleNamespace(
            clock=self.clock,
            catalogue=self.known,
            engines=self.engines,
            tracker=engine_tracker.EngineTracker(),
        )
        self.keeper = layer_keeper.create_layer_keeper(
            cast("context.RelayContext", shared),
            cast("coordination_lease.Lease", FakeLease()),
        )
        self.known.on_engine.append(self.keeper.on_engine_changed)
        self.known.on_gone.append(self.keeper.on_engine_gone)
        for instance, layers in held.items():
            self.set_layers(instance, *(layers or (0, 0)))

    def set_layers(self, instance: str, start: int, end: int) -> None:
        """Updates the layers of an engine in the registry."""
        entry = {
            "service": standin_system.MODEL_SERVICE,
            "address": f"{instance}:1",
            "state": "ready",
            "zone": "a",
            "kind": "big",
            "layers": {"from": start, "to": end},
        }
        self.apply_row(instance, json.dumps(entry).encode())

    def remove_engine(self, instance: str) -> None:
        """Removes an engine from the registry."""
        self.apply_row(instance, None)

    def apply_row(self, instance: str, value: bytes | None) -> None:
        self.revision += 1
        row = row_feeds.FeedRow(
            instance, value, revisions.Revision(0, self.revision)
        )
        self.known.apply_engine_row(row, self.clock.now, NO_OUTAGE)

    async def run(self, seconds: float) -> None:
        """Runs the layer keeper for some virtual time."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.keeper.tick()
            await self.clock.advance(layer_keeper.TICK_S)

    def missing(self) -> list[int]:
        """Returns the layers that no engine holds."""
        held = [e.layers for e in self.known.engines.values() if e.layers]
        return [
            layer
            for layer in range(LAYERS)
            if not any(r.start <= layer < r.end for r in held)
        ]


def _fleet() -> Fleet:
    """Returns a chain of three engines with three standbys."""
    return Fleet(
        {
            "e0": (0, 27),
            "e1": (27, 54),
            "e2": (54, 80),
            "s0": (0, 27),
            "s1": (0, 27),
            "s2": (54, 80),
        }
    )


@asynchronous.run
async def test_layers_go_to_others_when_an_engine_does_not_answer() -> None:
    """Otherwise a zone would refuse all callers until a silent engine responds.

    An engine is gone, and standbys are ordered to share its layers. One of them
    does not respond. Others are ordered to load its share within 1.5 s of the
    loss, although the silent engine stays in the registry.
    """
    fleet = _fleet()
    fleet.engines.silent.add("s0")
    fleet.remove_engine("e1")
    assert fleet.missing() == list(range(27, 54))
    await fleet.run(1.5)
    assert "s0" in {instance for instance, _, _ in fleet.engines.orders_sent}
    assert fleet.missing() == []


@asynchronous.run
async def test_what_a_silent_engine_may_have_given_up_is_kept_by_others() -> (
    None
):
    """Otherwise callers would be refused once the late order is executed.

    A standby does not respond to an order that replaces its layers, and may
    execute it at any time. Until it responds, the plan must not rely on the
    layers that it held, so other engines keep them.
    """
    fleet = _fleet()
    fleet.engines.silent.add("s0")
    fleet.remove_engine("e1")
    await fleet.run(6.0)
    [ordered] = {o for o in fleet.engines.orders_sent if o[0] == "s0"}
    fleet.set_layers(*ordered)
    assert fleet.missing() == []


@asynchronous.run
async def test_an_order_without_an_answer_is_sent_again() -> None:
    """Otherwise an engine whose response was lost would never get its layers.

    A standby does not respond for two seconds. The same order is then sent
    again, and the standby executes it although others hold the layers by then.
    """
    fleet = _fleet()
    fleet.engines.silent.add("s0")
    fleet.remove_engine("e1")
    await fleet.run(2.0)
    fleet.engines.silent.clear()
    await fleet.run(2.0)
    sent = [order for order in fleet.engines.orders_sent if order[0] == "s0"]
    assert sent[0] == sent[1]
    assert sent[0] in fleet.engines.executed


@asynchronous.run
async def test_no_layers_are_moved_when_most_engines_are_silent() -> None:
    """Otherwise healthy engines would load layers, and refuse work meanwhile.

    The lease holder's own link is cut, so none of its orders gets a response.
    It resends them and sends no other orders.
    """
    fleet = _fleet()
    fleet.engines.silent.update(fleet.known.engines)
    fleet.remove_engine("e1")
    await fleet.run(1.0)
    first = set(fleet.engines.orders_sent)
    await fleet.run(2.5)
    assert first and set(fleet.engines.orders_sent) == first


@asynchronous.run
async def test_no_layers_are_moved_by_a_node_that_is_cut_off() -> None:
    """Otherwise the few engines that it reaches would load all layers."""
    fleet = _fleet()
    fleet.keeper.is_cut_off = lambda service: True
    fleet.remove_engine("e1")
    await fleet.run(3.0)
    assert not fleet.engines.orders_sent
    fleet.keeper.is_cut_off = lambda service: False
    await fleet.run(3.0)
    assert fleet.missing() == []


@asynchronous.run
async def test_no_layers_are_moved_while_an_engine_pauses() -> None:
    """Guards against loads of layers that a paused engine still holds.

    An engine with layers that no other one holds falls silent. Its layers go to
    others only once it has been silent for longer than engines pause.
    """
    fleet = _fleet()
    await fleet.run(1.0)
    tracker = fleet.keeper.shared.tracker
    fleet.engines.silent.add("e1")
    tracker.suspect("e1", engine_tracker.Suspicion.UNREACHABLE, fleet.clock.now)
    fleet.engines.orders_sent.clear()
    await fleet.run(engine_tracker.MAX_PAUSE_S)
    assert not fleet.engines.orders_sent
    tracker.note_silent("e1", fleet.clock.now)
    await fleet.run(1.5)
    assert "e1" not in {instance for instance, _, _ in fleet.engines.executed}
    assert {start for _, start, _ in fleet.engines.executed} & set(
        range(27, 54)
    )
