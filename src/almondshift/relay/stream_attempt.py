"""One attempt to run a request over a path of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.ports import path_engines
from almondshift.relay import attempts
from almondshift.relay import events

if TYPE_CHECKING:
    from almondshift.model import relayed
    from almondshift.policy import path_choice
    from almondshift.relay import stream_run

OK = 200
PROOF_S = 1.0
"""Time after its first event from which a stream proves the parts of its prompt
harmless, in seconds."""

PROGRESS_S = 0.3
"""Time after its first event from which a stream can't be what crashes its
engine, in seconds; such requests crash it as it begins to answer."""

LEAVE_SHARE = 0.5
"""Share of the route's ``abandon_after_s`` after which a stream leaves an
engine that sends data but completes no event. Another engine then has time to
send the next event before the caller disconnects."""

MAX_FAILURE_BYTES = 100_000
"""Maximum body of a response that is not the requested stream; refusals are
short."""

MAX_BODY_BYTES = 16_000_000
"""Maximum body of a response on routes that are no streams; it is buffered."""


class StreamAttempt(events.EventSource):
    """One attempt to run a request over a path.

    Attributes:
        path: The engines that run it.
        counted_parts: The parts of the path as counted in the engine tracker.
        active_at: Loop time of the last received data, successful move or, at
            first, of the send.
        is_stream: Whether the response is the requested stream.
        body: Body of a response that is not the requested stream.
        ending: How it ended; None while it runs or if it was cancelled.
        is_moving: Whether a move is in progress.
        first_event_at: Loop time of the first event; None before it.
        partial_since: Loop time of the first data after the last complete
            event; None if none was received.
        is_proven: Whether the parts of the prompt were noted as harmless.
    """

    def __init__(
        self, run: stream_run.StreamRun, chosen: path_choice.ChosenPath
    ) -> None:
        self.run = run
        self.send = run.all_sends.begin(chosen.path[0].instance)
        self.path = chosen.path
        self.counted_parts = chosen.used
        self.sent_at = run.loop.time()
        self.active_at = self.sent_at
        self.head: relayed.ForwardedHead | None = None
        self.is_stream = False
        self.body = bytearray()
        self.ending: path_engines.Ending | None = None
        self.splitter = events.EventSplitter()
        self.forwarded: path_engines.ForwardedRequest | None = None
        self.is_moving = False
        self.is_over = False
        self.first_event_at: float | None = None
        self.partial_since: float | None = None
        self.buffers = run.shared.buffers
        self.is_proven = False

    @property
    def first(self) -> relayed.PathPart:
        """The engine that holds the connection."""
        return self.path[0]

    def buffered_bytes(self) -> int:
        """Returns the size of the buffered body and of the partial event."""
        return len(self.body) + len(self.splitter.partial)

    def give_up_buffer(self) -> None:
        """Aborts the attempt, as the node buffers too many bytes."""
        self.abort(attempts.BUFFERS_FULL)

    def on_head(self, head: relayed.ForwardedHead) -> None:
        """Stores the head, which is sent with the first event."""
        self.head = head
        self.is_stream = (
            self.run.expects_stream and head.status == OK and head.genuine
        )
        self.note_data()

    def on_data(self, data: bytes) -> None:
        """Passes complete events on."""
        if self.is_over:
            return
        self.note_data()
        if not self.is_stream:
            self.keep_body(data)
            return
        try:
            complete = self.splitter.feed(data)
        except ValueError as error:
            self.run.avoid_for_new_streams(self)
            self.abort(str(error))
            return
        has_progressed = any(event.event_id is not None for event in complete)
        if has_progressed:
            self.partial_since = None
            self.note_events()
        if complete and not self.run.forward_events(self, complete):
            self.abort("events out of order")
            return
        self.buffers.note(self)
        if not has_progressed:
            self.check_progress()

    def keep_body(self, data: bytes) -> None:
        """Buffers the body of a response that is not the requested stream."""
        self.body += data
        self.buffers.note(self)
        limit = MAX_BODY_BYTES
        if self.run.expects_stream:
            limit = MAX_FAILURE_BYTES
        if len(self.body) > limit:
            self.abort("response body too large")

    def check_progress(self) -> None:
        """Leaves an engine that sends data but completes no event.

        Neither the silence of a stream nor that of its engine shows this, as
        data arrives and the engine responds to queries.
        """
        if self.partial_since is None:
            self.partial_since = self.active_at
        eventless_s = self.active_at - self.partial_since
        abandon_after_s = self.run.routed.route.abandon_after_s
        if eventless_s < LEAVE_SHARE * abandon_after_s:
            return
        self.run.avoid_for_new_streams(self)
        if eventless_s >= abandon_after_s:
            self.abort("no complete event until callers disconnect")
        else:
            self.run.resume_elsewhere("no complete event")

    def note_events(self) -> None:
        """Records events; those of a while prove the prompt harmless."""
        if self.first_event_at is None:
            self.first_event_at = self.active_at
        if (
            not self.is_proven
            and self.active_at - self.first_event_at >= PROOF_S
        ):
            self.is_proven = True
            self.run.shared.crash_watch.parts.note_progress(self.run.routed)

    def has_progressed(self) -> bool:
        """Returns whether engines ran the stream on after its first event."""
        return (
            self.first_event_at is not None
            and self.run.loop.time() - self.first_event_at >= PROGRESS_S
        )

    def note_data(self) -> None:
        """Records that data was received."""
        self.active_at = self.run.loop.time()
        self.run.shared.link.note(self.active_at)
        self.run.links.note_response(self.active_at)
        shared = self.run.shared
        shared.tracker.note_alive(self.first.instance)
        if shared.tracker.is_lost(self.first.instance):
            shared.lost_engines.restore(self.first.instance)

    def abort(self, reason: str) -> None:
        """Aborts an attempt whose response is invalid."""
        if self.is_over:
            return
        if self.forwarded is not None:
            self.forwarded.cancel()
        self.on_end(path_engines.Ending.SPOILT, reason)
        self.body.clear()
        self.splitter.partial.clear()

    def on_end(self, ending: path_engines.Ending, reason: str) -> None:
        """Passes the end to the run."""
        if not self.is_over:
            self.is_over = True
            self.ending = ending
            self.run.attempt_ended(self, ending, reason)
