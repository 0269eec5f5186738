"""An account's limit of tokens a second, over all nodes.

Load pattern: an account that spreads its requests over many nodes. If each
node allowed the whole limit, eight nodes would allow eight times as much;
an equal part for each would hold an account that uses one node to an eighth
of what it paid for. Grounds: each node sees what it uses itself and hears
late, through ``PeerLoad``, what the others use; ``shares`` turns that into a
part that sums up to the limit after one exchange. The bucket holds two
seconds of the part, about one exchange and its spread through the nodes; a
request may put it into debt, so that a request larger than the bucket can
still run, and then waits out the debt.
"""

from __future__ import annotations

import dataclasses
import math

from almondshift.policy import shares

BUCKET_S = 2.0
USE_MEMORY_S = 2.0
UNLIMITED = 1e12
"""Tokens a second that stand for no limit."""
MIN_USE = 0.5
FORGET_S = 60.0
MIN_SHARE_KNOWN = 4
"""Divisor of a part when few nodes are known to use the account."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    at: float
    level: float
    rate: float
    use: float = 0.0

    def advance(self, at: float, rate: float) -> None:
        elapsed = max(0.0, at - self.at)
        self.use *= math.exp(-elapsed / USE_MEMORY_S)
        self.level = min(rate * BUCKET_S, self.level + elapsed * rate)
        self.rate = rate
        self.at = at


class AccountLimits:
    """Token buckets whose rate is this node's part of each limit."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, dict[str, float]] = {}
        self._by_account: dict[str, dict[str, float]] = {}

    def peer_used(self, node: str, tokens_per_s: dict[str, float]) -> None:
        """Takes what a peer says that accounts use through it."""
        self.peer_gone(node)
        self._peers[node] = tokens_per_s
        for account, use in tokens_per_s.items():
            self._by_account.setdefault(account, {})[node] = use

    def peer_gone(self, node: str) -> None:
        """Forgets a peer."""
        for account in self._peers.pop(node, {}):
            users = self._by_account[account]
            users.pop(node, None)
            if not users:
                del self._by_account[account]

    def use(self, account: str, at: float) -> float:
        """Returns this node's own recent use in tokens a second."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return 0.0
        age = max(0.0, at - bucket.at)
        return bucket.use * math.exp(-age / USE_MEMORY_S) / USE_MEMORY_S

    def uses(self, at: float) -> dict[str, float]:
        """Returns the own use of each account that used something lately.

        Buckets that are full again and unused are forgotten here.
        """
        found = {}
        for account in list(self._buckets):
            rate = self.use(account, at)
            if rate >= MIN_USE:
                found[account] = rate
            elif at - self._buckets[account].at > FORGET_S:
                del self._buckets[account]
        return found

    def charge(
        self, account: str, limit: float, cost: float, at: float
    ) -> float:
        """Charges a request, or says how long to wait.

        Returns:
            0.0 if the request may run and was charged, else the seconds
            until the account is out of debt on this node.
        """
        rate = self._rate(account, limit, at) if limit > 0 else UNLIMITED
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = _Bucket(at, rate * BUCKET_S, rate)
            self._buckets[account] = bucket
        bucket.advance(at, rate)
        if bucket.level <= 0.0:
            return -bucket.level / rate + 1.0 / rate
        bucket.level -= cost
        bucket.use += cost
        return 0.0

    def refund(self, account: str, cost: float) -> None:
        """Gives back what a request was charged and did not use."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level += cost
            bucket.use = max(0.0, bucket.use - cost)

    def _rate(self, account: str, limit: float, at: float) -> float:
        users = self._by_account.get(account, {})
        own = self.use(account, at)
        total = own + sum(users.values())
        sharers = 1 + len(users)
        known = max(sharers, min(1 + len(self._peers), MIN_SHARE_KNOWN))
        return shares.next_share(limit, own, total, sharers, known)
