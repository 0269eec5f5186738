"""Orders while the registry is that of an older copy of the store."""

from __future__ import annotations

import pytest

from almondshift.relay import layer_keeper
from tests import asynchronous
from tests.relay import test_layer_keeper as fleets

COPIED_LAYERS = {"e0": (0, 0), "e1": (0, 0), "s2": (27, 54)}


@pytest.mark.parametrize("engine", COPIED_LAYERS)
@pytest.mark.parametrize("rewritten_after_s", [0.4, 2.0])
@asynchronous.run
async def test_no_orders_follow_from_the_copy(
    engine: str, rewritten_after_s: float
) -> None:
    """Otherwise engines would load layers anew that they hold or gave up.

    The copy has other layers for an engine than it holds by now, until it
    writes its entry again.
    """
    fleet = fleets._fleet()
    await fleet.run(6.0)
    fleet.engines.orders_sent.clear()
    held = fleet.known.engines[engine].layers
    assert held is not None
    fleet.keeper.pause_after_restore()
    fleet.set_layers(engine, *COPIED_LAYERS[engine])
    await fleet.run(rewritten_after_s)
    fleet.set_layers(engine, held.start, held.end)
    await fleet.run(5.0)
    assert fleet.engines.orders_sent == []


@asynchronous.run
async def test_an_engine_that_is_lost_at_the_return_is_replaced() -> None:
    """Otherwise its layers would be missing as long as the node has the lease.

    It doesn't write its entry again.
    """
    fleet = fleets._fleet()
    fleet.keeper.pause_after_restore()
    fleet.remove_engine("e1")
    await fleet.run(layer_keeper.RESTORED_PAUSE_S + 1.0)
    assert fleet.missing() == []
