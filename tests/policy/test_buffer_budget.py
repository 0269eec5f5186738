from __future__ import annotations

import hypothesis
from hypothesis import strategies

from almondshift.model import buffers
from almondshift.policy import buffer_budget

LIMIT = 100_000


class Holder(buffers.BufferHolder):
    buffer_kind = "test"

    def __init__(self, size: int = 0) -> None:
        self.size = size
        self.is_given_up = False

    def buffered_bytes(self) -> int:
        return self.size

    def give_up_buffer(self) -> None:
        self.is_given_up = True
        self.size = 0


def create_budget() -> buffer_budget.BufferBudget:
    return buffer_budget.create_buffer_budget(LIMIT, lambda call: call())


def test_the_largest_buffer_is_given_up() -> None:
    """Guards against sound requests that end in place of a large one."""
    budget = create_budget()
    reported: list[buffer_budget.GivenUpBuffer] = []
    budget.on_given_up.append(reported.append)
    holders = [Holder(20_000), Holder(60_000), Holder(30_000)]
    for holder in holders:
        budget.note(holder)
    assert [h.is_given_up for h in holders] == [False, True, False]
    assert budget.held_bytes == 50_000
    [given_up] = reported
    assert (given_up.size, given_up.held_bytes) == (60_000, 110_000)


def test_a_buffer_that_shrank_unnoticed_is_not_given_up() -> None:
    """Guards against callers that are cut although they read all."""
    budget = create_budget()
    read, held = Holder(80_000), Holder(50_000)
    budget.note(read)
    read.size = 0
    budget.note(held)
    assert not read.is_given_up
    assert not held.is_given_up
    assert budget.held_bytes == 50_000


def test_a_buffer_is_given_up_after_the_current_callback() -> None:
    """Guards against a holder that is ended while it adds bytes."""
    deferred = []
    budget = buffer_budget.create_buffer_budget(LIMIT, deferred.append)
    holder = Holder(2 * LIMIT)
    budget.note(holder)
    assert not holder.is_given_up
    [call] = deferred
    call()
    assert holder.is_given_up


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(0, 2 * LIMIT)
        )
    )
)
def test_the_limit_holds_after_any_changes(
    changes: list[tuple[int, int]],
) -> None:
    holders = [Holder() for _ in range(10)]
    budget = create_budget()
    for index, size in changes:
        holders[index].size = size
        budget.note(holders[index])
        assert budget.held_bytes <= LIMIT
        assert budget.held_bytes == sum(budget.sizes.values())
        uncounted = sum(h.size for h in holders) - budget.held_bytes
        assert uncounted < 10 * buffer_budget.MIN_COUNTED_BYTES
    for holder in holders:
        budget.release(holder)
    assert budget.held_bytes == 0
