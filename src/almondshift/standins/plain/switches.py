"""Switches with which tests inject faults into the plain service."""

from __future__ import annotations

import msgspec


class Switches(msgspec.Struct, kw_only=True):
    """The active faults.

    Attributes:
        slow_s: Time that each call takes.
        swallow_answers: Number of responses to swallow after running.
        refuse: Answer 503 with ``X-Not-Run`` and run nothing.
        crash: The process exits when it gets a call, before running it.
        crash_after: The process exits after running a call.
    """

    slow_s: float = 0.0
    swallow_answers: int = 0
    refuse: bool = False
    crash: bool = False
    crash_after: bool = False


class Control(msgspec.Struct, kw_only=True):
    """A change of switches; omitted ones keep their value."""

    slow_s: float | msgspec.UnsetType = msgspec.UNSET
    swallow_answers: int | msgspec.UnsetType = msgspec.UNSET
    refuse: bool | msgspec.UnsetType = msgspec.UNSET
    crash: bool | msgspec.UnsetType = msgspec.UNSET
    crash_after: bool | msgspec.UnsetType = msgspec.UNSET

    def change(self, switches: Switches) -> None:
        """Sets the switches that are present."""
        for field in Switches.__struct_fields__:
            value = getattr(self, field)
            if value is not msgspec.UNSET:
                setattr(switches, field, value)
