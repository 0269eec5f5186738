"""The state of one stage of a running request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import chains
    from almondshift.node import kept_inputs


@dataclasses.dataclass(slots=True)
class StageRun:
    """A stage with its engine session, progress and kept inputs.

    Attributes:
        session: Engine session; a new one for each epoch.
        done: Number of positions that the session has processed.
        base: First position whose input is still kept.
        inputs: Inputs from ``base`` on.
        keeps_inputs: Whether processed inputs are kept for replay.
        reserved: Number of inputs reserved in ``budget``.
        is_unanswered: Whether the outcome of the last step is unknown.
        replayed_until: Position up to which an earlier session has run; steps
            don't extend beyond it, so that a crash can be attributed.
    """

    stage: chains.Stage
    session: str
    epoch: int
    budget: kept_inputs.KeptInputsBudget
    keeps_inputs: bool = True
    done: int = 0
    base: int = 0
    inputs: list[int] = dataclasses.field(default_factory=list)
    reserved: int = 0
    is_unanswered: bool = False
    replayed_until: int = 0
    calls: int = 0
    seconds: float = 0.0

    @property
    def received_end(self) -> int:
        """The position after the last input received."""
        return self.base + len(self.inputs)

    @property
    def replayable(self) -> bool:
        """Whether all inputs from position 0 are kept for a new session."""
        return self.base == 0

    def add_outputs(self, position: int, values: Sequence[int]) -> None:
        """Adds the outputs of the previous stage, from ``position`` on.

        A replay of the previous stage repeats outputs that were received
        before; only new ones are added.
        """
        fresh = values[self.received_end - position :]
        self.inputs.extend(fresh)

    def pending(self, end: int, limit: int) -> tuple[int, ...]:
        """Returns up to ``limit`` unprocessed inputs below position ``end``."""
        if self.done < self.replayed_until:
            end = min(end, self.replayed_until)
        first = self.done - self.base
        last = min(end - self.base, first + limit)
        return tuple(self.inputs[first:last])

    def mark_processed(self, count: int) -> None:
        """Records that the session processed ``count`` more inputs."""
        self.done += count
        fresh = self.done - self.base - self.reserved
        if self.keeps_inputs and fresh > 0:
            self.keeps_inputs = self.budget.reserve(fresh)
            self.reserved += fresh if self.keeps_inputs else 0
        if not self.keeps_inputs:
            self._drop_processed()

    def _drop_processed(self) -> None:
        del self.inputs[: self.done - self.base]
        self.base = self.done
        self.release()

    def release(self) -> None:
        """Releases the inputs reserved in the budget."""
        self.budget.release(self.reserved)
        self.reserved = 0
