"""Stateful property test: the router under any order of events."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from almondshift.model import endpoints
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import router
from tests.policy import fleets

if TYPE_CHECKING:
    from almondshift.model import chains

NAMES = ("a", "b", "c", "d", "e")
SPANS = ((0, 8), (0, 4), (4, 8), (2, 6), (0, 5))
ENDPOINTS = strategies.sampled_from(NAMES)
MAX_WAIT_S = 10.0
"""Longer than any request may wait: half of its slack, or a recovery."""


class RouterMachine(stateful.RuleBasedStateMachine):
    """Checks the router's guarantees to callers after each event.

    The machine keeps a simple model of the engines' reports and of the state
    of each request, and compares the router's actions with it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.held: dict[str, tuple[int, tuple[int, int]]] = {}
        self.waiting: dict[str, float] = {}
        self.running: dict[str, chains.Chain] = {}
        self.recovering: dict[str, tuple[chains.Chain, int]] = {}
        self.ended: set[str] = set()
        self.router = router.create_router(
            random.Random(1), "n0", router.RouterSettings(zone="z1")
        )
        self.version = 1
        self.config = 1
        self.restarts = False
        self.restarted = False
        self._handle(events.FleetChanged(0.0, fleets.make_fleet()))
        for name in NAMES:
            self._handle(fleets.seen(name))

    @stateful.rule(name=ENDPOINTS, ready=strategies.booleans())
    def report_again(self, name: str, ready: bool) -> None:
        """An engine reports its holding."""
        self.report(name, ready)

    def report(self, name: str, ready: bool) -> None:
        span = SPANS[NAMES.index(name)]
        if ready:
            self.held[name] = (self.version, span)
        else:
            self.held.pop(name, None)
        self._handle(
            fleets.reported(
                name, span, self.now, version=self.version, ready=ready
            )
        )

    @stateful.initialize(restarts=strategies.booleans())
    def start(self, restarts: bool) -> None:
        """All engines report; in half of the runs, some restart later."""
        self.restarts = restarts
        for name in NAMES:
            self.report(name, True)

    @stateful.precondition(lambda self: self.restarts)
    @stateful.rule(name=ENDPOINTS, leaving=strategies.booleans())
    def restart(self, name: str, leaving: bool) -> None:
        """An engine disappears, and a new instance of it is seen."""
        self.restarted = True
        self.held.pop(name, None)
        if leaving:
            self._handle(events.EndpointLeaving(self.now, name))
        self._handle(events.EndpointGone(self.now, name))
        if leaving:
            self.change_version()
        self._handle(fleets.seen(name, at=self.now))

    @stateful.rule()
    def change_version(self) -> None:
        """Operators change the model's version."""
        self.version += 1
        self.config += 1
        changed = fleets.make_fleet(self.config, self.version)
        self._handle(events.FleetChanged(self.now, changed))

    @stateful.rule(
        account=strategies.sampled_from(("x", "y")),
        priority=strategies.sampled_from(list(fleet.Priority)),
        tokens=strategies.sampled_from((1, 16, 600)),
    )
    def arrive(
        self, account: str, priority: fleet.Priority, tokens: int
    ) -> None:
        """Several requests of one account arrive."""
        for _ in range(8):
            self.count += 1
            request_id = f"r{self.count}"
            self.waiting[request_id] = self.now
            self._handle(
                fleets.arrival(
                    request_id,
                    at=self.now,
                    account=account,
                    priority=priority,
                    max_tokens=tokens,
                    prefixes=(tokens,),
                )
            )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), whole=strategies.booleans())
    def end(self, data: strategies.DataObject, whole: bool) -> None:
        """A running request ends."""
        request_id = data.draw(strategies.sampled_from(sorted(self.running)))
        del self.running[request_id]
        self.ended.add(request_id)
        if whole:
            self._handle(events.Progress(self.now, request_id, 1))
            self._handle(events.Completed(self.now, request_id))
        else:
            self._handle(events.Abandoned(self.now, request_id))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=strategies.data(),
        reason=strategies.sampled_from(list(events.FailureReason)),
    )
    def fail(
        self, data: strategies.DataObject, reason: events.FailureReason
    ) -> None:
        """A stage of a running request fails."""
        request_id = data.draw(strategies.sampled_from(sorted(self.running)))
        chain = self.running.pop(request_id)
        index = data.draw(strategies.integers(0, len(chain.stages) - 1))
        if reason is events.FailureReason.LEAVING:
            self.held.pop(chain.stages[index].endpoint, None)
        self.recovering[request_id] = (chain, index)
        self._handle(
            events.StageFailed(self.now, request_id, chain, index, reason, 16)
        )

    @stateful.rule(
        name=ENDPOINTS, seconds=strategies.sampled_from((0.003, 0.2, 2.0))
    )
    def time_calls(self, name: str, seconds: float) -> None:
        """Calls to an engine are timed, over more than a second."""
        for _ in range(12):
            self.now += 0.1
            self._handle(events.CallTimed(self.now, name, seconds, 1, 1, 4))

    @stateful.rule(name=ENDPOINTS, ok=strategies.booleans())
    def answer_probe(self, name: str, ok: bool) -> None:
        """A probe is answered, whether or not it was requested."""
        self._handle(events.ProbeAnswered(self.now, name, ok, 0.01))

    @stateful.rule(
        node=strategies.sampled_from(("n0", "n1", "n2")),
        in_flight=strategies.dictionaries(ENDPOINTS, strategies.just(3)),
        gone=strategies.booleans(),
    )
    def hear_of_peer(
        self, node: str, in_flight: dict[str, int], gone: bool
    ) -> None:
        """A peer reports its load or disappears."""
        if gone:
            self._handle(events.PeerGone(self.now, node))
            return
        self._handle(events.PeerLoad(self.now, node, in_flight, {"x": 9.0}))

    @stateful.rule(
        name=ENDPOINTS, numbers=strategies.lists(strategies.integers(1, 9))
    )
    def change_cache(self, name: str, numbers: list[int]) -> None:
        """Cache events arrive, with gaps and in any order."""
        changes = tuple(
            endpoints.CacheEvent(number, 16, number % 2 == 1)
            for number in numbers
        )
        self._handle(events.CacheChanged(self.now, name, changes))

    @stateful.rule(seconds=strategies.sampled_from((0.02, 0.5, 3.0)))
    def tick(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds
        self._handle(events.Tick(self.now))

    @stateful.invariant()
    def nobody_waits_too_long(self) -> None:
        """Each request is decided within the maximum wait."""
        for since in self.waiting.values():
            assert self.now - since < MAX_WAIT_S

    @stateful.invariant()
    def counts_match(self) -> None:
        """The router's in-flight counts match the running requests."""
        stages = sum(len(chain.stages) for chain in self.running.values())
        for chain, _ in self.recovering.values():
            stages += len(chain.stages) - 1
        counted = sum(self.router.in_flight().values())
        # The counts of a restarted engine start from zero.
        assert counted <= stages if self.restarted else counted == stages
        assert self.waiting.keys() == self.router.waiting.keys()

    def _handle(self, event: events.Event) -> None:
        for action in self.router.handle(event):
            self._check(action)

    def _check(self, action: actions.Action) -> None:
        if isinstance(action, actions.Dispatch):
            del self.waiting[action.request_id]
            assert action.chain.is_whole(fleets.LAYERS)
            self._check_held(action.chain.version, action.chain.stages)
            self.running[action.request_id] = action.chain
        elif isinstance(action, actions.Replace):
            chain, index = self.recovering.pop(action.request_id)
            assert index == action.index
            repaired = chain.replace(index, action.replacement)
            assert repaired.is_whole(fleets.LAYERS)
            self._check_held(chain.version, action.replacement)
            self.running[action.request_id] = repaired
        elif isinstance(action, actions.Refuse):
            assert action.request_id not in self.ended
            was_waiting = self.waiting.pop(action.request_id, None)
            recovering = self.recovering.pop(action.request_id, None)
            assert (was_waiting is None) != (recovering is None)
            self.ended.add(action.request_id)

    def _check_held(
        self, version: int, stages: tuple[chains.Stage, ...]
    ) -> None:
        for stage in stages:
            held_version, span = self.held[stage.endpoint]
            assert held_version == version
            assert layers.LayerRange(*span).covers(stage.layers)


RouterMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestRouter = RouterMachine.TestCase
