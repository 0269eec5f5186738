"""Typed errors: each has a kind, a remedy and what is known about execution.

Ports and coordination modules return these in ``expression.Result``; within a
process they may also be raised. Callers see them as problem+json.
"""

from __future__ import annotations

import enum
from typing import ClassVar


class Execution(enum.StrEnum):
    """What is known about whether the request ran on an endpoint."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class AlmondshiftError(Exception):
    """The base of all typed errors.

    Attributes:
        detail: What happened, in one sentence.
        remedy: What the reader can do about it.
        execution: Whether the request ran; ``NOT_RUN`` only if provable.
        retry_after_s: Seconds after which a retry makes sense, if any.
    """

    kind: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    default_remedy: ClassVar[str] = "Report this with the request id."
    default_execution: ClassVar[Execution] = Execution.UNKNOWN

    def __init__(
        self,
        detail: str,
        *,
        remedy: str | None = None,
        execution: Execution | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        self.detail = detail
        self.remedy = remedy or self.default_remedy
        self.execution = execution or self.default_execution
        self.retry_after_s = retry_after_s
        super().__init__(f"{detail} {self.remedy}")


class Refusal(AlmondshiftError):
    """The base of errors that by default mean that nothing ran."""

    default_execution = Execution.NOT_RUN


class MalformedRequest(Refusal):
    """The body or a header of a request cannot be understood."""

    kind = "malformed_request"
    status = 400
    default_remedy = "Correct the named field and send the request again."


class IdempotencyKeyRequired(Refusal):
    """A non-idempotent service was called without an Idempotency-Key."""

    kind = "idempotency_key_required"
    status = 400
    default_remedy = "Send an Idempotency-Key header unique to this request."


class IdempotencyKeyReused(Refusal):
    """An Idempotency-Key was reused with a different body."""

    kind = "idempotency_key_reused"
    status = 422
    default_remedy = "Use a new Idempotency-Key for a different request."


class MissingKey(Refusal):
    """No bearer key was sent."""

    kind = "missing_key"
    status = 401
    default_remedy = (
        "Send 'Authorization: Bearer KEY' with the key of a client account."
    )


class WrongKey(Refusal):
    """The bearer key belongs to no client account."""

    kind = "wrong_key"
    status = 401
    default_remedy = "Check the key with the operators."


class UnknownService(Refusal):
    """The named service is not in the configuration."""

    kind = "unknown_service"
    status = 404
    default_remedy = "Use a service name from the operators' configuration."


class BodyTooLarge(Refusal):
    """The request body exceeds the limit in bytes."""

    kind = "body_too_large"
    status = 413
    default_remedy = "Shorten the request."


class PromptTooLong(Refusal):
    """The prompt exceeds the service's limit in tokens."""

    kind = "prompt_too_long"
    status = 413
    default_remedy = "Shorten the prompt."


class DeadlinePast(Refusal):
    """The deadline had passed before any work was sent."""

    kind = "deadline_past"
    status = 504
    default_remedy = "Send the request again with a later deadline."


class DeadlineExceeded(AlmondshiftError):
    """The deadline passed while the request ran."""

    kind = "deadline_exceeded"
    status = 504
    default_execution = Execution.RAN
    default_remedy = "Allow more time, or ask for fewer tokens."


class Overloaded(Refusal):
    """The predicted wait exceeds the deadline, or the queue is full."""

    kind = "overloaded"
    status = 503
    default_remedy = "Retry after the delay in the Retry-After header."


class AccountLimited(Refusal):
    """The client account exceeds its own limit."""

    kind = "account_limited"
    status = 429
    default_remedy = "Retry after the delay in the Retry-After header."


class ServiceNotReady(Refusal):
    """The service, or one that it depends on, has no complete chain."""

    kind = "service_not_ready"
    status = 503
    default_remedy = "Retry after the delay in the Retry-After header."


class UnusableAccount(Refusal):
    """Endpoints can't be told the name of the client account."""

    kind = "unusable_account"
    status = 503
    default_remedy = (
        "Ask the operators for an account name without control characters."
    )


