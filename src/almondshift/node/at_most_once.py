"""Runs non-idempotent work under a claim and stores its result for retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import expression
import msgspec

from almondshift import errors
from almondshift.adapters import problems
from almondshift.coordination import claim_attempts
from almondshift.coordination import claim_peers
from almondshift.coordination import claim_rows
from almondshift.coordination import claims as claim_parts

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from almondshift.coordination import membership as memberships

    WorkResult = expression.Result[
        claim_rows.StoredResult, errors.AlmondshiftError
    ]
    Work = Callable[[], Awaitable[WorkResult]]

TOPIC = "claim"
HELD_TOPIC = "claim-held"
ASK_TIMEOUT_S = 1.0
NO_REQUEST_ID = ""


class AtMostOnce:
    """Runs work at most once for each idempotency key.

    Attributes:
        running: Dispatches in progress. They go on when the caller
            disconnects, since a retry needs their result.
    """

    def __init__(self, claims: claim_parts.Claims) -> None:
        self.claims = claims
        self.running: set[asyncio.Task[WorkResult]] = set()

    async def run(
        self,
        account: str,
        service: str,
        key: str,
        body: bytes,
        deadline: float,
        work: Work,
    ) -> WorkResult:
        """Runs ``work`` if this attempt gets the claim.

        Otherwise waits for the result of the attempt that holds it.

        Args:
            account: Client account.
            service: Service name.
            key: The caller's idempotency key.
            body: Content that a retry with the same key must match.
            deadline: Monotonic seconds.
            work: Runs the request once; its error states whether it ran.
        """
        claim = await self.claims.claim(account, service, key, body, deadline)
        match claim:
            case expression.Result(
                tag="ok", ok=claim_parts.Finished() as finished
            ):
                return expression.Ok(finished.result)
            case expression.Result(
                tag="ok", ok=claim_parts.Claimed() as claimed
            ):
                return await self._dispatch_shielded(claimed, work)
            case expression.Result(error=error):
                return expression.Error(error)
        raise AssertionError(claim)

    async def _dispatch_shielded(
        self, claimed: claim_parts.Claimed, work: Work
    ) -> WorkResult:
        task = asyncio.create_task(self._dispatch(claimed, work))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return await asyncio.shield(task)

    async def _dispatch(
        self, claimed: claim_parts.Claimed, work: Work
    ) -> WorkResult:
        if not self.claims.may_dispatch(claimed):
            await self.claims.release_not_run(claimed)
            return expression.Error(
                errors.DeadlinePast("The deadline passed before dispatch.")
            )
        outcome = await work()
        await self._settle(claimed, outcome)
        return outcome

    async def _settle(
        self, claimed: claim_parts.Claimed, outcome: WorkResult
    ) -> None:
        match outcome:
            case expression.Result(tag="ok", ok=result):
                await self.claims.finish(claimed, result)
            case expression.Result(error=error):
                if error.execution is errors.Execution.NOT_RUN:
                    await self.claims.release_not_run(claimed)
                else:
                    await self.claims.finish(claimed, _as_stored_result(error))


def _as_stored_result(
    error: errors.AlmondshiftError,
) -> claim_rows.StoredResult:
    """Turns a failure into a result, so that retries get it without a run."""
    problem = problems.render(error, NO_REQUEST_ID)
    return claim_rows.StoredResult(
        problem.status, problems.CONTENT_TYPE, problem.body
    )


class HeldQuestion(msgspec.Struct):
    """The question whether a node holds the claim of a key.

    Attributes:
        era: The store's era in which the sender is to write a claim.
    """

    key: str
    era: int


class ClaimQueries(claim_peers.ClaimPeers):
    """Queries peers about attempts and claims, and replies to their queries."""

    def __init__(self, membership: memberships.Membership) -> None:
        self.membership = membership
        self.claims: claim_parts.Claims | None = None

    def attach(self, claims: claim_parts.Claims) -> None:
        """Starts replying to queries about these claims."""
        self.claims = claims
        self.membership.answer(TOPIC, self._answer)
        self.membership.answer(HELD_TOPIC, self._answer_held)

    def names(self) -> list[str]:
        """Returns the names of all peers."""
        return [peer.name for peer in self.membership.peers()]

    async def ask_held(
        self, node: str, key: str, era: int
    ) -> claim_peers.HeldAnswer:
        """Asks whether a node holds a claim; ``UNKNOWN`` without a reply."""
        question = msgspec.json.encode(HeldQuestion(key, era))
        reply = await self.membership.ask(
            node, HELD_TOPIC, question, ASK_TIMEOUT_S
        )
        match reply:
            case expression.Result(tag="ok", ok=body):
                return claim_peers.HeldAnswer(body.decode())
            case _:
                return claim_peers.HeldAnswer.UNKNOWN

    async def ask(
        self, node: str, attempt: str
    ) -> claim_attempts.ClaimantAnswer:
        """Asks a node; returns ``UNKNOWN`` if it does not reply."""
        reply = await self.membership.ask(
            node, TOPIC, attempt.encode(), ASK_TIMEOUT_S
        )
        match reply:
            case expression.Result(tag="ok", ok=body):
                return claim_attempts.ClaimantAnswer(body.decode())
            case _:
                return claim_attempts.ClaimantAnswer.UNKNOWN

    async def _answer(self, sender: str, body: bytes) -> bytes:
        if self.claims is None:
            return claim_attempts.ClaimantAnswer.UNKNOWN.value.encode()
        return self.claims.answer_claimant(body.decode()).value.encode()

    async def _answer_held(self, sender: str, body: bytes) -> bytes:
        question = msgspec.json.decode(body, type=HeldQuestion)
        if self.claims is None:
            return claim_peers.HeldAnswer.UNKNOWN.value.encode()
        reply = self.claims.answer_held(question.key, question.era)
        return reply.value.encode()
