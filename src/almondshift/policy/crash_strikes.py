"""Detects, over all nodes, requests that crash every endpoint that runs them.

One request crashes its endpoint, its caller retries through any node, and the
next endpoint crashes too. Without a limit that spans nodes, a single caller
takes down one endpoint after another, each with all other work on it.

A request is identified by its fingerprint. It gets a strike for each endpoint
that crashed during one of its attempts; connection resets and lost responses of
endpoints that are still alive don't count. Several engines of one path that die
together, such as those of a rack, are one strike, since a request that crashes
its endpoints does so in each attempt. A successful response clears its strikes.

With ``MAX_STRIKES`` strikes a request is refused, at once if no other request
was in flight at all of these crashes. Streams that leave a crashed engine
together may meet the next crashes together, and some sixty of them are
interrupted at a time. Each of these is refused only ``AMBIGUOUS_S`` later, so
that those which don't crash endpoints can be answered first.

Requests that many callers send with the same content, such as an empty body,
are often in flight at a crash. They are answered all the time, and are refused
only with twice as many strikes since the latest response. A request that was
answered before is refused for seconds only, so that a response can show that
it is sound.
"""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable

MAX_STRIKES = 3
"""Strikes from which a request is refused. Harmless requests meet two crashes
when a zone's engines die within moments of each other."""

MAX_STRIKES_IF_ANSWERED = 2 * MAX_STRIKES
"""Strikes from which a request is refused that is answered frequently."""

AMBIGUOUS_S = 2.0
"""Time after its last strike for which a request is not refused yet, if others
were in flight at the same crashes, in seconds. Callers may retry the request
for three seconds, one of which it takes to inform all peers."""

STRIKE_S = 600.0
"""Validity of a strike, in seconds; callers that retry such a request do so
within minutes."""

ANSWERED_REFUSAL_S = 15.0
"""Time since its last strike for which a request is refused that was answered
before, in seconds. Once all nodes refuse it, no response would clear its
strikes any more."""

CRASH_CONFIRM_S = 10.0
"""Time after a broken connection within which the endpoint must be gone to
count as crashed, in seconds. The registry drops a silent one within some four
seconds."""

ANSWERED_S = 60.0
FREQUENT_ANSWERS = 3
"""A request is answered frequently if it was answered this often within
``ANSWERED_S``."""

FRESH_ANSWER_S = 3.0
"""Time for which a response proves to peers that a frequent request is
harmless, in seconds."""

MAX_ANSWERED = 4_096
"""Maximum number of fingerprints of answered requests: about those of a quarter
of an hour at five requests per second and node; 0.6 MB."""

MAX_STRUCK = 8_192
"""Maximum number of fingerprints with strikes; some hundred crashes with sixty
streams each."""

