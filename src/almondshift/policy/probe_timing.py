"""When the engines of a silent stream are probed.

Load pattern: engines go dark while a crowd keeps others busy. Streams over busy
engines pause too, and each of hundreds of nodes sees only a few streams. Probed
too late, callers of the dead engines are late; probed at each pause, the busy
engines answer little else.

A stream is silent after a few of its usual pauses, which are longer over slow
accelerators. Each engine has a backoff of its own: one that answers starts
probes less and less often, and never delays the probe of another one.
"""

from __future__ import annotations

import dataclasses
import math

LEAST_SILENT_S = 0.05
"""Minimum silence of a stream that starts a round, in seconds."""

SILENT_EVENTS = 2.0
"""Silence that starts a round, in multiples of the stream's usual interval."""

FIRST_SILENT_S = 0.2
"""Silence that starts a round before the first event, in seconds."""

ROUND_GAP_S = 0.15
"""Minimum interval between two rounds that one engine starts, in seconds."""

LONGEST_GAP_S = 2.4
"""Limit of the exponential backoff between rounds that an engine starts which
answers: engines under load are slow, and more probes would add to their load.
"""


@dataclasses.dataclass(slots=True)
class ProbeBackoff:
    """When an engine may be probed again.

    Attributes:
        gap_s: Present pause between two probes.
        next_at: Loop time of the next one, at the earliest.
    """

    gap_s: float = ROUND_GAP_S
    next_at: float = -math.inf

    def is_due(self, now: float) -> bool:
        """Returns whether a probe may start."""
        return now >= self.next_at

    def note_probe(self, now: float, factor: float) -> None:
        """Notes a probe; the next pause is longer if it follows soon.

        Args:
            now: Loop time.
            factor: How many times longer the pauses of a large group are.
        """
        if now >= self.next_at + self.gap_s * factor:
            self.gap_s = ROUND_GAP_S
        else:
            self.gap_s = min(LONGEST_GAP_S, self.gap_s * 2)
        self.next_at = now + self.gap_s * factor


def patience_s(events: int, lasted_s: float) -> float:
    """Returns after which silence a stream's engines are probed, in seconds.

    Never less than ``LEAST_SILENT_S``.

    Args:
        events: Events that the stream had; 0 before the first one.
        lasted_s: Time from its first event to its last.
    """
    if not events:
        return FIRST_SILENT_S
    usual_s = lasted_s / max(1, events - 1)
    return max(LEAST_SILENT_S, SILENT_EVENTS * usual_s)
