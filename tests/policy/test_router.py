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
    load_router = router.create_router(random.Random(1), "n0", settings)
    config = fleets.make_fleet(services=services, accounts=accounts)
    fleets.feed(load_router, events.FleetChanged(0.0, config))
    held = {"a": (0, 4), "b": (4, 8), "c": (3, 8)} if spans is None else spans
    for name, span in held.items():
        fleets.feed(load_router, fleets.seen(name), fleets.reported(name, span))
    return load_router


def _chain(action: actions.Action) -> chains.Chain:
    assert isinstance(action, actions.Dispatch)
    assert action.chain.is_whole(fleets.LAYERS)
    return action.chain


def _refusals(decided: list[actions.Action]) -> list[actions.Refuse]:
    return [a for a in decided if isinstance(a, actions.Refuse)]


def _fill(load_router: router.LoadRouter, at: float = 0.0) -> int:
    """Sends requests until one waits; returns the number dispatched."""
    for count in range(1000):
        sent = load_router.handle(
            fleets.arrival(f"fill{count}", at=at, account=f"f{count}")
        )
        if not sent:
            return count
        assert isinstance(sent[0], actions.Dispatch)
    raise AssertionError("no request had to wait")


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
    load_router = _router(spans)
    for i in range(5):
        (action,) = load_router.handle(fleets.arrival(f"r{i}"))
        for stage in _chain(action).stages:
            assert layers.LayerRange(*spans[stage.endpoint]).covers(
                stage.layers
            )


@pytest.mark.parametrize(
    ("event", "reason", "has_retry_after"),
    [
        (fleets.arrival(service="none"), REASONS.UNKNOWN_SERVICE, False),
        (fleets.arrival(deadline_s=0.0), REASONS.DEADLINE_PAST, False),
        (fleets.arrival(service="portal"), REASONS.SERVICE_NOT_READY, True),
    ],
)
def test_refusals_on_arrival(
    event: events.Arrival, reason: actions.RefusalReason, has_retry_after: bool
) -> None:
    portal = fleet.Service("portal", fleet.ServiceKind.PLAIN)
    (refusal,) = _router(services=(portal,)).handle(event)
    assert isinstance(refusal, actions.Refuse)
    assert refusal.reason is reason
    assert (refusal.retry_after_s is not None) is has_retry_after


def test_a_full_system_queues_then_refuses_on_arrival() -> None:
    """A request that can't be served in time is refused immediately.

    Engines are full and nothing completes. The first requests wait. Once the
    queue has reached the maximum wait, further requests are refused on
    arrival, with a Retry-After.
    """
    load_router = _router()
    _fill(load_router)
    refused = [
        action
        for i in range(200)
        for action in load_router.handle(fleets.arrival(f"r{i}", at=0.01))
    ]
    assert refused
    for action in refused:
        assert isinstance(action, actions.Refuse)
        assert action.reason is REASONS.OVERLOADED
        assert action.retry_after_s


def test_a_waiting_request_is_refused_long_before_its_deadline() -> None:
    load_router = _router()
    _fill(load_router)
    due = load_router.handle(events.Tick(1.9))
    due += load_router.handle(events.Tick(2.1))
    (refusal,) = due
    assert isinstance(refusal, actions.Refuse)
    assert refusal.reason is REASONS.OVERLOADED


def test_a_freed_slot_goes_to_a_waiting_request() -> None:
    load_router = _router()
    count = _fill(load_router)
    (action,) = load_router.handle(events.Completed(0.5, "fill0"))
    assert isinstance(action, actions.Dispatch)
    assert action.request_id == f"fill{count}"


def test_an_abandoned_request_is_not_dispatched() -> None:
    load_router = _router()
    count = _fill(load_router)
    assert load_router.handle(events.Abandoned(0.1, f"fill{count}")) == []
    assert load_router.handle(events.Completed(0.5, "fill0")) == []
    assert not load_router.waiting


