"""Engines that restart under the same name, and invalid registry rows."""

from __future__ import annotations

import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from almondshift.model import lifetimes
from almondshift.model import registered_engines
from almondshift.model import revisions
from almondshift.platform import decode
from almondshift.ports import row_feeds
from almondshift.relay import catalogue

NO_OUTAGE = -1e9
GOOD = {
    "service": "model",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 96,
    "state": "ready",
    "kind": "big",
    "layers": {"from": 0, "to": 9},
    "born": 1_700_000_000_000,
}


def _catalogue() -> catalogue.Catalogue:
    decoders = catalogue.Decoders(decode.decode_config, decode.decode_engine)
    return catalogue.Catalogue(decoders, "config")


def _row(key: str, value: Any, revision: int = 1) -> row_feeds.FeedRow:
    return row_feeds.FeedRow(
        key, json.dumps(value).encode(), revisions.Revision(0, revision)
    )


def _born(born: int, **changes: Any) -> dict[str, Any]:
    return {**GOOD, "born": born, **changes}


def _instances(known: catalogue.Catalogue) -> list[str]:
    return sorted(known.engines)


@pytest.mark.parametrize(
    ("engine", "born"),
    [("i-1", 0), ("i-1", 17), ("a@b", 0), ("a@b", 3), ("@", 0), ("", 5)],
)
def test_a_lifetime_name_contains_the_engine_name(
    engine: str, born: int
) -> None:
    """The engine refuses requests that expect a name with its start time."""
    lifetime = lifetimes.lifetime_name(engine, born)
    assert lifetimes.engine_name(lifetime) == engine or not engine


@pytest.mark.parametrize(
    ("starts", "expected"),
    [
        ([5], "i@5"),
        ([5, 9], "i@9"),
        ([9, 5], "i@9"),
        ([5, 9, 5], "i@9"),
        ([5, None, 9], "i@9"),
        ([9, None, 5], None),
        ([0], "i"),
        ([0, 7], "i@7"),
    ],
)
def test_the_newest_start_is_current(
    starts: list[int | None], expected: str | None
) -> None:
    """Otherwise streams would wait for layers that no engine holds.

    An engine restarts under its name. An entry of its previous start may arrive
    late from the store or a peer, even after the new start is gone, and must
    not be applied.
    """
    known = _catalogue()
    for revision, born in enumerate(starts, start=1):
        if born is None:
            removal = row_feeds.FeedRow(
                "i", None, revisions.Revision(0, revision)
            )
            known.apply_engine_row(removal, 0.0, NO_OUTAGE)
        else:
            known.apply_engine_row(
                _row("i", _born(born), revision), 0.0, NO_OUTAGE
            )
    assert _instances(known) == ([expected] if expected else [])


def test_a_restart_calls_back_for_the_previous_start_first() -> None:
    """Callbacks for the previous start come before those for the new one.

    Otherwise what they change for the previous start would be recorded for the
    new one.
    """
    known = _catalogue()
    calls_made: list[tuple[str, str]] = []

    def note(
        what: str,
    ) -> Any:
        def callback(engine: registered_engines.RegisteredEngine) -> None:
            calls_made.append((what, engine.instance))

        return callback

    known.on_restarted.append(note("restarted"))
    known.on_gone.append(note("gone"))
    known.on_engine.append(note("engine"))
    known.apply_engine_row(_row("i", _born(5)), 0.0, NO_OUTAGE)
    known.apply_engine_row(_row("i", _born(9, layers=None), 2), 0.0, NO_OUTAGE)
    assert calls_made == [
        ("engine", "i@5"),
        ("restarted", "i@5"),
        ("gone", "i@5"),
        ("engine", "i@9"),
    ]
    assert known.engines["i@9"].layers is None


def test_a_removal_drops_the_current_start() -> None:
    known = _catalogue()
    known.apply_engine_row(_row("i", _born(5)), 0.0, NO_OUTAGE)
    known.apply_engine_row(_row("i", _born(9), 2), 0.0, NO_OUTAGE)
    known.apply_whole_registry((), 1.0, NO_OUTAGE)
    assert _instances(known) == []


HEARTBEAT_S = 1.2
FUTURE = 4_000_000_000_000


def _heartbeats(
    known: catalogue.Catalogue, born: int, count: int, revision: int
) -> None:
    """Applies rows that an engine writes as consecutive heartbeats."""
    for index in range(count):
        row = _row("i", _born(born), revision + index)
        known.apply_engine_row(row, (revision + index) * HEARTBEAT_S, NO_OUTAGE)


@pytest.mark.parametrize("foreign", [9, FUTURE])
def test_a_foreign_start_that_is_not_written_again_is_overturned(
    foreign: int,
) -> None:
    """Otherwise an engine gets no requests until it has a later start time.

    The engine writes its row with each heartbeat. Another writer once writes a
    row under the same name with a later start time, so the engine's own rows
    count as late rows of a previous start. As only the engine's own rows
    continue, they become current again. A further foreign row with that or a
    later start time has no effect.
    """
    known = _catalogue()
    _heartbeats(known, 5, 3, 1)
    known.apply_engine_row(
        _row("i", _born(foreign), 4), 4 * HEARTBEAT_S, NO_OUTAGE
    )
    assert _instances(known) == [f"i@{foreign}"]
    _heartbeats(known, 5, 6, 5)
    assert _instances(known) == ["i@5"]
    for revision, start in ((20, foreign), (21, foreign + 1)):
        row = _row("i", _born(start), revision)
        known.apply_engine_row(row, revision * HEARTBEAT_S, NO_OUTAGE)
        assert _instances(known) == ["i@5"]


