"""Passes requests to the entries of other nodes over HTTP."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import re
from typing import TYPE_CHECKING

from almondshift.adapters import http_connections
from almondshift.model import not_run
from almondshift.model import routes
from almondshift.platform import engines
from almondshift.platform import field_text
from almondshift.platform import names
from almondshift.ports import path_engines
from almondshift.ports import peer_entries

if TYPE_CHECKING:
    from almondshift.model import relayed

REPEAT = "repeat"
ONCE = "once"
"""Whether a peer may repeat a request that may have run."""

RUN_LIMIT = re.compile(r"([0-9]{1,9}) (\S+)")
"""Number of endpoints that may run a request, and ``REPEAT`` or ``ONCE``."""

CONNECT_TIMEOUT_S = 0.3


class SingleUsePool(http_connections.ConnectionPool):
    """Connections that each carry one call.

    A peer may close an idle connection, when it stops, at the moment at which a
    request is sent on it. Whether that request ran would not be known.
    """

    def release(
        self, connection: http_connections.Connection, idle_s: float
    ) -> None:
        """Closes a connection whose call is complete."""
        del idle_s
        connection.drop()


class PeerListenerAdapter(http_connections.CallListener):
    """Translates a peer's response for an ``AnswerListener``."""

    def __init__(self, listener: path_engines.AnswerListener) -> None:
        self.listener = listener

    def on_head(self, head: http_connections.ResponseHead) -> None:
        """Forwards the head without its hop-by-hop fields."""
        decoded = engines.decode_head(head)
        evidence = None
        if not decoded.genuine and head.status in not_run.NOT_RUN_STATUSES:
            evidence = not_run.NotRun.PEER
        self.listener.on_head(dataclasses.replace(decoded, evidence=evidence))

    def on_data(self, data: bytes) -> None:
        """Forwards a chunk of the body."""
        self.listener.on_data(data)

    def on_end(self, outcome: http_connections.Outcome, reason: str) -> None:
        """Forwards the outcome."""
        self.listener.on_end(engines.ENDING_BY_OUTCOME[outcome], reason)


class HttpPeerEntries(peer_entries.PeerEntries):
    """Passes on the caller's request with its key, time left and a mark.

    The mark shows to the peer that the request comes from a node. It is
    authenticated with the shared secret, and never reaches an endpoint.
    """

    def __init__(self) -> None:
        self.pool = SingleUsePool(CONNECT_TIMEOUT_S)

    def forward(
        self,
        request: relayed.RelayedRequest,
        forwarding: peer_entries.PeerForwarding,
        listener: path_engines.AnswerListener,
    ) -> path_engines.ForwardedRequest:
        """Passes a request to a peer."""
        headers = list(request.headers)
        remaining_ms = max(1, int(forwarding.remaining_s * 1000))
        headers.append(("X-Deadline-Ms", str(remaining_ms)))
        if request.key:
            key = field_text.encode(request.key)
            headers.append(("Authorization", f"Bearer {key}"))
        if forwarding.last_event_id:
            headers.append(("Last-Event-Id", forwarding.last_event_id))
        runs = str(forwarding.possible_runs)
        mark = f"{runs} {self._signature(request.request_id, runs)}"
        headers.append((names.PEER_MARK, mark))
        limit = forwarding.limit
        rule = REPEAT if limit.may_repeat else ONCE
        headers.append((names.RUN_LIMIT, f"{limit.runs} {rule}"))
        adapter = PeerListenerAdapter(listener)
        try:
            payload = http_connections.request_bytes(
                request.method, request.target, headers, request.body
            )
        except ValueError as error:
            call = http_connections.unsent_call(adapter, error)
        else:
            call = self.pool.call(forwarding.address, payload, adapter)
        return engines.ForwardedCall(call)

    def possible_runs(self, request: relayed.RelayedRequest) -> int | None:
        """Returns the number in the mark; None if there is no valid mark."""
        runs, _, signature = request.peer_mark.partition(" ")
        if not self.secret or not runs.isdecimal() or not runs.isascii():
            return None
        expected = self._signature(request.request_id, runs)
        if not hmac.compare_digest(signature.encode(), expected.encode()):
            return None
        return int(runs)

    def run_limit(
        self, request: relayed.RelayedRequest
    ) -> routes.RunLimit | None:
        """Returns the limit in the request; None if there is none."""
        found = RUN_LIMIT.fullmatch(request.run_limit)
        if found is None:
            return None
        runs, rule = found.groups()
        return routes.RunLimit(max(1, int(runs)), may_repeat=rule == REPEAT)

    def _signature(self, request_id: str, runs: str) -> str:
        signed = f"{request_id}\n{runs}".encode("utf-8", "surrogateescape")
        key = self.secret.encode()
        return hmac.new(key, signed, hashlib.sha256).hexdigest()


def create_peer_entries() -> HttpPeerEntries:
    """Creates a client without a secret."""
    return HttpPeerEntries()
