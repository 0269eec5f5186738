"""Claims whose rows were lost when the store returned from an older copy."""

from __future__ import annotations

import pytest

from almondshift.coordination import claims
from tests.coordination import test_claims


@pytest.mark.parametrize("is_finished", [False, True])
def test_lost_claim_is_not_taken_again(is_finished: bool) -> None:
    """Otherwise a retry would run a request a second time."""

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[0].shared
        copy = shared.take_copy()
        claimed = await nodes.claimed(0)
        if is_finished:
            await nodes.claims[0].finish(claimed, test_claims.RESULT)
        shared.restore(copy)
        retry = await nodes.claim_in_time(1)
        assert retry.is_error() or not isinstance(retry.ok, claims.Claimed)

    test_claims.run(case())


def test_result_is_not_stored_in_the_claim_of_another() -> None:
    """Guards against a condition that holds only by chance.

    The retry's claim has the revision that the first claim had. The first
    node knows by then that the store is in a new era.
    """

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[0].shared
        copy = shared.take_copy()
        first = await nodes.claimed(0)
        shared.restore(copy)
        second = await nodes.claimed(1)
        assert second.revision == first.revision
        await nodes.stores[0].read("claims", "other")
        await nodes.claims[0].finish(first, test_claims.RESULT)
        assert nodes.claims[1].may_dispatch(second)
        [row] = shared.scan("claims", "", 10)
        assert row.value["attempt"] == second.row.attempt

    test_claims.run(case())
