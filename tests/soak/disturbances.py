"""When each part of a soak was disturbed, so that bounds in time are fair."""

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

OPEN_END = float("inf")


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A fault on a part, from its start to its end.

    Attributes:
        is_planned: A stop by SIGTERM, which must harm no request.
    """

    target: str
    what: str
    start: float
    end: float = OPEN_END
    is_planned: bool = False


class Disturbances:
    """All disturbances of a soak."""

    def __init__(self) -> None:
        self.all: list[Disturbance] = []

    def begin(
        self, target: str, what: str, is_planned: bool = False
    ) -> Disturbance:
        begun = Disturbance(
            target, what, time.monotonic(), is_planned=is_planned
        )
        self.all.append(begun)
        return begun

    def note(self, target: str, what: str) -> None:
        """Notes something that took no time, as a start."""
        begun = self.begin(target, what)
        begun.end = begun.start

    @contextlib.contextmanager
    def during(self, target: str, what: str) -> Iterator[None]:
        begun = self.begin(target, what)
        try:
            yield
        finally:
            begun.end = time.monotonic()

    def calm(
        self,
        targets: set[str],
        start: float,
        end: float,
        is_stop_allowed: bool = False,
    ) -> bool:
        """Returns whether parts were undisturbed, and before it too."""
        start -= layout.CONTACT_S
        return not any(
            d.target in targets
            and d.start <= end
            and d.end >= start
            and not (is_stop_allowed and d.is_planned)
            for d in self.all
        )

    def in_touch(
        self,
        node: str,
        start: float,
        end: float,
        is_stop_allowed: bool = False,
    ) -> bool:
        """Returns whether bounds in time hold for a node."""
        targets = {node, STORE, HARNESS}
        return self.calm(targets, start, end, is_stop_allowed)
