"""A bounded sample of the engines, for the path search.

A fleet may have thousands of engines, of which dozens in each zone have the
same accelerator and hold the same layers. A search over all of them for each
arrival takes most of a node's CPU time.

Engines of such a group are interchangeable, so the search uses a few random
ones of each. Nodes draw different ones, which also spreads their requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from almondshift.model import registered_engines

MAX_PER_GROUP = 6
"""Engines of each group that are searched: one for each path of a zone, and one
more in case a sampled engine is full or slow."""

Group = list["registered_engines.RegisteredEngine"]
"""Engines with the same zone, accelerator and range of layers."""


def group_engines(
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


def sample_engines(groups: Sequence[Group], rng: random.Random) -> Group:
    """Returns up to ``MAX_PER_GROUP`` engines of each group."""
    found: Group = []
    for group in groups:
        if len(group) > MAX_PER_GROUP:
            found += rng.sample(group, MAX_PER_GROUP)
        else:
            found += group
    return found


def omits_any(groups: Sequence[Group]) -> bool:
    """Returns whether a sample omits some of the engines."""
    return any(len(group) > MAX_PER_GROUP for group in groups)
