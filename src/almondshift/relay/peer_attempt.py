"""One attempt to have a peer serve a request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from almondshift.model import json_errors
from almondshift.ports import path_engines
from almondshift.relay import attempts
from almondshift.relay import events

if TYPE_CHECKING:
    from almondshift.coordination import peer_types
    from almondshift.model import relayed
    from almondshift.relay import runs

OK = 200
MAX_BODY_BYTES = 16_000_000
"""Maximum body of a response that is not a stream; it is buffered."""


class PeerAttempt(events.EventSource):
    """A request that a peer serves.

    Attributes:
        granted_runs: Number of engines that the peer may run it on.
        is_stream: Whether the response is the requested stream.
        body: Body of a response that is not a stream.
    """

    def __init__(
        self,
        run: runs.Run,
        peer: peer_types.PeerInfo,
        granted_runs: int = 1,
    ) -> None:
        self.run = run
        self.peer = peer
        self.send = run.all_sends.begin(peer.name)
        self.granted_runs = granted_runs
        self.sent_at = run.loop.time()
        self.head: relayed.ForwardedHead | None = None
        self.is_stream = False
        self.body = bytearray()
        self.splitter = events.EventSplitter()
        self.forwarded: path_engines.ForwardedRequest | None = None
        self.is_over = False
        self.buffers = run.shared.buffers

    def buffered_bytes(self) -> int:
        """Returns the size of the buffered body and of the partial event."""
        return len(self.body) + len(self.splitter.partial)

    def give_up_buffer(self) -> None:
        """Aborts the attempt, as the node buffers too many bytes."""
        if not self.is_over:
            self.abort(attempts.BUFFERS_FULL)

    def on_head(self, head: relayed.ForwardedHead) -> None:
        """Stores the head."""
        self.head = head
        self.is_stream = (
            self.run.expects_stream and head.status == OK and head.genuine
        )
        if head.status == OK and head.genuine:
            paths = self.run.shared.peer_paths
            paths.note_served(self.run.routed.service, self.peer.name)

    def on_data(self, data: bytes) -> None:
        """Passes complete events on, or buffers the body."""
        if self.is_over:
            return
        if not self.is_stream:
            self.body += data
            self.buffers.note(self)
            if len(self.body) > MAX_BODY_BYTES:
                self.abort("response body too large")
            return
        try:
            complete = self.splitter.feed(data)
        except ValueError as error:
            self.abort(str(error))
            return
        self.buffers.note(self)
        if complete and not self.run.forward_events(self, complete):
            self.abort("events out of order")

    def abort(self, reason: str) -> None:
        """Aborts an attempt whose response is invalid."""
        self.cancel()
        self.run.peer_attempt_ended(self, path_engines.Ending.SPOILT, reason)
        self.body.clear()
        self.splitter.partial.clear()

    def cancel(self) -> None:
        """Stops the peer's work."""
        self.is_over = True
        if self.forwarded is not None:
            self.forwarded.cancel()

    def on_end(self, ending: path_engines.Ending, reason: str) -> None:
        """Passes the end to the run."""
        if not self.is_over:
            self.is_over = True
            self.run.peer_attempt_ended(self, ending, reason)

    def is_whole_stream(self) -> bool:
        """Returns whether a completed response is the whole stream."""
        return self.is_stream and not self.splitter.partial

    def refusal_kind(self) -> str:
        """Returns the kind of the error that the peer responded with."""
        try:
            content = json.loads(self.body)
        except json_errors.MALFORMED:
            return ""
        kind = content.get("kind") if isinstance(content, dict) else None
        return kind if isinstance(kind, str) else ""

    def retry_after_s(self) -> float | None:
        """Returns the Retry-After of a refusal, in seconds; None for none."""
        for name, value in self.head.headers if self.head else ():
            if name == "retry-after":
                try:
                    return max(0.0, float(value))
                except ValueError:
                    return None
        return None
