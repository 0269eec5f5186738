"""Names and keys of client accounts beyond ASCII."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift.platform import field_text
from tests.platform import standin_system as system

if TYPE_CHECKING:
    from almondshift.daemons import relay

OTHER_KEY = "key-2"
MODEL_PATH = "/chat/x"
PATHS = [MODEL_PATH, "/once/x", "/look/x"]

NAMES = {
    "ASCII": "account two",
    "Latin-1": "caf\u00e9",
    "Slovene": "dru\u0161tvo \u010dasa",
    "Greek": "\u03bb\u03cc\u03b3\u03bf\u03c2",
    "Hebrew": "\u05e9\u05dc\u05d5\u05dd",
    "Chinese": "\u4e2d\u6587",
    "emoji": "\U0001f330",
    "combining accent": "c\u030c",
    "line separator": "a\u2028b",
    "C1 control": "a\u0085b",
    "long": 3_000 * "\u010d",
}

UNUSABLE = {
    "line feed": "a\nb",
    "field": "a\r\nX-Model: b",
    "NUL": "a\0b",
    "escape": "a\x1bb",
    "delete": "a\x7fb",
}


async def use_accounts(
    running: system.StandinSystem, accounts: list[dict[str, Any]]
) -> None:
    """Has all nodes use a configuration with given accounts."""
    running.store.put("op", "config", system.config(2, tenants=accounts))

    def is_applied(process: relay.RelayProcess) -> bool:
        config = process.node.catalogue.config
        return config is not None and config.version == 2

    await running.until(lambda: all(map(is_applied, running.nodes)))


def account(name: str, key: str) -> dict[str, Any]:
    return {"name": name, "apiKeys": [key]}


async def ask(
    running: system.StandinSystem, path: str, request_id: str, key: str
) -> int:
    """Sends a request whose key is in UTF-8; returns the status."""
    entry = running.nodes[0].settings.entry.address
    head = system.request(path, request_id, Authorization=f"Bearer {key}")
    status, _, _ = await system.send(entry, head)
    return status


def received_names(running: system.StandinSystem, request_id: str) -> list[str]:
    """Returns what endpoints were told of a request's account."""
    return [
        headers["X-Tenant"].encode("latin-1").decode("utf-8")
        for engine in running.engines.values()
        for headers in engine.received_headers
        if headers["X-Request-Id"] == request_id
    ]


@pytest.mark.parametrize("kind", NAMES)
def test_endpoints_are_told_a_name_in_utf_8(kind: str) -> None:
    """Guards against requests without an answer due to an account's name."""

    async def scenario() -> None:
        async with system.running_system() as running:
            accounts = [account(NAMES[kind], OTHER_KEY)]
            await use_accounts(running, accounts)
            for path in PATHS:
                assert await ask(running, path, path, OTHER_KEY) == 200
                assert received_names(running, path) == [NAMES[kind]]

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", UNUSABLE)
def test_requests_of_an_account_with_an_unusable_name_are_refused(
    kind: str,
) -> None:
    """Guards against closed connections; other accounts are served."""

    async def scenario() -> None:
        async with system.running_system() as running:
            await use_accounts(
                running,
                [
                    account(UNUSABLE[kind], OTHER_KEY),
                    account("account", system.KEY),
                ],
            )
            for path in PATHS:
                assert await ask(running, path, f"o{path}", OTHER_KEY) == 503
                assert await ask(running, path, path, system.KEY) == 200
                assert received_names(running, path) == ["account"]
            assert not running.nodes[0].node.shared.running

    asyncio.run(scenario())


@pytest.mark.parametrize("key", ["klju\u010d-1", "\u00e9\u00e9", "\u4e2d"])
@pytest.mark.parametrize("is_passed_on", [False, True])
def test_a_key_beyond_ascii_is_known(
    key: str, is_passed_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against keys that are denied, here or at a peer."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            await use_accounts(running, [account("account", key)])
            if is_passed_on:
                links = running.nodes[0].node.shared.links
                isolated = links.of(system.PLAIN_SERVICE)
                monkeypatch.setattr(
                    type(isolated),
                    "is_isolated",
                    property(lambda found: found is isolated),
                )
            assert await ask(running, "/once/x", "r1", key) == 200

    asyncio.run(scenario())


def test_a_key_in_latin_1_is_known() -> None:
    """Guards against callers that don't send UTF-8."""
    assert field_text.decode("\u00e9\u00e9") == "\u00e9\u00e9"
    assert field_text.decode(field_text.encode("\u010d")) == "\u010d"


def test_a_request_that_cannot_be_sent_ends_as_not_sent() -> None:
    """Guards against a run that stays registered without an answer."""

    async def scenario() -> None:
        async with system.running_system() as running:
            await use_accounts(running, [account("a", system.KEY)])
            shared = running.nodes[0].node.shared
            config = shared.catalogue.config
            assert config is not None
            # Reaches the client of the endpoints past the check of names.
            object.__setattr__(config.accounts[0], "name", "a\nb")
            for path in PATHS:
                assert await ask(running, path, path, system.KEY) == 503
                assert received_names(running, path) == []
            assert not shared.running

    asyncio.run(scenario())
