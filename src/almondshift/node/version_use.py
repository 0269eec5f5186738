"""Which versions of models the requests of all nodes run on.

While a version is being replaced, an engine without sessions may still be
needed: a request whose stage has failed has no session for it anywhere until
another engine takes the stage over. Each node therefore publishes the versions
that its requests run on or start on, which takes one number a model and node
most of the time. Counts of sessions or requests of each engine would be
incomplete in large groups, whose facts are short.

A version counts as unused by a node once the node has published so, and not
from the moment at which the new version is complete: until then the node may
begin requests of the old one. A node that stays silent doesn't count, so that
one that died or is frozen doesn't keep a version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from almondshift.coordination import peer_types

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from almondshift.coordination import membership as memberships

ModelVersion = tuple[str, int]

MAX_PUBLISHED_BYTES = 400
VERSION_BYTES = 16
"""Bytes of a version in a fact, besides the name of its model."""

MAX_SILENCE_S = 5.0
"""Silence in seconds after which a suspect peer no longer counts. A peer is
suspect after two failed calls already, so also after a pause of a second."""


class VersionUse:
    """Collects the versions in use from this node and its peers.

    Attributes:
        own_versions: Returns what this node's requests run on or start on.
        on_change: Called when a peer published other versions than before.
        peers: Versions in use by node, as last published.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        self.membership = membership
        self.own_versions: Callable[[], Collection[ModelVersion]] = set
        self.on_change: Callable[[], None] = lambda: None
        self.peers: dict[str, frozenset[ModelVersion]] = {}

    def own(self) -> dict[str, list[int]]:
        """Returns the versions that this node uses, by model.

        As many as fit into a fact, sorted.
        """
        found: dict[str, list[int]] = {}
        left = MAX_PUBLISHED_BYTES
        for model, version in sorted(self.own_versions()):
            left -= len(model.encode()) + VERSION_BYTES
            if left < 0:
                break
            found.setdefault(model, []).append(version)
        return found

    def peer_published(self, node: str, versions: Any) -> None:
        """Records what a peer published; nothing if it is invalid.

        A node of an earlier release publishes no versions.
        """
        try:
            found = msgspec.convert(versions or {}, dict[str, list[int]])
        except msgspec.ValidationError:
            found = {}
        before = self.peers.get(node)
        self.peers[node] = frozenset(
            (model, version) for model in found for version in found[model]
        )
        if self.peers[node] != before:
            self.on_change()

    def peer_gone(self, node: str) -> None:
        """Forgets a peer whose facts have expired."""
        self.peers.pop(node, None)

    def in_use(self) -> frozenset[ModelVersion]:
        """Returns the versions that this node or a live peer uses."""
        found = set(self.own_versions())
        for peer in self.membership.peers():
            if (
                peer.state is not peer_types.PeerState.SUSPECT
                or peer.silence_s < MAX_SILENCE_S
            ):
                found |= self.peers.get(peer.name, frozenset())
        return frozenset(found)
