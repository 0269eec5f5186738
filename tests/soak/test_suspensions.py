"""Pauses of processes by SIGSTOP."""

from __future__ import annotations

import signal
from typing import Any

from tests.soak import system as soak_system

STOP, CONTINUE = signal.SIGSTOP, signal.SIGCONT


class RecordedProcess:
    """Records the signals that it is sent."""

    def __init__(self) -> None:
        self.signals: list[signal.Signals] = []

    def signal(self, number: signal.Signals) -> None:
        self.signals.append(number)


def test_a_process_continues_after_the_last_of_several_pauses() -> None:
    """Guards against a long pause that a short one within it ends."""
    recorded: Any = RecordedProcess()
    part = soak_system.SupervisedProcess("e0", [], recorded)
    part.suspend()
    part.suspend()
    part.resume()
    assert recorded.signals == [STOP, STOP]
    part.resume()
    assert recorded.signals == [STOP, STOP, CONTINUE]
