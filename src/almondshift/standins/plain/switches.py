"""Switches with which tests make the plain service fail."""

from __future__ import annotations

import msgspec


class Switches(msgspec.Struct, kw_only=True):
    """The present faults.

    Attributes:
        slow_s: Time that each call takes.
        swallow_answers: Number of answers to swallow after running.
        refuse: Answer 503 with ``X-Not-Run`` and run nothing.
        crash: The process ends when it gets a call; before it runs.
        crash_after: The process ends after it ran a call.
    """

    slow_s: float = 0.0
    swallow_answers: int = 0
    refuse: bool = False
    crash: bool = False
    crash_after: bool = False


class Control(msgspec.Struct, kw_only=True):
    """A change of switches; what is left out stays as it is."""

    slow_s: float | msgspec.UnsetType = msgspec.UNSET
    swallow_answers: int | msgspec.UnsetType = msgspec.UNSET
    refuse: bool | msgspec.UnsetType = msgspec.UNSET
    crash: bool | msgspec.UnsetType = msgspec.UNSET
    crash_after: bool | msgspec.UnsetType = msgspec.UNSET

    def change(self, switches: Switches) -> None:
        """Sets the switches that are named."""
        for field in Switches.__struct_fields__:
            value = getattr(self, field)
            if value is not msgspec.UNSET:
                setattr(switches, field, value)
