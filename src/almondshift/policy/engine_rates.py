"""Token rate of an engine, computed from its own description.

Engine admission, placement and the hardware bound share this computation, so
that they agree on what a full engine is.

A batch takes a fixed time plus the work of its items, so the rate is highest
with full batches. This module is separate from ``flow`` so that a node doesn't
import networkx (0.24 s at start-up) to route requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import endpoints

MIN_BATCH_S = 1e-6
"""Minimum batch time, for engines that describe themselves as instant."""


def tokens_per_s(
    description: endpoints.EndpointDescription, layer_count: int
) -> float:
    """Returns the tokens per second of an engine with full batches."""
    batch = max(1, description.max_batch)
    work = description.per_layer_token_s * layer_count * batch
    return batch / max(MIN_BATCH_S, description.fixed_s + work)