def test_a_failed_stage_is_replaced_and_the_endpoint_avoided() -> None:
    load_router = _router()
    (action,) = load_router.handle(fleets.arrival())
    chain = _chain(action)
    failed = chain.stages[1]
    (replace,) = load_router.handle(
        events.StageFailed(0.1, "r1", chain, 1, events.FailureReason.BROKEN, 16)
    )
    assert isinstance(replace, actions.Replace)
    assert failed.endpoint not in {s.endpoint for s in replace.replacement}
    assert chain.replace(1, replace.replacement).is_whole(fleets.LAYERS)


def test_a_request_waits_for_an_engine_that_takes_over_its_layers() -> None:
    """A request survives the loss of the only engine of a layer range.

    The stage fails and no other engine holds its layers, so the router takes
    no action yet. Another engine loads them and reports; the stage is then
    replaced.
    """
    load_router = _router({"a": (0, 4), "b": (4, 8)})
    (action,) = load_router.handle(fleets.arrival(deadline_s=60.0))
    failure = events.StageFailed(
        0.1, "r1", _chain(action), 1, events.FailureReason.UNREACHABLE, 16
    )
    assert load_router.handle(failure) == []
    fleets.feed(load_router, fleets.seen("c"))
    (replace,) = load_router.handle(fleets.reported("c", (4, 8), at=2.0))
    assert isinstance(replace, actions.Replace)
    assert replace.replacement[0].endpoint == "c"


def test_a_request_without_replacement_is_refused_soon() -> None:
    load_router = _router({"a": (0, 4), "b": (4, 8)})
    (action,) = load_router.handle(fleets.arrival(deadline_s=60.0))
    failure = events.StageFailed(
        0.1, "r1", _chain(action), 1, events.FailureReason.UNREACHABLE, 16
    )
    assert load_router.handle(failure) == []
    assert not _refusals(load_router.handle(events.Tick(5.0)))
    (refusal,) = _refusals(load_router.handle(events.Tick(5.2)))
    assert refusal.reason is REASONS.NO_REPLACEMENT
    assert load_router.in_flight() == {}


