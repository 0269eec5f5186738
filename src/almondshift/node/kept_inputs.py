"""Limits the memory that a node uses for kept stage inputs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class KeptInputsBudget:
    """Memory budget for the inputs that running requests keep for replay.

    A stage whose inputs don't fit keeps none; its recovery then replays from
    an earlier stage, in the worst case from the tokens.

    Attributes:
        limit_bytes: Maximum bytes to keep.
        bytes_per_input: Size of one activation.
        used_bytes: Bytes kept now.
        dropped: Number of reservations that exceeded the budget.
    """

    limit_bytes: int
    bytes_per_input: int
    used_bytes: int = 0
    dropped: int = 0

    def reserve(self, inputs: int) -> bool:
        """Reserves memory for inputs; returns False if they don't fit."""
        wanted = inputs * self.bytes_per_input
        if self.used_bytes + wanted > self.limit_bytes:
            self.dropped += 1
            return False
        self.used_bytes += wanted
        return True

    def release(self, inputs: int) -> None:
        """Releases the memory of a number of inputs."""
        self.used_bytes -= inputs * self.bytes_per_input


def create_kept_inputs_budget(
    limit_bytes: int, bytes_per_input: int = 8
) -> KeptInputsBudget:
    """Builds an empty budget."""
    return KeptInputsBudget(limit_bytes, bytes_per_input)
