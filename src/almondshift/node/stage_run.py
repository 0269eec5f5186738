"""One stage of a running request: its engine session and kept inputs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import chains
    from almondshift.node import kept_inputs


@dataclasses.dataclass(slots=True)
class StageRun:
    """A stage, how far its session got, and the inputs known for it.

    Attributes:
        session: Engine session; a new one for each epoch.
        done: Positions that the session has processed.
        base: First position whose input is still kept.
        inputs: Inputs from ``base`` on.
        keeping: Whether processed inputs are kept for replay.
        reserved: Inputs counted in ``budget``.
    """

    stage: chains.Stage
    session: str
    epoch: int
    budget: kept_inputs.KeptInputs
    keeping: bool = True
    done: int = 0
    base: int = 0
    inputs: list[int] = dataclasses.field(default_factory=list)
    reserved: int = 0
    calls: int = 0
    seconds: float = 0.0

    @property
    def known(self) -> int:
        """Positions whose inputs were ever known."""
        return self.base + len(self.inputs)

    @property
    def replayable(self) -> bool:
        """Whether a new session can be fed from position 0."""
        return self.base == 0

    def add_outputs(self, position: int, values: Sequence[int]) -> None:
        """Takes the outputs of the stage before, from ``position`` on.

        A replay of the stage before yields again what is known already;
        only what goes beyond is added.
        """
        fresh = values[self.known - position :]
        self.inputs.extend(fresh)

    def pending(self, end: int, limit: int) -> tuple[int, ...]:
        """Returns at most ``limit`` inputs not processed yet, below ``end``."""
        first = self.done - self.base
        last = min(end - self.base, first + limit)
        return tuple(self.inputs[first:last])

    def processed(self, count: int) -> None:
        """Notes that the session took ``count`` more inputs."""
        self.done += count
        fresh = self.done - self.base - self.reserved
        if self.keeping and fresh > 0:
            self.keeping = self.budget.reserve(fresh)
            self.reserved += fresh if self.keeping else 0
        if not self.keeping:
            self._forget()

    def _forget(self) -> None:
        del self.inputs[: self.done - self.base]
        self.base = self.done
        self.release()

    def release(self) -> None:
        """Gives back what is counted in the budget."""
        self.budget.release(self.reserved)
        self.reserved = 0
