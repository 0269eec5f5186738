"""Token rate limits of client accounts, enforced across all nodes.

An account spreads its requests over many nodes. If each node allowed the full
limit, eight nodes would allow eight times as much. With a fixed equal share per
node, an account that uses a single node would get an eighth of what it paid
for.

Each node measures its own usage and receives the usage of the others with a
delay through ``PeerLoad``. ``shares`` computes this node's share from them; the
shares of all nodes add up to the limit after one exchange. The token bucket
holds two seconds of the share, about as long as an exchange takes to reach all
nodes. A request may overdraw the bucket, so that a request larger than the
bucket can still run; the account then waits until the debt is paid.
"""

from __future__ import annotations

import dataclasses
import math

from almondshift.policy import shares

BURST_S = 2.0
USAGE_TIME_CONSTANT_S = 2.0
UNLIMITED_TOKENS_PER_S = 1e12
"""Rate that represents no limit."""
MIN_USAGE_TOKENS_PER_S = 0.5
IDLE_EXPIRY_S = 60.0
MIN_ASSUMED_NODES = 4
"""Minimum number of nodes that equal shares are computed for; all known nodes
if there are fewer."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    at: float
    level: float
    rate: float
    usage: float = 0.0

    def advance(self, at: float, rate: float) -> None:
        elapsed = max(0.0, at - self.at)
        self.usage *= math.exp(-elapsed / USAGE_TIME_CONSTANT_S)
        self.level = min(rate * BURST_S, self.level + elapsed * rate)
        self.rate = rate
        self.at = at


class AccountLimits:
    """Token buckets that refill at this node's share of each limit."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, dict[str, float]] = {}
        self._by_account: dict[str, dict[str, float]] = {}

    def set_peer_usage(self, node: str, tokens_per_s: dict[str, float]) -> None:
        """Updates the usage of accounts that a peer reports."""
        self.forget_peer(node)
        self._peers[node] = tokens_per_s
        for account, usage in tokens_per_s.items():
            self._by_account.setdefault(account, {})[node] = usage

    def forget_peer(self, node: str) -> None:
        """Removes the reported usage of a peer."""
        for account in self._peers.pop(node, {}):
            peer_usage = self._by_account[account]
            peer_usage.pop(node, None)
            if not peer_usage:
                del self._by_account[account]

    def usage(self, account: str, at: float) -> float:
        """Returns this node's own recent usage in tokens per second."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return 0.0
        age = max(0.0, at - bucket.at)
        return (
            bucket.usage
            * math.exp(-age / USAGE_TIME_CONSTANT_S)
            / USAGE_TIME_CONSTANT_S
        )

    def usage_by_account(self, at: float) -> dict[str, float]:
        """Returns this node's own usage by recently active account.

        Also removes buckets that are full again and unused.
        """
        active = {}
        for account in list(self._buckets):
            rate = self.usage(account, at)
            if rate >= MIN_USAGE_TOKENS_PER_S:
                active[account] = rate
            elif at - self._buckets[account].at > IDLE_EXPIRY_S:
                del self._buckets[account]
        return active

    def charge(
        self, account: str, limit: float, cost: float, at: float
    ) -> float:
        """Charges a request, or returns how long to wait.

        Returns:
            0.0 if the request may run and was charged, otherwise the seconds
            until the account's debt on this node is paid.
        """
        rate = (
            self._rate(account, limit, at)
            if limit > 0
            else UNLIMITED_TOKENS_PER_S
        )
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _Bucket(at, rate * BURST_S, rate)
            self._buckets[account] = bucket
        bucket.advance(at, rate)
        if bucket.level <= 0.0:
            return -bucket.level / rate + 1.0 / rate
        bucket.level -= cost
        bucket.usage += cost
        return 0.0

    def refund(self, account: str, cost: float) -> None:
        """Refunds tokens that a request was charged for but did not use."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level += cost
            bucket.usage = max(0.0, bucket.usage - cost)

    def _rate(self, account: str, limit: float, at: float) -> float:
        peer_usage = self._by_account.get(account, {})
        own = self.usage(account, at)
        total = own + sum(peer_usage.values())
        sharers = 1 + len(peer_usage)
        known_nodes = max(sharers, min(1 + len(self._peers), MIN_ASSUMED_NODES))
        return shares.next_share(limit, own, total, sharers, known_nodes)
