"""Numbered events for the log; docs/events.md tells what to do at each.

The number's first digit names the subject: 1 node, 2 configuration, 3 lease
and orders, 4 endpoints, 5 requests, 6 store, 7 peers, 8 quarantine,
9 claims. A number is never used again for another event.
"""

from __future__ import annotations

import logging
from typing import ClassVar

import msgspec


class Event(msgspec.Struct, frozen=True):
    """The base of events; fields become members of the JSON line.

    All of them are defined in each process, and a node that starts again
    serves nobody until they are: data classes take ten times as long to define.
    """

    number: ClassVar[int]
    level: ClassVar[int] = logging.INFO
    message: ClassVar[str]

    @classmethod
    def code(cls) -> str:
        """Returns the number as written in the log, e.g. ``AS1001``."""
        return f"AS{cls.number}"


def emit(logger: logging.Logger, event: Event) -> None:
    """Writes an event to the log, if its level is enabled."""
    if not logger.isEnabledFor(event.level):
        return
    extra = {"event": event.code(), **msgspec.structs.asdict(event)}
    logger.log(event.level, event.message, extra=extra)


class NodeStarted(Event, frozen=True):
    """The node listens for callers and peers."""

    number = 1001
    message = "node started"

    zone: str
    entry: str
    peer: str
    release: str


class NodeReady(Event, frozen=True):
    """The node has a configuration and answers callers."""

    number = 1002
    message = "node ready"

    config_version: int
    verified: bool


class NodeDraining(Event, frozen=True):
    """The node takes leave; requests in flight go on."""

    number = 1003
    message = "node draining"

    hold_s: float
    grace_s: float
    in_flight: int


class NodeStopped(Event, frozen=True):
    """The node has closed; ``cut`` requests got no whole answer."""

    number = 1004
    message = "node stopped"

    seconds: float
    cut: int


class NodeReloaded(Event, frozen=True):
    """The settings were read again; `changed` names what differs."""

    number = 1005
    message = "node reloaded"

    changed: str


class NodeWoke(Event, frozen=True):
    """The process stood still; what it knew may be old."""

    number = 1006
    level = logging.WARNING
    message = "node woke"

    seconds: float


class LogLinesDropped(Event, frozen=True):
    """Lines were left out to keep the log's volume bounded."""

    number = 1007
    level = logging.WARNING
    message = "log lines dropped"

    lines: int


class ConfigAccepted(Event, frozen=True):
    """The platform keeps a new version that came through this node."""

    number = 2001
    message = "configuration accepted"

    version: int
    change_id: str
    author: str


class ConfigApplied(Event, frozen=True):
    """This node acts on a newer version."""

    number = 2002
    message = "configuration applied"

    version: int
    previous: int
    verified: bool


class ConfigRejected(Event, frozen=True):
    """A proposed text is invalid, or a race was lost."""

    number = 2003
    level = logging.WARNING
    message = "configuration rejected"

    change_id: str
    author: str
    kind: str
    detail: str


class ConfigUnverified(Event, frozen=True):
    """The version in force is known through peers only."""

    number = 2004
    level = logging.WARNING
    message = "configuration unverified"

    version: int
    origin: str


class ConfigUnreadable(Event, frozen=True):
    """An accepted version cannot be parsed by this release."""

    number = 2005
    level = logging.ERROR
    message = "configuration unreadable"

    version: int
    detail: str


class LeaseGained(Event, frozen=True):
    """This node may give orders."""

    number = 3001
    message = "lease gained"

    holder: str
    fencing: int


class LeaseLost(Event, frozen=True):
    """This node gives no more orders."""

    number = 3002
    level = logging.WARNING
    message = "lease lost"

    holder: str
    fencing: int
    reason: str


class OrderSent(Event, frozen=True):
    """An endpoint took an order."""

    number = 3003
    message = "order sent"

    endpoint: str
    order: str
    fencing: int


class OrderRefused(Event, frozen=True):
    """An endpoint refused an order, or its outcome is unknown."""

    number = 3004
    level = logging.WARNING
    message = "order refused"

    endpoint: str
    order: str
    fencing: int
    kind: str
    detail: str


