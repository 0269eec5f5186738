from __future__ import annotations

import asyncio
import random

import pytest

from almondshift.model import prefixes
from almondshift.standins import reference
from almondshift.standins.engine import cache_events
from almondshift.standins.engine import links
from tests import asynchronous
from tests.standins import rigs

BLOCK = prefixes.BLOCK_TOKENS


@pytest.mark.parametrize("max_batch", [1, 2, 32])
@asynchronous.run
async def test_urgent_items_run_first_then_by_arrival(max_batch: int) -> None:
    async with rigs.run_engine(max_batch=max_batch) as rig:
        await rig.serve()
        await rig.step(
            rigs.make_item(session="a"),
            rigs.make_item(session="b"),
            rigs.make_item(session="c", priority=0),
        )

        assert await rig.ledger("session") == ["c", "a", "b"]


@pytest.mark.parametrize(
    ("max_batch", "fixed_s", "token_s", "expected_s"),
    [(4, 0.05, 0.0, 0.05), (1, 0.05, 0.0, 0.2), (4, 0.0, 0.005, 0.24)],
    ids=["one batch", "four batches", "by tokens and layers"],
)
@asynchronous.run
async def test_batch_time_follows_the_settings(
    max_batch: int, fixed_s: float, token_s: float, expected_s: float
) -> None:
    async with rigs.run_engine(
        max_batch=max_batch, fixed_s=fixed_s, per_layer_token_s=token_s
    ) as rig:
        await rig.serve()
        items = [rigs.make_item(session=name) for name in "abcd"]
        futures = [rig.engine.batcher.submit(item) for item in items]
        started_at = rig.engine.batcher.queue[0].arrived_at
        await asyncio.gather(*futures)
        elapsed_s = rig.engine.batcher.busy_until - started_at

    assert elapsed_s == pytest.approx(expected_s, abs=0.005)


@pytest.mark.parametrize(
    ("second", "saved"),
    [
        (tuple(range(3 * BLOCK)), 3 * BLOCK),
        (tuple(range(2 * BLOCK + 5)), 2 * BLOCK),
        ((*range(BLOCK), *range(100, 100 + BLOCK)), BLOCK),
        ((1, *range(BLOCK)), 0),
    ],
    ids=["whole", "whole blocks", "common start", "shifted"],
)
@pytest.mark.parametrize("size", [BLOCK, 1000])
@asynchronous.run
async def test_cached_prefix_costs_no_time(
    second: tuple[int, ...], saved: int, size: int
) -> None:
    async with rigs.run_engine() as rig:
        await rig.serve()
        await rig.step(rigs.make_item(tuple(range(3 * BLOCK)), session="a"))
        layer_tokens = 0
        for position in range(0, len(second), size):
            inputs = second[position : position + size]
            item = rigs.make_item(inputs, position, "b")
            rig.engine.runner.admit(item)
            layer_tokens += rig.engine.runner.run(item).layer_tokens

    assert len(second) - layer_tokens // 4 == saved


@asynchronous.run
async def test_cache_event_names_the_prefix_by_its_digest() -> None:
    seed = reference.model_seed("m", 1, "")
    first = prefixes.extend(seed, range(BLOCK))
    second = prefixes.extend(first, range(BLOCK, 2 * BLOCK))
    async with rigs.run_engine(prefix_blocks=1) as rig:
        await rig.serve()
        await rig.step(rigs.make_item(tuple(range(2 * BLOCK))))
        events = (await rig.client.cache_events(0)).ok
        received = [
            (event.sequence, event.prefix, event.added) for event in events
        ]

        assert received == [
            (1, first, True),
            (2, first, False),
            (3, second, True),
        ]
        assert (await rig.client.cache_events(3)).ok == []


def test_cache_events_are_delayed_and_have_gaps() -> None:
    delayed = cache_events.CacheEventLog(1000.0, 0.0, random.Random(1))
    lossy = cache_events.CacheEventLog(0.0, 0.5, random.Random(1))
    for prefix in range(100):
        delayed.add(prefix, True)
        lossy.add(prefix, True)

    sequences = [event.sequence for event in lossy.published(0)]

    assert delayed.published(0) == []
    assert 20 < len(sequences) < 80
    assert sequences == sorted(sequences)


@asynchronous.run
async def test_transfers_on_a_link_are_serialized() -> None:
    link = links.Link(0.01, 1000.0)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await asyncio.gather(*(link.transfer(50) for _ in range(3)))

    assert loop.time() - started_at >= 0.159
