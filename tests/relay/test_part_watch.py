"""What nodes tell each other about parts of prompts."""

from __future__ import annotations

import dataclasses
import random
import types
from typing import Any

from almondshift.coordination import peer_types
from almondshift.policy import crash_strikes
from almondshift.policy import part_strikes
from almondshift.ports import peers
from almondshift.relay import part_watch
from tests.fakes import clocks

MAX_VALUE_BYTES = peer_types.MembershipSettings().max_value_bytes


@dataclasses.dataclass
class FakeGroup:
    """A group that keeps the latest fact of each key."""

    name: str
    facts: dict[str, peers.Fact] = dataclasses.field(default_factory=dict)
    members: Any = dataclasses.field(
        default_factory=lambda: types.SimpleNamespace(rng=random.Random(1))
    )

    def names(self) -> frozenset[str]:
        return frozenset({"a", "b"})

    def subscribe_facts(self, kind: peers.FactKind, callback: Any) -> None:
        """Facts are passed on by the tests."""

    def register_handler(self, topic: str, handler: Any) -> None:
        """Nobody asks."""

    def treat_as_reports(self, kind: peers.FactKind, topic: str) -> None:
        """Nothing is sent."""

    def publish_fact(
        self, kind: peers.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        fact = peers.Fact(kind, key, 1, self.name, ttl_s, value)
        self.facts[key] = fact


def create_watch(name: str) -> tuple[part_watch.PartWatch, FakeGroup]:
    watch = part_watch.create_part_watch(clocks.VirtualClock())
    group = FakeGroup(name)
    watch.join(group)  # type: ignore[arg-type]
    return watch, group


def prompts(
    start: int, count: int, *parts: str
) -> tuple[crash_strikes.UnansweredPrompt, ...]:
    return tuple(
        crash_strikes.UnansweredPrompt(f"{number:08x}", parts)
        for number in range(start, start + count)
    )


def test_prompts_that_are_found_later_reach_peers_with_the_first_ones() -> None:
    """Guards against strikes that a later fact about a crash replaces."""
    watch, group = create_watch("a")
    other, _ = create_watch("b")
    watch.crashed("e1@5", prompts(0, 1, "f1", "bad"))
    watch.crashed("e1@5", prompts(1, 1, "f1", "bad"))
    for key, fact in group.facts.items():
        other.handle_fact(key, fact)
    strike = other.strikes.strikes["bad"]["e1@5"]
    assert strike.prompts == {"00000000", "00000001"}


def test_facts_about_a_crash_are_bounded() -> None:
    """Guards against values that are too long for an exchange."""
    watch, group = create_watch("a")
    parts = [f"{number:016x}" for number in range(64)]
    watch.strikes.prove("f1", watch.clock.monotonic())
    watch.crashed("e1", prompts(0, 60, "f1", *parts))
    assert len(group.facts) == part_watch.MAX_FACTS
    assert all(len(f.value) <= MAX_VALUE_BYTES for f in group.facts.values())


def test_a_peer_that_was_answered_since_lifts_a_refusal() -> None:
    """Guards against a part that stays refused though a peer proves it."""
    watch, group = create_watch("a")
    other, other_group = create_watch("b")
    now = watch.clock.monotonic()
    for index in range(part_strikes.MIN_CRASHES):
        for _ in range(part_strikes.MIN_OTHER_ANSWERS_IF_ALONE):
            watch.strikes.note_answered(("f1",), now)
        watch.crashed(f"e{index}", prompts(index, 1, "f1", "sound"))
    assert "sound" in watch.strikes.refused
    other.strikes.prove("sound", other.clock.monotonic() + 0.5)
    for key, fact in group.facts.items():
        other.handle_fact(key, fact)
    assert "sound" not in other.strikes.refused
    clock = watch.clock
    assert isinstance(clock, clocks.VirtualClock)
    clock.now += 1.0
    for key, fact in other_group.facts.items():
        watch.handle_fact(key, fact)
    assert "sound" not in watch.strikes.refused


def test_facts_of_other_topics_are_ignored() -> None:
    watch, _ = create_watch("a")
    fact = peers.Fact(
        peers.FactKind.QUARANTINE, "crash/e1/b/0", 1, "b", 9.0, b'["12"]'
    )
    watch.handle_fact("crash/e1/b/0", fact)
    assert not watch.strikes.strikes
