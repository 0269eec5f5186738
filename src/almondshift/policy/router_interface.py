"""Interface between a node and its load decisions."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.policy import actions
    from almondshift.policy import events


class Router(abc.ABC):
    """A state machine that performs no I/O.

    It handles timestamped events and returns actions. A request that arrived
    without a resulting action is waiting; a later event decides it.
    """

    @abc.abstractmethod
    def handle(self, event: events.Event) -> list[actions.Action]:
        """Handles one event; times must not decrease.

        Returns:
            Actions to take now, for this and other waiting requests.
        """

    @abc.abstractmethod
    def service_ready(self, service: str) -> bool:
        """Returns whether a service and all its dependencies can be served."""

    def versions_in_use(self) -> set[tuple[str, int]]:
        """Returns models and versions that requests run on or start on."""
        return set()

    def excluded_engines(self, failure: events.StageFailed) -> list[str]:
        """Returns why engines can't replace a failed stage, for logs."""
        del failure
        return []
