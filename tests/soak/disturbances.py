"""Records when each process was disturbed, so time bounds can be waived."""

from __future__ import annotations

import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING

from tests.soak import layout

if TYPE_CHECKING:
    from collections.abc import Iterator

STORE = "store"
HARNESS = "harness"

CUT_OFF = "cut off from engines"

ENDS_RUNS = frozenset(
    {"kill", "exit", "link reset", "link up", "link down", "link both"}
)
"""Faults of an engine after which a run there is lost."""

NOT_ENDED = float("inf")


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A fault of a process, from its start to its end.

    Attributes:
        is_planned: Whether it is a stop by SIGTERM, which must harm no request.
    """

    target: str
    what: str
    start: float
    end: float = NOT_ENDED
    is_planned: bool = False


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """A limit that an engine names, in requests per second."""

    engine: str
    per_s: float
    start: float
    end: float = NOT_ENDED


@dataclasses.dataclass(slots=True)
class Backoff:
    """A time in which an engine refuses all requests with Retry-After."""

    engine: str
    start: float
    end: float = NOT_ENDED


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePause:
    """A pause of a sound engine, which waives no guarantee."""

    engine: str
    start: float
    end: float


class Disturbances:
    """All disturbances of a soak."""

    def __init__(self) -> None:
        self.all: list[Disturbance] = []
        self.limits: list[NamedLimit] = []
        self.backoffs: list[Backoff] = []
        self.pauses: list[EnginePause] = []

    def begin(
        self, target: str, what: str, is_planned: bool = False
    ) -> Disturbance:
        disturbance = Disturbance(
            target, what, time.monotonic(), is_planned=is_planned
        )
        self.all.append(disturbance)
        return disturbance

    def note(self, target: str, what: str) -> None:
        """Records an instantaneous event, such as a start."""
        disturbance = self.begin(target, what)
        disturbance.end = disturbance.start

    @contextlib.contextmanager
    def during(self, target: str, what: str) -> Iterator[None]:
        disturbance = self.begin(target, what)
        try:
            yield
        finally:
            disturbance.end = time.monotonic()

    def is_sound(self, engine: str) -> bool:
        """Returns whether an engine has no fault, limit or backoff now."""
        unsound = {d.target for d in self.all if d.end == NOT_ENDED}
        unsound |= {d.engine for d in self.limits if d.end == NOT_ENDED}
        unsound |= {d.engine for d in self.backoffs if d.end == NOT_ENDED}
        return engine not in unsound

    def is_undisturbed(
        self,
        targets: set[str],
        start: float,
        end: float,
        is_stop_allowed: bool = False,
    ) -> bool:
        """Returns whether targets were undisturbed then and shortly before."""
        start -= layout.SETTLE_S
        return not any(
            d.target in targets
            and d.start <= end
            and d.end >= start
            and not (is_stop_allowed and d.is_planned)
            for d in self.all
        )

    def bounds_apply(
        self,
        node: str,
        start: float,
        end: float,
        is_stop_allowed: bool = False,
    ) -> bool:
        """Returns whether time bounds apply to a node."""
        targets = {node, STORE, HARNESS}
        return self.is_undisturbed(targets, start, end, is_stop_allowed)


def is_calm(others: list[Disturbance], node: str, at: float) -> bool:
    """Returns whether neither a node, the store nor the harness is disturbed.

    Args:
        others: The disturbances that count.
        node: The node.
        at: The time; disturbances shortly before it count too.
    """
    return not any(
        d.target in (node, STORE, HARNESS)
        and d.start <= at
        and d.end >= at - layout.SETTLE_S
        for d in others
    )
