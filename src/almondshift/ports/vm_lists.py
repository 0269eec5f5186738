"""The platform's list of VMs, which may be stale."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from almondshift import errors
    from almondshift.model import endpoints


class VmList(abc.ABC):
    """The list of live and leaving VMs."""

    @abc.abstractmethod
    async def list(
        self,
    ) -> expression.Result[list[endpoints.Vm], errors.StoreUnavailable]:
        """Returns the endpoint VMs as last known to the platform."""
