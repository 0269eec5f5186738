from __future__ import annotations

import dataclasses
import json
from typing import Any

import pytest

from almondshift.model import revisions
from almondshift.platform import decode
from almondshift.ports import row_feeds
from almondshift.relay import catalogue
from tests.platform import standin_system

NO_OUTAGE = -1e9


def _catalogue() -> catalogue.Catalogue:
    decoders = catalogue.Decoders(decode.decode_config, decode.decode_engine)
    return catalogue.Catalogue(decoders, "config")


def _row(key: str, value: Any, revision: int = 1) -> row_feeds.FeedRow:
    content = None if value is None else json.dumps(value).encode()
    return row_feeds.FeedRow(key, content, revisions.Revision(0, revision))


def _engine(state: str = "ready") -> dict[str, Any]:
    return {"service": "s", "address": "1.1.1.1:1", "state": state}


@pytest.mark.parametrize(
    ("versions", "expected"),
    [([3, 7], 7), ([7, 3], 7), ([7, 7], 7), ([1, None, 2], 2), ([5, "x"], 5)],
)
def test_the_configuration_never_goes_back(
    versions: list[Any], expected: int
) -> None:
    """Otherwise a removed route or key would become valid again.

    Rows arrive from the store and from peers in any order; some are malformed.
    """
    known = _catalogue()
    for version in versions:
        value = None
        if version is not None:
            value = standin_system.config()
            value["version"] = version
        known.apply_config_row(_row("config", value), True)
    assert known.config is not None
    assert known.config.version == expected


@pytest.mark.parametrize(
    ("outage_ended_at", "removed_at", "kept_until"),
    [
        (NO_OUTAGE, 10.0, 10.0),
        (9.0, 10.0, 10.8),
        (9.9, 10.0, 11.7),
        (5.0, 10.0, 10.0),
    ],
)
def test_entries_that_expire_in_a_store_outage_are_kept_for_a_while(
    outage_ended_at: float, removed_at: float, kept_until: float
) -> None:
    """Otherwise callers would be refused although all engines are alive.

    After an outage the store lacks the entries that expired during it. Live
    engines write them again within two seconds; others are gone.
    """
    known = _catalogue()
    known.apply_engine_row(_row("i", _engine()), 0.0, NO_OUTAGE)
    known.apply_engine_row(_row("i", None, 2), removed_at, outage_ended_at)
    known.expire_removals(kept_until - 0.05)
    assert ("i" in known.engines) is (kept_until > removed_at)
    known.expire_removals(kept_until + 0.05)
    assert "i" not in known.engines


def test_an_entry_that_comes_back_in_time_stays() -> None:
    known = _catalogue()
    known.apply_engine_row(_row("i", _engine()), 0.0, NO_OUTAGE)
    known.apply_whole_registry((), 10.0, 9.9)
    known.apply_engine_row(_row("i", _engine(), 3), 10.5, 9.9)
    known.expire_removals(20.0)
    assert "i" in known.engines


def test_on_leaving_is_called_once() -> None:
    known = _catalogue()
    reported: list[str] = []
    known.on_leaving.append(lambda engine: reported.append(engine.instance))
    for revision, state in enumerate(["ready", "draining", "draining"]):
        known.apply_engine_row(
            _row("i", _engine(state), revision), 0.0, NO_OUTAGE
        )
    assert reported == ["i"]


def test_an_engine_with_an_unreadable_entry_gets_no_work() -> None:
    known = _catalogue()
    known.apply_engine_row(_row("i", _engine()), 0.0, NO_OUTAGE)
    known.apply_engine_row(
        row_feeds.FeedRow("i", b"{", revisions.Revision(0, 2)), 0.0, NO_OUTAGE
    )
    assert "i" not in known.engines


@pytest.mark.parametrize(
    ("later", "reason"),
    [
        (None, catalogue.LEFT),
        ({"service": 1}, catalogue.UNREADABLE),
        ({**_engine(), "born": 5}, catalogue.RESTARTED),
    ],
)
def test_the_log_states_why_an_engine_is_gone(
    later: Any, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Otherwise on-call would search for an engine that is still alive."""
    known = _catalogue()
    known.apply_engine_row(_row("i", _engine()), 0.0, NO_OUTAGE)
    known.apply_engine_row(_row("i", later, 2), 0.0, NO_OUTAGE)
    reported = [r.reason for r in caplog.records if hasattr(r, "reason")]
    assert reported == [reason]


def test_an_entry_that_no_decoder_foresaw_hides_no_other() -> None:
    """Guards against one entry that ends each read of the registry."""
    known = _catalogue()
    decode_engine = known.decoders.engine

    def fail_for_odd(key: str, content: bytes) -> Any:
        if key == "odd":
            raise OverflowError("out of range")
        return decode_engine(key, content)

    known.decoders = dataclasses.replace(known.decoders, engine=fail_for_odd)
    rows = (_row("odd", _engine()), _row("i", _engine()))
    known.apply_whole_registry(rows, 0.0, NO_OUTAGE)
    assert set(known.engines) == {"i"}
