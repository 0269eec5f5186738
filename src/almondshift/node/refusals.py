"""Maps the router's refusals to typed errors."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.policy import actions

if TYPE_CHECKING:
    from collections.abc import Mapping

logger = logging.getLogger(__name__)

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
        errors.NoReplacement,
        "A stage failed and no other endpoint can replace it.",
    ),
    actions.RefusalReason.RETRY_BUDGET: (
        errors.UpstreamFailed,
        "An endpoint failed, the node's retry budget is spent and no endpoint "
        "has spare capacity.",
    ),
    actions.RefusalReason.MAX_RETRIES: (
        errors.UpstreamFailed,
        "The request failed on too many endpoints.",
    ),
}


def to_error(refusal: actions.Refuse) -> errors.AlmondshiftError:
    """Returns the error reported to the caller; logs a denied retry."""
    if refusal.retry_state is not None:
        _log_denied_retry(refusal, refusal.retry_state)
    kind, detail = _ERRORS[refusal.reason]
    return kind(detail, retry_after_s=refusal.retry_after_s)


def _log_denied_retry(
    refusal: actions.Refuse, state: actions.RetryState
) -> None:
    log_events.emit(
        logger,
        log_events.RetryDenied(
            request_id=refusal.request_id,
            reason=refusal.reason.value,
            retries=state.retries,
            credit=round(state.credit, 1),
            waiting=state.waiting,
        ),
    )
