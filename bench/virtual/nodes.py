"""A simulated node that executes the actions of its router."""

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

CHUNK_TOKENS = 32
STAGE_TIMEOUT_S = 0.5
TICK_S = 0.02
BACKOFF_S = 0.02
MAX_BACKOFFS = 10


@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    """State of a request that the node runs.

    Attributes:
        epoch: Incremented when a stage fails or the request ends; callbacks
            of an earlier epoch are ignored.
        tokens: Number of generated tokens. While the prompt is processed, the
            negative number of chunks that the last stage has finished.
        prompt_tokens_done: Prompt tokens that the first stage has processed.
    """

    outcome: results.Outcome
    arrival: events.Arrival
    on_end: Callable[[results.Outcome, actions.Refuse | None], None]
    sent_at: float
    chain: chains.Chain | None = None
    epoch: int = 0
    tokens: int = 0
    prompt_tokens_done: int = 0
    last_token_at: float = 0.0
    lost: int = -1


class VirtualNode:
    """Runs requests over engines as its router decides."""

    def __init__(
        self,
        sim: simulation.Simulation,
        name: str,
        zone: str,
        router: router_interface.Router,
        engines: dict[str, engines_module.VirtualEngine],
        link_latency_s: Callable[[str, str], float],
    ) -> None:
        self.sim = sim
        self.name = name
        self.zone = zone
        self.router = router
        self.engines = engines
        self.link_latency_s = link_latency_s
        self.runs: dict[str, _Run] = {}
        self.account_use: dict[str, float] = {}
        sim.every(TICK_S, self._tick)

    def handle_event(self, event: events.Event) -> None:
        """Passes an event to the router and executes its actions."""
        for action in self.router.handle(event):
            self._execute(action)

    def submit(
        self,
        outcome: results.Outcome,
        arrival: events.Arrival,
        on_end: Callable[[results.Outcome, actions.Refuse | None], None],
    ) -> None:
        """Accepts a caller's request."""
        run = _Run(outcome, arrival, on_end, self.sim.now)
        self.runs[arrival.request_id] = run
        left = arrival.deadline - self.sim.now
        self.sim.after(left, self._request_timed_out, arrival.request_id)
        self.handle_event(arrival)

    def abandon(self, request_id: str) -> None:
        """Cancels a request for its caller."""
        if self._drop(request_id) is not None:
            self.handle_event(events.Abandoned(self.sim.now, request_id))

    def tokens_of(self, request_id: str) -> int:
        """Returns the number of tokens a request has generated on this node."""
        run = self.runs.get(request_id)
        return run.tokens if run else 0

    def in_flight(self) -> dict[str, int]:
        """Returns the number of requests in flight by engine."""
        counts: dict[str, int] = {}
        for run in self.runs.values():
            for stage in run.chain.stages if run.chain else ():
                counts[stage.endpoint] = counts.get(stage.endpoint, 0) + 1
        return counts

    def _tick(self) -> None:
        self.handle_event(events.Tick(self.sim.now))

    def _execute(self, action: actions.Action) -> None:
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
            run.outcome.refusal_reasons.append(action.reason)
            run.on_end(run.outcome, action)

    def _request_timed_out(self, request_id: str) -> None:
        run = self._drop(request_id)
        if run is not None:
            self.handle_event(events.Abandoned(self.sim.now, request_id))
            run.on_end(run.outcome, None)

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
        delay = self._one_way_s(engine)
        self.sim.after(delay, engine.cancel, request_id)

    def _one_way_s(self, engine: engines_module.VirtualEngine) -> float:
        return self.link_latency_s(self.zone, engine.zone) + engine.extra_link_s

    def _probe(self, endpoint: str) -> None:
        engine = self.engines[endpoint]
        seconds = 2.0 * self._one_way_s(engine)
        seconds += engine.description.fixed_s * engine.slowdown
        if engine.is_dead:
            seconds = STAGE_TIMEOUT_S
        self.sim.after(seconds, self._probed, endpoint, seconds)

    def _probed(self, endpoint: str, seconds: float) -> None:
        ok = not self.engines[endpoint].is_dead
        self.handle_event(
            events.ProbeAnswered(self.sim.now, endpoint, ok, seconds)
        )

    def _begin(self, run: _Run) -> None:
        """Sends the prompt in chunks, one after another."""
        run.last_token_at = self.sim.now
        self._send(
            run, 0, min(CHUNK_TOKENS, run.arrival.prompt_tokens), prompt=True
        )

    def _send(
        self, run: _Run, index: int, tokens: int, *, prompt: bool
    ) -> None:
        assert run.chain is not None
        stage = run.chain.stages[index]
        engine = self.engines[stage.endpoint]
        delay = self._one_way_s(engine)
        if engine.is_dead:
            self.sim.after(
                STAGE_TIMEOUT_S, self._stage_timed_out, run, run.epoch, index
            )
            return
        epoch, sent = run.epoch, self.sim.now
        done = functools.partial(
            self._answered, run, epoch, index, tokens, prompt, sent, delay
        )
        failed = functools.partial(
            self.sim.after,
            STAGE_TIMEOUT_S,
            self._stage_timed_out,
            run,
            epoch,
            index,
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
        if engine.is_dead:
            item.failed()
        elif engine.open_session(item.request_id):
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
            delay, self._stage_done, run, epoch, index, tokens, prompt, sent
        )

    def _stage_done(
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
        self.handle_event(
            events.CallTimed(
                now, stage.endpoint, now - sent, 1, tokens, stage.layers.count
            )
        )
        if run.epoch != epoch:
            return
        if index == 0 and prompt:
            run.prompt_tokens_done += tokens
            left = run.arrival.prompt_tokens - run.prompt_tokens_done
            if left > 0:
                self._send(run, 0, min(CHUNK_TOKENS, left), prompt=True)
        if index + 1 < len(run.chain.stages):
            self._send(run, index + 1, tokens, prompt=prompt)
        elif not prompt or self._is_prompt_done(run):
            self._token_generated(run)

    def _is_prompt_done(self, run: _Run) -> bool:
        run.tokens -= 1
        chunks = -(-run.arrival.prompt_tokens // CHUNK_TOKENS)
        if run.tokens > -chunks:
            return False
        run.tokens = 0
        return True

    def _token_generated(self, run: _Run) -> None:
        now = self.sim.now
        run.tokens += 1
        outcome = run.outcome
        if run.tokens == 1:
            if outcome.first_at is None:
                outcome.first_at = now
        else:
            outcome.gaps.append(now - run.last_token_at)
        run.last_token_at = now
        request_id = run.arrival.request_id
        epoch = run.epoch
        self.handle_event(events.Progress(now, request_id, 1))
        if run.epoch != epoch:
            return
        if run.tokens < run.arrival.max_tokens:
            self._send(run, 0, 1, prompt=False)
            return
        outcome.done_at = now
        self._drop(request_id)
        self.handle_event(events.Completed(now, request_id))
        run.on_end(outcome, None)

    def _stage_timed_out(self, run: _Run, epoch: int, index: int) -> None:
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
        # Without backoff, a request that every engine refuses would be sent
        # a thousand times per second.
        backoff_s = BACKOFF_S * min(run.outcome.stages_replaced, MAX_BACKOFFS)
        self.sim.after(
            backoff_s, self._report_failure, run, run.epoch, index, reason
        )

    def _report_failure(
        self,
        run: _Run,
        epoch: int,
        index: int,
        reason: events.FailureReason,
    ) -> None:
        if run.epoch != epoch or run.chain is None:
            return
        positions = max(run.prompt_tokens_done, 1) + max(run.tokens, 0)
        self.handle_event(
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
        """Replays the failed stage's positions on its replacement."""
        assert run.chain is not None
        failed = run.chain.stages[action.index]
        self._cancel(failed.endpoint, run.arrival.request_id)
        run.chain = run.chain.replace(action.index, action.replacement)
        run.outcome.stages_replaced += 1
        if run.tokens <= 0:
            run.tokens = 0
            run.prompt_tokens_done = 0
            self._begin(run)
            return
        positions = run.prompt_tokens_done + run.tokens
        self._send(run, action.index, positions, prompt=False)
