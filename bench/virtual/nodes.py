"""A model of a node: carries events and actions of one router."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from almondshift.policy import actions
from almondshift.policy import events
from bench.virtual import engines as engines_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import chains
    from almondshift.policy import router_interface
    from bench.virtual import results
    from bench.virtual import simulation

CHUNK = 32
LOST_TIMEOUT_S = 0.5
TICK_S = 0.02
BACKOFF_S = 0.02
MAX_BACKOFFS = 10


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """A request as the node runs it.

    Attributes:
        epoch: Grows when it is replaced or ends; older calls are dropped.
        positions: Positions that a replacement would replay.
    """

    outcome: results.Outcome
    arrival: events.Arrival
    ended: Callable[[results.Outcome, actions.Refuse | None], None]
    sent_at: float
    chain: chains.Chain | None = None
    epoch: int = 0
    tokens: int = 0
    prompted: int = 0
    last_at: float = 0.0
    lost: int = -1


class VirtualNode:
    """Runs requests over engines as its router says."""

    def __init__(
        self,
        sim: simulation.Simulation,
        name: str,
        zone: str,
        router: router_interface.Router,
        engines: dict[str, engines_module.VirtualEngine],
        link_s: Callable[[str, str], float],
    ) -> None:
        self.sim = sim
        self.name = name
        self.zone = zone
        self.router = router
        self.engines = engines
        self.link_s = link_s
        self.runs: dict[str, _Run] = {}
        self.account_use: dict[str, float] = {}
        sim.every(TICK_S, self._tick)

    def tell(self, event: events.Event) -> None:
        """Gives an event to the router and carries out its actions."""
        for action in self.router.handle(event):
            self._act(action)

    def ask(
        self,
        outcome: results.Outcome,
        arrival: events.Arrival,
        ended: Callable[[results.Outcome, actions.Refuse | None], None],
    ) -> None:
        """Takes a caller's request."""
        run = _Run(outcome, arrival, ended, self.sim.now)
        self.runs[arrival.request_id] = run
        left = arrival.deadline - self.sim.now
        self.sim.after(left, self._time_out, arrival.request_id)
        self.tell(arrival)

    def abandon(self, request_id: str) -> None:
        """Drops a request whose caller no longer wants it."""
        if self._drop(request_id) is not None:
            self.tell(events.Abandoned(self.sim.now, request_id))

    def tokens_of(self, request_id: str) -> int:
        """Returns the tokens that a request has got here."""
        run = self.runs.get(request_id)
        return run.tokens if run else 0

    def in_flight(self) -> dict[str, int]:
        """Returns requests in flight by engine."""
        counts: dict[str, int] = {}
        for run in self.runs.values():
            for stage in run.chain.stages if run.chain else ():
                counts[stage.endpoint] = counts.get(stage.endpoint, 0) + 1
        return counts

    def _tick(self) -> None:
        self.tell(events.Tick(self.sim.now))

    def _act(self, action: actions.Action) -> None:
        if isinstance(action, actions.Dispatch):
            run = self.runs[action.request_id]
            run.chain = action.chain
            account = run.arrival.account
            used = self.account_use.get(account, 0.0)
            self.account_use[account] = used + run.outcome.cost
            self._begin(run)
        elif isinstance(action, actions.Replace):
            self._replace(self.runs[action.request_id], action)
        elif isinstance(action, actions.Refuse):
            self._refuse(action)
        elif isinstance(action, actions.Probe):
            self._probe(action.endpoint)

    def _refuse(self, action: actions.Refuse) -> None:
        run = self._drop(action.request_id)
        if run is not None:
            run.outcome.refusals.append(self.sim.now - run.sent_at)
            run.outcome.reasons.append(action.reason)
            run.ended(run.outcome, action)

    def _time_out(self, request_id: str) -> None:
        run = self._drop(request_id)
        if run is not None:
            self.tell(events.Abandoned(self.sim.now, request_id))
            run.ended(run.outcome, None)

    def _drop(self, request_id: str) -> _Run | None:
        run = self.runs.pop(request_id, None)
        if run is None:
            return None
        run.epoch += 1
        for stage in run.chain.stages if run.chain else ():
            self._cancel(stage.endpoint, request_id)
        return run

    def _cancel(self, endpoint: str, request_id: str) -> None:
        engine = self.engines[endpoint]
        delay = self._one_way(engine)
        self.sim.after(delay, engine.cancel, request_id)

    def _one_way(self, engine: engines_module.VirtualEngine) -> float:
        return self.link_s(self.zone, engine.zone) + engine.extra_link_s

    def _probe(self, endpoint: str) -> None:
        engine = self.engines[endpoint]
        seconds = 2.0 * self._one_way(engine)
        seconds += engine.description.fixed_s * engine.slow
        if engine.dead:
            seconds = LOST_TIMEOUT_S
        self.sim.after(seconds, self._probed, endpoint, seconds)

    def _probed(self, endpoint: str, seconds: float) -> None:
        ok = not self.engines[endpoint].dead
        self.tell(events.ProbeAnswered(self.sim.now, endpoint, ok, seconds))

    def _begin(self, run: _Run) -> None:
        """Sends the prompt in chunks, each following the one before."""
        run.last_at = self.sim.now
        self._send(run, 0, min(CHUNK, run.arrival.prompt_tokens), prompt=True)

    def _send(
        self, run: _Run, index: int, tokens: int, *, prompt: bool
    ) -> None:
        assert run.chain is not None
        stage = run.chain.stages[index]
        engine = self.engines[stage.endpoint]
        delay = self._one_way(engine)
        if engine.dead:
            self.sim.after(LOST_TIMEOUT_S, self._lost, run, run.epoch, index)
            return
        epoch, sent = run.epoch, self.sim.now
        done = functools.partial(
            self._answered, run, epoch, index, tokens, prompt, sent, delay
        )
        failed = functools.partial(
            self.sim.after, LOST_TIMEOUT_S, self._lost, run, epoch, index
        )
        item = engines_module.Item(
            run.arrival.request_id,
            int(run.arrival.priority),
            tokens,
            stage.layers.count,
            run.arrival.prefixes if prompt else (),
            done,
            failed,
        )
        self.sim.after(delay, self._deliver, engine, item, run, epoch, index)

    def _deliver(
        self,
        engine: engines_module.VirtualEngine,
        item: engines_module.Item,
        run: _Run,
        epoch: int,
        index: int,
    ) -> None:
        if run.epoch != epoch:
            return
        if engine.dead:
            item.failed()
        elif engine.accepts(item.request_id):
            engine.submit(item)
        else:
            self._fail(run, epoch, index, events.FailureReason.REFUSED)

    def _answered(
        self,
        run: _Run,
        epoch: int,
        index: int,
        tokens: int,
        prompt: bool,
        sent: float,
        delay: float,
    ) -> None:
        self.sim.after(
            delay, self._step, run, epoch, index, tokens, prompt, sent
        )

    def _step(
        self,
        run: _Run,
        epoch: int,
        index: int,
        tokens: int,
        prompt: bool,
        sent: float,
    ) -> None:
        if run.epoch != epoch or run.chain is None:
            return
        now = self.sim.now
        stage = run.chain.stages[index]
        self.tell(
            events.CallTimed(
                now, stage.endpoint, now - sent, 1, tokens, stage.layers.count
            )
        )
        if run.epoch != epoch:
            return
        if index == 0 and prompt:
            run.prompted += tokens
            left = run.arrival.prompt_tokens - run.prompted
            if left > 0:
                self._send(run, 0, min(CHUNK, left), prompt=True)
        if index + 1 < len(run.chain.stages):
            self._send(run, index + 1, tokens, prompt=prompt)
        elif not prompt or self._prompt_is_through(run):
            self._token(run)

    def _prompt_is_through(self, run: _Run) -> bool:
        run.tokens -= 1
        chunks = -(-run.arrival.prompt_tokens // CHUNK)
        if run.tokens > -chunks:
            return False
        run.tokens = 0
        return True

    def _token(self, run: _Run) -> None:
        now = self.sim.now
        run.tokens += 1
        outcome = run.outcome
        if run.tokens == 1:
            if outcome.first_at is None:
                outcome.first_at = now
        else:
            outcome.gaps.append(now - run.last_at)
        run.last_at = now
        request_id = run.arrival.request_id
        epoch = run.epoch
        self.tell(events.Progress(now, request_id, 1))
        if run.epoch != epoch:
            return
        if run.tokens < run.arrival.max_tokens:
            self._send(run, 0, 1, prompt=False)
            return
        outcome.done_at = now
        self._drop(request_id)
        self.tell(events.Completed(now, request_id))
        run.ended(outcome, None)

    def _lost(self, run: _Run, epoch: int, index: int) -> None:
        self._fail(run, epoch, index, events.FailureReason.TIMEOUT)

    def _fail(
        self,
        run: _Run,
        epoch: int,
        index: int,
        reason: events.FailureReason,
    ) -> None:
        if run.epoch != epoch or run.chain is None:
            return
        run.epoch += 1
        # Without a pause, a request that every engine refuses would ask
        # them a thousand times a second.
        pause = BACKOFF_S * min(run.outcome.replaced, MAX_BACKOFFS)
        self.sim.after(pause, self._tell_failed, run, run.epoch, index, reason)

    def _tell_failed(
        self,
        run: _Run,
        epoch: int,
        index: int,
        reason: events.FailureReason,
    ) -> None:
        if run.epoch != epoch or run.chain is None:
            return
        positions = max(run.prompted, 1) + max(run.tokens, 0)
        self.tell(
            events.StageFailed(
                self.sim.now,
                run.arrival.request_id,
                run.chain,
                index,
                reason,
                positions,
            )
        )

    def _replace(self, run: _Run, action: actions.Replace) -> None:
        """Replays what the failed stage had, then goes on."""
        assert run.chain is not None
        failed = run.chain.stages[action.index]
        self._cancel(failed.endpoint, run.arrival.request_id)
        run.chain = run.chain.replace(action.index, action.replacement)
        run.outcome.replaced += 1
        if run.tokens <= 0:
            run.tokens = 0
            run.prompted = 0
            self._begin(run)
            return
        positions = run.prompted + run.tokens
        self._send(run, action.index, positions, prompt=False)
