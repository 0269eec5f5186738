from __future__ import annotations

from almondshift.model import endpoints
from almondshift.policy import prefix_hints


def _event(
    sequence: int, prefix: int, added: bool = True
) -> endpoints.CacheEvent:
    return endpoints.CacheEvent(sequence, prefix, added)


def test_the_longest_prefix_counts_most() -> None:
    hints = prefix_hints.PrefixHints()
    hints.apply_events("e", [_event(1, 10), _event(2, 20)])
    assert (
        hints.cached_share((10, 20), "e", 8)
        > hints.cached_share((30, 20), "e", 8)
        > 0
    )
    assert hints.cached_share((30,), "e", 8) == 0.0
    assert hints.holders((30, 20), 3) == ["e"]


def test_a_gap_discards_the_assumed_cache_content() -> None:
    hints = prefix_hints.PrefixHints()
    hints.apply_events("e", [_event(1, 10)])
    hints.apply_events("e", [_event(3, 20)])
    assert hints.cached_share((10,), "e", 8) == 0.0
    assert hints.cached_share((20,), "e", 8) > 0.0
    assert hints.holders((10,), 3) == []


def test_old_events_are_ignored() -> None:
    hints = prefix_hints.PrefixHints()
    hints.apply_events("e", [_event(1, 10), _event(2, 10, added=False)])
    hints.apply_events("e", [_event(1, 10)])
    assert hints.cached_share((10,), "e", 8) == 0.0


def test_a_hot_prefix_is_followed_only_up_to_half_the_sessions() -> None:
    hints = prefix_hints.PrefixHints()
    hints.apply_events("e", [_event(1, 10)])
    for _ in range(4):
        assert hints.cached_share((10,), "e", 8) > 0.0
        hints.started((10,), "e")
    assert hints.cached_share((10,), "e", 8) == 0.0
    hints.ended((10,), "e")
    assert hints.cached_share((10,), "e", 8) > 0.0


def test_memory_is_bounded() -> None:
    hints = prefix_hints.PrefixHints()
    count = prefix_hints.MAX_PREFIXES + 10
    hints.apply_events("e", [_event(i + 1, i + 1) for i in range(count)])
    assert hints.holders((1,), 1) == []
    assert hints.holders((count,), 1) == ["e"]
