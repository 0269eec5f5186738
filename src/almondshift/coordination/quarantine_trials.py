"""Runs a suspect alone, at most once in the whole system.

Nodes learn of each other's crashes with a delay, or not at all during a
network partition, so two of them may decide to run the same suspect alone. The
table arbitrates: only the node that inserted the row for the fingerprint runs
it. If a node dies during its trial, the row stays and no node runs the suspect
again, as if it had crashed an endpoint. While the platform is unavailable,
suspects are refused: one caller has to wait, whereas a third crash would cost
many callers their work.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

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
    """Outcome of the trial of a suspect."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


TrialError = errors.Quarantined | errors.StoreUnavailable


class RowVersion(NamedTuple):
    """A revision of a row and the era of the store that gave it out."""

    revision: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """A suspect that may run alone now.

    Attributes:
        endpoints: The only endpoints to which it may be sent.
        claim: Its row.
    """

    fingerprint: str
    endpoints: frozenset[str]
    claim: RowVersion


class QuarantineTrials:
    """Claims suspects in the table and reserves endpoints for their trials.

    Attributes:
        seen: Versions of other nodes' rows, with the time at which each was
            first seen, by fingerprint.
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
        self.seen: dict[str, tuple[RowVersion, float]] = {}

    async def begin(
        self,
        fingerprint: str,
        endpoints: Iterable[str],
        is_idle: Callable[[str], bool],
    ) -> expression.Result[Trial, TrialError]:
        """Prepares the trial of a suspect; call ``finish`` afterwards.

        Returns once the reservation had time to reach all peers and the
        endpoints are idle.

        Args:
            fingerprint: A request whose verdict is ALONE.
            endpoints: Endpoints of its chain.
            is_idle: Returns whether an endpoint has no work from any node.
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
        """Ends a trial; after a crash, waits until its cause is decided."""
        completed = outcome is TrialOutcome.COMPLETED
        self.quarantine.end_trial(trial.fingerprint, completed)
        if outcome is TrialOutcome.CRASHED:
            await self.clock.sleep(self.quarantine.settings.window_s)
        if self.may_release(trial, outcome):
            await self.release(trial)

    def may_release(self, trial: Trial, outcome: TrialOutcome) -> bool:
        """Returns whether the suspect may have another trial.

        Not after a crash, unless a rack or zone failed, nor if the outcome of
        the trial is unknown, since the endpoint may still crash.
        """
        if outcome is TrialOutcome.CRASHED:
            counting = self.quarantine.crashes_against(trial.fingerprint)
            return not any(crash.alone for crash in counting)
        return outcome is not TrialOutcome.UNKNOWN

    async def wait_until_idle(
        self, trial: Trial, is_idle: Callable[[str], bool]
    ) -> bool:
        """Waits for propagation to peers, then for idle endpoints."""
        settings = self.quarantine.settings
        await self.clock.sleep(settings.propagation_wait_s)
        end = self.clock.monotonic() + settings.trial_s / 4
        while self.clock.monotonic() < end:
            if all(is_idle(endpoint) for endpoint in trial.endpoints):
                return True
            await self.clock.sleep(IDLE_POLL_S)
        return False

    async def claim(
        self, fingerprint: str
    ) -> expression.Result[RowVersion, TrialError]:
        """Claims a suspect by writing its row; returns the row's version."""
        token = f"{self.rng.getrandbits(64):016x}"
        expected = self.expected_version(fingerprint)
        write = self.claim_write(fingerprint, token, expected)
        result = await self.store.transact([write])
        if result.is_ok() and self.store.era == expected.era:
            return expression.Ok(RowVersion(result.ok[0], expected.era))
        if result.is_ok():
            return await self.read_back(fingerprint, token)
        if isinstance(result.error, errors.StoreUnavailable):
            return expression.Error(result.error)
        return await self.read_back(fingerprint, token)

    def claim_write(
        self, fingerprint: str, token: str, expected: RowVersion
    ) -> stores.Write:
        """Returns the write that claims a suspect."""
        value = {"node": self.quarantine.node, "token": token}
        return stores.Write(
            TABLE, fingerprint, value, expected.revision, expected.era
        )

    async def read_back(
        self, fingerprint: str, token: str
    ) -> expression.Result[RowVersion, TrialError]:
        """Reads who holds the claim after a failed or unconfirmed write."""
        result = await self.store.read(TABLE, fingerprint)
        if result.is_error():
            return expression.Error(
                errors.StoreUnavailable(
                    "The claim on a suspect request can't be read."
                )
            )
        row = result.ok
        if row is not None and row.value.get("token") == token:
            return expression.Ok(RowVersion(row.revision, row.era))
        if row is not None:
            self.record_seen(fingerprint, RowVersion(row.revision, row.era))
        return expression.Error(self.refusal(fingerprint))

    def record_seen(self, fingerprint: str, version: RowVersion) -> None:
        """Records the version of another node's row."""
        known = self.seen.get(fingerprint)
        if known is None or known[0] != version:
            self.seen[fingerprint] = (version, self.clock.monotonic())

    def expected_version(self, fingerprint: str) -> RowVersion:
        """Returns the version that the claim replaces, or ``ABSENT``.

        A row that was unchanged for the duration of a conviction, on this
        node's monotonic clock, has expired. One that was seen in an earlier
        era may be another by now.
        """
        absent = RowVersion(stores.ABSENT, self.store.era)
        known = self.seen.get(fingerprint)
        if known is None or known[0].era != self.store.era:
            return absent
        age_s = self.clock.monotonic() - known[1]
        if age_s < self.quarantine.settings.conviction_s:
            return absent
        del self.seen[fingerprint]
        return known[0]

    async def release(self, trial: Trial) -> None:
        """Deletes the row; if that fails, it stays until it expires."""
        revision, era = trial.claim
        await self.store.transact(
            [stores.Write(TABLE, trial.fingerprint, None, revision, era)]
        )

    def refusal(self, fingerprint: str) -> errors.Quarantined:
        """Returns the error for a suspect that may not run now."""
        return errors.Quarantined(
            f"Request {fingerprint} was in flight when an endpoint crashed.",
            remedy=(
                "Retry after the time in Retry-After; the request is run "
                "alone once no other node runs it."
            ),
            retry_after_s=self.quarantine.settings.propagation_wait_s,
        )


def create_quarantine_trials(
    quarantine_state: quarantine.Quarantine,
    store: stores.TableStore,
    clock: clocks.Clock,
    rng: random.Random,
) -> QuarantineTrials:
    """Creates the trials of one node.

    Args:
        quarantine_state: This node's quarantine.
        store: The platform's table.
        clock: Source of time.
        rng: Generates tokens.
    """
    return QuarantineTrials(quarantine_state, store, clock, rng)
