from __future__ import annotations

import dataclasses
import random

import pytest

from almondshift.model import chains
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import router
from tests.policy import fleets

REASONS = actions.RefusalReason


def _router(
    spans: dict[str, tuple[int, int]] | None = None,
    services: tuple[fleet.Service, ...] = (),
    accounts: tuple[fleet.Account, ...] = (),
) -> router.LoadRouter:
    settings = router.RouterSettings(zone="z1")
    made = router.create_router(random.Random(1), "n0", settings)
    config = fleets.make_fleet(services=services, accounts=accounts)
    fleets.feed(made, events.FleetChanged(0.0, config))
    held = {"a": (0, 4), "b": (4, 8), "c": (3, 8)} if spans is None else spans
    for name, span in held.items():
        fleets.feed(made, fleets.seen(name), fleets.reported(name, span))
    return made


def _chain(action: actions.Action) -> chains.Chain:
    assert isinstance(action, actions.Dispatch)
    assert action.chain.is_whole(fleets.LAYERS)
    return action.chain


def _refusals(decided: list[actions.Action]) -> list[actions.Refuse]:
    return [a for a in decided if isinstance(a, actions.Refuse)]


def _fill(made: router.LoadRouter, at: float = 0.0) -> int:
    """Sends requests until one waits; returns how many were sent on."""
    for count in range(1000):
        sent = made.handle(
            fleets.arrival(f"fill{count}", at=at, account=f"f{count}")
        )
        if not sent:
            return count
        assert isinstance(sent[0], actions.Dispatch)
    raise AssertionError("nothing ever waited")


@pytest.mark.parametrize(
    "spans",
    [
        {"a": (0, 8)},
        {"a": (0, 4), "b": (4, 8)},
        {"a": (0, 5), "b": (3, 8)},
        {"a": (0, 3), "b": (2, 6), "c": (5, 8)},
        {"a": (0, 8), "b": (2, 4), "c": (0, 2), "d": (4, 8)},
    ],
)
def test_a_chain_covers_all_layers_within_what_engines_hold(
    spans: dict[str, tuple[int, int]],
) -> None:
    made = _router(spans)
    for i in range(5):
        (action,) = made.handle(fleets.arrival(f"r{i}"))
        for stage in _chain(action).stages:
            assert layers.LayerRange(*spans[stage.endpoint]).covers(
                stage.layers
            )


@pytest.mark.parametrize(
    ("event", "reason", "comes_back"),
    [
        (fleets.arrival(service="none"), REASONS.UNKNOWN_SERVICE, False),
        (fleets.arrival(deadline_s=0.0), REASONS.DEADLINE_PAST, False),
        (fleets.arrival(service="portal"), REASONS.SERVICE_NOT_READY, True),
    ],
)
def test_refusals_on_arrival(
    event: events.Arrival, reason: actions.RefusalReason, comes_back: bool
) -> None:
    portal = fleet.Service("portal", fleet.ServiceKind.PLAIN)
    (refusal,) = _router(services=(portal,)).handle(event)
    assert isinstance(refusal, actions.Refuse)
    assert refusal.reason is reason
    assert (refusal.retry_after_s is not None) is comes_back


def test_a_full_system_queues_then_refuses_on_arrival() -> None:
    """A caller that can't be served in time is told at once.

    Engines are full and nothing completes. The first callers wait; once
    the queue is as long as may be waited for, the next ones are refused
    in the call that brought them, with a Retry-After.
    """
    made = _router()
    _fill(made)
    refused = [
        action
        for i in range(200)
        for action in made.handle(fleets.arrival(f"r{i}", at=0.01))
    ]
    assert refused
    for action in refused:
        assert isinstance(action, actions.Refuse)
        assert action.reason is REASONS.OVERLOADED
        assert action.retry_after_s


def test_a_request_that_waits_is_refused_long_before_its_deadline() -> None:
    made = _router()
    _fill(made)
    due = made.handle(events.Tick(1.9))
    due += made.handle(events.Tick(2.1))
    (refusal,) = due
    assert isinstance(refusal, actions.Refuse)
    assert refusal.reason is REASONS.OVERLOADED


