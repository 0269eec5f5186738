"""Requests that nodes pass to each other, as the receiving node sees them."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from almondshift.model import relayed
from almondshift.model import routes
from almondshift.platform import names
from almondshift.platform import peer_entries
from tests.platform import cut_links
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole


def request(request_id: str, mark: str) -> relayed.RelayedRequest:
    return relayed.RelayedRequest(
        request_id=request_id,
        method="POST",
        host="h",
        target="/",
        path="/",
        headers=(),
        body=b"",
        wait_s=None,
        key="",
        last_event_id="",
        prompt_tokens=0,
        output_tokens=0,
        expected_tokens=0,
        peer_mark=mark,
    )


def create_entries(secret: str) -> peer_entries.HttpPeerEntries:
    entries = peer_entries.create_peer_entries()
    entries.secret = secret
    return entries


def mark_of(secret: str, request_id: str, runs: str) -> str:
    signature = create_entries(secret)._signature(request_id, runs)
    return f"{runs} {signature}"


@pytest.mark.parametrize(
    ("mark", "expected"),
    [
        (mark_of("secret", "r1", "2"), 2),
        (mark_of("secret", "r2", "2"), None),
        (mark_of("other", "r1", "2"), None),
        ("0 " + mark_of("secret", "r1", "2").partition(" ")[2], None),
        ("", None),
        ("2", None),
        ("x y", None),
        ("-1 y", None),
        ("\u0662 y", None),
    ],
)
def test_only_marks_of_nodes_count(mark: str, expected: int | None) -> None:
    """Guards against callers who pose as a node."""
    entries = create_entries("secret")
    assert entries.possible_runs(request("r1", mark)) == expected


@pytest.mark.parametrize(
    ("field", "expected"),
    [
        ("2 repeat", routes.RunLimit(2, may_repeat=True)),
        ("1 once", routes.RunLimit(1, may_repeat=False)),
        ("2 other", routes.RunLimit(2, may_repeat=False)),
        ("0 repeat", routes.RunLimit(1, may_repeat=True)),
        ("", None),
        ("x repeat", None),
        ("-1 repeat", None),
        ("9" * 5_000 + " repeat", None),
        ("\u0662 repeat", None),
    ],
)
def test_a_limit_that_is_not_understood_forbids_repeats(
    field: str, expected: routes.RunLimit | None
) -> None:
    found = dataclasses.replace(request("r1", ""), run_limit=field)
    assert create_entries("secret").run_limit(found) == expected


def test_a_callers_own_limit_is_not_passed_on() -> None:
    """Guards against callers who pose as a node."""

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            entry = running.nodes[0].settings.entry.address
            head = system.request("/look/x", "l1", X_Almondshift_Runs="9 once")
            assert (await system.send(entry, head, b"x"))[0] == 200
            [received] = running.engines["pa"].received_headers
            assert "X-Almondshift-Runs" not in received

    asyncio.run(scenario())


def test_no_mark_counts_before_the_secret_is_known() -> None:
    entries = create_entries("")
    mark = mark_of("", "r1", "0")
    assert entries.possible_runs(request("r1", mark)) is None


def test_a_forged_mark_is_ignored_and_never_reaches_an_endpoint() -> None:
    async def scenario() -> None:
        async with system.running_system() as running:
            status, _, _ = await whole.chat(
                running, "r1", X_Almondshift_Peer="7 forged"
            )
            assert status == 200
            [engine] = [e for e in running.engines.values() if e.ran]
            [fields] = engine.received_headers
            assert names.PEER_MARK not in {name.lower() for name in fields}

    asyncio.run(scenario())


def test_a_request_passed_to_a_peer_reaches_the_engine_as_sent() -> None:
    """Guards against a lost deadline, account, id or resumption."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            pool.begin(cut_links.Cut.RESET)
            status, _, body = await whole.chat(
                running, "r1", X_A="b", Last_Event_Id="3"
            )
            assert status == 200
            assert whole.tokens(body)[0] == "token 4"
            [engine] = [e for e in running.engines.values() if e.ran]
            [fields] = engine.received_headers
            assert fields["X-Request-Id"] == "r1"
            assert fields["X-Tenant"] == "account"
            assert fields["X-A"] == "b"
            assert fields["Last-Event-Id"] == "3"
            assert 0 < int(fields["X-Deadline-Ms"]) <= 4000
            assert "Authorization" not in fields
            assert engine.received_bodies == [b"prompt"]

    asyncio.run(scenario())


def test_a_caller_who_leaves_cancels_the_work_behind_the_peer() -> None:
    """Guards against an engine that works for nobody."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            for engine in running.engines.values():
                engine.events = 1000
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            pool.begin(cut_links.Cut.RESET)
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            [engine] = [e for e in running.engines.values() if e.ran]
            stream.cancel()
            await running.until(lambda: "r1" in engine.cancelled, 0.5)

    asyncio.run(scenario())


def test_a_request_whose_peer_is_lost_is_not_repeated_if_it_may_have_run() -> (
    None
):
    """Guards against an order that runs twice by way of two peers."""

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            pool.begin(cut_links.Cut.RESET)
            for engine in running.engines.values():
                engine.response_delay_s = 0.6
            entry = running.nodes[0].settings.entry.address
            head = system.request("/once/x", "o1")
            sent = asyncio.create_task(system.send(entry, head, b"x"))
            await running.until(lambda: whole.times_run(running, "o1") == 1)
            [run] = [
                run
                for process in running.nodes[1:]
                for run in process.node.shared.running
            ]
            run.responder.abort()  # type: ignore[attr-defined]
            status, _, _ = await sent
            assert status == 502
            await asyncio.sleep(0.3)
            assert whole.times_run(running, "o1") == 1

    asyncio.run(scenario())
