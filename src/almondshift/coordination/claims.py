"""At-most-once execution of non-idempotent requests.

Before a request is dispatched, its key is claimed by a conditional insert.
Only the attempt that holds the claim is dispatched; retries get the stored
result, wait for it, or get an error that the outcome is unknown. A claim is
taken over only if the claimant itself replies that it will never dispatch the
request.

The store may return from an older copy, in a new era, without claims that were
made since. Their holders write them again. Until all peers have replied that
they did, or that they don't hold the key in question, no claim is written.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_attempts
from almondshift.coordination import claim_errors
from almondshift.coordination import claim_peers
from almondshift.coordination import claim_results
from almondshift.coordination import claim_rows
from almondshift.coordination import claim_writer
from almondshift.coordination import kept_claims
from almondshift.coordination import lost_claims
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks

ATTEMPT_BITS = 96


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Limits and timing of claims.

    Attributes:
        retention_s: Seconds for which a key is kept; callers are told this.
        unfinished_retention_s: Additional seconds for which a claim without a
            result is kept.
        write_attempts: Attempts to resolve a write of unknown outcome.
        write_backoff_s: Seconds before the next attempt; doubles each time.
        poll_s: Seconds before a running claim is read again; doubles each
            time.
        max_poll_s: Maximum seconds between these reads.
        flush_s: Seconds between attempts to store pending results, and to
            write claims again that the store has lost.
        kept_ended_s: Seconds for which this node can write an ended claim
            again.
        max_kept_ended: Maximum number of these.
        max_abandoned: Maximum number of abandoned attempts kept to answer
            queries from peers.
        results: Limits for stored results.
    """

    retention_s: float = 86_400.0
    unfinished_retention_s: float = 604_800.0
    write_attempts: int = 4
    write_backoff_s: float = 0.02
    poll_s: float = 0.05
    max_poll_s: float = 0.8
    flush_s: float = 1.0
    max_abandoned: int = 10_000
    kept_ended_s: float = 60.0
    max_kept_ended: int = 10_000
    results: claim_results.ResultSettings = dataclasses.field(
        default_factory=claim_results.ResultSettings
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Permission to dispatch once, while ``Claims.may_dispatch`` is true.

    Attributes:
        deadline: Monotonic seconds after which the request must not be
            dispatched.
    """

    key: str
    row: claim_rows.ClaimRow
    revision: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Result of a request that has already run."""

    result: claim_rows.StoredResult


ClaimResult = expression.Result[Claimed | Finished, errors.AlmondshiftError]
Decision = ClaimResult | None
"""None if the row has to be read again."""


class Claim:
    """State of one call to ``Claims.claim``."""

    def __init__(
        self, key: str, row: claim_rows.ClaimRow, deadline: float
    ) -> None:
        self.key = key
        self.row = row
        self.deadline = deadline
        self.tries = 0
        self.delay_s = 0.0
        self.unanswered_revision = -1
        self.saw_other_attempt = False
        self.waits_for_peers = False


class Claims:
    """Claims made by one node.

    Attributes:
        kept: Claims that this node can write again.
        lost: Those of them that the store may have lost.
    """

    def __init__(
        self,
        store: stores.TableStore,
        objects: stores.ObjectStore,
        clock: clocks.Clock,
        rng: random.Random,
        node: str,
        ask: Callable[[str, str], Awaitable[claim_attempts.ClaimantAnswer]],
        peers: claim_peers.ClaimPeers,
        settings: ClaimSettings,
    ) -> None:
        self.store = store
        self.objects = objects
        self.clock = clock
        self.rng = rng
        self.node = node
        self.ask = ask
        self.settings = settings
        self.attempts = claim_attempts.Attempts(settings.max_abandoned)
        self.kept = kept_claims.create_kept_claims(
            clock, settings.kept_ended_s, settings.max_kept_ended
        )
        self.writer = claim_writer.create_claim_writer(store, clock)
        self.results = claim_results.ResultWriter(
            self.writer,
            self.kept,
            objects,
            clock,
            self.attempts,
            settings.results,
        )
        self.lost = lost_claims.LostClaims(
            store, self.kept, self.writer, self.attempts
        )
        self.held_elsewhere = claim_peers.HeldElsewhere(peers)
        self.flush_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the task that retries storing pending results."""
        self.flush_task = asyncio.create_task(self._flush_loop())

    async def close(self) -> None:
        """Stops the flush task and tries once more to write what is due."""
        if self.flush_task is not None:
            self.flush_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.flush_task
            self.flush_task = None
        await self.write_lost_claims()
        await self.flush()

    async def claim(
        self,
        account: str,
        service: str,
        idempotency_key: str,
        body: bytes,
        deadline: float,
    ) -> ClaimResult:
        """Claims a request, or returns the result of its earlier run.

        Args:
            account: Client account.
            service: Service name.
            idempotency_key: The caller's key.
            body: Request body; a retry must have the same body.
            deadline: Monotonic seconds until which to wait for an earlier
                run, and after which a claim must not be dispatched.

        Returns:
            ``Claimed`` if the request is to be dispatched now, or
            ``Finished``. Errors: ``IdempotencyKeyReused``;
            ``StoreUnavailable`` with ``not_run`` if this attempt was not and
            won't be dispatched; ``OutcomeUnknown`` if an earlier one may
            have been.
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

        Call it immediately before dispatch: only this check notices that
        the process was paused past the deadline.
        """
        in_time = self.clock.monotonic() < claimed.deadline
        return in_time and claimed.row.attempt in self.attempts.live

    async def finish(
        self, claimed: Claimed, result: claim_rows.StoredResult
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Stores the result for retries.

        An unknown outcome is a result too: pass the response that the caller
        got, so that retries get the same one. If the store is unavailable,
        the result is kept in memory and stored later.
        """
        return await self.results.store_result(
            claim_results.PendingResult(self._kept_claim(claimed), result)
        )

    async def release_not_run(
        self, claimed: Claimed
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Releases a claim; call only if the endpoint definitely ran nothing.

        Even if the write fails, another node can take over the claim, since
        this node replies from now on that it abandoned the attempt.
        """
        self.attempts.abandon(claimed.row.attempt)
        kept = self._kept_claim(claimed)
        self.kept.remove(kept)
        row = dataclasses.replace(kept.row, state=claim_rows.ClaimState.NOT_RUN)
        write = claim_rows.claim_write(
            kept.key, row, kept.revision, kept.row.era
        )
        written = await self.store.transact([write])
        if written.is_error():
            return expression.Error(written.error)
        return expression.Ok(None)

    def answer_claimant(self, attempt: str) -> claim_attempts.ClaimantAnswer:
        """Returns the reply to a peer's query about an attempt of this node.

        A peer that finds an earlier state of an ended claim in a restored
        store is to wait until it is written again.
        """
        if self.lost.is_attempt_lost(attempt):
            return claim_attempts.ClaimantAnswer.RUNNING
        return self.attempts.answer(attempt)

    def answer_held(self, key: str, era: int) -> claim_peers.HeldAnswer:
        """Returns the reply to a peer that is to write a claim in an era."""
        return self.lost.answer_held(key, era)

    async def write_lost_claims(self) -> None:
        """Writes claims again that the store may have lost in a new era."""
        await self.lost.write_all()

    async def flush(self) -> None:
        """Tries once to store each pending result."""
        await self.results.flush()

    async def _claim(self, claim: Claim) -> ClaimResult:
        """Makes the attempt, and abandons it unless it holds the claim.

        The attempt is registered before its insert is sent, so that no peer
        is told ``abandoned`` of one that may still be dispatched. Unless the
        result is ``Claimed``, it is marked abandoned on every exit path,
        including cancellation.
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
            decision = await self._check_row(claim)
            if decision is not None:
                return decision
            left_s = claim.deadline - self.clock.monotonic()
            if left_s <= 0.0:
                return expression.Error(self._deadline_error(claim))
            if claim.delay_s > 0.0:
                await self.clock.sleep(min(claim.delay_s, left_s))

    async def _check_row(self, claim: Claim) -> Decision:
        """Reads the row and decides; None to read it again."""
        await self.lost.write(claim.key)
        read = await self.store.read(claim_rows.TABLE, claim.key)
        if read.is_error():
            return self._store_unavailable(claim)
        if read.ok is None:
            return await self._write_claim(claim, None)
        row = claim_rows.parse_claim(read.ok)
        if row.attempt == claim.row.attempt:
            return await self._check_own_row(claim, row, read.ok)
        if row.fingerprint != claim.row.fingerprint:
            return expression.Error(claim_errors.key_reused())
        if row.state is claim_rows.ClaimState.FINISHED:
            return await self._finished(row)
        if row.state is claim_rows.ClaimState.NOT_RUN:
            return await self._write_claim(claim, read.ok)
        return await self._check_claimant(claim, row, read.ok)

    async def _check_own_row(
        self, claim: Claim, row: claim_rows.ClaimRow, found: stores.Row
    ) -> Decision:
        """Returns the claim, unless the row was written in an earlier era.

        Such a row is of a copy, or was written late over another by chance.
        """
        if row.era != found.era:
            return await self._write_claim(claim, found)
        return self._claimed(claim, found.revision, found.era)

    async def _check_claimant(
        self, claim: Claim, row: claim_rows.ClaimRow, found: stores.Row
    ) -> Decision:
        """Asks the claimant about a claim that has no result yet.

        Taking over because the claimant does not reply would run the
        request twice if the claimant is only slow. The claim is taken over
        only if the claimant replies that it will never dispatch, by a write
        that is conditional on the revision read before.
        """
        claim.saw_other_attempt = True
        pending = self.results.pending.get(claim.key)
        if pending is not None:
            return expression.Ok(Finished(pending.result))
        if claim.unanswered_revision == found.revision:
            return expression.Error(claim_errors.claimant_unknown(row.claimant))
        reply = await self._ask_claimant(row)
        if reply is claim_attempts.ClaimantAnswer.ABANDONED:
            claim.saw_other_attempt = False
            return await self._write_claim(claim, found)
        if reply is claim_attempts.ClaimantAnswer.RUNNING:
            claim.delay_s = self._next_poll_delay(claim.delay_s)
            return None
        claim.unanswered_revision = found.revision
        claim.delay_s = 0.0
        return None

    async def _ask_claimant(
        self, row: claim_rows.ClaimRow
    ) -> claim_attempts.ClaimantAnswer:
        if row.claimant == self.node:
            return self.answer_claimant(row.attempt)
        return await self.ask(row.claimant, row.attempt)

    async def _write_claim(
        self, claim: Claim, found: stores.Row | None
    ) -> Decision:
        """Writes the claim over the row found; None to read again.

        The response may be lost after the write took effect. Reading again
        finds this attempt in the row, or leads to a second write, which is
        harmless, since it is conditional on the revision found.
        """
        revision = stores.ABSENT if found is None else found.revision
        era = self.lost.era() if found is None else found.era
        if not await self._may_write(claim, found, era):
            claim.delay_s = self._next_poll_delay(claim.delay_s)
            return None
        writes = [
            claim_rows.claim_write(claim.key, claim.row, revision, era),
            claim_rows.expiry_write(claim.key, claim.row, last=False),
        ]
        written = await self.store.transact(writes)
        if written.is_ok():
            return self._claimed(claim, written.ok[0], era)
        if isinstance(written.error, errors.StoreUnavailable):
            return self._store_unavailable(claim)
        claim.delay_s = 0.0
        if isinstance(written.error, errors.ConditionFailed):
            return None
        claim.tries += 1
        if claim.tries >= self.settings.write_attempts:
            return self._store_unavailable(claim)
        claim.delay_s = self.settings.write_backoff_s * 2**claim.tries
        return None

    async def _may_write(
        self, claim: Claim, found: stores.Row | None, era: int
    ) -> bool:
        """Returns whether no live node holds the key without its row."""
        if era < self.lost.era():
            return False
        is_row_outdated = (
            found is not None and claim_rows.parse_claim(found).era < era
        )
        held = self.lost.held_here(claim.key, era, is_row_outdated)
        if held is claim_peers.HeldAnswer.FREE:
            held = await self.held_elsewhere.find(
                claim.key, era, is_row_outdated
            )
        if held is claim_peers.HeldAnswer.HELD:
            claim.saw_other_attempt = True
        claim.waits_for_peers = held is not claim_peers.HeldAnswer.FREE
        return not claim.waits_for_peers

    def _claimed(self, claim: Claim, revision: int, era: int) -> Decision:
        if era != self.lost.era():
            claim.delay_s = self._next_poll_delay(claim.delay_s)
            return None
        if self.clock.monotonic() >= claim.deadline:
            return expression.Error(
                errors.DeadlinePast("The key was claimed after the deadline.")
            )
        row = dataclasses.replace(claim.row, era=era)
        self.kept.add(kept_claims.KeptClaim(claim.key, row, revision))
        return expression.Ok(Claimed(claim.key, row, revision, claim.deadline))

    def _kept_claim(self, claimed: Claimed) -> kept_claims.KeptClaim:
        kept = self.kept.get(claimed.key, claimed.row.attempt)
        return kept or kept_claims.KeptClaim(
            claimed.key, claimed.row, claimed.revision
        )

    async def _finished(self, row: claim_rows.ClaimRow) -> ClaimResult:
        result = await self.results.read_result(row)
        if result.is_error():
            return expression.Error(result.error)
        return expression.Ok(Finished(result.ok))

    def _store_unavailable(self, claim: Claim) -> ClaimResult:
        pending = self.results.pending.get(claim.key)
        if pending is not None:
            if pending.kept.row.fingerprint == claim.row.fingerprint:
                return expression.Ok(Finished(pending.result))
            return expression.Error(claim_errors.key_reused())
        if claim.saw_other_attempt:
            return expression.Error(claim_errors.earlier_unknown())
        return expression.Error(
            claim_errors.not_claimed("The key could not be claimed")
        )

    def _deadline_error(self, claim: Claim) -> errors.AlmondshiftError:
        if claim.saw_other_attempt:
            return claim_errors.still_running()
        if claim.waits_for_peers:
            return claim_errors.not_claimed(
                "The platform's store returned from an older copy, and not "
                "all nodes have replied whether they hold this key"
            )
        return errors.DeadlinePast(
            "The key was not claimed before the deadline."
        )

    def _next_poll_delay(self, delay_s: float) -> float:
        doubled = max(2 * delay_s, self.settings.poll_s)
        longest = min(doubled, self.settings.max_poll_s)
        return longest * self.rng.uniform(0.75, 1.0)

    async def _flush_loop(self) -> None:
        while True:
            await self.clock.sleep(self.settings.flush_s)
            await self.write_lost_claims()
            await self.flush()


def _is_claimed(result: ClaimResult | None) -> bool:
    return (
        result is not None and result.is_ok() and isinstance(result.ok, Claimed)
    )


def create_claims(
    store: stores.TableStore,
    objects: stores.ObjectStore,
    clock: clocks.Clock,
    rng: random.Random,
    node: str,
    ask: Callable[[str, str], Awaitable[claim_attempts.ClaimantAnswer]],
    settings: ClaimSettings | None = None,
    peers: claim_peers.ClaimPeers | None = None,
) -> Claims:
    """Creates the claims of a node.

    Args:
        store: Table store for the claims, usually a ``GroupedTableStore``.
        objects: Object store for large results.
        clock: Monotonic time for deadlines, wall time for expiry.
        rng: Generates attempt ids; its seed must differ between processes.
        node: Name of this node, by which peers' ``ask`` reaches it.
        ask: Called with a node and an attempt; asks that node about the
            attempt, and returns ``UNKNOWN`` if it can't be reached in time.
        settings: None for the defaults.
        peers: The other nodes that may hold claims; None if there are none.
    """
    return Claims(
        store,
        objects,
        clock,
        rng,
        node,
        ask,
        peers or claim_peers.NoPeers(),
        settings or ClaimSettings(),
    )
