"""The era of the platform's store in its responses."""

from __future__ import annotations

import pytest

from almondshift.adapters import http_connections
from almondshift.model import revisions
from almondshift.platform import store
from almondshift.ports import stores
from tests import asynchronous
from tests.platform import standin_store


@pytest.mark.parametrize(
    ("text", "era"),
    [
        (None, 0),
        ("3", 3),
        ("", 0),
        ("-1", 0),
        ("1.5", 0),
        ("x", 0),
        ("²", 0),
        ("9" * 4_400, 0),
    ],
)
def test_a_response_names_its_era(text: str | None, era: int) -> None:
    """Otherwise a malformed header would fail calls or hide later eras."""
    headers = [] if text is None else [("store-era", text)]
    head = http_connections.ResponseHead(200, headers)
    assert store.decode_era(head) == era
    assert store.decode_era(None) == 0


@asynchronous.run
async def test_each_response_is_read_for_the_era() -> None:
    """Otherwise nodes would learn of a restored copy only from a change."""
    platform = standin_store.StandinStore()
    await platform.start()
    pool = http_connections.create_connection_pool(1.0)
    client = store.create_platform_store(platform.address, pool)
    risen: list[tuple[int, int]] = []
    client.on_era.append(lambda old, new: risen.append((old, new)))
    try:
        platform.put("t", "k", {"a": 1})
        read = await client.read("t", "k")
        assert read.ok == stores.Row("t", "k", {"a": 1}, 1, era=1)
        copy = platform.copy()
        platform.put("t", "k", {"a": 2})
        platform.go_away()
        platform.restore(copy)
        assert (await client.read("t", "k")).is_error()
        assert client.era == 2
        platform.come_back(copy)
        write = stores.Write("t", "k", {"a": 3}, 7)
        assert (await client.transact([write])).is_error()
        assert client.era == 3
        platform.restore(copy)
        after = revisions.Revision(3, 2).number
        assert (
            await client.wait_for_changes(
                "t", revisions.Revision(0, after), 0.0
            )
        ).ok is None
        assert client.era == 4
        assert risen == [(0, 1), (1, 2), (2, 3), (3, 4)]
        platform.era = None
        assert (await client.read("t", "k")).is_ok()
        assert client.era == 4
    finally:
        pool.close()
        await platform.close()
