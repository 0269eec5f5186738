"""Rows in which claims on non-idempotent requests are kept.

A claim's key is a digest of account, service and idempotency key. Beside
each claim an expiry row sorts by time, so that a sweep reads only what has
expired.
"""

from __future__ import annotations

import base64
import dataclasses
import enum
import hashlib
import json

from almondshift.ports import stores

TABLE = "claims"
EXPIRY_TABLE = "claim_expiry"


class ClaimState(enum.StrEnum):
    """How far a claimed request is."""

    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResult:
    """The answer that repeats of a request get."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ResultRow:
    """A result as the row keeps it: the body inline or as an object."""

    status: int
    content_type: str
    body: str
    object_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """One claim.

    Attributes:
        fingerprint: Digest of the request's body.
        claimant: Node that may dispatch.
        attempt: Random id of the attempt that may dispatch.
        expires_at: Wall time in seconds; until then repeats are answered.
        result: Present once finished.
    """

    account: str
    service: str
    fingerprint: str
    claimant: str
    attempt: str
    state: ClaimState
    expires_at: float
    result: ResultRow | None = None


def claim_key(account: str, service: str, idempotency_key: str) -> str:
    """Returns the key of a claim's row."""
    parts = json.dumps([account, service, idempotency_key])
    return hashlib.sha256(parts.encode()).hexdigest()


def fingerprint(body: bytes) -> str:
    """Returns the digest by which bodies are compared."""
    return hashlib.sha256(body).hexdigest()


def expiry_key(expires_at: float, attempt: str) -> str:
    """Returns the key of an expiry row; keys sort by time."""
    return f"{int(expires_at):012d}/{attempt}"


def write_claim(key: str, claim: ClaimRow, revision: int) -> stores.Write:
    """Returns the write of a claim from a revision."""
    return stores.Write(TABLE, key, dataclasses.asdict(claim), revision)


def write_expiry(key: str, claim: ClaimRow, last: bool) -> stores.Write:
    """Returns the write of a claim's expiry row.

    Args:
        key: The claim's key.
        claim: The claim.
        last: Whether the claim goes at this time even if unfinished.
    """
    place = expiry_key(claim.expires_at, claim.attempt)
    value = {"claim": key, "attempt": claim.attempt, "last": last}
    return stores.Write(EXPIRY_TABLE, place, value, None)


def read_claim(row: stores.Row) -> ClaimRow:
    """Returns the claim that a row holds."""
    value = row.value
    result = value["result"]
    return ClaimRow(
        account=str(value["account"]),
        service=str(value["service"]),
        fingerprint=str(value["fingerprint"]),
        claimant=str(value["claimant"]),
        attempt=str(value["attempt"]),
        state=ClaimState(value["state"]),
        expires_at=float(value["expires_at"]),
        result=None if result is None else ResultRow(**result),
    )


def inline_result(result: StoredResult) -> ResultRow:
    """Returns a result with its body in the row."""
    body = base64.b64encode(result.body).decode()
    return ResultRow(result.status, result.content_type, body, "")


def result_by_object(result: StoredResult, object_key: str) -> ResultRow:
    """Returns a result whose body is an object."""
    return ResultRow(result.status, result.content_type, "", object_key)


def inline_body(result: ResultRow) -> bytes:
    """Returns the body kept in the row."""
    return base64.b64decode(result.body)
