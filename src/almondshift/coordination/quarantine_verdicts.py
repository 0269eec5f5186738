"""Verdicts on suspect requests, and the settings of the quarantine."""

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
        retry_after_s: If refused, seconds until a retry makes sense.
        convicted: Whether the request is refused because of a conviction;
            after any other refusal it is enough that the node itself waits
            briefly.
    """

    kind: VerdictKind
    retry_after_s: float = 0.0
    convicted: bool = False


FREE = Verdict(VerdictKind.FREE)
ALONE = Verdict(VerdictKind.ALONE)


def refused(retry_after_s: float, convicted: bool = False) -> Verdict:
    """Returns a verdict that refuses a request."""
    return Verdict(VerdictKind.REFUSED, retry_after_s, convicted)


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of the quarantine.

    Attributes:
        propagation_wait_s: Wait before a suspect runs again; more than twice
            the time that an urgent fact takes to reach all nodes, and longer
            than ``window_s``.
        window_s: Time within which crashes may have a common cause.
        infrastructure_min_endpoints: Number of crashed endpoints of one zone
            within the window that counts as a failure of a rack or zone.
        suspicion_s: How long a crash counts; as long as a conviction, since
            otherwise a suspect that could not get a trial would soon run
            normally again.
        conviction_s: How long a convicted request is refused.
        trial_s: Longest run of a suspect, during which its endpoints are
            reserved.
        busy_retry_s: Time to wait before a retry while a suspect is running.
    """

    propagation_wait_s: float = 3.0
    window_s: float = 2.0
    infrastructure_min_endpoints: int = 3
    suspicion_s: float = 1_800.0
    conviction_s: float = 1_800.0
    trial_s: float = 120.0
    busy_retry_s: float = 1.0


def fingerprint_of(service: str, content: bytes) -> str:
    """Returns the fingerprint of a request.

    Args:
        service: Name of the service.
        content: Prompt or body, without parts that differ between retries.

    Returns:
        16 hex digits. Callers can't benefit from a collision: at worst a
        request is run alone, or refused like the one that got convicted.
    """
    digest = xxhash.xxh3_64(service.encode())
    digest.update(b"\x00")
    digest.update(content)
    return digest.hexdigest()
