"""Messages of one pipeline step between a node and an engine."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import layers


class StepStatus(enum.StrEnum):
    """Status of an item's result; unless it is ``OK``, the item was not run."""

    OK = "ok"
    BUSY = "busy"
    LEAVING = "leaving"
    WRONG_MODEL = "wrong_model"
    UNKNOWN_SESSION = "unknown_session"
    POSITION_MISMATCH = "position_mismatch"


@dataclasses.dataclass(frozen=True, slots=True)
class StepItem:
    """Consecutive positions of one request to run through one stage.

    Attributes:
        request_id: The caller's request.
        session: Engine session, unique to request, epoch and stage.
        epoch: Attempt epoch; increases by one with each recovery.
        position: First position in ``inputs``, counted from 0.
        layers: Layers to run.
        model: Model name.
        version: Model version.
        adapter: Adapter name, or ``""``.
        priority: 0 is the most urgent.
        inputs: Token ids if ``layers.start`` is 0, else activations
            (unsigned 64-bit digests with the stand-in engine).
    """

    request_id: str
    session: str
    epoch: int
    position: int
    layers: layers.LayerRange
    model: str
    version: int
    adapter: str
    priority: int
    inputs: tuple[int, ...]

    def answer(
        self, status: StepStatus, outputs: tuple[int, ...] = ()
    ) -> StepResult:
        """Returns a result that echoes this item."""
        return StepResult(
            self.request_id,
            self.session,
            self.epoch,
            self.position,
            self.layers,
            self.model,
            self.version,
            self.adapter,
            status,
            outputs,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """The result of a ``StepItem``; echoes the fields that identify it.

    Attributes:
        outputs: One value for each input: activations, or, from the last
            stage, the token sampled after each position. Empty unless OK.
    """

    request_id: str
    session: str
    epoch: int
    position: int
    layers: layers.LayerRange
    model: str
    version: int
    adapter: str
    status: StepStatus
    outputs: tuple[int, ...]

    def answers(self, item: StepItem) -> bool:
        """Returns whether every echoed field equals that of ``item``."""
        return (
            self.session == item.session
            and self.position == item.position
            and self.request_id == item.request_id
            and self.epoch == item.epoch
            and self.layers == item.layers
            and self.model == item.model
            and self.version == item.version
            and self.adapter == item.adapter
            and (
                self.status is not StepStatus.OK
                or len(self.outputs) == len(item.inputs)
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KvSnapshot:
    """The exported KV cache of one session.

    Attributes:
        session: The session that it was exported from or is imported as.
        length: Number of positions held.
        state: Opaque engine data.
    """

    session: str
    request_id: str
    layers: layers.LayerRange
    model: str
    version: int
    adapter: str
    length: int
    state: bytes
