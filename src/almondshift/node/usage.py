"""Tracks this node's requests in flight and its usage by account."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from almondshift.policy import actions
from almondshift.policy import events

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import chains

DECAY_TIME_S = 2.0
MIN_TOKENS_PER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Rate:
    at: float
    tokens: float

    def add(self, now: float, tokens: float) -> None:
        self.tokens = self.per_s(now) * DECAY_TIME_S + tokens
        self.at = now

    def per_s(self, now: float) -> float:
        elapsed = max(0.0, now - self.at)
        return self.tokens * math.exp(-elapsed / DECAY_TIME_S) / DECAY_TIME_S


class Usage:
    """Usage meter that follows the events and actions of the router.

    Attributes:
        in_flight: Number of requests in flight by endpoint.
        refused_at: Monotonic time of the last refusal for overload.
    """

    def __init__(self) -> None:
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.refused_at = float("-inf")
        self._accounts: dict[str, str] = {}
        self._endpoints: dict[str, list[str]] = {}
        self._rates: dict[str, _Rate] = {}

    def observe(self, event: events.Event) -> None:
        """Records an event that is passed to the router."""
        if isinstance(event, events.Arrival):
            self._accounts[event.request_id] = event.account
        elif isinstance(event, events.Progress):
            self._count(event.at, event.request_id, event.tokens)
        elif isinstance(event, events.Completed | events.Abandoned):
            self._end(event.request_id)

    def observe_action(self, action: actions.Action, at: float) -> None:
        """Records an action that the router decided on."""
        if isinstance(action, actions.Dispatch):
            self._occupy(action.request_id, _names(action.chain.stages))
        elif isinstance(action, actions.DispatchPlain):
            self._occupy(action.request_id, [action.endpoint])
            self._count(at, action.request_id, 1)
        elif isinstance(action, actions.Replace):
            self._occupy(action.request_id, _names(action.replacement))
        elif isinstance(action, actions.Refuse):
            if action.reason is actions.RefusalReason.OVERLOADED:
                self.refused_at = at
            self._end(action.request_id)

    def load(self, now: float) -> float:
        """Returns 1.0 if the node recently refused work, else 0.0."""
        return 1.0 if now - self.refused_at < DECAY_TIME_S else 0.0

    def rates(self, now: float) -> dict[str, float]:
        """Returns recent tokens per second by account; drops idle ones."""
        found = {a: r.per_s(now) for a, r in self._rates.items()}
        for account, rate in found.items():
            if rate < MIN_TOKENS_PER_S:
                del self._rates[account]
        return {a: r for a, r in found.items() if r >= MIN_TOKENS_PER_S}

    def _count(self, at: float, request_id: str, tokens: int) -> None:
        account = self._accounts.get(request_id)
        if account is None:
            return
        self._rates.setdefault(account, _Rate(at, 0.0)).add(at, tokens)

    def _occupy(self, request_id: str, names: Iterable[str]) -> None:
        held = self._endpoints.setdefault(request_id, [])
        for name in names:
            held.append(name)
            self.in_flight[name] += 1

    def _end(self, request_id: str) -> None:
        self._accounts.pop(request_id, None)
        for name in self._endpoints.pop(request_id, ()):
            self.in_flight[name] -= 1
            if not self.in_flight[name]:
                del self.in_flight[name]


def _names(stages: Iterable[chains.Stage]) -> list[str]:
    return [stage.endpoint for stage in stages]


def create_usage() -> Usage:
    """Builds an empty meter."""
    return Usage()
