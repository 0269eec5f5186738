"""HTTP client for the platform's engines and plain services."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

import msgspec

from almondshift.adapters import http_connections
from almondshift.model import endpoint_notices
from almondshift.model import json_errors
from almondshift.model import lifetimes
from almondshift.model import not_run
from almondshift.model import rate_limits
from almondshift.model import relayed
from almondshift.platform import field_text
from almondshift.platform import names
from almondshift.ports import path_engines

MAX_SMALL_RESPONSE_BYTES = 1_000_000
"""Limits reports and the responses to health checks and orders. A report takes
about 60 bytes for each stalled request."""

HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Header fields that apply to one connection only (RFC 9110, section 7.6.1)."""

STRIPPED_REQUEST_FIELDS = frozenset(
    {
        "content-length",
        "authorization",
        "expect",
        names.DEADLINE_MS,
        names.ACCOUNT,
        names.EXPECTED_INSTANCE,
        names.EXPECTED_VERSION,
        names.ENGINE_PRIORITY,
        names.PATH,
        names.LAST_EVENT_ID,
        names.PEER_MARK,
        names.RUN_LIMIT,
    }
)
"""Request fields that this node sets itself or never forwards."""

ENDING_BY_OUTCOME = {
    http_connections.Outcome.WHOLE: path_engines.Ending.WHOLE,
    http_connections.Outcome.NOT_SENT: path_engines.Ending.NOT_SENT,
    http_connections.Outcome.BROKEN: path_engines.Ending.BROKEN,
    http_connections.Outcome.SPOILT: path_engines.Ending.SPOILT,
}

ORDER_OUTCOME_BY_STATUS = {
    200: path_engines.OrderOutcome.DONE,
    202: path_engines.OrderOutcome.BEGUN,
    404: path_engines.OrderOutcome.NO_SUCH_REQUEST,
    409: path_engines.OrderOutcome.CONFLICT,
}

DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
"""Accepted form of a rate limit or a time, without sign or exponent."""

MISDIRECTED = 421
"""Status for requests to another endpoint than the one that responds."""

BACKOFF_STATUSES = frozenset({429, 503})
"""Statuses of refusals that may name the time until the next request."""

MAX_LOGGED_LIMIT = 40
"""Maximum length of an invalid rate limit in the log."""

IS_HEALTHY_BY_STATUS = {200: True, 503: False}
"""Whether an endpoint is healthy; other statuses are inconclusive."""


class WireStalledRequest(msgspec.Struct):
    """A stalled request; ``address`` is that of the unresponsive engine."""

    id: str
    address: str


class WireReport(msgspec.Struct, rename="camel"):
    """An engine's status report.

    ``kv_used`` and ``kv_total`` are in tokens times layers.
    """

    pace: float = 1.0
    kv_used: float = 0.0
    kv_total: float = 0.0
    waiting: int = 0
    running: int = 0
    busy: bool = False
    seq: int = 0
    stalled: list[WireStalledRequest] = []
    born: int = 0


REPORT_DECODER = msgspec.json.Decoder(WireReport)


class ListenerAdapter(http_connections.CallListener):
    """Translates a response for an ``AnswerListener``.

    Attributes:
        sent_at: Loop time at which the request was sent.
    """

    def __init__(
        self,
        listener: path_engines.AnswerListener,
        observer: path_engines.CallObserver,
        forwarding: relayed.Forwarding,
    ) -> None:
        self.listener = listener
        self.observer = observer
        self.forwarding = forwarding
        self.sent_at = asyncio.get_running_loop().time()

    def on_head(self, head: http_connections.ResponseHead) -> None:
        """Forwards the head without its hop-by-hop fields."""
        self.observer.on_response(self.forwarding.address)
        self.observer.on_limit(
            decode_limit(
                head,
                rate_limits.CallPurpose.REQUEST,
                self.forwarding.address,
                self.forwarding.instance,
                self.sent_at,
            )
        )
        report_notice(
            self.observer,
            head,
            self.forwarding.address,
            self.forwarding.instance,
        )
        self.listener.on_head(decode_head(head))

    def on_data(self, data: bytes) -> None:
        """Forwards a chunk of the body."""
        self.listener.on_data(data)

    def on_end(self, outcome: http_connections.Outcome, reason: str) -> None:
        """Forwards the outcome."""
        self.listener.on_end(ENDING_BY_OUTCOME[outcome], reason)