class NoRoomForPeer(Refusal):
    """A node lacks room for a request that a peer passed to it."""

    kind = "no_room_for_peer"
    status = 503
    default_remedy = "Retry after the delay in the Retry-After header."


class NodeLeaving(Refusal):
    """This node is shutting down and takes no new work."""

    kind = "node_leaving"
    status = 503
    default_remedy = "Get another address from GET /v1/entries."


class Quarantined(Refusal):
    """The request crashed endpoints before and is refused for now."""

    kind = "quarantined"
    status = 422
    default_remedy = (
        "Change the request; this one is refused until its quarantine ends."
    )


class CrashesEndpoints(Refusal):
    """Endpoints crashed earlier while they ran the same request."""

    kind = "crashes_endpoints"
    status = 503
    default_remedy = (
        "Change the request, or retry after the delay in the Retry-After "
        "header."
    )


class OutcomeUnknown(AlmondshiftError):
    """Whether the non-idempotent request ran cannot be known."""

    kind = "outcome_unknown"
    status = 502
    default_execution = Execution.UNKNOWN
    default_remedy = (
        "Check whether the request took effect before sending it with a new "
        "key."
    )


class UpstreamFailed(AlmondshiftError):
    """Every chain that could have served the request failed."""

    kind = "upstream_failed"
    status = 502
    default_execution = Execution.UNKNOWN
    default_remedy = "Send the request again; it is idempotent."


class NoReplacement(UpstreamFailed):
    """No endpoint could replace a failed one in time."""


class ConfigInvalid(Refusal):
    """A configuration text is invalid; names the section and the key."""

    kind = "config_invalid"
    status = 422

    def __init__(
        self, detail: str, *, section: str, key: str | None, remedy: str
    ) -> None:
        self.section = section
        self.key = key
        location = f"[{section}]" if key is None else f"[{section}] {key}"
        super().__init__(f"{location}: {detail}", remedy=remedy)


class ConfigConflict(Refusal):
    """Another operator's change was accepted first."""

    kind = "config_conflict"
    status = 409
    default_remedy = (
        "Run 'almondshift config show', merge your change into that version "
        "and apply again with --base set to it."
    )


class StoreUnavailable(Refusal):
    """The platform's store refused or could not be reached; nothing ran."""

    kind = "store_unavailable"
    status = 503
    default_remedy = "Retry after the delay in the Retry-After header."


class StoreOutcomeUnknown(AlmondshiftError):
    """A write was sent to the store but no response was received."""

    kind = "store_outcome_unknown"
    status = 502
    default_execution = Execution.UNKNOWN
    default_remedy = "Read the row back before writing again."


class ConditionFailed(Refusal):
    """A conditional write found a different revision; nothing was written."""

    kind = "condition_failed"
    status = 409
    default_remedy = "Read the row again before deciding on a new write."


class LeaseLost(Refusal):
    """This process does not hold the lease, or can't prove that it does."""

    kind = "lease_lost"
    status = 503
    default_remedy = "Leave the action to the current lease holder."


class EndpointUnreachable(Refusal):
    """No connection to the endpoint could be made; no byte was sent."""

    kind = "endpoint_unreachable"
    status = 502
    default_remedy = "Choose another endpoint."


class EndpointRefused(Refusal):
    """The endpoint refused the request before running anything."""

    kind = "endpoint_refused"
    status = 502
    default_remedy = "Choose another endpoint, or wait."


class EndpointOutcomeUnknown(AlmondshiftError):
    """Bytes were sent to the endpoint but no complete response came back."""

    kind = "endpoint_outcome_unknown"
    status = 502
    default_execution = Execution.UNKNOWN
    default_remedy = "Discard the session; retry only idempotent work."


class PeerUnreachable(AlmondshiftError):
    """A peer node did not reply in time."""

    kind = "peer_unreachable"
    status = 502
    default_execution = Execution.UNKNOWN
    default_remedy = "Try another peer."
