"""Switches with which tests inject faults into the engine."""

from __future__ import annotations

import enum

import msgspec


class SwallowMode(enum.StrEnum):
    """What happens to the connection of a swallowed response."""

    CLOSE = "close"
    HANG = "hang"


class Switches(msgspec.Struct, kw_only=True):
    """The active faults.

    Attributes:
        crash_token: The process exits when it runs a prompt with this token id.
        slow_factor: Factor for the duration of each batch.
        swallow_answers: Number of step responses to swallow after running.
        swallow: What happens to their connections.
        cross_answers: Number of step calls that get the results of other
            items.
        refuse_all: Answer each step call with 503 without running it.
        leaving: Refuse to open sessions.
        opens_while_leaving: Report that it is leaving, but open sessions.
    """

    crash_token: int | None = None
    slow_factor: float = 1.0
    swallow_answers: int = 0
    swallow: SwallowMode = SwallowMode.CLOSE
    cross_answers: int = 0
    refuse_all: bool = False
    leaving: bool = False
    opens_while_leaving: bool = False


class Control(msgspec.Struct, kw_only=True):
    """A change of switches; omitted ones keep their value."""

    crash_token: int | None | msgspec.UnsetType = msgspec.UNSET
    slow_factor: float | msgspec.UnsetType = msgspec.UNSET
    swallow_answers: int | msgspec.UnsetType = msgspec.UNSET
    swallow: SwallowMode | msgspec.UnsetType = msgspec.UNSET
    cross_answers: int | msgspec.UnsetType = msgspec.UNSET
    refuse_all: bool | msgspec.UnsetType = msgspec.UNSET
    opens_while_leaving: bool | msgspec.UnsetType = msgspec.UNSET
    leaving: bool | msgspec.UnsetType = msgspec.UNSET
    drop_kv: bool = False

    def change(self, switches: Switches) -> None:
        """Sets the switches that are present."""
        for field in Switches.__struct_fields__:
            value = getattr(self, field)
            if value is not msgspec.UNSET:
                setattr(switches, field, value)
