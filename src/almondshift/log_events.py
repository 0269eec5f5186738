"""Numbered log events; docs/events.md says what to do about each.

The number's first digit names the subject: 1 node, 2 configuration, 3 lease
and orders, 4 endpoints, 5 requests, 6 store, 7 peers, 8 quarantine,
9 claims. A number is never reused for another event.
"""

from __future__ import annotations

import logging
from typing import ClassVar

import msgspec


class Event(msgspec.Struct, frozen=True):
    """The base of events; fields become members of the JSON line.

    Each process defines all of them at import, and a restarting node serves
    no callers until then. Data classes would take ten times as long to define.
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
    """The node has a configuration and serves callers."""

    number = 1002
    message = "node ready"

    config_version: int
    verified: bool


class NodeDraining(Event, frozen=True):
    """The node is shutting down gracefully; requests in flight continue."""

    number = 1003
    message = "node draining"

    hold_s: float
    grace_s: float
    in_flight: int


class NodeStopped(Event, frozen=True):
    """The node has stopped; ``cut`` requests got no complete response."""

    number = 1004
    message = "node stopped"

    seconds: float
    cut: int


class NodeReloaded(Event, frozen=True):
    """The settings were reloaded; ``changed`` names what differs."""

    number = 1005
    message = "node reloaded"

    changed: str


class NodeResumed(Event, frozen=True):
    """The process was paused for a while; its state may be stale."""

    number = 1006
    level = logging.WARNING
    message = "node resumed"

    seconds: float


class LogLinesDropped(Event, frozen=True):
    """Lines were dropped because of the rate limit or a slow log reader."""

    number = 1007
    level = logging.WARNING
    message = "log lines dropped"

    lines: int


class ConfigAccepted(Event, frozen=True):
    """A new version submitted through this node was stored on the platform."""

    number = 2001
    message = "configuration accepted"

    version: int
    change_id: str
    author: str


class ConfigApplied(Event, frozen=True):
    """This node now uses a newer version."""

    number = 2002
    message = "configuration applied"

    version: int
    previous: int
    verified: bool


class ConfigRejected(Event, frozen=True):
    """A proposed text is invalid, or another change was accepted first."""

    number = 2003
    level = logging.WARNING
    message = "configuration rejected"

    change_id: str
    author: str
    kind: str
    detail: str


class ConfigUnverified(Event, frozen=True):
    """The version in force is known only from peers, not from the platform."""

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
    """This node holds the control lease and may send orders."""

    number = 3001
    message = "lease gained"

    holder: str
    fencing: int


class LeaseLost(Event, frozen=True):
    """This node lost the control lease and sends no more orders."""

    number = 3002
    level = logging.WARNING
    message = "lease lost"

    holder: str
    fencing: int
    reason: str


class OrderSent(Event, frozen=True):
    """An order was sent to an endpoint.

    ``sessions`` is what the endpoint last reported, None if it reports none.
    """

    number = 3003
    message = "order sent"

    endpoint: str
    order: str
    fencing: int
    sessions: int | None = None


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
    """An endpoint responded to an order, or its outcome is unknown."""

    number = 3005
    message = "order answered"

    endpoint: str
    order: str
    outcome: str
    seconds: float


class EndpointSeen(Event, frozen=True):
    """An endpoint is new, or restarted as a new instance."""

    number = 4001
    message = "endpoint seen"

    endpoint: str
    zone: str
    kind: str


class EndpointLeaving(Event, frozen=True):
    """An endpoint is shutting down and gets no new work."""

    number = 4002
    message = "endpoint leaving"

    endpoint: str
    source: str


class EndpointGone(Event, frozen=True):
    """An endpoint was removed from the list, or stopped responding."""

    number = 4003
    level = logging.WARNING
    message = "endpoint gone"

    endpoint: str
    reason: str


class EndpointEjected(Event, frozen=True):
    """An endpoint gets no work for a while because of errors or slowness.

    ``found_by`` names the evidence: a request, probes after a short silence
    (``probe``) or queries after a long one (``silence``), a peer's report that
    this node confirmed, a query of its memory, its health check or the
    registry.
    """

    number = 4004
    level = logging.WARNING
    message = "endpoint ejected"

    endpoint: str
    reason: str
    seconds: float
    found_by: str


class EndpointRestored(Event, frozen=True):
    """An ejected endpoint responded to probes and gets work again.

    ``seemed_ended`` tells whether its silence had outlasted a pause.
    """

    number = 4005
    message = "endpoint restored"

    endpoint: str
    ejected_s: float
    suspicion: str
    seemed_ended: bool


class EndpointUnreadable(Event, frozen=True):
    """An endpoint's entry can't be decoded; it gets no work until it can."""

    number = 4006
    level = logging.ERROR
    message = "endpoint unreadable"

    endpoint: str
    detail: str


class StaleEndpointEntry(Event, frozen=True):
    """A late entry from an earlier start of an endpoint is ignored."""

    number = 4007
    message = "stale endpoint entry"

    endpoint: str
    born_ms: int
    newest_born_ms: int


class EndpointRestarted(Event, frozen=True):
    """An endpoint restarted under the same name and lost its state."""

    number = 4008
    level = logging.WARNING
    message = "endpoint restarted"

    endpoint: str
    told_by: str


class EndpointStartCorrected(Event, frozen=True):
    """The accepted start time of an endpoint was wrong and is replaced."""

    number = 4009
    level = logging.WARNING
    message = "endpoint start corrected"

    endpoint: str
    born_ms: int
    false_born_ms: int


class EndpointRechecked(Event, frozen=True):
    """A peer reported an endpoint as lost, and this node checked it itself."""

    number = 4010
    message = "endpoint rechecked"

    endpoint: str
    peer: str
    is_lost: bool
    seconds: float


class RegistryRead(Event, frozen=True):
    """Many endpoints were discovered at once."""

    number = 4011
    message = "registry read"

    endpoints: int
    new: int


class EndpointLimitChanged(Event, frozen=True):
    """An endpoint named another limit of requests per second, or none."""

    number = 4012
    message = "endpoint limit changed"

    endpoint: str
    per_s: float | None
    previous_per_s: float | None
    told_by: str


class EndpointLimitInvalid(Event, frozen=True):
    """An endpoint named a limit that can't be used; it is ignored."""

    number = 4013
    level = logging.WARNING
    message = "endpoint limit invalid"

    address: str
    value: str


