"""Limits the bytes that a node buffers for all messages together.

Each message has a limit of its own, but there may be many at once: one faulty
endpoint answers hundreds of requests with bytes without end, or callers read
nothing. Without a common limit the process would exceed the memory of its VM,
which ends the requests of all callers.

At the limit the largest buffer is given up. Usual messages have a few
kilobytes, so that they go on while large ones are ended.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import buffers

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_COUNTED_BYTES = 4_096
"""Smaller buffers are not counted; the number of connections limits them."""


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUpBuffer:
    """A buffer that was given up.

    Attributes:
        kind: What it held.
        size: Its size in bytes.
        held_bytes: Size of all buffers, this one included.
        limit_bytes: Limit for all buffers.
    """

    kind: str
    size: int
    held_bytes: int
    limit_bytes: int


class BufferBudget(buffers.BufferAccount):
    """Counts buffers, and gives up the largest ones above a limit.

    Attributes:
        limit_bytes: Limit for all buffers together.
        held_bytes: Size of all buffers when each was last counted.
        sizes: Size of each buffer when it was last counted, in bytes.
        on_given_up: Called for each buffer that is given up.
    """

    def __init__(
        self, limit_bytes: int, defer: Callable[[Callable[[], None]], object]
    ) -> None:
        self.limit_bytes = limit_bytes
        self.defer = defer
        self.held_bytes = 0
        self.sizes: dict[buffers.BufferHolder, int] = {}
        self.on_given_up: list[Callable[[GivenUpBuffer], None]] = []

    def note(self, holder: buffers.BufferHolder) -> None:
        """Counts a buffer whose size has changed."""
        self._count(holder)
        if self.held_bytes > self.limit_bytes:
            self.recount()
        while self.held_bytes > self.limit_bytes:
            self._give_up_largest()

    def release(self, holder: buffers.BufferHolder) -> None:
        """Stops counting a buffer that was dropped."""
        self.held_bytes -= self.sizes.pop(holder, 0)

    def recount(self) -> None:
        """Counts all buffers anew, as some shrink unnoticed."""
        for holder in list(self.sizes):
            self._count(holder)

    def _count(self, holder: buffers.BufferHolder) -> None:
        size = holder.buffered_bytes()
        self.release(holder)
        if size >= MIN_COUNTED_BYTES:
            self.sizes[holder] = size
            self.held_bytes += size

    def _give_up_largest(self) -> None:
        """Gives up the largest buffer.

        Its holder is called later, since it may be the one that calls now.
        """
        largest = max(self.sizes, key=self.sizes.__getitem__)
        given_up = GivenUpBuffer(
            kind=largest.buffer_kind,
            size=self.sizes[largest],
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
        )
        self.release(largest)
        self.defer(largest.give_up_buffer)
        for callback in self.on_given_up:
            callback(given_up)


def create_buffer_budget(
    limit_bytes: int, defer: Callable[[Callable[[], None]], object]
) -> BufferBudget:
    """Creates a budget.

    Args:
        limit_bytes: Limit for all buffers together.
        defer: Calls a function after the current callback.
    """
    return BufferBudget(limit_bytes, defer)
