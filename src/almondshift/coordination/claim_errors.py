"""Errors of claims on non-idempotent requests."""

from __future__ import annotations

from almondshift import errors

SAME_KEY_REMEDY = "Retry with the same Idempotency-Key."


def key_reused() -> errors.IdempotencyKeyReused:
    """Returns the error for a key whose first request had another body."""
    return errors.IdempotencyKeyReused(
        "The key was used before with a different body."
    )


def not_claimed(detail: str) -> errors.StoreUnavailable:
    """Returns the error for a request that got no claim."""
    return errors.StoreUnavailable(
        f"{detail}, so this request was not run.",
        remedy=(
            "Retry with the same Idempotency-Key; with another key the "
            "request could run twice if an earlier one ran."
        ),
        retry_after_s=1.0,
    )


def earlier_unknown() -> errors.OutcomeUnknown:
    """Returns the error for a key whose row can't be read any more."""
    return errors.OutcomeUnknown(
        "An earlier request with this key may have run, and the platform's "
        "store is unavailable.",
        remedy=SAME_KEY_REMEDY,
        retry_after_s=1.0,
    )


def still_running() -> errors.OutcomeUnknown:
    """Returns the error for a key whose first request has not ended."""
    return errors.OutcomeUnknown(
        "An earlier request with this key is still running.",
        remedy=SAME_KEY_REMEDY,
        retry_after_s=1.0,
    )


def claimant_unknown(node: str) -> errors.OutcomeUnknown:
    """Returns the error for a key whose claimant does not know its attempt."""
    return errors.OutcomeUnknown(
        f"Node {node} accepted this request, and its outcome is not known.",
        remedy=(
            "Retry later with the same Idempotency-Key, and check whether the "
            "request took effect before sending it with a new key."
        ),
    )
