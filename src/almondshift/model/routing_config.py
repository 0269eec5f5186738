"""A configuration of routes, services and client accounts."""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from almondshift.model import routes as model_routes

if TYPE_CHECKING:
    from almondshift.model import engine_specs


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service that routes lead to.

    Attributes:
        max_connections: Connections that one endpoint accepts from all nodes
            together.
        engine: Published figures of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: engine_specs.EngineSpec | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedAccount:
    """A client account.

    Attributes:
        keys: Bearer keys; any of them identifies the account.
        priority: Overrides the route's; None to keep the route's.
        is_usable: Whether endpoints can be told its name.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    is_usable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long a connection may stay idle.

    The time to receive a request's head has no limit of its own: the server
    bounds it by the idle timeout.
    """

    header_bytes: int
    body_bytes: int
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """A complete configuration.

    Attributes:
        accounts: Empty if callers need no keys.
    """

    version: int
    routes: tuple[model_routes.Route, ...]
    services: dict[str, RoutedService]
    accounts: tuple[KeyedAccount, ...]
    limits: CallerLimits

    @functools.cached_property
    def table(self) -> model_routes.RouteTable:
        """The routes as a lookup table."""
        return model_routes.RouteTable(self.routes)

    @functools.cached_property
    def account_by_key(self) -> dict[str, KeyedAccount]:
        """Accounts by each of their keys."""
        return {key: a for a in self.accounts for key in a.keys}
