"""What may be decided of a request that crashes endpoints, and the figures."""

from __future__ import annotations

import dataclasses
import enum

import xxhash


class VerdictKind(enum.StrEnum):
    """Whether a request may be run."""

    FREE = "free"
    ALONE = "alone"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may be run now.

    Attributes:
        retry_after_s: If refused, when to ask again.
        convicted: If refused, whether for conviction; otherwise a short
            wait of the node itself is enough.
    """

    kind: VerdictKind
    retry_after_s: float = 0.0
    convicted: bool = False


FREE = Verdict(VerdictKind.FREE)
ALONE = Verdict(VerdictKind.ALONE)


def refused(retry_after_s: float, convicted: bool = False) -> Verdict:
    """Returns a refusal."""
    return Verdict(VerdictKind.REFUSED, retry_after_s, convicted)


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Times and counts.

    Attributes:
        spread_wait_s: Wait before a suspect runs again; over twice the time
            that an urgent fact takes to all nodes, and over ``window_s``.
        window_s: Crashes within it may have one cause.
        mass_endpoints: So many endpoints in the window are a failure of a
            rack or zone.
        suspicion_s: How long a crash counts; as long as a conviction, or a
            suspect that could not be tried would soon run freely again.
        conviction_s: How long a convicted request is refused.
        trial_s: Longest run of a suspect; its endpoints are kept free.
        busy_retry_s: When to ask again while a suspect runs.
    """

    spread_wait_s: float = 3.0
    window_s: float = 2.0
    mass_endpoints: int = 3
    suspicion_s: float = 1_800.0
    conviction_s: float = 1_800.0
    trial_s: float = 120.0
    busy_retry_s: float = 1.0


def fingerprint_of(service: str, content: bytes) -> str:
    """Returns the fingerprint of a request.

    Args:
        service: Name of the service.
        content: Prompt or body, without what differs when it is sent again.

    Returns:
        16 hex digits. Callers can't gain by a collision: at worst a request
        is run alone, or refused as the one that they convicted.
    """
    digest = xxhash.xxh3_64(service.encode())
    digest.update(b"\x00")
    digest.update(content)
    return digest.hexdigest()
