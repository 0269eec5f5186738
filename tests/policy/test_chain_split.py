from __future__ import annotations

import random

import pytest

from almondshift.model import layers
from almondshift.policy import chain_split
from almondshift.policy import topology

COUNT = 12


def _span(text: str) -> layers.LayerRange:
    start, _, end = text.partition("-")
    return layers.LayerRange(int(start), int(end))


@pytest.mark.parametrize(
    ("spans", "given", "expected"),
    [
        (["0-12", "0-12"], [], True),
        (["0-12"], [], False),
        (["0-12"], ["0-12"], True),
        (["0-6", "6-12", "0-8", "8-12"], [], True),
        (["0-6", "6-12", "0-6", "8-12"], [], False),
        (["0-6", "6-12", "0-6", "8-12"], ["6-8"], True),
        (["0-5", "0-3", "3-10", "10-12"], ["5-12"], True),
    ],
)
def test_a_split_is_found_exactly_if_there_is_one(
    spans: list[str], given: list[str], expected: bool
) -> None:
    held = {f"e{i}": _span(text) for i, text in enumerate(spans)}
    covered = [_span(text) for text in given]
    freed = chain_split.second_chain(held, covered, COUNT)
    assert (freed is not None) is expected


@pytest.mark.parametrize("seed", range(200))
def test_a_split_agrees_with_all_subsets_of_random_ranges(seed: int) -> None:
    """Guards against splits that are missed or leave a chain incomplete."""
    draw = random.Random(seed)
    held = {f"e{i}": _random_span(draw) for i in range(draw.randint(2, 9))}
    given = [_random_span(draw) for _ in range(draw.randint(0, 2))]
    freed = chain_split.second_chain(held, given, COUNT)
    if freed is not None:
        assert _is_split(held, given, set(freed))
    assert (freed is not None) is any(
        _is_split(held, given, {n for i, n in enumerate(held) if bits >> i & 1})
        for bits in range(1 << len(held))
    )


def _random_span(draw: random.Random) -> layers.LayerRange:
    start = draw.choice([0, 0, 3, 4, 6, 8])
    ends = [end for end in (3, 5, 6, 8, 10, COUNT, COUNT) if end > start]
    return layers.LayerRange(start, draw.choice(ends))


def _is_split(
    held: dict[str, layers.LayerRange],
    given: list[layers.LayerRange],
    freed: set[str],
) -> bool:
    kept = [span for name, span in held.items() if name not in freed]
    other = [span for name, span in held.items() if name in freed]
    return topology.covers_all(kept, COUNT) and topology.covers_all(
        [*other, *given], COUNT
    )
