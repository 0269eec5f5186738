"""A caller's request that is forwarded unchanged, and parts of its response."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import not_run


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request as decoded on arrival.

    Attributes:
        request_id: Chosen by the caller, one for each attempt.
        target: Path and query, unchanged.
        path: The target without its query.
        headers: Header fields to forward unchanged.
        wait_s: How long the caller will wait; None if not given.
        key: Bearer key; empty for none.
        last_event_id: The last event that the caller got; empty for none.
        prompt_tokens: Length of the prompt; 0 if not given.
        output_tokens: Maximum number of tokens to generate; 0 if not given.
        expected_tokens: The caller's estimate of the output; 0 for none.
        connection_s: Age of the connection that it arrived on.
        peer_mark: What shows that a peer passed it on; empty for a caller's.
        run_limit: The limit that a peer set; empty for none.
        prompt_parts: IDs of the parts of its prompt, in order; the last part
            belongs to this request or its session.
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
    peer_mark: str = ""
    prompt_parts: tuple[str, ...] = ()
    run_limit: str = ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """IDs of the parts that other requests may share, each once."""
        return tuple(dict.fromkeys(self.prompt_parts[:-1]))


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
    """The head of an endpoint's response.

    Attributes:
        headers: Header fields to forward unchanged.
        genuine: Whether the endpoint marked the response as its own.
        evidence: Why the request did not run; None if it may have.
        faulty_address: The endpoint at fault, if it names one.
        backoff_s: Time for which the endpoint asks this node for no requests; 0
            if it does not ask.
        is_leaving: Whether it says that it is shutting down.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    genuine: bool
    evidence: not_run.NotRun | None
    faulty_address: str
    backoff_s: float = 0.0
    is_leaving: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the request did not run."""
        return self.evidence is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """How a request is forwarded.

    Attributes:
        address: ``host:port`` of the endpoint to send it to.
        instance: The start of the endpoint that it is meant for.
        path: Empty for an endpoint that serves alone.
        remaining_s: Time left until the node ends the request.
        account: Name of the client account; empty for none.
        priority: 0 to 9, 0 is the most urgent; None for the endpoint's default.
        last_event_id: Event to resume after; empty to begin at the start.
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
    """A running request that is stalled by an unresponsive endpoint."""

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report on itself, a few hundred milliseconds old.

    Attributes:
        pace: Slowdown factor; over 1 for an engine that is slow.
        used: Memory that can't be freed, in tokens times layers.
        total: Memory for requests, in tokens times layers.
        busy: Whether an order is being carried out.
        orders: Number of orders accepted.
        stalled: Stalled requests whose path starts at this engine.
        born_ms: Unix milliseconds of its start; 0 if not reported.
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
