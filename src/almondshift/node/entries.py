"""Selects the node addresses that callers are told to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.coordination import membership as memberships
from almondshift.coordination import peer_types
from almondshift.policy import entries
from almondshift.ports import gateway

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.model import fleet
    from almondshift.node import load_exchange
    from almondshift.ports import clocks


class EntryList:
    """Lists the entry addresses of this node and its peers.

    Attributes:
        leaving: Whether this node is leaving.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        loads: load_exchange.LoadExchange,
        current_fleet: Callable[[], fleet.Fleet | None],
        address: Callable[[], str],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.membership = membership
        self.loads = loads
        self.current_fleet = current_fleet
        self.address = address
        self.clock = clock
        self.rng = rng
        self.leaving = False

    def entries_for(self, account: str) -> gateway.Entries:
        """Returns the addresses for an account (``""`` if not known)."""
        nodes = [self._own(), *self._peers()]
        zones = {node.address: node.zone for node in nodes}
        chosen = entries.entries_for(
            nodes, account, self._share(account), self.rng
        )
        return gateway.Entries(
            tuple(
                gateway.EntryAddress(address, zones[address])
                for address in chosen.addresses
            ),
            chosen.hold_seconds,
        )

    def _own(self) -> entries.EntryNode:
        return entries.EntryNode(
            name=self.membership.node.name,
            address=self.address(),
            zone=self.membership.node.zone,
            leaving=self.leaving,
            age_s=0.0,
            load=self.loads.meter.load(self.clock.monotonic()),
        )

    def _peers(self) -> list[entries.EntryNode]:
        return [
            entries.EntryNode(
                name=peer.name,
                address=peer.entry_address,
                zone=peer.zone,
                leaving=peer.state is peer_types.PeerState.LEAVING,
                age_s=_age_s(peer),
                load=self.loads.peer_loads.get(peer.name, 0.0),
            )
            for peer in self.membership.peers()
            if peer.entry_address
        ]

    def _share(self, account: str) -> float:
        current = self.current_fleet()
        if current is None or account not in current.accounts:
            return 0.0
        total = sum(a.weight for a in current.accounts.values())
        return current.accounts[account].weight / total


def _age_s(peer: peer_types.PeerInfo) -> float:
    """Returns an age beyond the staleness limit for a suspect, else 0.

    The time between heartbeats of a node depends on the number of nodes, so
    the failure detection of the membership decides, not a number of seconds.
    """
    if peer.state is peer_types.PeerState.SUSPECT:
        return 2 * entries.STALE_S
    return 0.0