def test_a_slot_that_comes_free_goes_to_who_waits() -> None:
    made = _router()
    count = _fill(made)
    (action,) = made.handle(events.Completed(0.5, "fill0"))
    assert isinstance(action, actions.Dispatch)
    assert action.request_id == f"fill{count}"


def test_an_abandoned_request_is_not_dispatched() -> None:
    made = _router()
    count = _fill(made)
    assert made.handle(events.Abandoned(0.1, f"fill{count}")) == []
    assert made.handle(events.Completed(0.5, "fill0")) == []
    assert not made.waiting


def test_a_failed_stage_is_replaced_and_the_endpoint_avoided() -> None:
    made = _router()
    (action,) = made.handle(fleets.arrival())
    chain = _chain(action)
    failed = chain.stages[1]
    (replace,) = made.handle(
        events.StageFailed(0.1, "r1", chain, 1, events.FailureReason.BROKEN, 16)
    )
    assert isinstance(replace, actions.Replace)
    assert failed.endpoint not in {s.endpoint for s in replace.replacement}
    assert chain.replace(1, replace.replacement).is_whole(fleets.LAYERS)


def test_a_request_waits_for_an_engine_that_takes_over_its_layers() -> None:
    """A caller keeps its answer when the only engine of a range is lost.

    The stage fails and nobody else holds its layers: the router says
    nothing yet. Another engine loads them and reports; the stage is then
    replaced. Without a report, the request is refused within five seconds.
    """
    made = _router({"a": (0, 4), "b": (4, 8)})
    (action,) = made.handle(fleets.arrival(deadline_s=60.0))
    failure = events.StageFailed(
        0.1, "r1", _chain(action), 1, events.FailureReason.UNREACHABLE, 16
    )
    assert made.handle(failure) == []
    fleets.feed(made, fleets.seen("c"))
    (replace,) = made.handle(fleets.reported("c", (4, 8), at=2.0))
    assert isinstance(replace, actions.Replace)
    assert replace.replacement[0].endpoint == "c"


def test_a_request_without_replacement_is_refused_soon() -> None:
    made = _router({"a": (0, 4), "b": (4, 8)})
    (action,) = made.handle(fleets.arrival(deadline_s=60.0))
    failure = events.StageFailed(
        0.1, "r1", _chain(action), 1, events.FailureReason.UNREACHABLE, 16
    )
    assert made.handle(failure) == []
    assert not _refusals(made.handle(events.Tick(5.0)))
    (refusal,) = _refusals(made.handle(events.Tick(5.2)))
    assert refusal.reason is REASONS.NO_REPLACEMENT
    assert made.in_flight() == {}


def test_in_flight_counts_return_to_nothing() -> None:
    made = _router()
    for i in range(4):
        made.handle(fleets.arrival(f"r{i}"))
    assert sum(made.in_flight().values()) == 8
    made.handle(events.Progress(0.1, "r0", 1))
    for i in range(4):
        made.handle(events.Completed(0.2, f"r{i}"))
    assert made.in_flight() == {}
    assert all(
        engine.load.pending_prompt == 0
        for engine in made.chooser.engines.values()
    )


@pytest.mark.parametrize(
    "event",
    [
        events.EndpointLeaving(0.1, "b"),
        events.EndpointGone(0.1, "b"),
        fleets.reported("b", (4, 8), at=0.1, leaving=True),
        fleets.reported("b", (4, 8), at=0.1, ready=False),
    ],
)
def test_no_new_work_for_an_endpoint_that_can_not_take_it(
    event: events.Event,
) -> None:
    made = _router()
    fleets.feed(made, event)
    for i in range(10):
        (action,) = made.handle(fleets.arrival(f"r{i}", at=0.2))
        used = {stage.endpoint for stage in _chain(action).stages}
        assert "b" not in used


def test_an_account_over_its_limit_is_refused_and_others_are_not() -> None:
    limited = fleet.Account("a", "", tokens_per_s=32.0)
    made = _router(accounts=(limited,))
    decided = [
        made.handle(fleets.arrival(f"r{i}", account="a"))[0] for i in range(8)
    ]
    refused = [a for a in decided if isinstance(a, actions.Refuse)]
    assert len(refused) == 6
    assert {a.reason for a in refused} == {REASONS.ACCOUNT_LIMITED}
    (other,) = made.handle(fleets.arrival("r9", account="b"))
    assert isinstance(other, actions.Dispatch)


