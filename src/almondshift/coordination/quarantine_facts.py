"""Encodes and publishes the facts about suspects."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pydantic

from almondshift.coordination import quarantine_crashes
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.coordination import quarantine_verdicts

    Publish = Callable[[peers.FactKind, str, bytes, float], None]
    Withdraw = Callable[[peers.FactKind, str], None]

EMPTY_VALUE = b"{}"
"""Value of a fact whose key holds all information."""


class CrashValue(pydantic.BaseModel):
    """The value of a fact about a crash."""

    endpoint: str
    zone: str
    fingerprints: list[str]
    alone: bool
    firm: bool
    replaying: list[str] = []


class TrialValue(pydantic.BaseModel):
    """The value of a fact about a suspect that runs alone."""

    endpoints: list[str]


class QuarantinePublisher:
    """Publishes facts about suspects to peers.

    Attributes:
        published_running: Suspects that were published as running here.
    """

    def __init__(
        self,
        settings: quarantine_verdicts.QuarantineSettings,
        node: str,
        publish: Publish,
        withdraw: Withdraw,
    ) -> None:
        self.settings = settings
        self.node = node
        self.publish = publish
        self.withdraw = withdraw
        self.published_running: set[str] = set()

    def publish_crash(self, key: str, crash: quarantine_crashes.Crash) -> None:
        """Publishes an own crash if any request was in flight."""
        if crash.excluded or not crash.fingerprints:
            return
        value = CrashValue(
            endpoint=crash.endpoint,
            zone=crash.zone,
            fingerprints=sorted(crash.fingerprints),
            alone=crash.alone,
            firm=crash.firm,
            replaying=sorted(crash.replaying),
        )
        content = value.model_dump_json().encode()
        self.publish_fact(key, content, self.settings.suspicion_s)

    def publish_convicted(self, fingerprint: str) -> None:
        """Publishes that all nodes have to refuse a request from now on."""
        ttl_s = self.settings.conviction_s
        self.publish_fact(f"convicted/{fingerprint}", EMPTY_VALUE, ttl_s)

    def publish_cleared(self, fingerprint: str) -> None:
        """Publishes that a request is no longer a suspect."""
        ttl_s = self.settings.suspicion_s
        self.publish_fact(f"cleared/{fingerprint}", EMPTY_VALUE, ttl_s)

    def publish_trial(
        self, fingerprint: str, endpoints: frozenset[str]
    ) -> None:
        """Publishes which endpoints are reserved for a suspect."""
        value = TrialValue(endpoints=sorted(endpoints)).model_dump_json()
        self.publish_fact(
            f"trial/{fingerprint}", value.encode(), self.settings.trial_s
        )

    def publish_trial_ended(self, fingerprint: str) -> None:
        """Publishes that these endpoints are released."""
        self.withdraw_fact(f"trial/{fingerprint}")

    def publish_running(self, fingerprint: str) -> None:
        """Publishes that a request that became a suspect is running here."""
        if fingerprint in self.published_running:
            return
        self.published_running.add(fingerprint)
        key = f"running/{fingerprint}/{self.node}"
        self.publish_fact(key, EMPTY_VALUE, self.settings.trial_s)

    def publish_ended(self, fingerprint: str) -> None:
        """Publishes that a suspect no longer runs here."""
        self.published_running.discard(fingerprint)
        self.withdraw_fact(f"running/{fingerprint}/{self.node}")

    def publish_fact(self, key: str, value: bytes, ttl_s: float) -> None:
        """Publishes a QUARANTINE fact."""
        self.publish(peers.FactKind.QUARANTINE, key, value, ttl_s)

    def withdraw_fact(self, key: str) -> None:
        """Withdraws a QUARANTINE fact."""
        self.withdraw(peers.FactKind.QUARANTINE, key)


def decode_crash(
    fact: peers.Fact, at: float
) -> quarantine_crashes.Crash | None:
    """Decodes a peer's crash; None if the value is invalid."""
    try:
        value = CrashValue.model_validate_json(fact.value)
    except pydantic.ValidationError:
        return None
    return quarantine_crashes.Crash(
        value.endpoint,
        value.zone,
        at,
        set(value.fingerprints),
        value.alone,
        value.firm,
        replaying=frozenset(value.replaying),
    )


def decode_trial(fact: peers.Fact) -> frozenset[str] | None:
    """Decodes the endpoints that a peer reserved; None if invalid."""
    try:
        value = TrialValue.model_validate_json(fact.value)
    except pydantic.ValidationError:
        return None
    return frozenset(value.endpoints)