MAX_BROKEN = 512
"""Maximum number of failed attempts that are kept for each endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredPrompt:
    """A prompt to which an endpoint had sent no part of a response.

    Attributes:
        prompt: Identifies the request and its prompt.
        parts: Parts of the prompt that other requests may share.
    """

    prompt: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint that crashed, and requests that it ran.

    Attributes:
        fingerprints: Requests that got a strike.
        convicted: Requests that are refused from now on.
        answered_before: Number of requests with a strike that are answered
            frequently.
        age_s: Time since the first of the connections broke, in seconds.
        unanswered: Prompts of the requests without any data.
    """

    instance: str
    fingerprints: tuple[str, ...]
    convicted: tuple[str, ...]
    answered_before: int = 0
    age_s: float = 0.0
    unanswered: tuple[UnansweredPrompt, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt that an endpoint did not answer.

    Attributes:
        fingerprint: The request.
        attempt: Identifies the attempt among all of its node.
        at: When the connection broke; monotonic seconds.
        unanswered: Its prompt, if the endpoint had sent no data.
    """

    fingerprint: str
    attempt: str
    at: float
    unanswered: UnansweredPrompt | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """A crash during an attempt.

    Attributes:
        at: When it was counted; monotonic seconds.
        attempt: The attempt, if it was this node's; else "".
    """

    at: float
    attempt: str = ""


class CrashStrikes:
    """Counts crashes of endpoints by request.

    Attributes:
        broken_attempts: By instance, then by fingerprint and attempt, until it
            is clear whether the endpoint crashed.
        strikes: By fingerprint and instance of the endpoint.
        struck: Fingerprints with a strike, by instance of the endpoint.
        explained: Crashed instances that had another cause, see
            ``part_strikes``; they count against no request.
        answered: When requests were answered successfully, by fingerprint; the
            latest ``FREQUENT_ANSWERS`` times.
    """

    def __init__(self) -> None:
        self.broken_attempts: dict[
            str, dict[tuple[str, str], BrokenAttempt]
        ] = {}
        self.strikes: dict[str, dict[str, Strike]] = {}
        self.struck: dict[str, set[str]] = {}
        self.explained: Container[str] = ()
        self.answered: dict[str, tuple[float, ...]] = {}

    def note_broken_attempt(
        self,
        fingerprint: str,
        attempt: str,
        instance: str,
        now: float,
        unanswered: UnansweredPrompt | None = None,
    ) -> None:
        """Records that an endpoint did not answer a request."""
        pending = self.broken_attempts.setdefault(instance, {})
        pending.pop((fingerprint, attempt), None)
        pending[fingerprint, attempt] = BrokenAttempt(
            fingerprint, attempt, now, unanswered
        )
        if len(pending) > MAX_BROKEN:
            del pending[next(iter(pending))]

    def crashed(self, instance: str, now: float) -> Crash:
        """Records that an endpoint is gone; requests it ran get a strike."""
        struck: dict[str, None] = {}
        convicted = []
        unanswered = []
        answered_before = 0
        first_at = now
        for found in self.broken_attempts.pop(instance, {}).values():
            if now - found.at > CRASH_CONFIRM_S:
                continue
            fingerprint = found.fingerprint
            known = self.strikes.get(fingerprint, {})
            if any(
                strike.attempt == found.attempt for strike in known.values()
            ):
                continue
            first_at = min(first_at, found.at)
            if found.unanswered is not None:
                unanswered.append(found.unanswered)
            if fingerprint in struck:
                continue
            answered_before += self.is_frequent(fingerprint, now)
            struck[fingerprint] = None
            if self.strike(fingerprint, instance, now, found.attempt):
                convicted.append(fingerprint)
        return Crash(
            instance,
            tuple(struck),
            tuple(convicted),
            answered_before,
            now - first_at,
            tuple(unanswered),
        )

    def strike(
        self, fingerprint: str, instance: str, now: float, attempt: str = ""
    ) -> bool:
        """Adds a strike; returns whether the request is refused from now on.

        Args:
            fingerprint: The request.
            instance: The endpoint; each counts once.
            now: Monotonic seconds.
            attempt: The attempt, if it was this node's.
        """
        known = self.strikes.setdefault(fingerprint, {})
        if instance in known:
            return False
        was_refused = self.is_refused(fingerprint, now)
        known[instance] = Strike(now, attempt)
        self.struck.setdefault(instance, set()).add(fingerprint)
        while len(self.strikes) > MAX_STRUCK:
            self.clear(next(iter(self.strikes)))
        return not was_refused and self.is_refused(fingerprint, now)

    def withdraw(self, instance: str) -> int:
        """Drops the strikes by an endpoint; returns how many there were."""
        fingerprints = self.struck.pop(instance, set())
        for fingerprint in fingerprints:
            known = self.strikes[fingerprint]
            del known[instance]
            if not known:
                del self.strikes[fingerprint]
        return len(fingerprints)

    def clear(self, fingerprint: str) -> int:
        """Drops the strikes of a request; returns how many it had."""
        known = self.strikes.pop(fingerprint, {})
        for instance in known:
            fingerprints = self.struck.get(instance)
            if fingerprints is None:
                continue
            fingerprints.discard(fingerprint)
            if not fingerprints:
                del self.struck[instance]
        return len(known)

    def note_answered(self, fingerprint: str, now: float) -> int:
        """Records a successful response; returns how many strikes it clears."""
        times = self.answered.pop(fingerprint, ())
        self.answered[fingerprint] = (*times, now)[-FREQUENT_ANSWERS:]
        while len(self.answered) > MAX_ANSWERED:
            del self.answered[next(iter(self.answered))]
        return self.clear(fingerprint)

    def is_frequent(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request is answered frequently."""
        times = self.answered.get(fingerprint, ())
        return len(times) >= FREQUENT_ANSWERS and now - times[0] <= ANSWERED_S

    def known_good(
        self, fingerprints: tuple[str, ...], now: float
    ) -> tuple[str, ...]:
        """Returns the requests that this node proves to be harmless."""
        return tuple(
            f
            for f in fingerprints
            if self.is_frequent(f, now)
            and now - self.answered[f][-1] <= FRESH_ANSWER_S
        )

    def most_struck(self, count: int) -> dict[str, tuple[str, ...]]:
        """Returns the requests with most strikes, and their endpoints."""
        found = heapq.nlargest(
            count, self.strikes.items(), key=lambda item: len(item[1])
        )
        return {fingerprint: tuple(known) for fingerprint, known in found}

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request may no longer be sent to any endpoint."""
        known = self.strikes.get(fingerprint)
        if known is None or len(known) < MAX_STRIKES:
            return False
        fresh = {
            instance: strike.at
            for instance, strike in known.items()
            if now - strike.at <= STRIKE_S and instance not in self.explained
        }
        limit = MAX_STRIKES
        if self.is_frequent(fingerprint, now):
            limit = MAX_STRIKES_IF_ANSWERED
        if len(fresh) < limit:
            return False
        if (
            fingerprint in self.answered
            and now - max(fresh.values()) > ANSWERED_REFUSAL_S
        ):
            return False
        reached_at = sorted(fresh.values())[limit - 1]
        return now - reached_at >= AMBIGUOUS_S or self.is_only_suspect(
            fingerprint, fresh
        )

    def is_only_suspect(
        self, fingerprint: str, instances: Iterable[str]
    ) -> bool:
        """Returns whether no other request has a strike by all of these."""
        return not self.find_other_suspect(fingerprint, instances)

    def find_other_suspect(
        self, fingerprint: str, instances: Iterable[str]
    ) -> str:
        """Returns another request with a strike by all of these, or ""."""
        sets = [self.struck.get(instance, set()) for instance in instances]
        return min(set.intersection(*sets) - {fingerprint}, default="")

    def forget_old(self, now: float) -> None:
        """Drops failed attempts and strikes that no longer count."""
        for instance, pending in list(self.broken_attempts.items()):
            if all(now - b.at > CRASH_CONFIRM_S for b in pending.values()):
                del self.broken_attempts[instance]
        for fingerprint, known in list(self.strikes.items()):
            if all(now - strike.at > STRIKE_S for strike in known.values()):
                self.clear(fingerprint)
