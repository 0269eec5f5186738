"""Settings of the plain service stand-in."""

from __future__ import annotations

import dataclasses
import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class PlainSettings:
    """Configuration of the stand-in; times in seconds.

    Attributes:
        service: Name of the service.
        advertise: ``host:port`` to register, such as that of a proxy in front;
            ``""`` for the address it listens on.
        ledger_limit: Maximum number of executions kept; the oldest are dropped
            first.
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