class OrderAnswered(Event, frozen=True):
    """An endpoint answered an order, or its outcome is unknown."""

    number = 3005
    message = "order answered"

    endpoint: str
    order: str
    outcome: str
    seconds: float


class EndpointSeen(Event, frozen=True):
    """An endpoint is new, or came back as a new instance."""

    number = 4001
    message = "endpoint seen"

    endpoint: str
    zone: str
    kind: str


class EndpointLeaving(Event, frozen=True):
    """An endpoint gets no new work."""

    number = 4002
    message = "endpoint leaving"

    endpoint: str
    source: str


class EndpointGone(Event, frozen=True):
    """An endpoint left the list, or does not answer any more."""

    number = 4003
    level = logging.WARNING
    message = "endpoint gone"

    endpoint: str
    reason: str


class EndpointEjected(Event, frozen=True):
    """An endpoint gets no work for a time, for errors or slowness."""

    number = 4004
    level = logging.WARNING
    message = "endpoint ejected"

    endpoint: str
    reason: str
    seconds: float


class EndpointRestored(Event, frozen=True):
    """An ejected endpoint answered trials and gets work again."""

    number = 4005
    message = "endpoint restored"

    endpoint: str
    ejected_s: float


class EndpointUnreadable(Event, frozen=True):
    """An endpoint's entry can't be read; it gets no work until it can."""

    number = 4006
    level = logging.ERROR
    message = "endpoint unreadable"

    endpoint: str
    detail: str


class EndpointRowLate(Event, frozen=True):
    """An entry of an earlier start of an endpoint came late; it is dropped."""

    number = 4007
    message = "endpoint row late"

    endpoint: str
    born_ms: int
    newest_born_ms: int


class EndpointRestarted(Event, frozen=True):
    """An endpoint started again under its name; it knows nothing of before."""

    number = 4008
    level = logging.WARNING
    message = "endpoint restarted"

    endpoint: str
    told_by: str


class EndpointStartFalse(Event, frozen=True):
    """A start of an endpoint stood and was false; another one is written."""

    number = 4009
    level = logging.WARNING
    message = "endpoint start false"

    endpoint: str
    born_ms: int
    false_born_ms: int


class EndpointDoubted(Event, frozen=True):
    """A peer found an endpoint dead, and this node asked it."""

    number = 4010
    message = "endpoint doubted"

    endpoint: str
    peer: str
    is_lost: bool
    seconds: float


class RegistryRead(Event, frozen=True):
    """Many endpoints became known at once."""

    number = 4011
    message = "registry read"

    endpoints: int
    new: int


class RequestReceived(Event, frozen=True):
    """A request passed authentication."""

    number = 5001
    level = logging.DEBUG
    message = "request received"

    request_id: str
    account: str
    service: str


class RequestAnswered(Event, frozen=True):
    """A request got its whole answer."""

    number = 5002
    message = "request answered"

    request_id: str
    account: str
    service: str
    tokens: int
    seconds: float
    recoveries: int


class RequestRefused(Event, frozen=True):
    """A request got a final answer without being run whole."""

    number = 5003
    message = "request refused"

    request_id: str
    account: str
    service: str
    kind: str
    execution: str
    seconds: float


class RequestRecovered(Event, frozen=True):
    """A running request went on with other endpoints."""

    number = 5004
    message = "request recovered"

    request_id: str
    endpoint: str
    replacement: str
    seconds: float
    replayed_positions: int


class RequestAbandoned(Event, frozen=True):
    """The caller went away, or the node gave up after tokens were sent."""

    number = 5005
    message = "request abandoned"

    request_id: str
    account: str
    service: str
    kind: str
    tokens: int


class EchoMismatch(Event, frozen=True):
    """An answer named another step than the one asked; it was dropped."""

    number = 5006
    level = logging.ERROR
    message = "echo mismatch"

    request_id: str
    endpoint: str
    expected: str
    received: str


class RequestFault(Event, frozen=True):
    """A fault in this program ended a request."""

    number = 5007
    level = logging.ERROR
    message = "request fault"

    request_id: str
    error: str


class RequestForwarded(Event, frozen=True):
    """A request was sent to an endpoint, along a path if there is one."""

    number = 5008
    message = "request forwarded"

    request_id: str
    service: str
    path: str
    instances: str
    attempt: int
    load: float
    config_version: int
    registry_age_s: float


