"""Endpoints as they appear in the registry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import layers as model_layers


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredEngine:
    """One run of an endpoint; each restart registers a new one.

    Attributes:
        instance: Unique to this start, see ``lifetimes``.
        address: ``host:port``; may later belong to another endpoint.
        leaving: Whether it gets no new work.
        kind: Its kind of accelerator; empty for a plain service.
        layers: The layers that it holds; None for none.
        born_ms: Unix milliseconds of its start; 0 if not reported.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    kind: str = ""
    layers: model_layers.LayerRange | None = None
    born_ms: int = 0
