"""Groups of nodes among which many requests crash endpoints at once."""

from __future__ import annotations

import asyncio

import pytest

from tests.relay import crash_storm

MAX_LATE_ARRIVALS = 3
"""The stated target: arrivals of one request at endpoints that are allowed
later than ``crash_storm.KNOWN_S`` after its third crash."""

DURATION_S = 12.0


@pytest.mark.parametrize(
    "options",
    [
        crash_storm.StormOptions(nodes=9, endpoints=33, requests=4),
        crash_storm.StormOptions(nodes=75, endpoints=101, requests=12),
        crash_storm.StormOptions(
            nodes=75, endpoints=101, requests=12, restart_interval_s=1.0
        ),
        crash_storm.StormOptions(
            nodes=75, endpoints=101, requests=12, sound_in_flight=20
        ),
        crash_storm.StormOptions(
            nodes=75, endpoints=101, requests=12, sound_in_flight=60
        ),
        crash_storm.StormOptions(
            nodes=75,
            endpoints=101,
            requests=12,
            sound_in_flight=60,
            restart_interval_s=1.0,
        ),
    ],
    ids=[
        "small",
        "few streams",
        "few streams, restarts",
        "streams",
        "many streams",
        "many streams, restarts",
    ],
)
def test_nodes_refuse_requests_that_crash_endpoints_beside_many_others(
    options: crash_storm.StormOptions,
) -> None:
    """Guards against crashes that peers learn of late beside many others."""

    async def scenario() -> None:
        storm = crash_storm.CrashStorm(options)
        await storm.start()
        await storm.run(DURATION_S)
        late = storm.late_arrivals()
        assert max(late.values(), default=0) <= MAX_LATE_ARRIVALS, late
        assert not any(storm.unrefused.values()), storm.unrefused
        assert storm.refused_sound == 0
        await storm.close()

    asyncio.run(scenario())
