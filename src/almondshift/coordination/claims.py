"""At most one run of each non-idempotent request.

Before a request is dispatched its key is claimed by a conditional insert.
Only the attempt that holds the claim dispatches; repeats get the stored
result, wait for it, or hear that the outcome is unknown. A claim changes
hands only if its claimant itself says that it never dispatched.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_attempts
from almondshift.coordination import claim_results
from almondshift.coordination import claim_rows
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks

ATTEMPT_BITS = 96


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Bounds and times of claims.

    Attributes:
        retention_s: Seconds for which a key is kept; told to callers.
        unfinished_retention_s: Further seconds for claims without a result.
        write_attempts: Times that a write of unknown outcome is settled.
        write_wait_s: Seconds before settling again; doubles each time.
        poll_s: Seconds between looks at a running claim; doubles.
        longest_poll_s: Longest time between looks.
        flush_s: Seconds between attempts to store these.
        remembered: Abandoned attempts remembered for peers' questions.
        results: Bounds of stored results.
    """

    retention_s: float = 86_400.0
    unfinished_retention_s: float = 604_800.0
    write_attempts: int = 4
    write_wait_s: float = 0.02
    poll_s: float = 0.05
    longest_poll_s: float = 0.8
    flush_s: float = 1.0
    remembered: int = 10_000
    results: claim_results.ResultSettings = dataclasses.field(
        default_factory=claim_results.ResultSettings
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The right to dispatch once, while ``Claims.may_dispatch`` says so.

    Attributes:
        deadline: Monotonic seconds after which it must not be dispatched.
    """

    key: str
    row: claim_rows.ClaimRow
    revision: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request ran before; this is its result."""

    result: claim_rows.StoredResult


ClaimResult = expression.Result[Claimed | Finished, errors.AlmondshiftError]
Decision = ClaimResult | None
"""None means to look at the row again."""


class Claim:
    """The state of one call of ``Claims.claim``."""

    def __init__(
        self, key: str, row: claim_rows.ClaimRow, deadline: float
    ) -> None:
        self.key = key
        self.row = row
        self.deadline = deadline
        self.tries = 0
        self.pause_s = 0.0
        self.asked_revision = -1
        self.saw_other = False


class Claims:
    """Claims made by one node."""

    def __init__(
        self,
        store: stores.TableStore,
        objects: stores.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
        node: str,
        ask: Callable[[str, str], Awaitable[claim_attempts.ClaimantAnswer]],
        settings: ClaimSettings,
    ) -> None:
        self.store = store
        self.objects = objects
        self.clock = clock
        self.rng = rng
        self.node = node
        self.ask = ask
        self.settings = settings
        self.attempts = claim_attempts.Attempts(settings.remembered)
        self.results = claim_results.ResultKeeper(
            store, objects, clock, self.attempts, settings.results
        )
        self.flusher: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to store results that could not be stored at once."""
        self.flusher = asyncio.create_task(self._flush_loop())

    async def close(self) -> None:
        """Tries once more to store results, then stops."""
        if self.flusher is not None:
            self.flusher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.flusher
            self.flusher = None
        await self.flush()

    async def claim(
        self,
        account: str,
        service: str,
        idempotency_key: str,
        body: bytes,
        deadline: float,
    ) -> ClaimResult:
        """Claims a request, or gets the result of its earlier run.

        Args:
            account: Client account.
            service: Service name.
            idempotency_key: The caller's key.
            body: Request body; a repeat must have the same.
            deadline: Monotonic seconds until which to wait for an earlier
                run, and after which a claim may not be dispatched.

        Returns:
            ``Claimed`` to dispatch now, or ``Finished``. Errors:
            ``IdempotencyKeyReused``; ``StoreUnavailable`` with ``not_run``
            if this attempt was not and won't be dispatched;
            ``OutcomeUnknown`` if an earlier one may have been.
        """
        key = claim_rows.claim_key(account, service, idempotency_key)
        row = claim_rows.ClaimRow(
            account=account,
            service=service,
            fingerprint=claim_rows.fingerprint(body),
            claimant=self.node,
            attempt=f"{self.node}-{self.rng.getrandbits(ATTEMPT_BITS):024x}",
            state=claim_rows.ClaimState.RUNNING,
            expires_at=self.clock.wall() + self.settings.retention_s,
        )
        return await self._claim(Claim(key, row, deadline))

    def may_dispatch(self, claimed: Claimed) -> bool:
        """Returns whether the claimed request may be dispatched right now.

        Ask right before dispatch: a process that was paused past the
        deadline learns of it only here.
        """
        in_time = self.clock.monotonic() < claimed.deadline
        return in_time and claimed.row.attempt in self.attempts.live

    async def finish(
        self, claimed: Claimed, result: claim_rows.StoredResult
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Stores the result for repeats.

        An unknown outcome is a result too: finish with the answer that the
        caller got, so that repeats get the same. If the store does not take
        it, it is kept in memory and stored later.
        """
        return await self.results.store_result(
            claim_results.Unsaved(
                claimed.key, claimed.row, claimed.revision, result
            )
        )

    async def release_not_run(
        self, claimed: Claimed
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Gives a claim back; only if the endpoint provably ran nothing.

        The claim can be taken again even if this fails, since this node
        then answers that it abandoned the attempt.
        """
        self.attempts.abandon(claimed.row.attempt)
        row = dataclasses.replace(
            claimed.row, state=claim_rows.ClaimState.NOT_RUN
        )
        write = claim_rows.write_claim(claimed.key, row, claimed.revision)
        written = await self.store.transact([write])
        if written.is_error():
            return expression.Error(written.error)
        return expression.Ok(None)

    def answer_claimant(self, attempt: str) -> claim_attempts.ClaimantAnswer:
        """Answers a peer's question about an attempt of this node."""
        return self.attempts.answer(attempt)

    async def flush(self) -> None:
        """Tries once to store each result that is not stored yet."""
        await self.results.flush()

    async def _claim(self, claim: Claim) -> ClaimResult:
        """Decides, and abandons the attempt unless it holds the claim.

        The attempt counts as live from before its insert is sent, so that
        no peer hears ``abandoned`` of one that may still be dispatched, and
        as abandoned on every other way out, a cancelled caller included.
        """
        self.attempts.begin(claim.row.attempt)
        result: ClaimResult | None = None
        try:
            result = await self._decide(claim)
            return result
        finally:
            if not _is_claimed(result):
                self.attempts.abandon(claim.row.attempt)

    async def _decide(self, claim: Claim) -> ClaimResult:
        while True:
            decision = await self._look(claim)
            if decision is not None:
                return decision
            left_s = claim.deadline - self.clock.monotonic()
            if left_s <= 0.0:
                return expression.Error(_out_of_time(claim))
            if claim.pause_s > 0.0:
                await self.clock.sleep(min(claim.pause_s, left_s))

    async def _look(self, claim: Claim) -> Decision:
        """Reads the row and decides, or asks to look again."""
        read = await self.store.read(claim_rows.TABLE, claim.key)
        if read.is_error():
            return self._without_store(claim)
        if read.ok is None:
            return await self._write(claim, stores.ABSENT)
        row = claim_rows.read_claim(read.ok)
        if row.attempt == claim.row.attempt:
            return self._claimed(claim, read.ok.revision)
        if row.fingerprint != claim.row.fingerprint:
            return expression.Error(
                errors.IdempotencyKeyReused(
                    "The key came before with another body."
                )
            )
        if row.state is claim_rows.ClaimState.FINISHED:
            return await self._finished(row)
        if row.state is claim_rows.ClaimState.NOT_RUN:
            return await self._write(claim, read.ok.revision)
        return await self._running(claim, row, read.ok.revision)

    async def _running(
        self, claim: Claim, row: claim_rows.ClaimRow, revision: int
    ) -> Decision:
        """Asks the claimant what became of a claim without a result.

        Taking over a claim because its claimant is silent would run the
        request twice if the claimant is only slow. Only its own word that
        it never dispatches counts, and the write from this very revision.
        """
        claim.saw_other = True
        unsaved = self.results.unsaved.get(claim.key)
        if unsaved is not None:
            return expression.Ok(Finished(unsaved.result))
        if claim.asked_revision == revision:
            return expression.Error(_claimant_silent(row))
        answer = await self._ask(row)
        if answer is claim_attempts.ClaimantAnswer.ABANDONED:
            claim.saw_other = False
            return await self._write(claim, revision)
        if answer is claim_attempts.ClaimantAnswer.RUNNING:
            claim.pause_s = self._next_pause(claim.pause_s)
            return None
        claim.asked_revision = revision
        claim.pause_s = 0.0
        return None

    async def _ask(
        self, row: claim_rows.ClaimRow
    ) -> claim_attempts.ClaimantAnswer:
        if row.claimant == self.node:
            return self.attempts.answer(row.attempt)
        return await self.ask(row.claimant, row.attempt)

    async def _write(self, claim: Claim, revision: int) -> Decision:
        """Writes the claim from a revision; looks again if unsure.

        The answer may be lost after the insert took effect. Looking again
        finds the own attempt in the row, or writes again from the revision
        it finds; the condition keeps a second write from doing harm.
        """
        writes = [
            claim_rows.write_claim(claim.key, claim.row, revision),
            claim_rows.write_expiry(claim.key, claim.row, last=False),
        ]
        written = await self.store.transact(writes)
        if written.is_ok():
            return self._claimed(claim, written.ok[0])
        if isinstance(written.error, errors.StoreUnavailable):
            return self._without_store(claim)
        claim.pause_s = 0.0
        if isinstance(written.error, errors.ConditionFailed):
            return None
        claim.tries += 1
        if claim.tries >= self.settings.write_attempts:
            return self._without_store(claim)
        claim.pause_s = self.settings.write_wait_s * 2**claim.tries
        return None

    def _claimed(self, claim: Claim, revision: int) -> ClaimResult:
        if self.clock.monotonic() >= claim.deadline:
            return expression.Error(
                errors.DeadlinePast("The claim came after the deadline.")
            )
        return expression.Ok(
            Claimed(claim.key, claim.row, revision, claim.deadline)
        )

    async def _finished(self, row: claim_rows.ClaimRow) -> ClaimResult:
        result = await self.results.read_result(row)
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok(Finished(result.ok))

    def _without_store(self, claim: Claim) -> ClaimResult:
        unsaved = self.results.unsaved.get(claim.key)
        if unsaved is not None:
            if unsaved.row.fingerprint == claim.row.fingerprint:
                return expression.Ok(Finished(unsaved.result))
            return expression.Error(
                errors.IdempotencyKeyReused(
                    "The key came before with another body."
                )
            )
        if claim.saw_other:
            return expression.Error(
                errors.OutcomeUnknown(
                    "An earlier request with this key may have run, and the "
                    "platform's store can't be read now.",
                    remedy="Ask again with the same Idempotency-Key.",
                    retry_after_s=1.0,
                )
            )
        return expression.Error(
            errors.StoreUnavailable(
                "The key could not be claimed, so this request was not run.",
                remedy=(
                    "Ask again with the same Idempotency-Key; with another "
                    "key an earlier request with this one could run twice."
                ),
                retry_after_s=1.0,
            )
        )

    def _next_pause(self, pause_s: float) -> float:
        doubled = max(2 * pause_s, self.settings.poll_s)
        longest = min(doubled, self.settings.longest_poll_s)
        return longest * self.rng.uniform(0.75, 1.0)

    async def _flush_loop(self) -> None:
        while True:
            await self.clock.sleep(self.settings.flush_s)
            await self.flush()


def _is_claimed(result: ClaimResult | None) -> bool:
    return (
        result is not None and result.is_ok() and isinstance(result.ok, Claimed)
    )


def _out_of_time(claim: Claim) -> errors.AlmondshiftError:
    if claim.saw_other:
        return errors.OutcomeUnknown(
            "An earlier request with this key is still running.",
            remedy="Ask again with the same Idempotency-Key.",
            retry_after_s=1.0,
        )
    return errors.DeadlinePast("The key was not claimed in time.")


def _claimant_silent(row: claim_rows.ClaimRow) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f"Node {row.claimant} took this request and can't say what became "
        "of it.",
        remedy=(
            "Ask again later with the same Idempotency-Key, and check the "
            "effect before sending with a new key."
        ),
    )


def create_claims(
    store: stores.TableStore,
    objects: stores.ObjectStore,
    clock: clocks.Clock,
    rng: random.Random,
    node: str,
    ask: Callable[[str, str], Awaitable[claim_attempts.ClaimantAnswer]],
    settings: ClaimSettings | None = None,
) -> Claims:
    """Creates the claims of a node.

    Args:
        store: Table of the claims, as a rule a ``GroupedTableStore``.
        objects: Where large results go.
        clock: Monotonic time for deadlines, wall time for expiry.
        rng: Draws the attempts' ids; must differ between processes.
        node: Name of this node, as ``ask`` of others knows it.
        ask: Asks the node of the first argument about the attempt of the
            second; ``UNKNOWN`` if it can't be reached in time.
        settings: None for the defaults.
    """
    return Claims(
        store, objects, clock, rng, node, ask, settings or ClaimSettings()
    )