class EndpointsUnreachable(Event, frozen=True):
    """This node reaches no endpoint of a service, though peers may.

    ``reason`` tells why the links were checked. ``silent_s`` is the time since
    any endpoint of the service sent data; None if none ever did.
    """

    number = 4014
    level = logging.WARNING
    message = "endpoints unreachable"

    service: str
    endpoints: int
    reason: str
    silent_s: float | None


class EndpointsReachable(Event, frozen=True):
    """An endpoint of a service responded again to this node.

    ``was_cut_off`` tells that connections had failed. Otherwise all endpoints
    were silent.
    """

    number = 4015
    message = "endpoints reachable"

    service: str
    seconds: float
    was_cut_off: bool


class ConnectionsChecked(Event, frozen=True):
    """This node opened connections to endpoints, as none of a service responds.

    If none is accepted, the node is cut off: its requests' attempts that end
    until an endpoint responds don't count. An endpoint that only pauses accepts
    connections.
    """

    number = 4017
    message = "connections checked"

    service: str
    accepted: int
    refused: int
    unanswered: int


class EndpointsSilent(Event, frozen=True):
    """No endpoint of a service responded to a round of queries by this node.

    ``took_s`` is the time from the queries to the end of the round; ``late_s``
    is the part of it beyond the time-out, in which this node may not have been
    scheduled. ``rounds`` is the number of such rounds in a row.
    """

    number = 4018
    message = "endpoints silent"

    service: str
    queried: int
    took_s: float
    late_s: float
    rounds: int


class EndpointBackoff(Event, frozen=True):
    """An endpoint refused a request, and asked this node for none for a while.

    Logged for the first of several such refusals.
    """

    number = 4016
    message = "endpoint backoff"

    endpoint: str
    backoff_s: float


class RequestReceived(Event, frozen=True):
    """A request passed authentication."""

    number = 5001
    level = logging.DEBUG
    message = "request received"

    request_id: str
    account: str
    service: str


class RequestAnswered(Event, frozen=True):
    """A request got its complete response."""

    number = 5002
    message = "request answered"

    request_id: str
    account: str
    service: str
    tokens: int
    seconds: float
    recoveries: int
    sends: str = ""


class RequestRefused(Event, frozen=True):
    """A request ended with an error response before it ran to completion."""

    number = 5003
    message = "request refused"

    request_id: str
    account: str
    service: str
    kind: str
    execution: str
    seconds: float
    reason: str = ""
    sends: str = ""


class RequestRecovered(Event, frozen=True):
    """A running request continued on other endpoints."""

    number = 5004
    message = "request recovered"

    request_id: str
    endpoint: str
    replacement: str
    seconds: float
    replayed_positions: int


