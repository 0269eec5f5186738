"""Claims of this node that the store may have lost in a new era."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.coordination import claim_peers

if TYPE_CHECKING:
    from almondshift.coordination import claim_attempts
    from almondshift.coordination import claim_writer
    from almondshift.coordination import kept_claims
    from almondshift.ports import stores

WRITTEN_AT_ONCE = 32

logger = logging.getLogger(__name__)


class LostClaims:
    """Writes lost claims again, and replies to peers that ask for them.

    Attributes:
        noted_era: The newest era of the store that a peer has named.
    """

    def __init__(
        self,
        store: stores.TableStore,
        kept: kept_claims.KeptClaims,
        writer: claim_writer.ClaimWriter,
        attempts: claim_attempts.Attempts,
    ) -> None:
        self.store = store
        self.kept = kept
        self.writer = writer
        self.attempts = attempts
        self.noted_era = 0

    def era(self) -> int:
        """Returns the newest era of the store that this node knows of."""
        return max(self.store.era, self.noted_era)

    def is_attempt_lost(self, attempt: str) -> bool:
        """Returns whether an attempt's claim is to be written again."""
        lost = self.kept.of_earlier_eras(self.era())
        return any(kept.row.attempt == attempt for kept in lost)

    def held_here(
        self, key: str, era: int, is_row_outdated: bool
    ) -> claim_peers.HeldAnswer:
        """Returns ``HELD`` if this node's claim of a key is not in its row.

        Args:
            key: The key of a claim.
            era: The store's era.
            is_row_outdated: Whether the row was written in an earlier era.
        """
        kept = self.kept.get(key)
        if kept is None or not (kept.row.era < era or is_row_outdated):
            return claim_peers.HeldAnswer.FREE
        return claim_peers.HeldAnswer.HELD

    def answer_held(self, key: str, era: int) -> claim_peers.HeldAnswer:
        """Returns the reply to a peer that is to write a claim in an era.

        From now on this node makes no claim by an answer of an earlier era.
        """
        self.noted_era = max(self.noted_era, era)
        if self.kept.get(key) is not None:
            return claim_peers.HeldAnswer.HELD
        if self.kept.of_earlier_eras(era):
            return claim_peers.HeldAnswer.FREE
        return claim_peers.HeldAnswer.WRITTEN

    async def write(self, key: str) -> None:
        """Writes the claim of a key again if the store may have lost it."""
        kept = self.kept.get(key)
        if kept is not None and kept.row.era < self.era():
            await self._write(kept)

    async def write_all(self) -> None:
        """Writes all claims again that the store may have lost."""
        era = self.era()
        lost = self.kept.of_earlier_eras(era)
        if not lost:
            return
        for first in range(0, len(lost), WRITTEN_AT_ONCE):
            batch = lost[first : first + WRITTEN_AT_ONCE]
            await asyncio.gather(*(self._write(kept) for kept in batch))
        left = len(self.kept.of_earlier_eras(era))
        log_events.emit(
            logger, log_events.ClaimsWrittenAgain(era, len(lost) - left, left)
        )

    async def _write(self, kept: kept_claims.KeptClaim) -> None:
        """Writes a claim again; drops it if another attempt has its key."""
        written = await self.writer.write_again(kept)
        if written.is_ok() or not isinstance(
            written.error, errors.ConditionFailed
        ):
            return
        self.kept.remove(kept)
        self.attempts.end(kept.row.attempt)
        log_events.emit(
            logger,
            log_events.ClaimLost(
                kept.row.account, kept.row.service, kept.row.state.value
            ),
        )
