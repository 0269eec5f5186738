"""Asks peers for their rows before a node that starts uses its first read.

The store may have returned from an older copy shortly before. Peers have seen
what that copy lacks, and a node that doesn't ask would act on revoked keys.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    import random

    from almondshift.coordination import membership

JOIN_WAIT_S = 1.0
"""Maximum time until the node has joined the group, in seconds; it needs the
store for that, as for the first read."""

ASK_TIMEOUT_S = 0.4
"""Time-out of a request to a peer, in seconds."""

PEERS_ASKED = 3
"""Number of peers asked at once. Addresses of nodes that are gone are among
them for some minutes."""


class FirstRead:
    """Asks peers once the node has joined.

    Attributes:
        joined: Set with the members and the peer addresses in the store.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.joined = asyncio.Event()
        self.members: membership.Membership | None = None
        self.addresses: list[str] = []

    def join(
        self, members: membership.Membership, addresses: list[str]
    ) -> None:
        """Allows questions to the peers at these addresses."""
        own = members.node.peer_address
        self.members = members
        self.addresses = [address for address in addresses if address != own]
        self.joined.set()

    async def ask(self, topic: str, body: bytes) -> list[bytes]:
        """Sends a question to a few peers; returns their replies in time."""
        try:
            async with asyncio.timeout(JOIN_WAIT_S):
                await self.joined.wait()
        except TimeoutError:
            return []
        count = min(PEERS_ASKED, len(self.addresses))
        chosen = self.rng.sample(self.addresses, count)
        replies = await asyncio.gather(
            *(self._ask(address, topic, body) for address in chosen)
        )
        return [reply for reply in replies if reply is not None]

    async def _ask(self, address: str, topic: str, body: bytes) -> bytes | None:
        assert self.members is not None
        question = peer_port.Question(self.members.node.name, "", topic, body)
        result = await self.members.link.call(address, question, ASK_TIMEOUT_S)
        if result.is_error():
            return None
        reply = result.ok
        if not isinstance(reply, peer_port.Answer) or not reply.known:
            return None
        return reply.body


def create_first_read(rng: random.Random) -> FirstRead:
    """Creates it for a node that has not joined yet."""
    return FirstRead(rng)
