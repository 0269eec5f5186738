"""What proves that an engine has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from almondshift.policy import engine_tracker

if TYPE_CHECKING:
    from collections.abc import Callable

ENGINE = "e1@1000"
NEXT_START = "e1@2000"
OTHER = "e2@1000"

Tracker = engine_tracker.EngineTracker


def expire(tracker: Tracker) -> None:
    tracker.forget(ENGINE)


def close_port_and_expire(tracker: Tracker) -> None:
    tracker.note_ended(ENGINE, engine_tracker.End.PORT_CLOSED)
    tracker.forget(ENGINE)


def expire_and_return(tracker: Tracker) -> None:
    tracker.forget(ENGINE)
    tracker.note_entry(ENGINE)


def expire_and_restart(tracker: Tracker) -> None:
    tracker.forget(ENGINE)
    tracker.note_entry(NEXT_START)


def expire_before_another_registers(tracker: Tracker) -> None:
    tracker.forget(ENGINE)
    tracker.note_entry(OTHER)


def expire_and_send_data(tracker: Tracker) -> None:
    tracker.forget(ENGINE)
    tracker.note_alive(ENGINE)


@pytest.mark.parametrize(
    ("happens", "is_known_ended", "seems_ended", "may_continue"),
    [
        (expire, False, True, True),
        (close_port_and_expire, True, True, False),
        (expire_and_return, False, False, False),
        (expire_and_restart, True, True, False),
        (expire_before_another_registers, False, True, True),
        (expire_and_send_data, False, False, False),
    ],
)
def test_an_expired_entry_does_not_prove_the_end_of_a_silent_engine(
    happens: Callable[[Tracker], None],
    is_known_ended: bool,
    seems_ended: bool,
    may_continue: bool,
) -> None:
    """Guards against runs that don't count at a suspended engine."""
    tracker = Tracker()
    tracker.suspect(ENGINE, engine_tracker.Suspicion.UNREACHABLE, 1.0)
    happens(tracker)
    assert tracker.is_known_ended(ENGINE) is is_known_ended
    assert tracker.seems_ended(ENGINE) is seems_ended
    assert tracker.may_continue(ENGINE) is may_continue


def test_the_expired_entry_of_a_responding_engine_ends_nothing() -> None:
    """Guards against taking an engine that leaves unannounced for a dead one.

    Such engines serve on after their entries were removed.
    """
    tracker = Tracker()
    tracker.forget(ENGINE)
    assert not tracker.seems_ended(ENGINE)
    assert not tracker.seems_dead(ENGINE)
