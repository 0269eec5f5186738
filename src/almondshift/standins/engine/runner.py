"""Decides about items as they arrive, and runs them."""

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

CRASH_STATUS = 134


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """A result, and the layers times tokens that cost time."""

    result: steps.StepResult
    layer_tokens: int


class Runner:
    """Runs items over sessions and holdings."""

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        table: sessions.SessionTable,
        held: holdings.HoldingTable,
        cache: prefixes.PrefixCache,
        record: ledger.Ledger,
        faults: switches.Switches,
    ) -> None:
        self.settings = settings
        self.table = table
        self.held = held
        self.cache = cache
        self.record = record
        self.faults = faults

    def admit(self, item: steps.StepItem) -> steps.StepStatus:
        """Takes an item into its session, or says why not.

        An item at position 0 of an unknown session opens it.
        """
        session = self.table.find(item.session)
        if session is None:
            status = self._open(item)
            session = self.table.find(item.session)
        else:
            status = self._continue(session, item)
        if status is steps.StepStatus.OK and session is not None:
            session.expected += len(item.inputs)
            session.queued += 1
            self.table.touch(session, time.monotonic())
        return status

    def _open(self, item: steps.StepItem) -> steps.StepStatus:
        if item.position != 0:
            return steps.StepStatus.UNKNOWN_SESSION
        if self.faults.leaving and not self.faults.opens_while_leaving:
            return steps.StepStatus.LEAVING
        if self.is_draining() or not item.inputs or not self.held.opens(item):
            return steps.StepStatus.WRONG_MODEL
        if self.table.open(item, time.monotonic()) is None:
            return steps.StepStatus.BUSY
        return steps.StepStatus.OK

    def is_draining(self) -> bool:
        """Returns whether it was ordered to open no sessions for now.

        Other than one whose VM is leaving, a draining engine stays, and
        waits for its next order.
        """
        return self.held.role is endpoints.EndpointRole.DRAINING

    def _continue(
        self, session: sessions.Session, item: steps.StepItem
    ) -> steps.StepStatus:
        if not session.serves(item):
            return steps.StepStatus.UNKNOWN_SESSION
        if not item.inputs or session.expected != item.position:
            return steps.StepStatus.POSITION_MISMATCH
        return steps.StepStatus.OK

    def release(self, item: steps.StepItem) -> None:
        """Takes back an admitted item that is not going to run."""
        session = self.table.find(item.session)
        if session is not None and session.serves(item):
            session.queued -= 1

    def run(self, item: steps.StepItem) -> Ran:
        """Runs an admitted item.

        A session that is gone by now, or at another position because a more
        urgent item overtook this one, is refused without running.
        """
        session = self.table.find(item.session)
        if session is None or not session.serves(item):
            status = steps.StepStatus.UNKNOWN_SESSION
            return Ran(item.answer(status), 0)
        session.queued -= 1
        if session.length != item.position:
            status = steps.StepStatus.POSITION_MISMATCH
            return Ran(item.answer(status), 0)
        self._crash_if_told(item)
        cached = self.cache.advance(session, item.inputs)
        outputs = session.run(item.inputs)
        self.record.record(item)
        self.table.touch(session, time.monotonic())
        if item.layers.end == self.settings.models.get(item.model):
            outputs = tuple(reference.sample(value) for value in outputs)
        work = item.layers.count * (len(item.inputs) - cached)
        return Ran(item.answer(steps.StepStatus.OK, outputs), work)

    def _crash_if_told(self, item: steps.StepItem) -> None:
        if self.faults.crash_token is None or item.layers.start != 0:
            return
        if self.faults.crash_token in item.inputs:
            self.settings.exit_process(CRASH_STATUS)
