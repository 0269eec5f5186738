"""A bound on the memory that kept stage inputs take on a node."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class KeptInputs:
    """Counts the bytes that running requests keep for replay.

    A stage whose inputs don't fit keeps none; its recovery then replays from
    an earlier stage, at the latest from the tokens.

    Attributes:
        limit_bytes: Bytes that may be kept in all.
        bytes_per_input: Size of one activation.
        used_bytes: Bytes kept now.
        dropped: Times that a stage lost its inputs for lack of room.
    """

    limit_bytes: int
    bytes_per_input: int
    used_bytes: int = 0
    dropped: int = 0

    def reserve(self, inputs: int) -> bool:
        """Takes room for a number of inputs; false if there is none."""
        wanted = inputs * self.bytes_per_input
        if self.used_bytes + wanted > self.limit_bytes:
            self.dropped += 1
            return False
        self.used_bytes += wanted
        return True

    def release(self, inputs: int) -> None:
        """Gives room back."""
        self.used_bytes -= inputs * self.bytes_per_input


def create_kept_inputs(
    limit_bytes: int, bytes_per_input: int = 8
) -> KeptInputs:
    """Builds an empty budget."""
    return KeptInputs(limit_bytes, bytes_per_input)
