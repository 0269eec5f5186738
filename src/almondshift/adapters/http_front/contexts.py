"""Shared context of the handlers for callers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.adapters import request_observer
    from almondshift.ports import clocks
    from almondshift.ports import gateway
    from almondshift.ports import tokenizers


@dataclasses.dataclass(frozen=True, slots=True)
class FrontContext:
    """Created once per server and passed to each handler."""

    node: gateway.Gateway
    clock: clocks.Clock
    tokenizer: tokenizers.Tokenizer
    observer: request_observer.RequestObserver
