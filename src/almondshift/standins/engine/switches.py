"""Switches with which tests make the engine fail."""

from __future__ import annotations

import enum

import msgspec


class Swallow(enum.StrEnum):
    """What happens to the connection of a swallowed answer."""

    CLOSE = "close"
    HANG = "hang"


class Switches(msgspec.Struct, kw_only=True):
    """The present faults.

    Attributes:
        crash_token: The process ends when it runs a prompt with this id.
        slow_factor: Multiplies the time of each batch.
        swallow_answers: Number of step answers to swallow after running.
        swallow: What happens to their connections.
        cross_answers: Number of step calls that get answers to other items.
        refuse_all: Answer each step call 503 without running it.
        leaving: Refuse to open sessions.
    """

    crash_token: int | None = None
    slow_factor: float = 1.0
    swallow_answers: int = 0
    swallow: Swallow = Swallow.CLOSE
    cross_answers: int = 0
    refuse_all: bool = False
    leaving: bool = False


class Control(msgspec.Struct, kw_only=True):
    """A change of switches; what is left out stays as it is."""

    crash_token: int | None | msgspec.UnsetType = msgspec.UNSET
    slow_factor: float | msgspec.UnsetType = msgspec.UNSET
    swallow_answers: int | msgspec.UnsetType = msgspec.UNSET
    swallow: Swallow | msgspec.UnsetType = msgspec.UNSET
    cross_answers: int | msgspec.UnsetType = msgspec.UNSET
    refuse_all: bool | msgspec.UnsetType = msgspec.UNSET
    leaving: bool | msgspec.UnsetType = msgspec.UNSET
    drop_kv: bool = False

    def change(self, switches: Switches) -> None:
        """Sets the switches that are named."""
        for field in Switches.__struct_fields__:
            value = getattr(self, field)
            if value is not msgspec.UNSET:
                setattr(switches, field, value)
