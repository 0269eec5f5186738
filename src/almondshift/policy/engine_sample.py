"""A bounded sample of the engines, for the search of paths.

Load pattern: thousands of engines, of which dozens in each zone have the same
accelerator and hold the same layers. A search over all of them for each arrival
is most of a node's work.

Engines of such a group are interchangeable, so a random few of each are
searched. Nodes draw different ones, which also spreads their requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from almondshift.model import registered_engines

MOST_ALIKE = 6
"""Engines searched of each group: one for each path that a zone offers, and one
more in case that a sampled engine is full or slow."""

Group = list["registered_engines.RegisteredEngine"]
"""Engines of one zone, accelerator and range of layers."""


def grouped(
    engines: Iterable[registered_engines.RegisteredEngine],
) -> list[Group]:
    """Returns the engines by zone, accelerator and range of layers."""
    groups: dict[tuple[str, str, int, int], Group] = {}
    for engine in engines:
        if engine.layers is None:
            continue
        held = engine.layers
        key = (engine.zone, engine.kind, held.start, held.end)
        groups.setdefault(key, []).append(engine)
    return list(groups.values())


def sampled(groups: Sequence[Group], rng: random.Random) -> Group:
    """Returns up to ``MOST_ALIKE`` engines of each group."""
    found: Group = []
    for group in groups:
        if len(group) > MOST_ALIKE:
            found += rng.sample(group, MOST_ALIKE)
        else:
            found += group
    return found


def leaves_out(groups: Sequence[Group]) -> bool:
    """Returns whether a sample lacks some of the engines."""
    return any(len(group) > MOST_ALIKE for group in groups)
