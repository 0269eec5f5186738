"""Facts about suspects, as nodes tell them to each other."""

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

NOTHING = b"{}"
"""The value of a fact whose key says all."""


class CrashValue(pydantic.BaseModel):
    """The value of a fact about a crash."""

    endpoint: str
    zone: str
    fingerprints: list[str]
    alone: bool
    firm: bool


class TrialValue(pydantic.BaseModel):
    """The value of a fact about a suspect that runs alone."""

    endpoints: list[str]


class QuarantineFacts:
    """Tells peers of suspects.

    Attributes:
        told_running: Suspects that peers were told to be under way here.
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
        self.told_running: set[str] = set()

    def tell_crash(self, key: str, crash: quarantine_crashes.Crash) -> None:
        """Tells of an own crash, if anything was in flight."""
        if crash.void or not crash.fingerprints:
            return
        value = CrashValue(
            endpoint=crash.endpoint,
            zone=crash.zone,
            fingerprints=sorted(crash.fingerprints),
            alone=crash.alone,
            firm=crash.firm,
        )
        content = value.model_dump_json().encode()
        self.tell(key, content, self.settings.suspicion_s)

    def tell_convicted(self, fingerprint: str) -> None:
        """Tells that a request is refused everywhere from now on."""
        for_s = self.settings.conviction_s
        self.tell(f"convicted/{fingerprint}", NOTHING, for_s)

    def tell_cleared(self, fingerprint: str) -> None:
        """Tells that a request is no suspect any more."""
        for_s = self.settings.suspicion_s
        self.tell(f"cleared/{fingerprint}", NOTHING, for_s)

    def tell_trial(self, fingerprint: str, endpoints: frozenset[str]) -> None:
        """Tells which endpoints are kept free for a suspect."""
        value = TrialValue(endpoints=sorted(endpoints)).model_dump_json()
        self.tell(f"trial/{fingerprint}", value.encode(), self.settings.trial_s)

    def tell_trial_ended(self, fingerprint: str) -> None:
        """Tells that they are free again."""
        self.take_back(f"trial/{fingerprint}")

    def tell_running(self, fingerprint: str) -> None:
        """Tells that a new suspect is already under way here."""
        if fingerprint in self.told_running:
            return
        self.told_running.add(fingerprint)
        key = f"running/{fingerprint}/{self.node}"
        self.tell(key, NOTHING, self.settings.trial_s)

    def tell_ended(self, fingerprint: str) -> None:
        """Tells that a suspect no longer runs freely here."""
        self.told_running.discard(fingerprint)
        self.take_back(f"running/{fingerprint}/{self.node}")

    def tell(self, key: str, value: bytes, ttl_s: float) -> None:
        """Publishes a fact."""
        self.publish(peers.FactKind.QUARANTINE, key, value, ttl_s)

    def take_back(self, key: str) -> None:
        """Withdraws a fact."""
        self.withdraw(peers.FactKind.QUARANTINE, key)


def decode_crash(
    fact: peers.Fact, at: float
) -> quarantine_crashes.Crash | None:
    """Returns the crash that a peer tells of; None if it can't be read."""
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
    )


def decode_trial(fact: peers.Fact) -> frozenset[str] | None:
    """Returns the endpoints that a peer keeps free; None if unreadable."""
    try:
        value = TrialValue.model_validate_json(fact.value)
    except pydantic.ValidationError:
        return None
    return frozenset(value.endpoints)
