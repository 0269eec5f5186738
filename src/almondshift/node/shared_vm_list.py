"""The platform's list of VMs, from peers while the platform is away."""

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
PEERS_ASKED = 3

Vms = builtins.list[endpoints.Vm]


class SharedVmList(vm_lists.VmList):
    """Reads the platform's list, and at first a peer's if there is none.

    A node that starts while the platform is away would know no endpoint and
    refuse each caller that was sent to it. A peer's list may be old, but not
    older than what that peer itself routes by; endpoints that are gone are
    found out by calling them. Once a list is known, an outage leaves it as it
    is, as it does at the peers.

    Attributes:
        known: The list last read, of the platform or of a peer.
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
        """Returns the platform's list, or a peer's if none was ever read."""
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
        for name in names[:PEERS_ASKED]:
            answer = await self.membership.ask(name, TOPIC, b"", ASK_TIMEOUT_S)
            found = _decode(answer.ok) if answer.is_ok() else None
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
    """Creates the list, and answers peers that ask for it.

    Args:
        platform: The platform's own list.
        membership: Reaches the peers.
        rng: Chooses which peers are asked.
    """
    return SharedVmList(platform, membership, rng)
