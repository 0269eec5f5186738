from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from almondshift.standins import reference
from almondshift.standins.engine import cache_events
from almondshift.standins.engine import links
from almondshift.standins.engine import prefixes
from tests.standins import engine_rigs

if TYPE_CHECKING:
    from almondshift.model import steps

BLOCK = prefixes.BLOCK_TOKENS


async def submit(
    rig: engine_rigs.EngineRig, items: list[steps.StepItem]
) -> None:
    waiting = [rig.engine.batcher.submit(item) for item in items]
    await asyncio.gather(*waiting)


@pytest.mark.parametrize(
    ("max_batch", "rows"),
    [(1, ["c", "a", "b"]), (2, ["c", "a", "b"]), (32, ["c", "a", "b"])],
)
def test_urgent_items_run_first_then_by_arrival(
    max_batch: int, rows: list[str]
) -> None:
    async def run() -> list[str]:
        async with engine_rigs.run_engine(max_batch=max_batch) as rig:
            await rig.serve()
            await submit(
                rig,
                [
                    engine_rigs.make_item(session="a"),
                    engine_rigs.make_item(session="b"),
                    engine_rigs.make_item(session="c", priority=0),
                ],
            )
            return [row["session"] for row in await rig.ledger()]

    assert asyncio.run(run()) == rows


@pytest.mark.parametrize(
    ("max_batch", "fixed_s", "token_s", "expected_s"),
    [(4, 0.05, 0.0, 0.05), (1, 0.05, 0.0, 0.2), (4, 0.0, 0.005, 0.24)],
    ids=["one batch", "four batches", "by tokens and layers"],
)
def test_batch_time_follows_the_settings(
    max_batch: int, fixed_s: float, token_s: float, expected_s: float
) -> None:
    async def run() -> float:
        async with engine_rigs.run_engine(
            max_batch=max_batch, fixed_s=fixed_s, per_layer_token_s=token_s
        ) as rig:
            await rig.serve()
            begun_at = asyncio.get_running_loop().time()
            items = [engine_rigs.make_item(session=name) for name in "abcd"]
            await submit(rig, items)
            return rig.engine.batcher.free_at - begun_at

    assert asyncio.run(run()) == pytest.approx(expected_s, abs=0.01)


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
@pytest.mark.parametrize("portion", [BLOCK, 1000])
def test_cached_prefix_costs_no_time(
    second: tuple[int, ...], saved: int, portion: int
) -> None:
    async def run() -> int:
        async with engine_rigs.run_engine() as rig:
            await rig.serve()
            first = tuple(range(3 * BLOCK))
            await submit(rig, [engine_rigs.make_item(first, session="a")])
            work = 0
            for position in range(0, len(second), portion):
                item = engine_rigs.make_item(
                    second[position : position + portion], position, "b"
                )
                rig.engine.runner.admit(item)
                work += rig.engine.runner.run(item).layer_tokens
            return len(second) - work // 4

    assert asyncio.run(run()) == saved


def test_cache_event_names_the_prefix_by_its_digest() -> None:
    async def run() -> list[tuple[int, int, bool]]:
        async with engine_rigs.run_engine(prefix_blocks=1) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item(tuple(range(2 * BLOCK))))
            events = (await rig.client.cache_events(0)).ok
            assert (await rig.client.cache_events(3)).ok == []
            return [
                (event.sequence, event.prefix, event.added) for event in events
            ]

    seed = reference.model_seed("m", 1, "")
    first = prefixes.extend_digest(seed, range(BLOCK))
    second = prefixes.extend_digest(first, range(BLOCK, 2 * BLOCK))

    assert asyncio.run(run()) == [
        (1, first, True),
        (2, first, False),
        (3, second, True),
    ]


def test_cache_events_are_late_and_have_gaps() -> None:
    late = cache_events.CacheEventLog(1000.0, 0.0, random.Random(1))
    lossy = cache_events.CacheEventLog(0.0, 0.5, random.Random(1))
    for prefix in range(100):
        late.add(prefix, True)
        lossy.add(prefix, True)

    sequences = [event.sequence for event in lossy.published(0)]

    assert late.published(0) == []
    assert 20 < len(sequences) < 80
    assert sequences == sorted(sequences)


def test_transfers_on_a_link_follow_one_another() -> None:
    async def run() -> float:
        link = links.Link(0.01, 1000.0)
        begun_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(link.carry(50) for _ in range(3)))
        return asyncio.get_running_loop().time() - begun_at

    assert asyncio.run(run()) >= 0.159