def test_a_repeated_late_row_does_not_restore_a_previous_start() -> None:
    """Otherwise streams would wait for layers that the new start doesn't hold.

    One late write of the previous start reaches the store. Peers and full reads
    repeat the same row, which still counts as a single write.
    """
    known = _catalogue()
    _heartbeats(known, 5, 1, 1)
    _heartbeats(known, 9, 1, 2)
    late = _row("i", _born(5), 3)
    for index in range(20):
        known.apply_engine_row(late, 4.0 + index, NO_OUTAGE)
    assert _instances(known) == ["i@9"]


def test_of_two_writers_of_one_name_the_later_start_wins() -> None:
    """Otherwise streams would move back and forth with each row.

    A suspended process of the previous start resumes and writes rows at the
    same time as the new one.
    """
    known = _catalogue()
    _heartbeats(known, 5, 1, 1)
    for revision in range(2, 30, 2):
        _heartbeats(known, 9, 1, revision)
        _heartbeats(known, 5, 1, revision + 1)
        assert _instances(known) == ["i@9"]


def test_a_restart_after_a_rejected_start_is_current_at_once() -> None:
    """Otherwise it would refuse requests for layers that it no longer holds.

    A row with a start time in the far future was rejected. The engine then
    restarts, with a start time between its previous one and the rejected one.
    """
    known = _catalogue()
    _heartbeats(known, 5, 1, 1)
    _heartbeats(known, FUTURE, 1, 2)
    _heartbeats(known, 5, 6, 3)
    _heartbeats(known, 7, 1, 9)
    assert _instances(known) == ["i@7"]


BAD = [
    *({k: v for k, v in GOOD.items() if k != gone} for gone in
      ("service", "address", "state")),
    *({**GOOD, **change} for change in (
        {"service": 3},
        {"address": None},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:x"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"state": "resting"},
        {"state": 1},
        {"slots": "96"},
        {"slots": 0},
        {"slots": -5},
        {"slots": 1e300},
        {"layers": []},
        {"layers": {"from": -3, "to": 9}},
        {"layers": {"from": 9, "to": 3}},
        {"layers": {"from": 0, "to": 10**9}},
        {"layers": {"from": "0", "to": 9}},
        {"born": 1.5},
        {"born": True},
        {"born": "now"},
        {"born": -1},
        {"born": 10**30},
    )),
]  # fmt: skip


@pytest.mark.parametrize("entry", BAD)
@pytest.mark.parametrize("whole", [False, True])
def test_an_entry_that_cannot_be_right_names_no_engine(
    entry: dict[str, Any], whole: bool
) -> None:
    """Invalid rows of other writers must not attract requests.

    Other rows stay valid. An engine whose own row becomes invalid gets no work
    until the row is valid again.
    """
    known = _catalogue()
    known.apply_engine_row(_row("i", GOOD), 0.0, NO_OUTAGE)
    rows = (_row("i", entry, 3), _row("other", GOOD, 4))
    if whole:
        known.apply_whole_registry(rows, 0.0, NO_OUTAGE)
    else:
        for row in rows:
            known.apply_engine_row(row, 0.0, NO_OUTAGE)
    born = GOOD["born"]
    assert _instances(known) == [f"other@{born}"]
    known.apply_engine_row(_row("i", GOOD, 5), 0.0, NO_OUTAGE)
    assert _instances(known) == [f"i@{born}", f"other@{born}"]


VALUES = [
    None, True, -1, 0, 7, 10**20, 1.5, float("nan"), "", "ready", "resting",
    "1.2.3.4:5", "1.2.3.4", "big", [], {}, {"from": 0, "to": 5},
    {"from": -1, "to": 200_000}, {"from": "0"},
]  # fmt: skip
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(sorted(GOOD)), strategies.sampled_from(VALUES)
    ),
    max_size=4,
)
CONTENTS = strategies.one_of(
    CHANGES.map(lambda changes: json.dumps(dict(changes)).encode()),
    CHANGES.map(lambda changes: json.dumps({**GOOD, **dict(changes)}).encode()),
    strategies.binary(max_size=20),
)


@hypothesis.settings(
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
@hypothesis.given(strategies.lists(CONTENTS, max_size=4))
def test_valid_rows_survive_arbitrary_rows_of_other_writers(
    contents: list[bytes],
) -> None:
    """No row of another writer may prevent a node from reading the rest."""
    known = _catalogue()
    rows = [
        row_feeds.FeedRow(
            "good", json.dumps(GOOD).encode(), revisions.Revision(0, 1)
        )
    ]
    rows += [
        row_feeds.FeedRow(
            f"x{index}", content, revisions.Revision(0, index + 2)
        )
        for index, content in enumerate(contents)
    ]
    known.apply_whole_registry(tuple(rows), 0.0, NO_OUTAGE)
    assert f"good@{GOOD['born']}" in known.engines
    for engine in known.engines.values():
        host, _, port = engine.address.rpartition(":")
        assert host and 0 < int(port) <= 65_535 and engine.slots > 0
        if engine.layers is not None:
            assert 0 <= engine.layers.start < engine.layers.end
