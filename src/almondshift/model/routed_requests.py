"""Callers' requests with what the configuration says of them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import relayed
    from almondshift.model import routes


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with what was decided from the configuration.

    Attributes:
        account: Name of the client account; empty for none.
        priority: 0 is the most urgent.
        config_version: The configuration that decided.
    """

    request: relayed.RelayedRequest
    route: routes.Route
    service: str
    account: str
    priority: int
    config_version: int
