"""Log lines of failed stages and of what replaces them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from almondshift import log_events

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import chains
    from almondshift.policy import events

MAX_EXCLUDED = 16
"""Maximum number of endpoints in one line."""

logger = logging.getLogger(__name__)


def replaced(
    failure: events.StageFailed,
    replacement: Sequence[chains.Stage],
    seconds: float,
) -> None:
    """Logs what replaces a stage, ``seconds`` after its failure."""
    failed = failure.chain.stages[failure.index]
    log_events.emit(
        logger,
        log_events.StageReplaced(
            request_id=failure.request_id,
            endpoint=failed.endpoint,
            version=failure.chain.version,
            layers=_format_layers(failed),
            reason=failure.reason.value,
            replacement=", ".join(
                f"{stage.endpoint} {_format_layers(stage)}"
                for stage in replacement
            ),
            seconds=round(seconds, 4),
        ),
    )


def missing(failure: events.StageFailed, excluded: Sequence[str]) -> None:
    """Logs that nothing replaces a stage now, and why."""
    failed = failure.chain.stages[failure.index]
    log_events.emit(
        logger,
        log_events.ReplacementMissing(
            request_id=failure.request_id,
            endpoint=failed.endpoint,
            version=failure.chain.version,
            layers=_format_layers(failed),
            reason=failure.reason.value,
            excluded="; ".join(excluded[:MAX_EXCLUDED]),
        ),
    )


def _format_layers(stage: chains.Stage) -> str:
    return f"{stage.layers.start}-{stage.layers.end}"
