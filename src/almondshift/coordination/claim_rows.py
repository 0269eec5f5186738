"""Table rows that store claims on non-idempotent requests.

A claim's key is a digest of account, service and idempotency key. Each claim
also has an expiry row, whose key sorts by expiry time, so that a sweep reads
only expired claims.
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
    """State of a claimed request."""

    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResult:
    """The response that retries of a request get."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ResultRow:
    """A result as stored in the row.

    The body is inline (Base64) or in the object store under ``object_key``.
    """

    status: int
    content_type: str
    body: str
    object_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """One claim.

    Attributes:
        fingerprint: Digest of the request's body.
        claimant: Node that may dispatch the request.
        attempt: Random id of the attempt that may dispatch it.
        expires_at: Wall time in seconds until which retries get the result.
        result: Set once the request has finished.
        era: Era of the store for which the row was written.
    """

    account: str
    service: str
    fingerprint: str
    claimant: str
    attempt: str
    state: ClaimState
    expires_at: float
    result: ResultRow | None = None
    era: int = 0


def claim_key(account: str, service: str, idempotency_key: str) -> str:
    """Returns the row key of a claim."""
    parts = json.dumps([account, service, idempotency_key])
    return hashlib.sha256(parts.encode()).hexdigest()


def fingerprint(body: bytes) -> str:
    """Returns the digest used to compare request bodies."""
    return hashlib.sha256(body).hexdigest()


def expiry_key(expires_at: float, attempt: str) -> str:
    """Returns the key of an expiry row; keys sort by expiry time."""
    return f"{int(expires_at):012d}/{attempt}"


def claim_write(
    key: str, claim: ClaimRow, revision: int, era: int
) -> stores.Write:
    """Returns a write of the claim, conditional on a revision of an era."""
    value = dataclasses.asdict(dataclasses.replace(claim, era=era))
    return stores.Write(TABLE, key, value, revision, era)


def expiry_write(key: str, claim: ClaimRow, last: bool) -> stores.Write:
    """Returns a write of the claim's expiry row.

    Args:
        key: The claim's key.
        claim: The claim.
        last: Whether the claim is deleted at that time even if unfinished.
    """
    row_key = expiry_key(claim.expires_at, claim.attempt)
    value = {"claim": key, "attempt": claim.attempt, "last": last}
    return stores.Write(EXPIRY_TABLE, row_key, value, None)


def parse_claim(row: stores.Row) -> ClaimRow:
    """Parses the row of a claim."""
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
        era=int(value.get("era", 0)),
    )


def inline_result(result: StoredResult) -> ResultRow:
    """Returns a result row that holds the body inline."""
    body = base64.b64encode(result.body).decode()
    return ResultRow(result.status, result.content_type, body, "")


def object_result(result: StoredResult, object_key: str) -> ResultRow:
    """Returns a result row whose body is in the object store."""
    return ResultRow(result.status, result.content_type, "", object_key)


def decode_inline_body(result: ResultRow) -> bytes:
    """Decodes the inline body of a result row."""
    return base64.b64decode(result.body)