def test_a_plain_request_that_was_not_run_goes_elsewhere() -> None:
    portal = fleet.Service("portal", fleet.ServiceKind.PLAIN)
    made = _router(services=(portal,))
    fleets.feed(made, *(fleets.seen(n, service="portal") for n in ("p", "q")))
    event = fleets.arrival("r1", "portal", max_tokens=0)
    (first,) = made.handle(event)
    (second,) = made.handle(dataclasses.replace(event, at=0.1))
    assert isinstance(first, actions.DispatchPlain)
    assert isinstance(second, actions.DispatchPlain)
    assert first.endpoint != second.endpoint
    made.handle(events.Completed(0.2, "r1"))
    assert made.in_flight() == {}


def test_a_version_change_fails_no_request() -> None:
    """Callers are served by the old version until the new one is whole.

    The configuration names version 2 while engines still hold 1. As they
    load 2 one after another, each request gets a whole chain of a single
    version: first of 1, and of 2 from the moment all its layers are ready.
    """
    spans = {"a": (0, 4), "b": (4, 8), "c": (0, 4), "d": (4, 8)}
    made = _router(spans)
    config = fleets.make_fleet(version=2, model_version=2)
    fleets.feed(made, events.FleetChanged(1.0, config))
    versions = []
    for step, name in enumerate(("a", "b", "c", "d")):
        at = 2.0 + step
        fleets.feed(made, fleets.reported(name, spans[name], at, version=2))
        (action,) = made.handle(fleets.arrival(f"r{step}", at=at))
        versions.append(_chain(action).version)
    assert versions == [1, 2, 2, 2]


@pytest.mark.parametrize("size", [8, 80])
def test_a_tick_looks_at_nothing_that_did_not_change(size: int) -> None:
    spans = {f"e{i}": (0, 4) if i % 2 else (4, 8) for i in range(size)}
    made = _router(spans)
    calls = 0

    def refresh(name: str) -> None:
        nonlocal calls
        calls += 1

    made.chooser.refresh = refresh  # type: ignore[method-assign]
    for i in range(10):
        made.handle(events.Tick(1.0 + i))
    assert calls == 0


def test_the_same_seed_decides_the_same() -> None:
    def play() -> list[actions.Action]:
        made = _router()
        return [
            action
            for i in range(50)
            for action in made.handle(fleets.arrival(f"r{i}", at=i * 0.01))
        ]

    assert play() == play()


def test_an_engine_that_was_full_is_asked_again() -> None:
    """A caller keeps its answer when the only engine was briefly full.

    The engine of a range refuses a stage for want of memory, and nobody
    else has its layers. Its next report shows room; the stage goes there.
    """
    made = _router({"a": (0, 4), "b": (4, 8)})
    (action,) = made.handle(fleets.arrival())
    failure = events.StageFailed(
        0.1, "r1", _chain(action), 1, events.FailureReason.REFUSED, 16
    )
    assert made.handle(failure) == []
    (replace,) = made.handle(fleets.reported("b", (4, 8), at=0.5))
    assert isinstance(replace, actions.Replace)
    assert replace.replacement[0].endpoint == "b"


def test_an_engine_that_left_and_went_is_forgotten() -> None:
    """A change of configuration goes through after an engine has gone.

    An engine first says that it is leaving, so that it serves nothing, and
    then vanishes from the list of VMs. The next configuration is taken.
    """
    made = _router()
    fleets.feed(
        made,
        fleets.reported("b", (4, 8), at=0.1, leaving=True),
        events.EndpointGone(0.2, "b"),
        events.FleetChanged(0.3, fleets.make_fleet(version=2)),
    )
    assert "b" not in made.chooser.engines
    (action,) = made.handle(fleets.arrival(at=0.4))
    assert {s.endpoint for s in _chain(action).stages} == {"a", "c"}
