"""The platform's VM list, with a fallback to peers at start-up."""

from __future__ import annotations

import builtins
from typing import TYPE_CHECKING

import expression
import msgspec

from almondshift.model import endpoints
from almondshift.ports import vm_lists

if TYPE_CHECKING:
    import random

    from almondshift import errors
    from almondshift.coordination import membership as memberships

TOPIC = "vm list"
ASK_TIMEOUT_S = 1.0
MAX_PEERS_ASKED = 3

Vms = builtins.list[endpoints.Vm]


class SharedVmList(vm_lists.VmList):
    """Reads the platform's list, or a peer's if none was read so far.

    A node that starts while the platform is unavailable would know no
    endpoint and refuse all its callers. A peer's list may be outdated, but
    the peer itself routes by it, and calls to endpoints that are gone fail.
    Once a list is known, it stays in use during an outage, as on the peers.

    Attributes:
        known: The last list read, from the platform or a peer.
    """

    def __init__(
        self,
        platform: vm_lists.VmList,
        membership: memberships.Membership,
        rng: random.Random,
    ) -> None:
        self.platform = platform
        self.membership = membership
        self.rng = rng
        self.known: Vms | None = None
        membership.answer(TOPIC, self._answer)

    async def list(
        self,
    ) -> expression.Result[Vms, errors.StoreUnavailable]:
        """Returns the platform's list, or a peer's if none was read so far."""
        result = await self.platform.list()
        if result.is_ok():
            self.known = result.ok
            return result
        if self.known is None:
            self.known = await self._ask_peers()
            if self.known is not None:
                return expression.Ok(self.known)
        return result

    async def _ask_peers(self) -> Vms | None:
        names = [peer.name for peer in self.membership.peers()]
        self.rng.shuffle(names)
        for name in names[:MAX_PEERS_ASKED]:
            reply = await self.membership.ask(name, TOPIC, b"", ASK_TIMEOUT_S)
            found = _decode(reply.ok) if reply.is_ok() else None
            if found:
                return found
        return None

    async def _answer(self, sender: str, body: bytes) -> bytes:
        return msgspec.json.encode(self.known or [])


def _decode(body: bytes) -> Vms | None:
    try:
        return msgspec.json.decode(body, type=Vms)
    except msgspec.MsgspecError:
        return None


def create_shared_vm_list(
    platform: vm_lists.VmList,
    membership: memberships.Membership,
    rng: random.Random,
) -> SharedVmList:
    """Creates the list and registers it for queries of peers.

    Args:
        platform: The platform's own list.
        membership: Used to query peers and to reply to them.
        rng: Selects the peers to query.
    """
    return SharedVmList(platform, membership, rng)
