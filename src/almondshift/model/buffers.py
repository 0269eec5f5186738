"""Buffers of messages in transfer, and the account that counts them."""

from __future__ import annotations

import abc


class BufferHolder(abc.ABC):
    """Holds bytes of a message that is in transfer.

    Attributes:
        buffer_kind: What it buffers, for metrics and logs.
    """

    buffer_kind: str

    @abc.abstractmethod
    def buffered_bytes(self) -> int:
        """Returns how many bytes it holds now."""

    @abc.abstractmethod
    def give_up_buffer(self) -> None:
        """Ends the message and drops its bytes."""


class BufferAccount(abc.ABC):
    """Counts the bytes that a node buffers for all messages together."""

    @abc.abstractmethod
    def note(self, holder: BufferHolder) -> None:
        """Counts a buffer whose size has changed; may give buffers up."""

    @abc.abstractmethod
    def release(self, holder: BufferHolder) -> None:
        """Stops counting a buffer that was dropped."""
