"""Routes: which requests go to which service, and which may be retried."""

from __future__ import annotations

import dataclasses
import enum


class RepeatRule(enum.Enum):
    """Whether and how a request may be sent again."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's share of a route's traffic.

    Attributes:
        weight: Relative to the other shares; not negative.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunLimit:
    """How often a request may still run.

    Attributes:
        runs: Maximum number of endpoints that may run it.
        may_repeat: Whether it may be sent again after it may have run.
    """

    runs: int
    may_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests to a host below a path prefix.

    Attributes:
        prefix: Begins and ends with a slash.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Target time to the response, or to a stream's first event;
            later responses are worth less.
        event_gap_s: Target for the longest pause between a stream's events.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of endpoints that may run one request.
        public: Whether callers need no key.
        resumable: Whether a stream may resume at another endpoint.
        abandon_after_s: Silence after which callers are assumed to abandon a
            stream.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatRule
    timeout_s: float
    objective_s: float
    event_gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool
    resumable: bool
    abandon_after_s: float

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.repeat is RepeatRule.STREAM

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.is_stream:
            return self.resumable
        return self.repeat is RepeatRule.IDEMPOTENT

    def limited(self, limit: RunLimit) -> Route:
        """Returns the route of a request with a limit of its own.

        The stricter rule of both applies.
        """
        max_attempts = min(self.max_attempts, limit.runs)
        if limit.may_repeat or not self.may_repeat:
            return dataclasses.replace(self, max_attempts=max_attempts)
        repeat = self.repeat if self.is_stream else RepeatRule.AT_MOST_ONCE
        return dataclasses.replace(
            self, max_attempts=max_attempts, repeat=repeat, resumable=False
        )


class RouteTable:
    """Finds routes by host and longest prefix."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self.by_prefix = {(r.host, r.prefix): r for r in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of ``path``.

        Args:
            host: The host that the caller named, without a port.
            path: Without a query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
