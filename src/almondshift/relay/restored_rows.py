"""Writes a node's rows again after the store returned from an older copy."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.relay import group

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks
    from almondshift.relay import shared_secret

REWRITES_PER_S = 200.0
"""Writes per second that all nodes together make; about half of what a store
takes, as the operators and endpoints write their rows again as well."""

SECRET_CHECK_S = 2.5
"""Time after which a node that joined with a secret of the present era reads it
again, in seconds. Nodes of an earlier era have then written theirs."""

logger = logging.getLogger(__name__)


class RestoredRows:
    """Writes the row of this node, and the shared secret, in each new era.

    Attributes:
        nodes: Returns the number of nodes that write their rows.
        checks_secret: Returns whether this node is one of the few that write
            the secret again.
        era: The newest era known; None before this node has written its row.
        written_era: The era in which the rows were last confirmed.
        is_writing: Whether the rows are being written.
    """

    def __init__(
        self,
        rows: group.NodeRows,
        secret: shared_secret.SharedSecret,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.rows = rows
        self.secret = secret
        self.clock = clock
        self.rng = rng
        self.nodes: Callable[[], int] = lambda: 1
        self.checks_secret: Callable[[], bool] = lambda: True
        self.era: int | None = None
        self.written_era: int | None = None
        self.is_writing = False

    def begin(self, era: int) -> None:
        """Records that the rows were written in this era, or a later one."""
        self.era = self.written_era = era

    def note_era(self, era: int) -> bool:
        """Records the store's era; returns whether it is newer."""
        if self.era is None or era <= self.era:
            return False
        self.era = era
        return True

    async def write(self) -> None:
        """Writes the rows until the store confirms them in the newest era."""
        if self.is_writing:
            return
        self.is_writing = True
        began_at = self.clock.monotonic()
        try:
            while self.era is not None and self.era != self.written_era:
                await self._write_in_era(self.era)
        finally:
            self.is_writing = False
        seconds = round(self.clock.monotonic() - began_at, 3)
        log_events.emit(
            logger, log_events.NodeRowRestored(self.era or 0, seconds)
        )

    async def check_new_secret(self, era: int) -> None:
        """Reads the secret again if it was created in the present era."""
        if not self.secret.is_of_era(era):
            return
        await self.clock.sleep(SECRET_CHECK_S)
        while not await self.secret.reconcile():
            await self._pause()

    async def _write_in_era(self, era: int) -> None:
        """Writes the rows at a random time.

        The time is spread by the number of nodes: if all wrote as soon as they
        notice the new era, the store would refuse most of the writes.
        """
        spread_s = self.nodes() / REWRITES_PER_S
        await self.clock.sleep(self.rng.uniform(0.0, spread_s))
        while era == self.era and not await self.rows.announce_again():
            await self._pause()
        while era == self.era and self.checks_secret():
            if await self.secret.reconcile():
                break
            await self._pause()
        if era == self.era:
            self.written_era = era

    async def _pause(self) -> None:
        await self.clock.sleep(group.RETRY_S * self.rng.uniform(0.5, 1.5))
