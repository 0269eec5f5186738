from __future__ import annotations

import random

from almondshift.model import fleet
from almondshift.policy import actions
from almondshift.policy import baseline
from almondshift.policy import events
from almondshift.policy import router_interface
from tests.policy import fleets


def _router() -> router_interface.Router:
    router = baseline.create_baseline_router(random.Random(1))
    portal = fleet.Service(
        "portal", fleet.ServiceKind.PLAIN, depends_on=("chat",)
    )
    fleets.feed(
        router,
        events.FleetChanged(0.0, fleets.make_fleet(services=(portal,))),
        *(fleets.seen(name) for name in ("a", "b", "c")),
        fleets.reported("a", (0, 4)),
        fleets.reported("b", (4, 8)),
        fleets.reported("c", (3, 8)),
    )
    return router


def _endpoints(action: actions.Action) -> list[str]:
    assert isinstance(action, actions.Dispatch)
    assert action.chain.is_whole(fleets.LAYERS)
    return [stage.endpoint for stage in action.chain.stages]


def test_chains_are_used_in_rotation() -> None:
    router = _router()
    first, second = (
        _endpoints(router.handle(fleets.arrival(f"r{i}"))[0]) for i in (1, 2)
    )
    assert first[0] == second[0] == "a"
    assert {first[1], second[1]} == {"b", "c"}


def test_replaces_a_failed_stage() -> None:
    router = _router()
    (action,) = router.handle(fleets.arrival())
    assert isinstance(action, actions.Dispatch)
    failed = action.chain.stages[1].endpoint
    (replace,) = router.handle(
        events.StageFailed(
            0.1, "r1", action.chain, 1, events.FailureReason.BROKEN, 4
        )
    )
    assert isinstance(replace, actions.Replace)
    assert replace.replacement[0].endpoint != failed
    repaired = action.chain.replace(1, replace.replacement)
    assert repaired.is_whole(fleets.LAYERS)


def test_leaving_endpoint_gets_no_new_work() -> None:
    router = _router()
    fleets.feed(router, events.EndpointLeaving(0.1, "b"))
    for i in range(4):
        (action,) = router.handle(fleets.arrival(f"r{i}"))
        assert _endpoints(action) == ["a", "c"]


def test_plain_service_waits_for_what_it_depends_on() -> None:
    router = _router()
    fleets.feed(router, fleets.seen("p", service="portal"))
    (action,) = router.handle(fleets.arrival("r1", "portal"))
    assert action == actions.DispatchPlain("r1", "p")
    fleets.feed(router, events.EndpointGone(0.2, "a"))
    (refusal,) = router.handle(fleets.arrival("r2", "portal", at=0.3))
    assert isinstance(refusal, actions.Refuse)
    assert refusal.reason is actions.RefusalReason.SERVICE_NOT_READY
