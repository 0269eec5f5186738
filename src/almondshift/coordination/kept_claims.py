"""In-memory copies of the claims that this node made.

The store may return from an older copy, without claims of running requests or
the results of ended ones. Only the node that made them can write them again.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.coordination import claim_rows
    from almondshift.ports import clocks


@dataclasses.dataclass(slots=True)
class KeptClaim:
    """A claim of this node.

    Attributes:
        key: Its key in the table.
        row: The row as it is to be stored; its era is the one in which the
            store last confirmed this claim.
        revision: Revision of the row in that era.
    """

    key: str
    row: claim_rows.ClaimRow
    revision: int


class KeptClaims:
    """Claims whose request is running, or ended recently.

    Attributes:
        claims: All of them, by key.
        ended_at: Monotonic time at which the result of a claim was stored, by
            key, oldest first.
    """

    def __init__(
        self, clock: clocks.Clock, ended_s: float, max_ended: int
    ) -> None:
        self.clock = clock
        self.ended_s = ended_s
        self.max_ended = max_ended
        self.claims: dict[str, KeptClaim] = {}
        self.ended_at: collections.OrderedDict[str, float]
        self.ended_at = collections.OrderedDict()

    def get(self, key: str, attempt: str | None = None) -> KeptClaim | None:
        """Returns the claim of a key; only of this attempt, if one is given."""
        kept = self.claims.get(key)
        if kept is None or attempt not in (None, kept.row.attempt):
            return None
        return kept

    def add(self, kept: KeptClaim) -> None:
        """Adds the claim of a request that may run from now on."""
        self.ended_at.pop(kept.key, None)
        self.claims[kept.key] = kept

    def end(self, kept: KeptClaim, era: int) -> None:
        """Records that a result was stored, and drops old ended claims.

        Args:
            kept: The claim.
            era: The store's era. Claims that it has not confirmed in this era
                are not dropped for their age.
        """
        if self.claims.get(kept.key) is not kept:
            return
        self.ended_at[kept.key] = self.clock.monotonic()
        self.ended_at.move_to_end(kept.key)
        while self.ended_at and self._may_drop_oldest(era):
            key, _ = self.ended_at.popitem(last=False)
            del self.claims[key]

    def remove(self, kept: KeptClaim) -> None:
        """Removes a claim that is not, or no longer, of this node."""
        if self.claims.get(kept.key) is kept:
            del self.claims[kept.key]
            self.ended_at.pop(kept.key, None)

    def of_earlier_eras(self, era: int) -> list[KeptClaim]:
        """Returns the claims that were not confirmed in this era."""
        return [kept for kept in self.claims.values() if kept.row.era < era]

    def _may_drop_oldest(self, era: int) -> bool:
        if len(self.ended_at) > self.max_ended:
            return True
        key, ended_at = next(iter(self.ended_at.items()))
        is_old = self.clock.monotonic() - ended_at > self.ended_s
        return is_old and self.claims[key].row.era >= era


def create_kept_claims(
    clock: clocks.Clock, ended_s: float, max_ended: int
) -> KeptClaims:
    """Creates an empty collection.

    Args:
        clock: Measures the age of ended claims.
        ended_s: Seconds for which a claim is kept once its result is stored.
        max_ended: Maximum number of these.
    """
    return KeptClaims(clock, ended_s, max_ended)
