"""The rate of an engine, from what it says of itself.

Load pattern: none; admission to engines, placement and the hardware bound
share this figure. Without one place for it they would differ in what they
take for full. Grounds: a batch takes a fixed time and the work of its items,
so the rate is highest with full batches. It stands apart from ``flow``, so
that a node doesn't load networkx (0.24 s at its start) to route requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import endpoints

MIN_BATCH_S = 1e-6
"""Least time of a batch, for engines that describe themselves as instant."""


def tokens_per_s(
    description: endpoints.EndpointDescription, layer_count: int
) -> float:
    """Returns the tokens a second of an engine with full batches."""
    batch = max(1, description.max_batch)
    work = description.per_layer_token_s * layer_count * batch
    return batch / max(MIN_BATCH_S, description.fixed_s + work)
