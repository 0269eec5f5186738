"""The common base of attempts to run a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import buffers as message_buffers
from almondshift.ports import path_engines

if TYPE_CHECKING:
    from almondshift.model import not_run
    from almondshift.policy import request_sends

BUFFERS_FULL = "buffers are full"
"""Reason of an attempt that ends at the limit of buffered bytes."""


class Attempt(path_engines.AnswerListener, message_buffers.BufferHolder):
    """One attempt to have an endpoint or a peer run a request.

    Attributes:
        send: What is known of it.
        forwarded: The request in transfer; None before it is sent.
        buffers: Bytes of all messages in transfer.
    """

    buffer_kind = "response"
    buffers: message_buffers.BufferAccount

    send: request_sends.Send
    forwarded: path_engines.ForwardedRequest | None

    def end_send(
        self, outcome: str, evidence: not_run.NotRun | None = None
    ) -> None:
        """Records how it ended.

        Args:
            outcome: An outcome of ``request_sends``.
            evidence: Why it did not run the request; None if it may have.
        """
        self.buffers.release(self)
        earlier_calls = None
        if self.forwarded is not None:
            earlier_calls = self.forwarded.earlier_calls
        self.send.end(outcome, earlier_calls, evidence)
