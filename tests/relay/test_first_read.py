"""The comparison of a node's first read with the copies of its peers."""

from __future__ import annotations

import random
import types
from typing import Any

import expression
import pytest

from almondshift import errors
from almondshift.model import revisions
from almondshift.ports import peers as peer_port
from almondshift.ports import row_feeds
from almondshift.relay import first_read
from almondshift.relay import row_merge
from almondshift.relay import row_order
from tests import asynchronous
from tests.relay import test_table_watch as watches

OWN = "10.0.0.1:1"


class FakeLink:
    """Replies by address; no reply from addresses that are not listed."""

    def __init__(self, replies: dict[str, peer_port.PeerMessage]) -> None:
        self.replies = replies
        self.asked: list[str] = []

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        self.asked.append(address)
        if address not in self.replies:
            return expression.Error(errors.PeerUnreachable("silent"))
        return expression.Ok(self.replies[address])


@pytest.mark.parametrize(
    ("replies", "expected"),
    [
        ({}, []),
        ({"a": peer_port.Answer(known=True, body=b"x")}, [b"x"]),
        ({"a": peer_port.Answer(known=False, body=b"")}, []),
        ({"a": peer_port.Exchange("a", "", (), (), ())}, []),
    ],
)
@asynchronous.run
async def test_replies_of_the_other_nodes_are_returned(
    replies: dict[str, Any], expected: list[bytes]
) -> None:
    """Guards against a start that fails since peers are gone or older."""
    link = FakeLink(replies)
    members: Any = types.SimpleNamespace(
        link=link, node=types.SimpleNamespace(name="n", peer_address=OWN)
    )
    first = first_read.create_first_read(random.Random(1))
    first.join(members, ["a", OWN, "b"])
    assert await first.ask("t", b"") == expected
    assert sorted(link.asked) == ["a", "b"]


@asynchronous.run
async def test_a_node_that_can_not_join_does_not_wait_for_ever() -> None:
    """Otherwise it would serve nobody while the store takes no writes."""
    first = first_read.create_first_read(random.Random(1))
    assert await first.ask("t", b"") == []


FOUND = revisions.Revision(2, 30)


@pytest.mark.parametrize("is_lasting", [True, False])
@pytest.mark.parametrize(
    ("reply", "age_s", "expected"),
    [
        # A peer that follows the new era lacks what has been removed.
        ((2, 30), 0.1, {"later": b"5", "earlier": b"6"}),
        # One that missed it, or lost the store, may lack what is new.
        ((1, 500), 0.1, {"later": b"5", "earlier": b"6", "gone": b"5"}),
        ((2, 30), 9.0, {"later": b"5", "earlier": b"6", "gone": b"5"}),
    ],
)
def test_peers_correct_the_copy_that_a_node_reads_first(
    is_lasting: bool,
    reply: tuple[int, int],
    age_s: float,
    expected: dict[str, bytes],
) -> None:
    """Otherwise a revoked key or a leaving engine would be used again."""
    revision = revisions.Revision(*reply)
    row = row_feeds.FeedRow
    peers_copy = row_feeds.TableChange(
        (
            row("later", b"4", revision),
            row("earlier", b"6", revision),
            row("own", b"7", revision),
        ),
        revision,
        is_whole=True,
        age_s=age_s,
    )
    own = row_feeds.TableChange(
        (
            row("later", b"5", FOUND),
            row("earlier", b"5", FOUND),
            row("gone", b"5", FOUND),
        ),
        FOUND,
    )
    order = row_order.RowOrder(watches.numbered, is_lasting)
    merged = row_merge.with_peers_copy(own, peers_copy, order)
    wanted = {**expected, "own": b"7"} if is_lasting else expected
    assert {r.key: r.value for r in merged.rows} == wanted
    assert {r.revision for r in merged.rows} == {FOUND}
    assert merged.revision == FOUND
