"""Types for nodes and their peers, and the settings of membership."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What a node publishes about itself.

    Attributes:
        peer_address: ``host:port`` for peers; ``""`` to use the link's.
        entry_address: ``host:port`` for callers.
        zone: Availability zone.
    """

    name: str
    peer_address: str
    entry_address: str
    zone: str


class PeerState(enum.StrEnum):
    """State of a peer as seen by this node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInfo:
    """A peer as this node sees it.

    Attributes:
        silence_s: Seconds since the last sign of life.
    """

    name: str
    peer_address: str
    entry_address: str
    zone: str
    state: PeerState
    silence_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the exchange between nodes.

    Attributes:
        interval_s: Time between rounds.
        fan_out: Peers called in each round.
        urgent_gap_s: Minimum time between a round and an urgent extra one.
        call_timeout_s: Timeout of one exchange call.
        message_bytes: Maximum size of an exchange message.
        bytes_per_s: Maximum bytes sent per second, including replies.
        rotated_digests: Digests in a message besides heartbeats.
        heartbeats_per_s: Heartbeats per second in the whole system; with more
            nodes each sends fewer, so that the traffic stays constant.
        suspect_after_heartbeats: Missed heartbeats after which a node is
            suspect.
        drop_after_heartbeats: Missed heartbeats after which it is dropped.
        propagation_s: Allowance for the propagation of a heartbeat to all
            nodes.
        failed_calls: Consecutive failed calls by this node that make a peer
            suspect.
        pause_threshold_s: Time without a round after which this process must
            have been frozen, and messages that waited meanwhile are stale.
        seed_interval_s: Time between calls to an address outside the
            membership.
        startup_s: Time after the start in which rounds are more frequent.
        startup_interval_s: Time between rounds during that time.
        max_value_bytes: Maximum size of the value of a published fact.
    """

    interval_s: float = 1.0
    fan_out: int = 2
    urgent_gap_s: float = 0.2
    call_timeout_s: float = 1.0
    message_bytes: int = 3_000
    bytes_per_s: float = 14_000.0
    rotated_digests: int = 20
    heartbeats_per_s: float = 20.0
    suspect_after_heartbeats: int = 3
    drop_after_heartbeats: int = 10
    propagation_s: float = 2.0
    failed_calls: int = 2
    pause_threshold_s: float = 5.0
    seed_interval_s: float = 10.0
    startup_s: float = 0.0
    startup_interval_s: float = 0.3
    max_value_bytes: int = 1_500


class NodeValue(msgspec.Struct):
    """The value of a fact about a node.

    Attributes:
        holds_s: Seconds for which the fact is valid after the node published
            it or sent a heartbeat, based on the group size as that node knew
            it; 0 if unset. Peers compute the time of its last heartbeat from
            it. If they used their own view of the group size instead, they
            would consider nodes silent that started while the group was still
            small.
    """

    peer: str
    entry: str
    zone: str
    leaving: bool = False
    holds_s: float = 0.0
