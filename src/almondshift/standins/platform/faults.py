"""Switches that inject faults into the stand-in, per group of paths."""

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
    """How a group is unavailable."""

    NO = "no"
    REFUSE = "refuse"
    HANG = "hang"


class Switch(msgspec.Struct, forbid_unknown_fields=True):
    """The switches of some groups, or of all.

    Attributes:
        groups: Groups to set; empty for all.
        down: ``refuse`` answers 503 at once; ``hang`` holds requests until
            the next change of the switches, after which they take effect
            late unless they are refused.
        delay_s: Delay before each request takes effect.
        lose_next: Number of subsequent writes whose response is lost: they take
            effect, but the connection closes without a response.
        lose_share: Fraction of writes whose response is lost, 0 to 1.
        seed: Seed of the random choices for ``lose_share``.
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
        """Sets the switches and lets held requests check them again."""
        self.switch = switch
        self.random = random.Random(switch.seed)
        self.lose_next = switch.lose_next
        self.changed.set()
        self.changed = asyncio.Event()

    async def admit(self) -> bool:
        """Waits as the switches require; returns False to refuse."""
        while self.switch.down is Down.HANG:
            await self.changed.wait()
        if self.switch.down is Down.REFUSE:
            return False
        if self.switch.delay_s > 0.0:
            await self.clock.sleep(self.switch.delay_s)
        return True

    def should_lose_response(self) -> bool:
        """Returns whether to lose the response to this write."""
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
        """Sets the groups that the switch names; all if it names none."""
        for group in switch.groups or list(Group):
            self.groups[group].set(switch)
