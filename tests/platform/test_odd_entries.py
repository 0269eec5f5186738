"""Entries of another writer among those of the engines."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import pytest

from almondshift.model import relayed
from almondshift.platform import decode
from almondshift.platform import engines
from almondshift.relay import group
from almondshift.relay import peer_attempt
from tests.platform import standin_system as system

DEPTH = 100_000
NESTED_LISTS = b"[" * DEPTH + b"]" * DEPTH
NESTED_OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
REQUESTS = 20
MAX_SECONDS = 2.0
"""Requests are answered long before their deadline of 4 s."""


def entry(**changes: Any) -> bytes:
    """Returns an entry of an endpoint of the plain service."""
    content = {
        "service": system.PLAIN_SERVICE,
        "address": "127.0.0.1:9",
        "zone": "a",
        "state": "ready",
        **changes,
    }
    return json.dumps(content).encode()


ODD_ENTRIES = {
    "nested lists": b'{"note":' + NESTED_LISTS + b"}",
    "nested objects": NESTED_OBJECTS,
    "nested lists only": NESTED_LISTS,
    "number of slots too large": entry(slots=10**400),
    "start too large": entry(born=10**30),
    "start is no whole number": entry(born=1e400),
    "layers too large": entry(layers={"from": 0, "to": 2**70}),
    "port out of range": entry(address="127.0.0.1:70000"),
    "port with leading zeros out of range": entry(
        address="127.0.0.1:0000080000000"
    ),
    "port of 5,000 digits": entry(address="127.0.0.1:" + "9" * 5_000),
    "port 0": entry(address="127.0.0.1:0"),
    "address with a line feed": entry(address="127.0.0.1\n:80"),
    "address not Latin-1": entry(address="\u4e2d:80"),
    "no JSON": b"\xff\xfe",
    "empty": b"",
}


def put_raw(
    running: system.StandinSystem, table: str, key: str, content: bytes
) -> None:
    """Writes a row whose content may be anything."""
    running.store.put(table, key, {})
    _, version = running.store.rows[table, key]
    value = base64.b64encode(content).decode()
    running.store.rows[table, key] = (value, version)


async def send_requests(
    running: system.StandinSystem, node: int, name: str
) -> list[int]:
    """Sends requests of all kinds at once; returns their statuses."""
    entry_address = running.nodes[node].settings.entry.address
    paths = ("/look/x", "/once/x", "/chat/x")
    async with asyncio.timeout(MAX_SECONDS):
        responses = await asyncio.gather(
            *(
                system.send(
                    entry_address,
                    system.request(paths[number % 3], f"{name}-{number}"),
                    b"x",
                )
                for number in range(REQUESTS)
            )
        )
    return [status for status, _, _ in responses]


@pytest.mark.parametrize("key", ["0", "zz"], ids=["first", "last"])
@pytest.mark.parametrize("content", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_disturbs_no_request(content: bytes, key: str) -> None:
    """Guards against one entry that keeps nodes from all or some engines.

    One node runs when the entry is written, another one starts after it, and
    then one more endpoint is registered.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            put_raw(running, "servers", key, content)
            await running.add_node()
            await running.until(running.serves)
            for node in range(2):
                statuses = await send_requests(running, node, f"n{node}")
                assert statuses == [200] * REQUESTS
            await running.add_engine("px", system.PLAIN_SERVICE, "a")
            await running.until(
                lambda: all(
                    "px" in process.node.catalogue.current_instances
                    for process in running.nodes
                ),
                3.0,
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("key", "address"),
    [
        ("\u4e2d", "10.0.0.1:80"),
        ("a\nb", "10.0.0.1:80"),
        ("a", "\u4e2d:80"),
        ("a", "10.0.0.1\n:80"),
        ("a", "10.0.0.1\x00:80"),
    ],
)
def test_an_entry_that_no_request_can_name_is_invalid(
    key: str, address: str
) -> None:
    """Guards against requests that can't be written once they are assigned."""
    assert decode.decode_engine(key, entry(address=address)).is_error()
    assert decode.decode_engine("\xe9", entry(address="10.0.0.1:80")).is_ok()


def test_an_entry_under_an_odd_key_disturbs_no_request() -> None:
    """Guards against names that can't stand in a request to the endpoint."""

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            address = running.engines["pa"].address
            for key in ("\u4e2d", "a\nb"):
                put_raw(running, "servers", key, entry(address=address))
            await running.add_node()
            await running.until(running.serves)
            for node in range(2):
                statuses = await send_requests(running, node, f"n{node}")
                assert statuses == [200] * REQUESTS

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "content",
    [NESTED_LISTS, b"no JSON", b"[1]"],
    ids=["nested", "text", "list"],
)
def test_nodes_meet_despite_an_odd_row_among_theirs(content: bytes) -> None:
    """Guards against nodes that find no peer since one row can't be read."""

    async def scenario() -> None:
        async with system.running_system(nodes=0) as running:
            put_raw(running, group.TABLE, "0", content)
            for _ in range(2):
                await running.add_node()
            await running.wait_for_peers()

    asyncio.run(scenario())


@pytest.mark.parametrize("content", [NESTED_LISTS, NESTED_OBJECTS], ids=len)
def test_nested_responses_of_engines_are_invalid(content: bytes) -> None:
    """Guards against a response that ends the task that reads it."""
    assert engines.decode_report(content) is None
    assert engines._faulty_address(content) == ""
    assert decode.engine_rank(content) is None
    assert decode.config_rank(content) is None
    assert decode.decode_config(content).is_error()


def test_a_nested_refusal_of_a_peer_is_of_no_kind() -> None:
    """Guards against a request whose run ends without an answer."""
    attempt = peer_attempt.PeerAttempt.__new__(peer_attempt.PeerAttempt)
    attempt.body = bytearray(NESTED_LISTS)
    attempt.head = relayed.ForwardedHead(503, (), False, None, "")
    assert attempt.refusal_kind() == ""
