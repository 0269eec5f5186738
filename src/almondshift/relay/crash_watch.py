"""Refuses requests that crash each endpoint that runs them, on all nodes.

Which request brought an endpoint down is not said by anybody: the node sees
that the endpoint broke off, and some seconds later that it is gone. Peers
tell each other what was in flight at a crash, since callers send such a
request again through any node.
"""

from __future__ import annotations

import hashlib
import itertools
import logging
from typing import TYPE_CHECKING

import msgspec

from almondshift import errors
from almondshift import log_events
from almondshift.policy import crash_strikes
from almondshift.ports import peers

if TYPE_CHECKING:
    from almondshift.model import routed_requests
    from almondshift.ports import clocks
    from almondshift.relay import group as relay_group

FINGERPRINT_BYTES = 8
"""Two of a million requests share a fingerprint once in thirty million days
of such days; a shared one costs a refusal only after three crashes."""

PER_FACT = 50
"""Fingerprints of 16 hex digits in one fact, within its 1,500 bytes."""

MAX_FACTS = 4
"""Facts about one crash; with more in flight than 200 requests on a node the
rest is counted by this node alone."""

RETRY_AFTER_S = 60.0
"""A refused caller may ask again then; strikes last ten minutes, and asking
costs nothing beyond the refusal."""

CRASH = "crash"
CLEARED = "cleared"

FINGERPRINTS = msgspec.json.Decoder(list[str])

logger = logging.getLogger(__name__)


class CrashWatch:
    """Strikes of requests, here and at peers.

    Attributes:
        group: The other nodes; None before they are known.
    """

    def __init__(
        self, clock: clocks.Clock, strikes: crash_strikes.CrashStrikes
    ) -> None:
        self.clock = clock
        self.strikes = strikes
        self.group: relay_group.Group | None = None

    def join(self, joined: relay_group.Group) -> None:
        """Begins to tell peers, and to hear from them."""
        self.group = joined
        joined.on_told(peers.FactKind.QUARANTINE, self.take_fact)

    def check(self, routed: routed_requests.RoutedRequest) -> None:
        """Lets a request pass.

        Raises:
            errors.CrashesEndpoints: It crashed too many endpoints.
        """
        if not self.strikes.strikes:
            return
        if self.is_refused(routed):
            raise errors.CrashesEndpoints(
                "Endpoints crashed while they ran this request.",
                retry_after_s=RETRY_AFTER_S,
            )

    def is_refused(self, routed: routed_requests.RoutedRequest) -> bool:
        """Returns whether a request may reach no endpoint any more."""
        if not self.strikes.strikes:
            return False
        now = self.clock.monotonic()
        return self.strikes.is_refused(fingerprint_of(routed), now)

    def note_broken(
        self, routed: routed_requests.RoutedRequest, sends: int, instance: str
    ) -> None:
        """Notes that an endpoint broke off while it ran a request.

        Args:
            routed: The request.
            sends: How often it has been sent, this time included.
            instance: The endpoint.
        """
        now = self.clock.monotonic()
        attempt = f"{routed.request.request_id}/{sends}"
        self.strikes.broke(fingerprint_of(routed), attempt, instance, now)

    def note_answered(self, routed: routed_requests.RoutedRequest) -> None:
        """Notes that an endpoint ran a request to a good end."""
        now = self.clock.monotonic()
        self.strikes.note_answered(fingerprint_of(routed), now)

    def endpoint_gone(self, instance: str, was_leaving: bool) -> None:
        """Counts what an endpoint broke off before it was gone."""
        if was_leaving:
            self.strikes.breaks.pop(instance, None)
            return
        crash = self.strikes.crashed(instance, self.clock.monotonic())
        if not crash.fingerprints:
            return
        self.log_convicted(crash.convicted)
        self.tell(CRASH, instance, crash.fingerprints)

    def tell(
        self, topic: str, instance: str, fingerprints: tuple[str, ...]
    ) -> None:
        """Tells peers of fingerprints, some in each fact."""
        if self.group is None:
            return
        for index, start in enumerate(
            itertools.islice(range(0, len(fingerprints), PER_FACT), MAX_FACTS)
        ):
            part = list(fingerprints[start : start + PER_FACT])
            self.group.tell(
                peers.FactKind.QUARANTINE,
                f"{topic}/{instance}/{self.group.name}/{index}",
                msgspec.json.encode(part),
                crash_strikes.STRIKE_S,
            )

    def take_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Takes what a peer says of a crash, or of answered requests."""
        if fact is None or self.group is None:
            return
        if fact.origin == self.group.name:
            return
        topic, _, rest = key.partition("/")
        instance = rest.partition("/")[0]
        fingerprints = tuple(FINGERPRINTS.decode(fact.value))
        now = self.clock.monotonic()
        if topic == CLEARED:
            for fingerprint in fingerprints:
                self.strikes.note_answered(fingerprint, now)
            return
        name = f"{fact.origin}/{instance}"
        self.log_convicted(
            tuple(f for f in fingerprints if self.strikes.strike(f, name, now))
        )
        good = self.strikes.known_good(fingerprints)
        if good:
            self.tell(CLEARED, instance, good)

    def log_convicted(self, fingerprints: tuple[str, ...]) -> None:
        """Logs requests that are refused from now on."""
        for fingerprint in fingerprints:
            log_events.emit(
                logger,
                log_events.QuarantineConvicted(
                    request_id="",
                    fingerprint=fingerprint,
                    expires_s=crash_strikes.STRIKE_S,
                ),
            )


def fingerprint_of(routed: routed_requests.RoutedRequest) -> str:
    """Returns what a request has in common with its repeats."""
    request = routed.request
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (routed.account, request.host, request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def create_crash_watch(clock: clocks.Clock) -> CrashWatch:
    """Creates a watch that knows of no crash."""
    return CrashWatch(clock, crash_strikes.CrashStrikes())