class RequestAbandoned(Event, frozen=True):
    """The caller disconnected, or the node gave up after sending tokens."""

    number = 5005
    message = "request abandoned"

    request_id: str
    account: str
    service: str
    kind: str
    tokens: int
    sends: str = ""


class EchoMismatch(Event, frozen=True):
    """A result identified a step other than the one sent; it was dropped."""

    number = 5006
    level = logging.ERROR
    message = "echo mismatch"

    request_id: str
    endpoint: str
    expected: str
    received: str


class RequestInternalError(Event, frozen=True):
    """An unexpected exception in this program ended a request."""

    number = 5007
    level = logging.ERROR
    message = "internal error in request"

    request_id: str
    error: str


class RequestForwarded(Event, frozen=True):
    """A request was sent to an endpoint or to the first engine of a path.

    ``remaining_s`` is the time for which the endpoint may work on it.
    """

    number = 5008
    message = "request forwarded"

    request_id: str
    service: str
    path: str
    instances: str
    attempt: int
    remaining_s: float
    load: float
    config_version: int
    registry_age_s: float


class AttemptFailed(Event, frozen=True):
    """An endpoint returned no complete response to a request."""

    number = 5009
    message = "attempt failed"

    request_id: str
    endpoint: str
    reason: str
    not_run: bool
    events_sent: int
    next_step: str
    prompt_parts: str
    backoff_s: float
    leaving: bool
    endpoint_state: str
    possible_runs: int
    max_attempts: int
    uncounted: str
    evidence: str
    connection: str


class RequestMoved(Event, frozen=True):
    """A running request was moved to other engines, or the move failed."""

    number = 5010
    message = "request moved"

    request_id: str
    away_from: str
    path: str
    outcome: str
    refused_by: str
    silent_s: float


class RequestWhileDraining(Event, frozen=True):
    """A request arrived while the node was draining.

    If ``connection_s`` is over ``draining_s``, the connection was open before
    the drain began. Otherwise the caller used an address that peers no longer
    give out or, see AS7006, that a peer gave out before it learned of the
    drain.
    """

    number = 5011
    message = "request while draining"

    request_id: str
    draining_s: float
    connection_s: float
    left_s: float


class AnswerAborted(Event, frozen=True):
    """The shutdown aborted a request that had no complete response yet."""

    number = 5012
    level = logging.WARNING
    message = "answer aborted"

    request_id: str
    service: str
    age_s: float
    draining_s: float
    tokens: int


class RetryDenied(Event, frozen=True):
    """A running request failed at an endpoint and is not retried.

    ``credit`` is what is left of the node's retry budget, in tokens;
    ``waiting`` counts the requests that wait for the same engines.
    """

    number = 5013
    message = "retry denied"

    request_id: str
    reason: str
    retries: int
    credit: float
    waiting: int


class PermitDenied(Event, frozen=True):
    """A rate-limited endpoint gets no request from this node for a while."""

    number = 5014
    message = "permit denied"

    endpoint: str
    per_s: float | None
    priority: int
    decided_by: str
    wait_s: float


class RequestPassedToPeer(Event, frozen=True):
    """A peer serves a request, since this node reaches too few endpoints.

    ``served_s`` is the time since the peer last served a request of this node
    to the same service; None if that is not known. ``isolated_peers`` is the
    number of peers that announced that they reach no endpoint of it.
    """

    number = 5015
    message = "request passed to peer"

    request_id: str
    service: str
    peer: str
    isolated: bool
    remaining_s: float
    events_sent: int
    served_s: float | None
    isolated_peers: int


class StageReplaced(Event, frozen=True):
    """A stage of a running request failed and others continue it.

    ``seconds`` is the time from the failure to the decision.
    """

    number = 5016
    message = "stage replaced"

    request_id: str
    endpoint: str
    version: int
    layers: str
    reason: str
    replacement: str
    seconds: float


class ReplacementMissing(Event, frozen=True):
    """A failed stage waits because no endpoint can replace it now.

    ``excluded`` names endpoints that hold its layers, and why each can't be
    used; the number of them is bounded.
    """

    number = 5017
    message = "replacement missing"

    request_id: str
    endpoint: str
    version: int
    layers: str
    reason: str
    excluded: str


class PathsFull(Event, frozen=True):
    """No path has room for a request by this node's estimate."""

    number = 5018
    message = "paths full"

    request_id: str
    service: str
    cause: str
    endpoint: str
    load: float
    from_report: bool
    nodes: int
    own_load: float


