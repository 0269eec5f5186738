"""Settings of the plain service stand-in."""

from __future__ import annotations

import dataclasses
import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class PlainSettings:
    """How the stand-in behaves; times in seconds.

    Attributes:
        service: Name of the service.
        advertise: ``host:port`` to register in place of the own address,
            ``""`` for the own; a proxy's, if one stands before it.
        ledger_limit: Executions kept; the oldest go first.
        grace_s: How long running calls are served after SIGTERM.
        exit_process: Ends the process when a crash is emulated.
    """

    name: str = "plain"
    zone: str = "zone"
    service: str = "service"
    host: str = "127.0.0.1"
    port: int = 0
    advertise: str = ""
    ledger_limit: int = 100_000
    grace_s: float = 10.0
    exit_process: Callable[[int], None] = os._exit