def test_in_flight_counts_return_to_zero() -> None:
    load_router = _router()
    for i in range(4):
        load_router.handle(fleets.arrival(f"r{i}"))
    assert sum(load_router.in_flight().values()) == 8
    load_router.handle(events.Progress(0.1, "r0", 1))
    for i in range(4):
        load_router.handle(events.Completed(0.2, f"r{i}"))
    assert load_router.in_flight() == {}
    assert all(
        engine.load.pending_prompt_tokens == 0
        for engine in load_router.chooser.engines.values()
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
def test_an_unavailable_endpoint_gets_no_new_work(
    event: events.Event,
) -> None:
    load_router = _router()
    fleets.feed(load_router, event)
    for i in range(10):
        (action,) = load_router.handle(fleets.arrival(f"r{i}", at=0.2))
        used = {stage.endpoint for stage in _chain(action).stages}
        assert "b" not in used


def test_an_account_over_its_limit_is_refused_and_others_are_not() -> None:
    limited = fleet.Account("a", "", tokens_per_s=32.0)
    load_router = _router(accounts=(limited,))
    decided = [
        load_router.handle(fleets.arrival(f"r{i}", account="a"))[0]
        for i in range(8)
    ]
    refused = [a for a in decided if isinstance(a, actions.Refuse)]
    assert len(refused) == 6
    assert {a.reason for a in refused} == {REASONS.ACCOUNT_LIMITED}
    (other,) = load_router.handle(fleets.arrival("r9", account="b"))
    assert isinstance(other, actions.Dispatch)


def test_an_unexecuted_plain_request_is_retried_elsewhere() -> None:
    portal = fleet.Service("portal", fleet.ServiceKind.PLAIN)
    load_router = _router(services=(portal,))
    fleets.feed(
        load_router, *(fleets.seen(n, service="portal") for n in ("p", "q"))
    )
    event = fleets.arrival("r1", "portal", max_tokens=0)
    (first,) = load_router.handle(event)
    (second,) = load_router.handle(dataclasses.replace(event, at=0.1))
    assert isinstance(first, actions.DispatchPlain)
    assert isinstance(second, actions.DispatchPlain)
    assert first.endpoint != second.endpoint
    load_router.handle(events.Completed(0.2, "r1"))
    assert load_router.in_flight() == {}


def test_a_version_change_fails_no_request() -> None:
    """The old version serves requests until the new one is complete.

    The configuration names version 2 while engines still hold version 1. As
    they load version 2 one after another, each request gets a complete chain
    of a single version: version 1 at first, and version 2 as soon as all its
    layers are ready.
    """
    spans = {"a": (0, 4), "b": (4, 8), "c": (0, 4), "d": (4, 8)}
    load_router = _router(spans)
    config = fleets.make_fleet(version=2, model_version=2)
    fleets.feed(load_router, events.FleetChanged(1.0, config))
    versions = []
    for step, name in enumerate(("a", "b", "c", "d")):
        at = 2.0 + step
        fleets.feed(
            load_router, fleets.reported(name, spans[name], at, version=2)
        )
        (action,) = load_router.handle(fleets.arrival(f"r{step}", at=at))
        versions.append(_chain(action).version)
    assert versions == [1, 2, 2, 2]


@pytest.mark.parametrize("size", [8, 80])
def test_a_tick_does_not_refresh_unchanged_engines(size: int) -> None:
    spans = {f"e{i}": (0, 4) if i % 2 else (4, 8) for i in range(size)}
    load_router = _router(spans)
    calls = 0

    def refresh(name: str) -> None:
        nonlocal calls
        calls += 1

    load_router.chooser.refresh = refresh  # type: ignore[method-assign]
    for i in range(10):
        load_router.handle(events.Tick(1.0 + i))
    assert calls == 0


def test_equal_seeds_give_equal_decisions() -> None:
    def play() -> list[actions.Action]:
        load_router = _router()
        return [
            action
            for i in range(50)
            for action in load_router.handle(
                fleets.arrival(f"r{i}", at=i * 0.01)
            )
        ]

    assert play() == play()


def test_an_engine_that_was_full_is_tried_again() -> None:
    """A request survives a briefly full engine without an alternative.

    The only engine of a range refuses a stage because its memory is full. Its
    next report shows free capacity, and the stage is sent to it again.
    """
    load_router = _router({"a": (0, 4), "b": (4, 8)})
    (action,) = load_router.handle(fleets.arrival())
    failure = events.StageFailed(
        0.1, "r1", _chain(action), 1, events.FailureReason.REFUSED, 16
    )
    assert load_router.handle(failure) == []
    (replace,) = load_router.handle(fleets.reported("b", (4, 8), at=0.5))
    assert isinstance(replace, actions.Replace)
    assert replace.replacement[0].endpoint == "b"


def test_an_engine_that_left_and_disappeared_is_removed() -> None:
    """A configuration is applied after an engine has disappeared.

    An engine reports that it is leaving, so that it serves nothing, and then
    disappears from the VM list. Applying the next configuration must not look
    it up.
    """
    load_router = _router()
    fleets.feed(
        load_router,
        fleets.reported("b", (4, 8), at=0.1, leaving=True),
        events.EndpointGone(0.2, "b"),
        events.FleetChanged(0.3, fleets.make_fleet(version=2)),
    )
    assert "b" not in load_router.chooser.engines
    (action,) = load_router.handle(fleets.arrival(at=0.4))
    assert {s.endpoint for s in _chain(action).stages} == {"a", "c"}


@pytest.mark.parametrize(
    ("request_ended", "version_2_complete", "expected"),
    [
        (False, False, {("m", 1)}),
        (False, True, {("m", 1), ("m", 2)}),
        (True, False, {("m", 1)}),
        (True, True, {("m", 2)}),
    ],
)
def test_versions_in_use_are_those_of_running_and_of_following_requests(
    request_ended: bool,
    version_2_complete: bool,
    expected: set[tuple[str, int]],
) -> None:
    load_router = _router()
    load_router.handle(fleets.arrival(at=0.1))
    config = fleets.make_fleet(version=2, model_version=2)
    fleets.feed(load_router, events.FleetChanged(0.2, config))
    if version_2_complete:
        fleets.feed(
            load_router,
            fleets.seen("d", at=0.3),
            fleets.reported("d", (0, 8), at=0.3, version=2),
        )
    if request_ended:
        fleets.feed(load_router, events.Completed(0.4, "r1"))
    assert load_router.versions_in_use() == expected


def test_an_engine_that_describes_itself_as_instant_is_used() -> None:
    load_router = _router({})
    seen = fleets.seen("a")
    assert seen.description is not None
    instant = dataclasses.replace(
        seen.description, fixed_s=0.0, per_layer_token_s=0.0, max_batch=0
    )
    fleets.feed(
        load_router,
        dataclasses.replace(seen, description=instant),
        fleets.reported("a", (0, 8)),
        events.CallTimed(0.1, "a", 0.0, 1, 1, 8),
    )
    (action,) = load_router.handle(fleets.arrival(at=0.2))
    assert _chain(action).stages[0].endpoint == "a"


RETRY_POSITIONS = 200
REPLICAS = {"a": (0, 4), **{f"b{i}": (4, 8) for i in range(8)}}


def _fail_last_stage(
    load_router: router.LoadRouter,
    chain: chains.Chain,
    times: int,
    at: float = 1.0,
) -> tuple[chains.Chain, list[actions.Action]]:
    """Fails the last stage up to ``times`` times; stops if not replaced."""
    decided: list[actions.Action] = []
    for _ in range(times):
        decided = load_router.handle(
            events.StageFailed(
                at,
                "r1",
                chain,
                1,
                events.FailureReason.BROKEN,
                RETRY_POSITIONS,
            )
        )
        if not decided or not isinstance(decided[0], actions.Replace):
            break
        chain = chain.replace(1, decided[0].replacement)
    return chain, decided


def _begun(load_router: router.LoadRouter) -> chains.Chain:
    (action,) = load_router.handle(fleets.arrival("r1", deadline_s=60.0))
    load_router.handle(events.Progress(0.5, "r1", 1))
    return _chain(action)


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        (fleets.reported("b", (4, 8), at=1.5), "b"),
        (fleets.reported("c", (4, 8), at=1.5, sessions=3), ""),
        (fleets.reported("c", (4, 8), at=1.5, instance="other"), "c"),
        (fleets.reported("c", (4, 8), at=4.0), "c"),
    ],
    ids=["lost engine is back", "other counts", "restarted", "later"],
)
def test_an_engine_that_drains_is_not_tried_again_by_its_old_report(
    report: events.LoadReported, expected: str
) -> None:
    """Guards against retries spent on engines whose state is known late.

    Stage b became unreachable, and c refused to take it over.
    """
    load_router = _router({"a": (0, 4), "b": (4, 8)})
    chain = _begun(load_router)
    joined = fleets.seen("c"), fleets.reported("c", (4, 8), at=0.6)
    fleets.feed(load_router, *joined)
    (replace,) = load_router.handle(
        events.StageFailed(
            1.0, "r1", chain, 1, events.FailureReason.UNREACHABLE, 16
        )
    )
    assert isinstance(replace, actions.Replace)
    chain = chain.replace(1, replace.replacement)
    refused = events.FailureReason.NOT_SERVED
    failure = events.StageFailed(1.1, "r1", chain, 1, refused, 16)
    assert load_router.handle(failure) == []
    decided = load_router.handle(report)
    replaced = [a for a in decided if isinstance(a, actions.Replace)]
    found = [action.replacement[0].endpoint for action in replaced]
    assert found == ([expected] if expected else [])


