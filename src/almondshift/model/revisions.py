"""Order of changes in the platform's store."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """Number of a change, comparable with those of all other changes.

    The store may return from an older copy. It then begins a new era and gives
    out numbers again, so that numbers are comparable within an era only.

    Attributes:
        era: Increases each time the store returns from a copy; 0 if the store
            does not report it.
        number: Increases with each change of an era.
    """

    era: int
    number: int


class Rank(NamedTuple):
    """Place of a row's content among the contents that its writer wrote.

    It outlasts a store that returns from a copy, unlike revisions. Ranks of
    different starts are not comparable.

    Attributes:
        start: The start of the writer; 0 if it names none.
        number: Increases with each content of that start.
    """

    start: int
    number: int


BEGINNING = Revision(0, 0)
"""Before all changes."""

ERA_HEADER = "Store-Era"
"""Header of the store's responses that names its era."""

MAX_ERA_DIGITS = 15
"""Eras with more digits are malformed; JSON numbers would lose precision."""


def parse_era(text: str | None) -> int:
    """Parses the value of ``ERA_HEADER``; 0 if it is missing or malformed."""
    if text is None or not text.isascii() or not text.isdigit():
        return 0
    return int(text) if len(text) <= MAX_ERA_DIGITS else 0