class AttemptFailed(Event, frozen=True):
    """An endpoint did not answer a request whole."""

    number = 5009
    message = "attempt failed"

    request_id: str
    endpoint: str
    reason: str
    not_run: bool
    events_sent: int
    next_step: str


class RequestMoved(Event, frozen=True):
    """A running request was moved to other engines, or that failed."""

    number = 5010
    message = "request moved"

    request_id: str
    away_from: str
    path: str
    outcome: str
    refused_by: str
    silent_s: float


class RequestWhileDraining(Event, frozen=True):
    """A caller came to a node that takes leave.

    `connection_s` over `draining_s` tells a connection that was open before;
    else the caller had an address that the node's peers give out no longer,
    or, see AS7006, that one of them gave out before it had heard.
    """

    number = 5011
    message = "request while draining"

    request_id: str
    draining_s: float
    connection_s: float
    left_s: float


class AnswerCut(Event, frozen=True):
    """The end of a stop ended a request that had no whole answer."""

    number = 5012
    level = logging.WARNING
    message = "answer cut"

    request_id: str
    service: str
    age_s: float
    draining_s: float
    tokens: int


class StoreOutageBegan(Event, frozen=True):
    """The platform's store does not answer."""

    number = 6001
    level = logging.WARNING
    message = "store outage began"

    operation: str
    kind: str
    detail: str


class StoreOutageEnded(Event, frozen=True):
    """The platform's store answers again."""

    number = 6002
    message = "store outage ended"

    seconds: float


class PeerJoined(Event, frozen=True):
    """A node was heard of for the first time."""

    number = 7001
    message = "peer joined"

    peer: str
    zone: str
    address: str


class PeerSuspect(Event, frozen=True):
    """A node has not been heard of for a time."""

    number = 7002
    level = logging.WARNING
    message = "peer suspect"

    peer: str
    silent_s: float


class PeerGone(Event, frozen=True):
    """A node left, or is taken for gone."""

    number = 7003
    level = logging.WARNING
    message = "peer gone"

    peer: str
    reason: str


class PeerRowsUnreadable(Event, frozen=True):
    """A peer's answer about rows of the store can't be read; it is dropped."""

    number = 7004
    level = logging.WARNING
    message = "peer rows unreadable"

    table: str
    detail: str


class NodeRowRemoved(Event, frozen=True):
    """The row of a node that is gone was removed from the store."""

    number = 7005
    message = "node row removed"

    peer: str


class PeerLeaving(Event, frozen=True):
    """A node told that it takes leave; callers are not sent there any more."""

    number = 7006
    message = "peer leaving"

    peer: str


class QuarantineSuspect(Event, frozen=True):
    """A request was in flight where an endpoint crashed."""

    number = 8001
    level = logging.WARNING
    message = "quarantine suspect"

    request_id: str
    fingerprint: str
    endpoint: str


class QuarantineConvicted(Event, frozen=True):
    """A request crashed a second endpoint and is refused for a time."""

    number = 8002
    level = logging.ERROR
    message = "quarantine convicted"

    request_id: str
    fingerprint: str
    expires_s: float


class QuarantineExpired(Event, frozen=True):
    """A fingerprint is no longer refused."""

    number = 8003
    message = "quarantine expired"

    fingerprint: str


class ClaimTaken(Event, frozen=True):
    """A non-idempotent request may be dispatched by this node, once."""

    number = 9001
    level = logging.DEBUG
    message = "claim taken"

    request_id: str
    account: str
    service: str


class ClaimRepeated(Event, frozen=True):
    """A non-idempotent request came again and was not run again."""

    number = 9002
    message = "claim repeated"

    request_id: str
    account: str
    service: str
    claimant: str
    state: str


class ClaimUnknown(Event, frozen=True):
    """Whether a non-idempotent request ran cannot be known."""

    number = 9003
    level = logging.WARNING
    message = "claim unknown"

    request_id: str
    account: str
    service: str
    claimant: str
    reason: str


def catalogue() -> list[type[Event]]:
    """Returns all events by number."""
    events = [
        value
        for value in globals().values()
        if isinstance(value, type)
        and issubclass(value, Event)
        and value is not Event
    ]
    return sorted(events, key=lambda event: event.number)
