"""Which addresses callers are told to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.coordination import membership as memberships
from almondshift.ports import gateway

if TYPE_CHECKING:
    from collections.abc import Callable

HOLD_S = 10.0


class EntryList:
    """Lists this node and its live peers.

    Attributes:
        leaving: Whether this node is leaving, and is left out.
        address: Where callers reach this node.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        address: Callable[[], str],
        zone: str,
    ) -> None:
        self.membership = membership
        self.address = address
        self.zone = zone
        self.leaving = False

    def list(self, account: str) -> gateway.Entries:
        """Returns the addresses, for an account (``""`` if not known)."""
        found = [
            gateway.EntryAddress(peer.entry_address, peer.zone)
            for peer in self.membership.peers()
            if peer.state is memberships.PeerState.ALIVE
        ]
        if not self.leaving:
            found.insert(0, gateway.EntryAddress(self.address(), self.zone))
        return gateway.Entries(tuple(found), HOLD_S)
