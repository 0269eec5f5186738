"""Proposes a configuration change and determines its outcome."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
import uuid

from almondshift import errors
from almondshift.console import nodes
from almondshift.console import output

if TYPE_CHECKING:
    from almondshift.adapters import http_operations_client
    from almondshift.ports import operations

READ_BACK_ATTEMPTS = 20
READ_BACK_INTERVAL_S = 0.5
"""Ten seconds in all, within which an accepted version reaches all nodes."""

HISTORY_LIMIT = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A configuration change, with an id to look up its outcome."""

    text: str
    base: int
    change_id: str
    author: str


def create_proposal(text: str, base: int, author: str) -> Proposal:
    """Returns a proposal with a new change id."""
    return Proposal(text, base, uuid.uuid4().hex, author)


async def propose(
    client: http_operations_client.NodeClient,
    addresses: list[str],
    proposal: Proposal,
) -> operations.ConfigVersion:
    """Proposes a change to the first reachable node.

    If the response is lost, the outcome is unknown. Proposing the change
    again could undo a change that another operator applied in between, so
    the change is only looked up by its id.

    Raises:
        errors.AlmondshiftError: The change was not accepted, or its outcome
            is unknown, as the error's ``execution`` says.
    """
    output.print_message(f"change id {proposal.change_id}")
    result = await nodes.call_first_reachable(
        addresses,
        lambda node: client.apply(
            node,
            proposal.text,
            proposal.base,
            proposal.change_id,
            proposal.author,
        ),
    )
    if result.is_ok():
        return result.ok
    error = result.error
    if error.execution is not errors.Execution.UNKNOWN:
        raise error
    output.print_message(
        f"outcome unknown ({error.detail}); looking up the change"
    )
    return await _read_back(client, addresses, proposal)


async def _read_back(
    client: http_operations_client.NodeClient,
    addresses: list[str],
    proposal: Proposal,
) -> operations.ConfigVersion:
    for _ in range(READ_BACK_ATTEMPTS):
        for node in addresses:
            history = await client.history(node, HISTORY_LIMIT)
            if history.is_error():
                continue
            accepted = _find_accepted(history.ok, proposal)
            if accepted is not None:
                return accepted
        await asyncio.sleep(READ_BACK_INTERVAL_S)
    raise errors.OutcomeUnknown(
        f"Whether change {proposal.change_id} was accepted is unknown.",
        remedy="Check later with 'almondshift config history --change-id "
        f"{proposal.change_id}' before applying again.",
    )


def _find_accepted(
    versions: list[operations.ConfigVersion], proposal: Proposal
) -> operations.ConfigVersion | None:
    """Returns the accepted change, or None if its outcome is still unknown.

    Raises:
        errors.ConfigConflict: Another change was accepted as the version
            after the base, so this one can no longer be accepted.
    """
    for version in versions:
        if version.change_id == proposal.change_id:
            return version
    for version in versions:
        if version.version == proposal.base + 1:
            raise errors.ConfigConflict(
                f"Version {version.version} by {version.author} was "
                "accepted first."
            )
    return None
