"""Switches that make the stand-in fail, for each group of paths."""

from __future__ import annotations

import asyncio
import enum
import random
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from almondshift.ports import clocks


class Group(enum.StrEnum):
    """Groups of paths that fail together."""

    TABLES = "tables"
    OBJECTS = "objects"
    VMS = "vms"
    WEIGHTS = "weights"


class Down(enum.StrEnum):
    """How a group is down."""

    NO = "no"
    REFUSE = "refuse"
    HANG = "hang"


class Switch(msgspec.Struct, forbid_unknown_fields=True):
    """The state of the switches of one group, or of all.

    Attributes:
        groups: Groups to set; empty for all.
        down: ``refuse`` answers 503 at once; ``hang`` holds requests until
            the next change, after which they take effect late.
        delay_s: Added before each request takes effect.
        lose_next: Number of next writes whose answer is lost after they
            took effect: the connection closes without an answer.
        lose_share: Share of writes whose answer is lost, 0 to 1.
        seed: Seed of the draws for ``lose_share``.
    """

    groups: list[Group] = []
    down: Down = Down.NO
    delay_s: float = 0.0
    lose_next: int = 0
    lose_share: float = 0.0
    seed: int = 0


class GroupFaults:
    """The switches of one group."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.switch = Switch()
        self.random = random.Random(0)
        self.lose_next = 0
        self.changed = asyncio.Event()

    def set(self, switch: Switch) -> None:
        """Sets the switches and lets held requests look again."""
        self.switch = switch
        self.random = random.Random(switch.seed)
        self.lose_next = switch.lose_next
        self.changed.set()
        self.changed = asyncio.Event()

    async def admit(self) -> bool:
        """Waits as the switches say; returns False to refuse."""
        while self.switch.down is Down.HANG:
            await self.changed.wait()
        if self.switch.down is Down.REFUSE:
            return False
        if self.switch.delay_s > 0.0:
            await self.clock.sleep(self.switch.delay_s)
        return True

    def loses_answer(self) -> bool:
        """Returns whether the answer to this write is to be lost."""
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        share = self.switch.lose_share
        return share > 0.0 and self.random.random() < share


class Faults:
    """The switches of all groups."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.groups = {group: GroupFaults(clock) for group in Group}

    def set(self, switch: Switch) -> None:
        """Sets the groups that the switch names, or all."""
        for group in switch.groups or list(Group):
            self.groups[group].set(switch)
