"""When the engines of a silent stream are probed.

Engines stop responding while high load keeps others busy. Streams over busy
engines pause too, and each of hundreds of nodes sees only a few streams. With
late probes, callers wait long for streams over dead engines; with a probe at
each pause, busy engines do little else than respond to probes.

A stream counts as silent after a multiple of its usual interval between events,
which is longer on slow accelerators. Each engine has its own exponential
backoff: an engine that responds triggers probes less and less often, and never
delays the probe of another one.
"""

from __future__ import annotations

import dataclasses
import math

MIN_SILENT_S = 0.05
"""Minimum silence of a stream that starts a round of probes, in seconds."""

SILENT_INTERVALS = 2.0
"""Silence that starts a round, in multiples of the stream's usual interval."""

FIRST_SILENT_S = 0.2
"""Silence that starts a round before the first event, in seconds."""

MIN_GAP_S = 0.15
"""Minimum interval between two rounds of probes that are started because of one
engine, in seconds."""

MAX_GAP_S = 2.4
"""Maximum interval between such rounds, in seconds. Engines under load are
slow, and more probes would add to their load."""


@dataclasses.dataclass(slots=True)
class ProbeBackoff:
    """When an engine may be probed again.

    Attributes:
        gap_s: Present interval between two probes.
        next_at: Loop time of the earliest next probe.
    """

    gap_s: float = MIN_GAP_S
    next_at: float = -math.inf

    def is_due(self, now: float) -> bool:
        """Returns whether a probe may start."""
        return now >= self.next_at

    def note_probe(self, now: float, factor: float) -> None:
        """Records a probe; one soon after the last doubles the interval.

        Args:
            now: Loop time.
            factor: Factor by which a large group extends its intervals.
        """
        if now >= self.next_at + self.gap_s * factor:
            self.gap_s = MIN_GAP_S
        else:
            self.gap_s = min(MAX_GAP_S, self.gap_s * 2)
        self.next_at = now + self.gap_s * factor


def silence_limit_s(events: int, lasted_s: float) -> float:
    """Returns the silence after which a stream's engines are probed.

    In seconds, and never less than ``MIN_SILENT_S``.

    Args:
        events: Events that the stream had; 0 before the first one.
        lasted_s: Time from its first event to its last.
    """
    if not events:
        return FIRST_SILENT_S
    usual_s = lasted_s / max(1, events - 1)
    return max(MIN_SILENT_S, SILENT_INTERVALS * usual_s)
