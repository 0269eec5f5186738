from __future__ import annotations

from unittest import mock

from almondshift.coordination import quarantine
from almondshift.node import crash_guard
from tests import asynchronous
from tests.coordination import network


@asynchronous.run
async def test_a_request_sent_after_a_crash_is_not_blamed_for_it() -> None:
    """Guards against convicting a request whose call found a dead endpoint."""
    clock = network.ManualClock()
    state = quarantine.create_quarantine(clock, "n", mock.Mock(), mock.Mock())
    known = mock.Mock()
    known.vm.zone = "za"
    directory = mock.Mock(endpoints={"e": known})
    guard = crash_guard.create_crash_guard(state, directory, mock.Mock(), clock)
    guard._is_dead = mock.AsyncMock(return_value=True)  # type: ignore[method-assign]
    blamed = {}
    for name, instance in (("a", "1"), ("late", "1"), ("b", "2")):
        known.description.instance = instance
        state.in_flight("e", name)
        assert await guard._has_crashed("e")
        blamed[name] = len(state.crashes_against(name))
    assert blamed == {"a": 1, "late": 0, "b": 1}
