"""What the handlers towards callers share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import prometheus_client

    from almondshift.ports import clocks
    from almondshift.ports import gateway
    from almondshift.ports import tokenizers


@dataclasses.dataclass(frozen=True, slots=True)
class FrontContext:
    """Built once for a server and given to each handler."""

    node: gateway.Gateway
    clock: clocks.Clock
    tokenizer: tokenizers.Tokenizer
    registry: prometheus_client.CollectorRegistry
