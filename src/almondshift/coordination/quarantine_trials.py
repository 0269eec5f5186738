"""Runs a suspect alone, once in the whole system.

Nodes learn of crashes from each other, late or not at all while parted, so
two of them may find that the same suspect may be run alone. The table
decides: only the node whose row for the fingerprint was inserted runs it. A
node that dies in its trial leaves its row, and nobody runs the suspect
again, as if it had crashed an endpoint. With the platform away suspects are
refused: that costs one caller a wait, a third crash costs many their work.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from almondshift.coordination import quarantine
    from almondshift.ports import clocks

TABLE = "quarantine"
IDLE_POLL_S = 0.1


class TrialOutcome(enum.StrEnum):
    """How the run of a suspect ended."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


TrialError = errors.Quarantined | errors.StoreUnavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """A suspect that may run alone now.

    Attributes:
        endpoints: The only endpoints it may be sent to.
        revision: Revision of its row.
    """

    fingerprint: str
    endpoints: frozenset[str]
    revision: int


class QuarantineTrials:
    """Claims the right to run a suspect and keeps its endpoints free.

    Attributes:
        seen: Rows of others, with the time at which each was first seen in
            its present revision.
    """

    def __init__(
        self,
        quarantine_state: quarantine.Quarantine,
        store: stores.TableStore,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.quarantine = quarantine_state
        self.store = store
        self.clock = clock
        self.rng = rng
        self.seen: dict[str, tuple[int, float]] = {}

    async def begin(
        self,
        fingerprint: str,
        endpoints: Iterable[str],
        is_idle: Callable[[str], bool],
    ) -> expression.Result[Trial, TrialError]:
        """Prepares the run of a suspect; ``finish`` has to follow.

        Returns after peers had time to hear that the endpoints are kept
        free and these are idle.

        Args:
            fingerprint: A request whose verdict is ALONE.
            endpoints: Endpoints of its chain.
            is_idle: Returns whether an endpoint has no work of any node.
        """
        claimed = await self.claim(fingerprint)
        if claimed.is_error():
            return expression.Error(claimed.error)
        trial = Trial(fingerprint, frozenset(endpoints), claimed.ok)
        if not self.quarantine.begin_trial(fingerprint, trial.endpoints):
            await self.release(trial)
            return expression.Error(self.refusal(fingerprint))
        if not await self.wait_until_idle(trial, is_idle):
            await self.finish(trial, TrialOutcome.NOT_RUN)
            return expression.Error(self.refusal(fingerprint))
        return expression.Ok(trial)

    async def finish(self, trial: Trial, outcome: TrialOutcome) -> None:
        """Ends a trial; after a crash it returns once that is judged."""
        completed = outcome is TrialOutcome.COMPLETED
        self.quarantine.end_trial(trial.fingerprint, completed)
        if outcome is TrialOutcome.CRASHED:
            await self.clock.sleep(self.quarantine.settings.window_s)
        if self.may_release(trial, outcome):
            await self.release(trial)

    def may_release(self, trial: Trial, outcome: TrialOutcome) -> bool:
        """Returns whether the suspect may be tried again.

        Not after a crash, unless it was that of a rack or zone; nor if it
        is not known how the trial ended: the endpoint may crash yet.
        """
        if outcome is TrialOutcome.CRASHED:
            counting = self.quarantine.counting(trial.fingerprint)
            return not any(crash.alone for crash in counting)
        return outcome is not TrialOutcome.UNKNOWN

    async def wait_until_idle(
        self, trial: Trial, is_idle: Callable[[str], bool]
    ) -> bool:
        """Waits for peers to hear, then for the endpoints to be idle."""
        settings = self.quarantine.settings
        await self.clock.sleep(settings.spread_wait_s)
        end = self.clock.monotonic() + settings.trial_s / 4
        while self.clock.monotonic() < end:
            if all(is_idle(endpoint) for endpoint in trial.endpoints):
                return True
            await self.clock.sleep(IDLE_POLL_S)
        return False

    async def claim(
        self, fingerprint: str
    ) -> expression.Result[int, TrialError]:
        """Inserts the row of a suspect; returns its revision."""
        token = f"{self.rng.getrandbits(64):016x}"
        revision = self.takes_over(fingerprint)
        write = self.row(fingerprint, token, revision)
        result = await self.store.transact([write])
        if result.is_ok():
            return expression.Ok(result.ok[0])
        if isinstance(result.error, errors.StoreUnavailable):
            return expression.Error(result.error)
        return await self.read_back(fingerprint, token)

    def row(self, fingerprint: str, token: str, revision: int) -> stores.Write:
        """Returns the write that claims a suspect."""
        value = {"node": self.quarantine.node, "token": token}
        return stores.Write(TABLE, fingerprint, value, revision)

    async def read_back(
        self, fingerprint: str, token: str
    ) -> expression.Result[int, TrialError]:
        """Finds out whose row it is after a refusal or a lost answer."""
        result = await self.store.read(TABLE, fingerprint)
        if result.is_error():
            return expression.Error(
                errors.StoreUnavailable("The row of a suspect can't be read.")
            )
        row = result.ok
        if row is not None and row.value.get("token") == token:
            return expression.Ok(row.revision)
        if row is not None:
            self.note_seen(fingerprint, row.revision)
        return expression.Error(self.refusal(fingerprint))

    def note_seen(self, fingerprint: str, revision: int) -> None:
        """Notes the row of another node."""
        known = self.seen.get(fingerprint)
        if known is None or known[0] != revision:
            self.seen[fingerprint] = (revision, self.clock.monotonic())

    def takes_over(self, fingerprint: str) -> int:
        """Returns the revision to replace, or ``ABSENT``.

        A row that stood unchanged for a whole conviction, by this node's
        own monotonic clock, is that of an expired one.
        """
        known = self.seen.get(fingerprint)
        if known is None:
            return stores.ABSENT
        age_s = self.clock.monotonic() - known[1]
        if age_s < self.quarantine.settings.conviction_s:
            return stores.ABSENT
        del self.seen[fingerprint]
        return known[0]

    async def release(self, trial: Trial) -> None:
        """Deletes the row; if that fails it stands until it is stale."""
        await self.store.transact(
            [stores.Write(TABLE, trial.fingerprint, None, trial.revision)]
        )

    def refusal(self, fingerprint: str) -> errors.Quarantined:
        """Returns the error of a suspect that may not run now."""
        return errors.Quarantined(
            f"Request {fingerprint} was in flight when an endpoint crashed.",
            remedy=(
                "Ask again after the time in Retry-After; it is run alone "
                "once no other node runs it."
            ),
            retry_after_s=self.quarantine.settings.spread_wait_s,
        )


def create_quarantine_trials(
    quarantine_state: quarantine.Quarantine,
    store: stores.TableStore,
    clock: clocks.Clock,
    rng: random.Random,
) -> QuarantineTrials:
    """Creates the runner of suspects of one node.

    Args:
        quarantine_state: This node's quarantine.
        store: The platform's table.
        clock: Source of time.
        rng: Source of tokens.
    """
    return QuarantineTrials(quarantine_state, store, clock, rng)
