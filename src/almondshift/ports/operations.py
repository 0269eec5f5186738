"""The interface of a node to operators."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import expression

    from almondshift import errors


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigVersion:
    """An accepted configuration text.

    Attributes:
        version: Positive; increases by one with each accepted change.
        change_id: Id chosen by the operator's client for this change.
        verified: False if known only from peers, not from the platform.
    """

    version: int
    text: str
    change_id: str
    author: str
    accepted_at: float
    verified: bool


class Operations(abc.ABC):
    """Operators' calls; every node serves them."""

    @abc.abstractmethod
    async def apply_config(
        self, text: str, base: int, change_id: str, author: str
    ) -> expression.Result[ConfigVersion, errors.AlmondshiftError]:
        """Proposes a text based on version ``base`` (0 for the first)."""

    @abc.abstractmethod
    async def show_config(
        self, version: int | None
    ) -> expression.Result[ConfigVersion, errors.AlmondshiftError]:
        """Returns a version, or for None the one in force on this node."""

    @abc.abstractmethod
    async def config_history(
        self, limit: int
    ) -> expression.Result[list[ConfigVersion], errors.AlmondshiftError]:
        """Returns accepted versions, newest first."""

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Returns this node's state as a JSON object.

        Keys: node, zone, config (version, verified), lease (holder,
        fencing), nodes, endpoints, services, quarantine.
        """

    @abc.abstractmethod
    def objective_counts(self) -> dict[str, Any]:
        """Returns this node's counts for the error budget report, as JSON."""