def test_a_late_refusal_does_not_disprove_a_newer_report() -> None:
    """Guards against a new version that is ignored for a refusal of the old."""
    load_router = _router({"a": (0, 8)})
    chain = _chain(load_router.handle(fleets.arrival())[0])
    config = fleets.make_fleet(version=2, model_version=2)
    loaded = fleets.reported("a", (0, 8), at=1.0, version=2)
    fleets.feed(load_router, events.FleetChanged(0.5, config), loaded)
    refused = events.FailureReason.NOT_SERVED
    load_router.handle(events.StageFailed(1.1, "r1", chain, 0, refused, 16))
    (action,) = load_router.handle(fleets.arrival("r2", at=1.2))
    assert _chain(action).version == 2


def test_a_spent_retry_budget_ends_no_request_while_engines_are_idle() -> None:
    """Guards against running requests ended on a quiet node."""
    load_router = _router(REPLICAS)
    _, decided = _fail_last_stage(load_router, _begun(load_router), 6)
    assert isinstance(decided[0], actions.Replace)
    assert load_router.budget.credit < RETRY_POSITIONS


def test_a_spent_retry_budget_ends_a_request_under_overload() -> None:
    """Guards against retries that displace new requests."""
    load_router = _router(REPLICAS)
    chain = _begun(load_router)
    _fill(load_router)
    _, decided = _fail_last_stage(load_router, chain, 6)
    (refusal,) = _refusals(decided)
    assert refusal.reason is REASONS.RETRY_BUDGET
    assert refusal.retry_state is not None
    assert refusal.retry_state.waiting > 0
    assert refusal.retry_state.credit < RETRY_POSITIONS


