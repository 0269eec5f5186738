"""Maps the router's refusals to typed errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift import errors
from almondshift.policy import actions

if TYPE_CHECKING:
    from collections.abc import Mapping

_ERRORS: Mapping[
    actions.RefusalReason, tuple[type[errors.AlmondshiftError], str]
] = {
    actions.RefusalReason.OVERLOADED: (
        errors.Overloaded,
        "The predicted wait is longer than the deadline allows.",
    ),
    actions.RefusalReason.ACCOUNT_LIMITED: (
        errors.AccountLimited,
        "The client account is over its limit.",
    ),
    actions.RefusalReason.DEADLINE_PAST: (
        errors.DeadlinePast,
        "The deadline passed before the request could start.",
    ),
    actions.RefusalReason.SERVICE_NOT_READY: (
        errors.ServiceNotReady,
        "No complete chain serves this service now.",
    ),
    actions.RefusalReason.UNKNOWN_SERVICE: (
        errors.UnknownService,
        "The service is not in the configuration.",
    ),
    actions.RefusalReason.NO_REPLACEMENT: (
        errors.UpstreamFailed,
        "A stage failed and no other endpoint can replace it.",
    ),
    actions.RefusalReason.RETRY_BUDGET: (
        errors.UpstreamFailed,
        "A stage failed and too many recoveries are already running.",
    ),
}


def to_error(refusal: actions.Refuse) -> errors.AlmondshiftError:
    """Returns the error reported to the caller for a refusal."""
    kind, detail = _ERRORS[refusal.reason]
    return kind(detail, retry_after_s=refusal.retry_after_s)
