"""Tells peers which endpoints crashed on a request, in one fact a request.

A crash is reported by each node that had requests in flight, with all of them.
Where many endpoints crash, these reports take long to reach all nodes, although
few of the requests meet a second crash. Those that do are told by themselves,
before the reports.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from almondshift.policy import crash_strikes
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.relay import group as relay_group

TOPIC = "struck"
"""Topic of the facts; their keys have the form topic/fingerprint/node."""

MIN_STRIKES = 2
"""Strikes from which peers are told of a request by itself."""

MAX_ENDPOINTS = 8
"""Maximum number of endpoints in one fact, the latest ones."""


class StruckRequest(msgspec.Struct, frozen=True):
    """Endpoints that crashed while they ran a request.

    Attributes:
        endpoints: Their instances.
        beside: Another request that all of them ran; "" if none is known.
    """

    endpoints: list[str]
    beside: str = ""


DECODER = msgspec.json.Decoder(StruckRequest)


class StruckRequests:
    """What this node tells its peers of requests with several strikes.

    Attributes:
        group: The other nodes; None before this node has joined them.
        told: Endpoints that peers were told of, by fingerprint.
    """

    def __init__(self, strikes: crash_strikes.CrashStrikes) -> None:
        self.strikes = strikes
        self.group: relay_group.Group | None = None
        self.told: dict[str, tuple[str, ...]] = {}

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to tell peers."""
        self.group = node_group

    def tell(self, fingerprints: Iterable[str]) -> None:
        """Tells peers of those requests that have several strikes."""
        for fingerprint in fingerprints:
            known = tuple(self.strikes.strikes.get(fingerprint, {}))
            endpoints = known[-MAX_ENDPOINTS:]
            if len(endpoints) < MIN_STRIKES:
                self.withdraw(fingerprint)
            elif self.told.get(fingerprint) != endpoints:
                self.publish(fingerprint, endpoints)

    def publish(self, fingerprint: str, endpoints: tuple[str, ...]) -> None:
        """Publishes the fact about a request."""
        if self.group is None:
            return
        self.told[fingerprint] = endpoints
        value = StruckRequest(
            list(endpoints),
            self.strikes.find_other_suspect(fingerprint, endpoints),
        )
        self.group.publish_fact(
            peers.FactKind.QUARANTINE,
            self.key(fingerprint),
            msgspec.json.encode(value),
            crash_strikes.STRIKE_S,
        )

    def withdraw(self, fingerprint: str) -> None:
        """Withdraws what peers were told of a request, if anything."""
        if self.told.pop(fingerprint, None) is None or self.group is None:
            return
        self.group.withdraw_fact(
            peers.FactKind.QUARANTINE, self.key(fingerprint)
        )

    def withdraw_endpoint(self, instance: str) -> None:
        """Corrects what peers were told, as an endpoint did not crash.

        Its strikes were withdrawn before.
        """
        self.tell([f for f, told in self.told.items() if instance in told])

    def forget_old(self) -> None:
        """Drops requests whose strikes are gone."""
        gone = [f for f in self.told if f not in self.strikes.strikes]
        for fingerprint in gone:
            self.withdraw(fingerprint)

    def key(self, fingerprint: str) -> str:
        """Returns the key of this node's fact about a request."""
        assert self.group is not None
        return f"{TOPIC}/{fingerprint}/{self.group.name}"

    def add_from_peer(
        self, fingerprint: str, value: bytes, now: float
    ) -> list[str]:
        """Adds the strikes that a peer tells; returns requests now refused."""
        found = DECODER.decode(value)
        struck = [f for f in (fingerprint, found.beside) if f]
        sound = [f for f in struck if not self.strikes.is_refused(f, now)]
        for instance in found.endpoints:
            for each in struck:
                self.strikes.strike(each, instance, now)
        return [f for f in sound if self.strikes.is_refused(f, now)]
