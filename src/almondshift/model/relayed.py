"""A caller's request that is passed on as it came, and parts of its answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request, decoded at the border.

    Attributes:
        request_id: Chosen by the caller, one for each attempt.
        target: Path and query, unchanged.
        path: The target without its query.
        headers: Fields to pass on unchanged.
        wait_s: How long the caller will wait; None if it did not say.
        key: Bearer key; empty for none.
        last_event_id: The last event that the caller has; empty for none.
        prompt_tokens: Length of the prompt; 0 if not given.
        output_tokens: Most tokens that may be generated; 0 if not given.
        expected_tokens: The caller's estimate of the output; 0 for none.
        connection_s: Age of the connection that it came on.
    """

    request_id: str
    method: str
    host: str
    target: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    wait_s: float | None
    key: str
    last_event_id: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    connection_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PathPart:
    """One engine of a path, and the layers that it runs."""

    instance: str
    address: str
    start: int
    end: int


Path = tuple[PathPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedHead:
    """The head of an endpoint's answer.

    Attributes:
        headers: Fields to pass on unchanged.
        genuine: Whether the endpoint vouches for the answer.
        not_run: Whether it says that the request did not run.
        faulty_address: The endpoint at fault, if it names one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    genuine: bool
    not_run: bool
    faulty_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """How a request is passed on.

    Attributes:
        address: The endpoint that gets it.
        instance: The start of the endpoint that is meant.
        path: Empty for an endpoint that serves alone.
        remaining_s: What is left of the caller's time.
        account: Name of the client account; empty for none.
        priority: 0 to 9, 0 first; None for the endpoint's default.
        last_event_id: Go on after this event; empty for from the start.
    """

    address: str
    instance: str
    path: Path
    remaining_s: float
    account: str
    priority: int | None
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StalledRequest:
    """A running request that stands still behind a silent endpoint."""

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, as of some hundred ms ago.

    Attributes:
        pace: Over 1 for an engine that is slow.
        used: Memory that can't be freed, in tokens times layers.
        total: Memory for requests, in tokens times layers.
        busy: Whether an order is being carried out.
        orders: Number of orders accepted.
        stalled: Requests that stand still, if it is first of their paths.
        born_ms: Unix milliseconds of its start; 0 if it does not say.
    """

    pace: float
    used: float
    total: float
    waiting: int
    running: int
    busy: bool
    orders: int
    stalled: tuple[StalledRequest, ...]
    born_ms: int = 0
