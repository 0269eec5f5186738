"""The interface between a node and its decisions under load."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.policy import actions
    from almondshift.policy import events


class Router(abc.ABC):
    """A state machine without input or output.

    It is told events with their time and returns actions. A request that
    arrived and got no action is waiting; a later event decides it.
    """

    @abc.abstractmethod
    def handle(self, event: events.Event) -> list[actions.Action]:
        """Takes one event; times never go back.

        Returns:
            What to do now, for this and other waiting requests.
        """

    @abc.abstractmethod
    def service_ready(self, service: str) -> bool:
        """Returns whether a service and all it depends on can be served."""
