"""Admission and execution of step items."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import steps
from almondshift.standins import reference

if TYPE_CHECKING:
    from almondshift.standins.engine import holdings
    from almondshift.standins.engine import ledger
    from almondshift.standins.engine import prefixes
    from almondshift.standins.engine import sessions
    from almondshift.standins.engine import settings as engine_settings
    from almondshift.standins.engine import switches

CRASH_EXIT_STATUS = 134


@dataclasses.dataclass(frozen=True, slots=True)
class RunOutcome:
    """A result, and the product of layers and tokens that took time."""

    result: steps.StepResult
    layer_tokens: int


class Runner:
    """Runs items on sessions and holdings."""

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        session_table: sessions.SessionTable,
        holding_table: holdings.HoldingTable,
        cache: prefixes.PrefixCache,
        record: ledger.Ledger,
        faults: switches.Switches,
    ) -> None:
        self.settings = settings
        self.session_table = session_table
        self.holding_table = holding_table
        self.cache = cache
        self.record = record
        self.faults = faults

    def admit(self, item: steps.StepItem) -> steps.StepStatus:
        """Adds an item to its session, or returns the reason for refusing it.

        An item at position 0 of an unknown session opens it.
        """
        session = self.session_table.find(item.session)
        if session is None:
            status = self._open(item)
            session = self.session_table.find(item.session)
        else:
            status = self._continue(session, item)
        if status is steps.StepStatus.OK and session is not None:
            session.next_position += len(item.inputs)
            session.queued += 1
            self.session_table.touch(session, time.monotonic())
        return status

    def _open(self, item: steps.StepItem) -> steps.StepStatus:
        if item.position != 0:
            return steps.StepStatus.UNKNOWN_SESSION
        if self.faults.leaving and not self.faults.opens_while_leaving:
            return steps.StepStatus.LEAVING
        if (
            self.is_draining()
            or not item.inputs
            or not self.holding_table.can_open(item)
        ):
            return steps.StepStatus.WRONG_MODEL
        if self.session_table.open(item, time.monotonic()) is None:
            return steps.StepStatus.BUSY
        return steps.StepStatus.OK

    def is_draining(self) -> bool:
        """Returns whether its current role forbids opening sessions.

        Unlike an engine whose VM is leaving, a draining engine stays and
        waits for its next order.
        """
        return self.holding_table.role is endpoints.EndpointRole.DRAINING

    def _continue(
        self, session: sessions.Session, item: steps.StepItem
    ) -> steps.StepStatus:
        if not session.serves(item):
            return steps.StepStatus.UNKNOWN_SESSION
        if not item.inputs or session.next_position != item.position:
            return steps.StepStatus.POSITION_MISMATCH
        return steps.StepStatus.OK

    def release(self, item: steps.StepItem) -> None:
        """Releases an admitted item that will not run."""
        session = self.session_table.find(item.session)
        if session is not None and session.serves(item):
            session.queued -= 1

    def run(self, item: steps.StepItem) -> RunOutcome:
        """Runs an admitted item.

        The item is refused without running if its session no longer exists,
        or is at another position because a more urgent item overtook it.
        """
        session = self.session_table.find(item.session)
        if session is None or not session.serves(item):
            status = steps.StepStatus.UNKNOWN_SESSION
            return RunOutcome(item.answer(status), 0)
        session.queued -= 1
        if session.length != item.position:
            status = steps.StepStatus.POSITION_MISMATCH
            return RunOutcome(item.answer(status), 0)
        self._crash_if_enabled(item)
        cached = self.cache.advance(session, item.inputs)
        outputs = session.run(item.inputs)
        self.record.record(item)
        self.session_table.touch(session, time.monotonic())
        if item.layers.end == self.settings.models.get(item.model):
            outputs = tuple(reference.sample(value) for value in outputs)
        layer_tokens = item.layers.count * (len(item.inputs) - cached)
        return RunOutcome(
            item.answer(steps.StepStatus.OK, outputs), layer_tokens
        )

    def _crash_if_enabled(self, item: steps.StepItem) -> None:
        if self.faults.crash_token is None or item.layers.start != 0:
            return
        if self.faults.crash_token in item.inputs:
            self.settings.exit_process(CRASH_EXIT_STATUS)
