from __future__ import annotations

import pytest

from almondshift.model import chains
from almondshift.model import layers


def _chain(*bounds: tuple[int, int]) -> chains.Chain:
    stages = tuple(
        chains.Stage(f"e{i}", layers.LayerRange(*pair))
        for i, pair in enumerate(bounds)
    )
    return chains.Chain("m", 1, "", stages)


@pytest.mark.parametrize(
    ("bounds", "whole"),
    [
        ([(0, 4), (4, 8)], True),
        ([(0, 8)], True),
        ([(0, 4), (5, 8)], False),
        ([(0, 4), (3, 8)], False),
        ([(0, 4), (4, 4), (4, 8)], False),
        ([(0, 4)], False),
        ([], False),
    ],
)
def test_is_whole(bounds: list[tuple[int, int]], whole: bool) -> None:
    assert _chain(*bounds).is_whole(8) is whole


def test_replace_keeps_order() -> None:
    chain = _chain((0, 4), (4, 8))
    halves = _chain((4, 6), (6, 8)).stages
    assert chain.replace(1, halves).is_whole(8)
