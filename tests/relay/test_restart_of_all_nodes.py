"""Nodes that restart together with a large registry."""

from __future__ import annotations

import json
import random

import pytest

from almondshift import log_events
from almondshift.model import revisions
from almondshift.ports import row_feeds
from almondshift.relay import catalogue
from almondshift.relay import peer_rows
from almondshift.relay import table_watch
from tests.coordination import network
from tests.relay import test_catalogue as catalogues
from tests.relay import test_shared_feed as feeds

ENGINES = 3_000
Rows = dict[str, row_feeds.FeedRow]


def registry() -> Rows:
    """Returns a row for each engine."""
    found = {}
    for number in range(ENGINES):
        key = f"engine-{number}"
        entry = {"address": f"10.0.{number // 250}.{number % 250}:80",
                 "kind": "l4", "zone": "a", "born": 1_700_000_000_000,
                 "layers": {"from": 0, "to": 8}}  # fmt: skip
        value = json.dumps(entry).encode()
        found[key] = row_feeds.FeedRow(
            key, value, revisions.Revision(0, number)
        )
    return found


def watch_at(rows: Rows, revision: int) -> table_watch.TableWatch:
    """Returns a watch after a full read at a revision."""
    watch = table_watch.create_table_watch(
        feeds.CountingFeed(), "t", network.ManualClock(), random.Random(1)
    )
    watch._apply_whole(
        row_feeds.TableChange(
            tuple(rows.values()), revisions.Revision(0, revision)
        )
    )
    return watch


def reply_of(
    reader: table_watch.TableWatch, after: int
) -> row_feeds.TableChange:
    """Returns a reader's reply to a node of the current version."""
    return peer_rows.decode_reply(
        reader.encode_rows_after(
            revisions.Revision(0, after), takes_unchanged=True
        )
    )


@pytest.mark.parametrize("takes_unchanged", [False, True])
def test_rows_that_a_node_has_are_not_sent_again(takes_unchanged: bool) -> None:
    """Otherwise readers would send the whole registry to each such node."""
    before = registry()
    node = watch_at(before, 4_000)
    after = {k: r for k, r in before.items() if k != "engine-7"}
    after["engine-8"] = row_feeds.FeedRow(
        "engine-8", b"{}", revisions.Revision(0, 4_001)
    )
    reader = watch_at(after, 4_002)
    taken: list[row_feeds.FeedRow] = []
    node.on_rows = lambda rows, verified: taken.extend(rows)
    body = reader.encode_rows_after(
        revisions.Revision(0, 4_000), takes_unchanged
    )
    node._apply(peer_rows.decode_reply(body))
    live = {k: r for k, r in node.rows.items() if r.value is not None}
    assert live == after
    assert node.revision == revisions.Revision(0, 4_002)
    assert node.complete_since == node.revision
    if takes_unchanged:
        whole = reader.encode_rows_after(revisions.Revision(0, 4_000))
        assert len(body) < len(whole) / 10
        assert [(r.key, r.value) for r in taken] == [
            ("engine-7", None),
            ("engine-8", b"{}"),
        ]


def test_a_row_that_is_newer_than_the_answer_is_kept() -> None:
    """Otherwise a node would drop an engine that a peer just reported."""
    node = watch_at(registry(), 4_000)
    fresh = row_feeds.FeedRow("fresh", b"{}", revisions.Revision(0, 5_000))
    node._apply_peer_rows((fresh,))
    change = reply_of(watch_at(registry(), 4_002), 4_000)
    node._apply(change)
    assert node.rows["fresh"] == fresh


def test_a_node_without_a_copy_gets_all_rows() -> None:
    """Otherwise rows that the node never received would be left out."""
    change = reply_of(watch_at(registry(), 4_002), -1)
    assert change.is_whole
    assert not change.unchanged
    assert len(change.rows) == ENGINES


def test_messages_are_compatible_with_the_previous_version() -> None:
    """Nodes of two versions run side by side during an upgrade."""
    request = peer_rows.decode_request(b'{"after":4000,"wait_s":1.0}')
    assert not request.takes_unchanged
    body = watch_at(registry(), 4_002).encode_rows_after(
        revisions.Revision(0, request.after)
    )
    assert json.loads(body)["unchanged"] == []
    former = b'{"revision":3,"rows":[],"is_whole":false,"age_s":0.1}'
    assert peer_rows.decode_reply(former).unchanged == frozenset()


@pytest.mark.parametrize(
    ("engines", "codes"),
    [(1, ["AS4001"]), (catalogue.MAX_LOGGED_ENGINES + 1, ["AS4011"])],
)
def test_a_read_of_many_engines_is_one_log_line(
    engines: int, codes: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise the log's rate limit would drop lines about decisions.

    This would last for seconds after each start.
    """
    seen: list[str] = []
    monkeypatch.setattr(
        log_events, "emit", lambda logger, event: seen.append(event.code())
    )
    known = catalogues._catalogue()
    rows = [catalogues._row(f"e{i}", catalogues._engine())
            for i in range(engines)]  # fmt: skip
    known.apply_whole_registry(tuple(rows), 0.0, catalogues.NO_OUTAGE)
    assert seen == codes
    known.apply_engine_row(
        catalogues._row("late", catalogues._engine()), 0.0, catalogues.NO_OUTAGE
    )
    assert seen == [*codes, "AS4001"]