class PeersUnavailable(Event, frozen=True):
    """This node reaches too few endpoints, and no peer can serve a request."""

    number = 5019
    message = "peers unavailable"

    request_id: str
    service: str
    tried: int
    isolated: int
    left_out: int
    others: int


class RequestFromPeer(Event, frozen=True):
    """A peer passed a request on to this node."""

    number = 5020
    message = "request from peer"

    request_id: str
    service: str
    is_known: bool
    may_repeat: bool
    possible_runs: int
    max_attempts: int
    config_version: int


class RepeatPrevented(Event, frozen=True):
    """A request that may not be repeated was not sent a second time."""

    number = 5021
    level = logging.ERROR
    message = "repeat prevented"

    request_id: str
    service: str
    sends: str


class RequestFailedHere(Event, frozen=True):
    """A request was ended since this node raised an unforeseen exception."""

    number = 5024
    level = logging.ERROR
    message = "request failed here"

    request_id: str
    error: str
    raised_at: str


class BufferGivenUp(Event, frozen=True):
    """A message was ended since this node buffered too many bytes."""

    number = 5025
    level = logging.WARNING
    message = "buffer given up"

    kind: str
    size: int
    held_bytes: int
    limit_bytes: int


class RepeatUncovered(Event, frozen=True):
    """A request was sent again although no retry budget was spent for it."""

    number = 5022
    level = logging.ERROR
    message = "repeat uncovered"

    request_id: str
    service: str
    target: str
    arrivals: int
    spent: int
    sends: str


class RetryBudgetSpent(Event, frozen=True):
    """The node's share of a service's retry budget is spent.

    Written once in each window; ``denials`` counts since the last line, and
    ``limit`` is the node's share of the repeats in a window.
    """

    number = 5023
    message = "retry budget spent"

    service: str
    denials: int
    requests: int
    repeats: int
    limit: float
    nodes: int
    age_s: float


class RunUnproven(Event, frozen=True):
    """A request was sent to one more engine than its route allows for sure.

    ``silent`` names engines that may have run it, do not respond, and are not
    known to have ended.
    """

    number = 5026
    level = logging.WARNING
    message = "run unproven"

    request_id: str
    service: str
    target: str
    max_attempts: int
    silent: str


class RunUncounted(Event, frozen=True):
    """A request is sent to one more engine, as earlier ones don't count.

    ``uncounted`` names these, and whether each is cut off, silent, or known to
    have ended: its port is closed, or it was replaced.
    """

    number = 5027
    message = "run uncounted"

    request_id: str
    service: str
    target: str
    max_attempts: int
    uncounted: str


class StoreOutageBegan(Event, frozen=True):
    """The platform's store does not respond."""

    number = 6001
    level = logging.WARNING
    message = "store outage began"

    operation: str
    kind: str
    detail: str


class StoreOutageEnded(Event, frozen=True):
    """The platform's store responds again."""

    number = 6002
    message = "store outage ended"

    seconds: float


class StoreRestored(Event, frozen=True):
    """The platform's store returned from an older copy, in a new era."""

    number = 6003
    level = logging.WARNING
    message = "store restored"

    previous_era: int
    era: int


class StoreReadDropped(Event, frozen=True):
    """A full read is older than this node's copy of the table; it is ignored.

    ``dropped`` counts such reads since the last line about the table.
    """

    number = 6004
    level = logging.WARNING
    message = "store read dropped"

    table: str
    held_era: int
    held: int
    found_era: int
    found: int
    dropped: int


class StoreHistoryGone(Event, frozen=True):
    """The store can't list the changes since this node's copy of a table.

    ``refused`` counts such responses since the last line about the table.
    """

    number = 6005
    message = "store history gone"

    table: str
    held: int
    refused: int


class StoreFollowed(Event, frozen=True):
    """This node's copy of a table follows the store's new era.

    ``missing`` rows of the copy are not in the store.
    """

    number = 6006
    message = "store followed"

    table: str
    held_era: int
    held: int
    era: int
    revision: int
    missing: int


class StoreRowUnreadable(Event, frozen=True):
    """A row of a table can't be decoded, and is left out."""

    number = 6007
    level = logging.WARNING
    message = "store row unreadable"

    table: str
    key: str
    detail: str


class PeerJoined(Event, frozen=True):
    """A node became known for the first time."""

    number = 7001
    message = "peer joined"

    peer: str
    zone: str
    address: str


