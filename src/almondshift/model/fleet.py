"""The operators' description of services, as validated data classes."""

from __future__ import annotations

import dataclasses
import enum
import fnmatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import layers


SAFE_METHODS = frozenset({"GET", "HEAD"})
"""HTTP methods that change nothing, whatever the service."""


class ServiceKind(enum.StrEnum):
    """How a service is served."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(enum.IntEnum):
    """Urgency; a lower number is served first."""

    CRITICAL = 0
    NORMAL = 1
    BULK = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives.

    Attributes:
        whole_share: Share of requests answered completely, 0 to 1.
        first_token_s: 95th percentile of the seconds to the first token.
        between_tokens_s: 95th percentile of the seconds between tokens.
    """

    whole_share: float = 0.99
    first_token_s: float = 0.4
    between_tokens_s: float = 0.063


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model: its size, and the version to serve.

    Attributes:
        layers: Number of layers.
        version: Version to serve.
        adapters: Names of adapters that may be loaded.
        layer_bytes: Size of the weights of one layer.
    """

    name: str
    layers: int
    version: int
    adapters: tuple[str, ...] = ()
    layer_bytes: int = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that callers address by name.

    Attributes:
        depends_on: Names of services that must be ready first.
        model: Name of the model; ``""`` for a plain service.
        idempotent: Whether a request may be repeated.
        replicas: Minimum number of complete chains.
        max_prompt_tokens: Longest prompt accepted.
        max_output_tokens: Most tokens that one request may ask for.
    """

    name: str
    kind: ServiceKind
    depends_on: tuple[str, ...] = ()
    model: str = ""
    adapter: str = ""
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
    replicas: int = 1
    max_prompt_tokens: int = 4096
    max_output_tokens: int = 1024
    objectives: Objectives = dataclasses.field(default_factory=Objectives)

    def may_repeat(self, method: str) -> bool:
        """Returns whether a call by this HTTP method may run twice."""
        return self.idempotent or method in SAFE_METHODS


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRule:
    """What operators declare about endpoints whose name matches a pattern."""

    pattern: str
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """Layers that operators pinned to endpoints with matching names."""

    pattern: str
    model: str
    layers: layers.LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """A link between two availability zones.

    Attributes:
        latency_s: One-way latency in seconds.
        bytes_per_s: Bandwidth.
    """

    zone_a: str
    zone_b: str
    latency_s: float
    bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        key_hash: ``sha256:`` and the hex digest of its bearer key.
        weight: Share of a saturated system, relative to other accounts.
        tokens_per_s: Rate limit over all nodes; 0 for none.
        services: Services that it may call; empty for all.
    """

    name: str
    key_hash: str
    weight: float = 1.0
    tokens_per_s: float = 0.0
    services: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """A complete, validated configuration with its version."""

    version: int
    name: str
    models: dict[str, Model]
    services: dict[str, Service]
    endpoint_rules: tuple[EndpointRule, ...]
    links: tuple[Link, ...]
    accounts: dict[str, Account]
    body_limit_bytes: int = 1_000_000
    pins: tuple[Pin, ...] = ()

    def checks_fencing(self, endpoint: str) -> bool:
        """Returns whether an endpoint is known to check fencing tokens.

        The first matching rule decides; without one, the result is False.
        """
        for rule in self.endpoint_rules:
            if fnmatch.fnmatchcase(endpoint, rule.pattern):
                return rule.checks_fencing
        return False
