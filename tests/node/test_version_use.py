from __future__ import annotations

from unittest import mock

import pytest

from almondshift.coordination import membership as memberships
from almondshift.coordination import peer_types
from almondshift.node import version_use


def _version_use(*peers: tuple[str, str, float]) -> version_use.VersionUse:
    membership = mock.create_autospec(memberships.Membership, instance=True)
    membership.peers.return_value = [
        peer_types.PeerInfo(name, "", "", "z", peer_types.PeerState(state), s)
        for name, state, s in peers
    ]
    return version_use.VersionUse(membership)


@pytest.mark.parametrize(
    ("state", "silence_s", "expected"),
    [
        ("alive", 0.0, {("m", 2), ("m", 1)}),
        ("alive", 20.0, {("m", 2), ("m", 1)}),
        ("leaving", 0.0, {("m", 2), ("m", 1)}),
        ("suspect", 1.5, {("m", 2), ("m", 1)}),
        ("suspect", 5.0, {("m", 2)}),
    ],
)
def test_versions_count_while_their_node_responds(
    state: str, silence_s: float, expected: set[tuple[str, int]]
) -> None:
    """Guards against a dead or frozen node that keeps an old version."""
    use = _version_use(("n2", state, silence_s))
    use.own_versions = lambda: {("m", 2)}
    use.peer_published("n2", {"m": [1, 2]})
    use.peer_published("n3", {"m": [7]})
    assert use.in_use() == expected


@pytest.mark.parametrize(
    "published", [None, [], "m", {"m": 1}, {"m": ["1"]}, {"m": [1.5]}]
)
def test_invalid_versions_of_a_peer_replace_earlier_ones(
    published: object,
) -> None:
    use = _version_use(("n2", "alive", 0.0))
    use.peer_published("n2", {"m": [1]})
    use.peer_published("n2", published)
    assert use.in_use() == set()


def test_published_versions_fit_into_a_fact() -> None:
    use = _version_use()
    use.own_versions = lambda: {(f"model-{i}", 1) for i in range(500)}
    assert 10 < len(use.own()) < 40