class ForwardedCall(path_engines.ForwardedRequest):
    """A forwarded request over an HTTP call."""

    def __init__(self, call: http_connections.Call) -> None:
        self.call = call

    @property
    def earlier_calls(self) -> int | None:
        """Number of calls that its connection carried before."""
        return self.call.earlier_calls

    def cancel(self) -> None:
        """Closes the connection, which makes the endpoint stop its work."""
        self.call.cancel()


class PlatformEngines(path_engines.PathEngines):
    """Calls over pooled keep-alive connections."""

    def __init__(self, pool: http_connections.ConnectionPool) -> None:
        self.pool = pool

    def forward(
        self,
        request: relayed.RelayedRequest,
        forwarding: relayed.Forwarding,
        listener: path_engines.AnswerListener,
    ) -> path_engines.ForwardedRequest:
        """Forwards a request to an endpoint."""
        adapter = ListenerAdapter(listener, self.observer, forwarding)
        try:
            payload = http_connections.request_bytes(
                request.method,
                request.target,
                forward_headers(request, forwarding),
                request.body,
            )
        except ValueError as error:
            return ForwardedCall(http_connections.unsent_call(adapter, error))
        address = forwarding.address
        self.observer.on_call(rate_limits.CallPurpose.REQUEST, address)
        call = self.pool.call(address, payload, adapter, request.request_id)
        return ForwardedCall(call)

    async def report(
        self, address: str, timeout_s: float
    ) -> relayed.EngineReport | None:
        """Requests an engine's status report."""
        fetched = await self._get(
            rate_limits.CallPurpose.REPORT,
            address,
            names.ENGINE_REPORT,
            timeout_s,
        )
        if fetched is None or fetched.head is None:
            return None
        if fetched.head.status != 200:
            return None
        return decode_report(fetched.body)

    async def is_healthy(
        self, address: str, health_path: str, timeout_s: float
    ) -> bool | None:
        """Runs a health check; a rejection by a full engine is inconclusive."""
        fetched = await self._get(
            rate_limits.CallPurpose.HEALTH_CHECK,
            address,
            health_path,
            timeout_s,
        )
        if fetched is None or fetched.head is None:
            return None
        if fetched.head.get(names.NOT_RUN) is not None:
            return None
        return IS_HEALTHY_BY_STATUS.get(fetched.head.status)

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Opens a connection to an endpoint and closes it."""
        return await self.pool.is_listening(address, timeout_s)

    async def place(
        self,
        address: str,
        instance: str,
        start: int,
        end: int,
        expected_orders: int | None,
        timeout_s: float,
    ) -> path_engines.OrderAnswer:
        """Orders an engine to hold layers."""
        order: dict[str, Any] = {
            "op": "place",
            "from": start,
            "to": end,
            "strategy": "queue",
        }
        if expected_orders is not None:
            order["expectedRev"] = expected_orders
        return await self._order(address, instance, order, timeout_s)

    async def repath(
        self,
        request_id: str,
        path: relayed.Path,
        timeout_s: float,
    ) -> path_engines.OrderAnswer:
        """Moves a running request to another path."""
        order = {"op": "repath", "id": request_id, "path": encode_path(path)}
        first = path[0]
        return await self._order(
            first.address, first.instance, order, timeout_s
        )

    def forget(self, address: str) -> None:
        """Closes the pooled connections to an endpoint."""
        self.pool.drop(address)

    async def _get(
        self,
        purpose: rate_limits.CallPurpose,
        address: str,
        path: str,
        timeout_s: float,
    ) -> http_connections.FetchResult | None:
        """Returns the complete response to a GET; None if there is none."""
        try:
            payload = http_connections.request_bytes(
                "GET", field_text.encode(path), [("Host", address)], b""
            )
        except ValueError:
            return None
        fetched = await self._fetch(purpose, address, "", payload, timeout_s)
        if fetched.outcome is not http_connections.Outcome.WHOLE:
            return None
        return fetched

    async def _fetch(
        self,
        purpose: rate_limits.CallPurpose,
        address: str,
        instance: str,
        payload: bytes,
        timeout_s: float,
    ) -> http_connections.FetchResult:
        """Makes a call; notifies the observer of it and of a named limit."""
        sent_at = asyncio.get_running_loop().time()
        self.observer.on_call(purpose, address)
        fetched = await http_connections.fetch(
            self.pool, address, payload, timeout_s, MAX_SMALL_RESPONSE_BYTES
        )
        if fetched.head is None:
            return fetched
        self.observer.on_response(address)
        if fetched.head.get(names.RATE_LIMIT) is not None:
            self.observer.on_limit(
                decode_limit(fetched.head, purpose, address, instance, sent_at)
            )
        report_notice(self.observer, fetched.head, address, instance)
        return fetched

    async def _order(
        self,
        address: str,
        instance: str,
        order: dict[str, Any],
        timeout_s: float,
    ) -> path_engines.OrderAnswer:
        headers = [
            ("Host", address),
            ("Content-Type", "application/json"),
            ("X-Expect-Instance", lifetimes.engine_name(instance)),
        ]
        payload = http_connections.request_bytes(
            "POST", names.ENGINE_ORDER, headers, json.dumps(order).encode()
        )
        fetched = await self._fetch(
            rate_limits.CallPurpose.ORDER, address, instance, payload, timeout_s
        )
        if fetched.outcome is http_connections.Outcome.NOT_SENT:
            return path_engines.OrderAnswer(path_engines.OrderOutcome.REFUSED)
        if fetched.head is None:
            return path_engines.OrderAnswer(path_engines.OrderOutcome.UNKNOWN)
        outcome = ORDER_OUTCOME_BY_STATUS.get(
            fetched.head.status, path_engines.OrderOutcome.REFUSED
        )
        faulty = fetched.head.get(names.FAULTY_ADDRESS) or ""
        return path_engines.OrderAnswer(
            outcome, faulty or _faulty_address(fetched.body)
        )


def create_platform_engines(
    pool: http_connections.ConnectionPool,
) -> PlatformEngines:
    """Creates a client that uses a pool of connections."""
    return PlatformEngines(pool)


def encode_path(path: relayed.Path) -> str:
    """Encodes a path in the format of the path header field."""
    return ",".join(f"{p.address}={p.start}-{p.end}" for p in path)


def forward_headers(
    request: relayed.RelayedRequest, forwarding: relayed.Forwarding
) -> list[tuple[str, str]]:
    """Returns the header fields that are sent to an endpoint."""
    headers = list(request.headers)
    remaining_ms = max(1, int(forwarding.remaining_s * 1000))
    headers.append(("X-Deadline-Ms", str(remaining_ms)))
    engine = lifetimes.engine_name(forwarding.instance)
    headers.append(("X-Expect-Instance", engine))
    if forwarding.account:
        account = field_text.encode(forwarding.account)
        headers.append(("X-Tenant", account))
    if forwarding.priority is not None:
        headers.append(("X-Request-Priority", str(forwarding.priority)))
    if forwarding.path:
        headers.append(("X-Hop-Count", encode_path(forwarding.path)))
    if forwarding.last_event_id:
        headers.append(("Last-Event-Id", forwarding.last_event_id))
    return headers


def decode_head(head: http_connections.ResponseHead) -> relayed.ForwardedHead:
    """Translates the head of a response."""
    return relayed.ForwardedHead(
        status=head.status,
        headers=tuple(
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP_FIELDS
        ),
        genuine=head.get(names.SIGNATURE) is not None,
        evidence=decode_evidence(head),
        faulty_address=head.get(names.FAULTY_ADDRESS) or "",
        backoff_s=decode_backoff(head),
        is_leaving=is_leaving(head),
    )


def decode_evidence(
    head: http_connections.ResponseHead,
) -> not_run.NotRun | None:
    """Returns why an endpoint did not run a request; None if it may have."""
    if head.status == MISDIRECTED:
        return not_run.NotRun.OTHER_ENDPOINT
    if head.get(names.NOT_RUN) is not None:
        return not_run.NotRun.STATED
    return None


def report_notice(
    observer: path_engines.CallObserver,
    head: http_connections.ResponseHead,
    address: str,
    instance: str,
) -> None:
    """Tells the observer what an endpoint says of itself."""
    notice = endpoint_notices.EndpointNotice(
        address=address,
        instance=instance,
        backoff_s=decode_backoff(head),
        is_leaving=is_leaving(head),
    )
    if notice.backoff_s > 0 or notice.is_leaving:
        observer.on_notice(notice)


def is_leaving(head: http_connections.ResponseHead) -> bool:
    """Returns whether the head says that its endpoint is shutting down.

    Another endpoint at the same address may have responded with 421.
    """
    return head.status != MISDIRECTED and "1" in head.get_all(names.LEAVING)


def decode_backoff(head: http_connections.ResponseHead) -> float:
    """Returns the seconds for which a refusing endpoint asks for no requests.

    The longest of several values counts. Values that are no decimal number,
    such as dates, are ignored, as clocks of hosts may differ by seconds.
    """
    if head.status not in BACKOFF_STATUSES:
        return 0.0
    values = [
        value.strip()
        for field in head.get_all(names.RETRY_AFTER)
        for value in field.split(",")
    ]
    return max(
        (float(v) for v in values if DECIMAL_NUMBER.fullmatch(v)), default=0.0
    )


def decode_limit(
    head: http_connections.ResponseHead,
    purpose: rate_limits.CallPurpose,
    address: str,
    instance: str,
    sent_at: float,
) -> rate_limits.LimitNotice:
    """Decodes what the head of a response says about a rate limit."""
    values = head.get_all(names.RATE_LIMIT)
    per_s = None
    invalid = ""
    if len(values) == 1 and DECIMAL_NUMBER.fullmatch(values[0]):
        per_s = float(values[0])
    elif values:
        invalid = repr(", ".join(values))[:MAX_LOGGED_LIMIT]
    return rate_limits.LimitNotice(
        purpose=purpose,
        address=address,
        instance=instance,
        sent_at=sent_at,
        per_s=per_s,
        invalid=invalid,
        is_genuine=head.get(names.SIGNATURE) is not None,
    )


def decode_report(content: bytes) -> relayed.EngineReport | None:
    """Decodes a report; returns None if it is invalid."""
    try:
        wire = REPORT_DECODER.decode(content)
    except json_errors.MALFORMED:
        return None
    return relayed.EngineReport(
        pace=wire.pace,
        used=wire.kv_used,
        total=wire.kv_total,
        waiting=wire.waiting,
        running=wire.running,
        busy=wire.busy,
        orders=wire.seq,
        stalled=tuple(
            relayed.StalledRequest(s.id, s.address) for s in wire.stalled
        ),
        born_ms=wire.born,
    )


def _faulty_address(body: bytes) -> str:
    try:
        content = json.loads(body)
    except json_errors.MALFORMED:
        return ""
    named = content.get("address") if isinstance(content, dict) else None
    return named if isinstance(named, str) else ""
