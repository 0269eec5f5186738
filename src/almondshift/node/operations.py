"""Serves operators' calls from the state of this node."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import expression

from almondshift.ports import operations

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift import errors
    from almondshift.coordination import versioned_config
    from almondshift.model import fleet


NO_VERSION = operations.ConfigVersion(0, "", "", "", 0.0, verified=False)
"""The version before the first change, which is the base of that change."""


class NodeOperations(operations.Operations):
    """Serves operators' calls on one node."""

    def __init__(
        self,
        config: versioned_config.VersionedConfig[fleet.Fleet],
        describe: Callable[[], dict[str, Any]],
        count: Callable[[], dict[str, Any]],
    ) -> None:
        self.config = config
        self.describe = describe
        self.count = count

    async def apply_config(
        self, text: str, base: int, change_id: str, author: str
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        """Proposes a configuration text based on version ``base``."""
        return await self.config.apply(text, base, change_id, author)

    async def show_config(
        self, version: int | None
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        """Returns a version, or the one in force here."""
        if version is None and self.config.current is None:
            return expression.Ok(NO_VERSION)
        return await self.config.show(version)

    async def config_history(
        self, limit: int
    ) -> expression.Result[
        list[operations.ConfigVersion], errors.AlmondshiftError
    ]:
        """Returns accepted versions, newest first."""
        return await self.config.history(limit)

    def status(self) -> dict[str, Any]:
        """Returns this node's state."""
        return self.describe()

    def objective_counts(self) -> dict[str, Any]:
        """Returns this node's counts for the burn report."""
        return self.count()