class PeerSuspect(Event, frozen=True):
    """Nothing has been heard from a node for a while."""

    number = 7002
    level = logging.WARNING
    message = "peer suspect"

    peer: str
    silent_s: float


class PeerGone(Event, frozen=True):
    """A node left, or is presumed dead."""

    number = 7003
    level = logging.WARNING
    message = "peer gone"

    peer: str
    reason: str


class PeerRowsUnreadable(Event, frozen=True):
    """A peer's reply with store rows can't be decoded; it is dropped."""

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


class NodeRowRestored(Event, frozen=True):
    """This node wrote its row again, after the store lost newer writes."""

    number = 7007
    message = "node row restored"

    era: int
    seconds: float


class SecretReplaced(Event, frozen=True):
    """This node now uses the peers' secret of an earlier group of nodes."""

    number = 7008
    level = logging.WARNING
    message = "secret replaced"

    era: int


class PeerLeaving(Event, frozen=True):
    """A node announced its shutdown; callers are no longer sent there."""

    number = 7006
    message = "peer leaving"

    peer: str


class QuarantineSuspect(Event, frozen=True):
    """A request was in flight on an endpoint that crashed."""

    number = 8001
    level = logging.WARNING
    message = "quarantine suspect"

    request_id: str
    fingerprint: str
    endpoint: str


class RequestQuarantined(Event, frozen=True):
    """A request crashed too many endpoints and is refused for a while."""

    number = 8002
    level = logging.ERROR
    message = "request quarantined"

    request_id: str
    fingerprint: str
    expires_s: float


class QuarantineExpired(Event, frozen=True):
    """A fingerprint is no longer refused."""

    number = 8003
    message = "quarantine expired"

    fingerprint: str


class EndpointCrashed(Event, frozen=True):
    """An endpoint crashed while it ran requests.

    ``without_data`` counts those to which it had sent nothing yet, and
    ``prompt_parts`` names the parts that most of these share.
    """

    number = 8004
    level = logging.WARNING
    message = "endpoint crashed"

    endpoint: str
    evidence: str
    requests: int
    without_data: int
    prompt_parts: str
    answered_before: int
    quarantined: int
    age_s: float


class CrashReported(Event, frozen=True):
    """A peer reported requests that an endpoint ran when it crashed."""

    number = 8005
    message = "crash reported"

    endpoint: str
    peer: str
    requests: int
    answered_before: int
    quarantined: int


class QuarantineRefused(Event, frozen=True):
    """A request was refused since endpoints crashed while they ran it."""

    number = 8006
    message = "quarantined request refused"

    request_id: str
    account: str
    service: str
    fingerprint: str
    part: str


class PromptPartRefused(Event, frozen=True):
    """Prompts with a part crashed endpoints, and are refused for a while.

    ``peer`` is the node that told this one; "" if it counted the crashes.
    """

    number = 8007
    level = logging.ERROR
    message = "prompt part refused"

    part: str
    crashes: int
    prompts: int
    peer: str
    expires_s: float


class CrashWithdrawn(Event, frozen=True):
    """An endpoint that seemed to have crashed is back and had not ended.

    ``requests`` counts those whose crash there no longer counts.
    """

    number = 8008
    message = "crash withdrawn"

    endpoint: str
    requests: int


class CrashesLearned(Event, frozen=True):
    """This node asked peers which requests crashed endpoints.

    ``replies`` is 0 if it gave up after ``tries`` without a reply.
    """

    number = 8009
    message = "crashes learned"

    replies: int
    tries: int
    requests: int
    prompt_parts: int
    age_s: float


class StruckRequestReported(Event, frozen=True):
    """A peer reported a request that several crashed endpoints had run.

    ``crashes`` counts all that this node knows of.
    """

    number = 8010
    message = "struck request reported"

    fingerprint: str
    peer: str
    crashes: int
    quarantined: int


class ClaimTaken(Event, frozen=True):
    """This node may dispatch a non-idempotent request, once."""

    number = 9001
    level = logging.DEBUG
    message = "claim taken"

    request_id: str
    account: str
    service: str


class ClaimRepeated(Event, frozen=True):
    """A repeated non-idempotent request was not run again."""

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


class ClaimsWrittenAgain(Event, frozen=True):
    """Claims were written again in a new era of the store."""

    number = 9004
    message = "claims written again"

    era: int
    written: int
    left: int


class ClaimLost(Event, frozen=True):
    """A claim was lost with the store, and another attempt has its key."""

    number = 9005
    level = logging.ERROR
    message = "claim lost"

    account: str
    service: str
    state: str


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