def test_retries_without_budget_wait_for_an_engine_below_its_limit() -> None:
    """Guards against retries on engines that other nodes filled."""
    load_router = _router(REPLICAS)
    chain = _begun(load_router)
    chain, _ = _fail_last_stage(load_router, chain, 3)
    for name, span in REPLICAS.items():
        full = fleets.reported(name, span, at=1.0, sessions=64)
        fleets.feed(load_router, full)
    _, decided = _fail_last_stage(load_router, chain, 1, at=1.1)
    assert decided == []
    freed = fleets.reported("b7", (4, 8), at=2.0)
    (replace,) = load_router.handle(freed)
    assert isinstance(replace, actions.Replace)
    assert replace.replacement[0].endpoint == "b7"


def test_a_request_that_fails_everywhere_is_ended_on_idle_engines() -> None:
    """Guards against a faulty request that is retried without an end."""
    spans = {"a": (0, 4), **{f"b{i}": (4, 8) for i in range(12)}}
    load_router = _router(spans)
    _, decided = _fail_last_stage(load_router, _begun(load_router), 12)
    (refusal,) = _refusals(decided)
    assert refusal.reason is REASONS.MAX_RETRIES


def test_a_spent_retry_budget_refuses_no_plain_request_while_idle() -> None:
    """Guards against refusals by a quiet node with a free endpoint."""
    portal = fleet.Service("portal", fleet.ServiceKind.PLAIN)
    load_router = _router(services=(portal,))
    fleets.feed(
        load_router,
        *(fleets.seen(n, service="portal") for n in ("p", "q", "r")),
    )
    load_router.budget.credit = 0.0
    event = fleets.arrival("r1", "portal", max_tokens=0)
    used = set()
    for step in range(3):
        (sent,) = load_router.handle(dataclasses.replace(event, at=0.1 * step))
        assert isinstance(sent, actions.DispatchPlain)
        used.add(sent.endpoint)
    assert used == {"p", "q", "r"}
