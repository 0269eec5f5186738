from __future__ import annotations

import asyncio
import json
import socket
import time
from typing import Any
from urllib import parse

import pytest
from tornado import httpclient

from almondshift.platform import names
from tests.soak import store_process

Absence = store_process.Absence
AWAY_S = 0.3


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class StoreClient:
    """Calls a store as nodes and the harness do."""

    def __init__(self, store: store_process.SoakStore) -> None:
        self.store = store
        self.http = httpclient.AsyncHTTPClient(force_instance=True)

    async def get(self, path: str, **query: Any) -> httpclient.HTTPResponse:
        return await self.fetch(f"{path}?{parse.urlencode(query)}")

    async def post(self, path: str, body: Any) -> httpclient.HTTPResponse:
        return await self.fetch(path, method="POST", body=json.dumps(body))

    async def fetch(self, target: str, **more: Any) -> httpclient.HTTPResponse:
        """Returns the response; with status 599 if there is none."""
        url = f"http://{self.store.address}{target}"
        request = httpclient.HTTPRequest(url, **more)
        try:
            return await self.http.fetch(request, raise_error=False)
        except httpclient.HTTPClientError as error:
            return httpclient.HTTPResponse(request, error.code)

    async def write_as_node(self, key: str) -> httpclient.HTTPResponse:
        row = {"table": "almondshift", "key": key, "value": "e30="}
        body = {"expectedRev": [], "setKeys": [row], "remove": []}
        return await self.post(names.ROWS_WRITE, body)

    async def restore(self, absence: Absence) -> httpclient.HTTPResponse:
        body = {
            "absence": absence,
            "age_s": 0.0,
            "returns_at": time.monotonic() + AWAY_S,
        }
        return await self.post(store_process.RESTORE_PATH, body)

    async def keys(self, table: str) -> set[str]:
        response = await self.get(names.ROWS_READ, table=table)
        return {row["key"] for row in json.loads(response.body)["rows"]}


async def create_client() -> StoreClient:
    store = store_process.SoakStore(free_address())
    await store.start()
    return StoreClient(store)


@pytest.mark.parametrize("absence", list(Absence))
def test_only_rows_of_the_system_stay_lost_after_a_restore(
    absence: Absence,
) -> None:
    """Versions go back, the era rises and owners write their rows again."""

    async def scenario() -> None:
        client = await create_client()
        store = client.store
        store.put("op", "config", {"version": 1})
        store.add_copy()
        await client.write_as_node("n0")
        store.put("op", "config", {"version": 2})
        lost_version = store.version
        first = await client.get(names.ROWS_READ, table="op")
        assert first.headers[store_process.ERA_HEADER] == "1"
        assert (await client.restore(absence)).code == 200
        assert store.version < lost_version
        assert await client.keys("almondshift") == set()
        late = await client.get(
            names.ROWS_FEED, table="op", after=lost_version, waitMs=0
        )
        assert late.code == 410
        assert late.headers[store_process.ERA_HEADER] == "2"
        await asyncio.sleep(max(store_process.REWRITE_DELAYS_S) + 0.1)
        assert store.is_held(("op", "config"))
        assert await client.keys("almondshift") == set()
        await store.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("absence", "status"),
    [(Absence.REFUSES, 503), (Absence.CLOSES, 599), (Absence.SILENT, 200)],
)
def test_open_and_new_calls_see_that_the_store_is_away(
    absence: Absence, status: int
) -> None:
    """Nothing that a node writes while the store is away is applied."""

    async def scenario() -> None:
        client = await create_client()
        store = client.store
        store.add_copy()
        waiting = asyncio.create_task(
            client.get(names.ROWS_FEED, table="op", after=0, waitMs=600)
        )
        await asyncio.sleep(0.1)
        restoring = asyncio.create_task(client.restore(absence))
        await asyncio.sleep(0.1)
        written = await client.write_as_node("n0")
        assert written.code == status
        assert (await waiting).code == status
        expected = {"n0"} if absence is Absence.SILENT else set()
        assert (await restoring).code == 200
        assert await client.keys("almondshift") == expected
        await store.close()

    asyncio.run(scenario())


def test_a_restore_that_comes_too_late_has_no_effect() -> None:
    """The store was suspended until after the time of its return."""

    async def scenario() -> None:
        client = await create_client()
        client.store.add_copy()
        body = {
            "absence": Absence.REFUSES,
            "age_s": 0.0,
            "returns_at": time.monotonic() - 0.1,
        }
        response = await client.post(store_process.RESTORE_PATH, body)
        assert response.code == 409
        assert client.store.era == 1
        await client.store.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("port", "views", "view"),
    [(8223, 3, 0), (8224, 3, 1), (8226, 3, 3), (8227, 3, 0), (40_001, 0, 0)],
)
def test_only_nodes_with_links_of_their_own_get_a_view(
    port: int, views: int, view: int
) -> None:
    """Guards against rows that name links which don't exist."""
    store = store_process.SoakStore("127.0.0.1:8223", views)
    assert store.view_of(f"127.0.0.2:{port}") == view
