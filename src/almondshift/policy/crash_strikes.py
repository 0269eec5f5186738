"""Detects, over all nodes, requests that crash every endpoint that runs them.

One request crashes its endpoint, its caller retries through any node, and the
next endpoint crashes too. Without a limit that spans nodes, a single caller
takes down one endpoint after another, each with all other work on it.

A request is identified by its fingerprint. It gets a strike for each attempt
during which an endpoint broke the connection and then turned out to be gone;
connection resets and lost responses of endpoints that are still alive don't
count. Several engines of one path that die together, such as those of a rack,
are one strike, since a request that crashes its endpoints does so in each
attempt. With ``MAX_STRIKES`` strikes it is refused, unless it was answered
successfully in the meantime.

An endpoint that crashes for another reason interrupts some sixty streams, a
third of a zone's. It is rare that one of them meets three such crashes in its
few seconds, and the only consequence is that it is not retried. Requests that
several callers send with the same content, such as an empty body, are answered
successfully all the time, which clears them here and at peers.
"""

from __future__ import annotations

import dataclasses

MAX_STRIKES = 3
"""Strikes from which a request is refused. Harmless requests meet two crashes
when a zone's engines die within moments of each other."""

STRIKE_S = 600.0
"""Validity of a strike, in seconds; callers that retry such a request do so
within minutes."""

CRASH_CONFIRM_S = 10.0
"""Time after a broken connection within which the endpoint must be gone to
count as crashed, in seconds. The registry drops a silent one within some four
seconds."""

MAX_ANSWERED = 4_096
"""Maximum number of fingerprints of answered requests: about those of a quarter
of an hour at five requests per second and node; 0.4 MB."""

MAX_STRUCK = 8_192
"""Maximum number of fingerprints with strikes; some hundred crashes with sixty
streams each."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint that crashed, and requests that it ran.

    Attributes:
        fingerprints: Requests that got a strike.
        convicted: Requests that are refused from now on.
        answered_before: Number of requests that got none, since they had been
            answered.
        age_s: Time since the first of the connections broke, in seconds.
    """

    instance: str
    fingerprints: tuple[str, ...]
    convicted: tuple[str, ...]
    answered_before: int = 0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt during which the endpoint broke the connection.

    Attributes:
        attempt: Identifies the attempt among all of its node.
        at: When the connection broke; monotonic seconds.
    """

    attempt: str
    at: float


class CrashStrikes:
    """Counts crashes of endpoints by request.

    Attributes:
        broken_attempts: By instance and fingerprint, until it is clear whether
            the endpoint crashed.
        strikes: Times of strikes, by fingerprint and name of the strike.
        answered: When requests were last answered successfully, by fingerprint.
    """

    def __init__(self) -> None:
        self.broken_attempts: dict[str, dict[str, BrokenAttempt]] = {}
        self.strikes: dict[str, dict[str, float]] = {}
        self.answered: dict[str, float] = {}

    def note_broken_attempt(
        self, fingerprint: str, attempt: str, instance: str, now: float
    ) -> None:
        """Records that an endpoint broke the connection of a request."""
        pending = self.broken_attempts.setdefault(instance, {})
        pending[fingerprint] = BrokenAttempt(attempt, now)

    def crashed(self, instance: str, now: float) -> Crash:
        """Records that an endpoint is gone; requests it ran get a strike."""
        struck, convicted = [], []
        answered_before = 0
        first_at = now
        for fingerprint, found in self.broken_attempts.pop(
            instance, {}
        ).items():
            if now - found.at > CRASH_CONFIRM_S:
                continue
            first_at = min(first_at, found.at)
            if fingerprint in self.answered:
                answered_before += 1
                continue
            if found.attempt in self.strikes.get(fingerprint, {}):
                continue
            struck.append(fingerprint)
            if self.strike(fingerprint, found.attempt, now):
                convicted.append(fingerprint)
        return Crash(
            instance,
            tuple(struck),
            tuple(convicted),
            answered_before,
            now - first_at,
        )

    def strike(self, fingerprint: str, name: str, now: float) -> bool:
        """Adds a strike; returns whether the request is refused from now on.

        Args:
            fingerprint: The request.
            name: Identifies the strike; a strike of the same name counts once.
            now: Monotonic seconds.
        """
        if fingerprint in self.answered:
            return False
        was_refused = self.is_refused(fingerprint, now)
        self.strikes.setdefault(fingerprint, {})[name] = now
        while len(self.strikes) > MAX_STRUCK:
            del self.strikes[next(iter(self.strikes))]
        return not was_refused and self.is_refused(fingerprint, now)

    def note_answered(self, fingerprint: str, now: float) -> None:
        """Clears a request that an endpoint has answered successfully."""
        self.strikes.pop(fingerprint, None)
        self.answered.pop(fingerprint, None)
        self.answered[fingerprint] = now
        while len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]

    def known_good(self, fingerprints: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the requests that were answered successfully here."""
        return tuple(f for f in fingerprints if f in self.answered)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request may no longer be sent to any endpoint."""
        known = self.strikes.get(fingerprint)
        if known is None:
            return False
        fresh = sum(now - at <= STRIKE_S for at in known.values())
        return fresh >= MAX_STRIKES

    def forget_old(self, now: float) -> None:
        """Drops broken attempts and strikes that no longer count."""
        for instance, pending in list(self.broken_attempts.items()):
            if all(now - b.at > CRASH_CONFIRM_S for b in pending.values()):
                del self.broken_attempts[instance]
        for fingerprint, known in list(self.strikes.items()):
            if all(now - at > STRIKE_S for at in known.values()):
                del self.strikes[fingerprint]
