"""A VM list that shows changes with a delay."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.adapters import platform_messages
    from almondshift.ports import clocks


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change visible from ``visible_at`` on; no body means deleted."""

    visible_at: float
    name: str
    body: platform_messages.VmBody | None


class LaggingVms:
    """VMs as they were ``lag_s`` seconds ago."""

    def __init__(self, clock: clocks.Clock, lag_s: float) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self.visible: dict[str, platform_messages.VmBody] = {}
        self.pending: collections.deque[Change] = collections.deque()

    def change(self, name: str, body: platform_messages.VmBody | None) -> None:
        """Writes a VM, or deletes it if there is no body."""
        visible_at = self.clock.monotonic() + self.lag_s
        self.pending.append(Change(visible_at, name, body))

    def list(self) -> list[platform_messages.VmBody]:
        """Returns the currently visible VMs, sorted by name."""
        now = self.clock.monotonic()
        while self.pending and self.pending[0].visible_at <= now:
            change = self.pending.popleft()
            if change.body is None:
                self.visible.pop(change.name, None)
            else:
                self.visible[change.name] = change.body
        return [self.visible[name] for name in sorted(self.visible)]
