"""What nodes say and believe of each other, and the figures of it."""

from __future__ import annotations

import dataclasses
import enum

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class NodeIdentity:
    """What a node says of itself.

    Attributes:
        peer_address: ``host:port`` for peers; ``""`` to take the link's.
        entry_address: ``host:port`` for callers.
        zone: Availability zone.
    """

    name: str
    peer_address: str
    entry_address: str
    zone: str


class PeerState(enum.StrEnum):
    """What is believed of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerInfo:
    """A peer as this node sees it.

    Attributes:
        heard_s: Seconds since it was last heard of.
    """

    name: str
    peer_address: str
    entry_address: str
    zone: str
    state: PeerState
    heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Figures of the exchange.

    Attributes:
        interval_s: Time between rounds.
        fan_out: Peers called in each round.
        urgent_gap_s: Least time between a round and an urgent extra one.
        call_timeout_s: Time that a peer has to answer an exchange.
        message_bytes: Most bytes in one exchange message.
        bytes_per_s: Most bytes sent a second, answers included.
        rotated_digests: Digests in a message beside heartbeats.
        beats_per_s: Heartbeats a second in the whole system; with more
            nodes each beats less often, so that bytes stay constant.
        silent_beats: Heartbeats missed until a node is suspect.
        dropped_beats: Heartbeats missed until it is dropped.
        spread_s: Allowance for the way of a heartbeat through the system.
        failed_calls: Calls failed in a row that make a peer suspect here.
        paused_s: Time without a round after which this process must have
            been frozen, and messages that waited meanwhile are stale.
        seeds_s: Time between calls to an address outside the membership.
        meeting_s: Time after the start in which rounds come more often.
        meeting_interval_s: Time between rounds then.
        max_value_bytes: Longest value of a published fact.
    """

    interval_s: float = 1.0
    fan_out: int = 2
    urgent_gap_s: float = 0.2
    call_timeout_s: float = 1.0
    message_bytes: int = 3_000
    bytes_per_s: float = 14_000.0
    rotated_digests: int = 20
    beats_per_s: float = 20.0
    silent_beats: int = 3
    dropped_beats: int = 10
    spread_s: float = 2.0
    failed_calls: int = 2
    paused_s: float = 5.0
    seeds_s: float = 10.0
    meeting_s: float = 0.0
    meeting_interval_s: float = 0.3
    max_value_bytes: int = 1_500


class NodeValue(msgspec.Struct):
    """The value of a fact about a node.

    Attributes:
        holds_s: Seconds for which the fact holds after the node stated it or
            beat, by the size of the group as that node knew it; 0 if it does
            not say. Peers date its last heartbeat by it: by their own view of
            the size they would take nodes for silent that started in a group
            which was still small.
    """

    peer: str
    entry: str
    zone: str
    leaving: bool = False
    holds_s: float = 0.0
