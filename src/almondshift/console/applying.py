"""Proposes a configuration and finds out what became of it."""

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

ASK_TIMES = 20
ASK_EVERY_S = 0.5
"""Ten seconds, by when an accepted version is in force everywhere."""

HISTORY_LIMIT = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change, with an id by which its outcome can be asked for."""

    text: str
    base: int
    change_id: str
    author: str


def create_proposal(text: str, base: int, author: str) -> Proposal:
    """Returns a proposal with a new id."""
    return Proposal(text, base, uuid.uuid4().hex, author)


async def propose(
    client: http_operations_client.NodeClient,
    named: list[str],
    proposal: Proposal,
) -> operations.ConfigVersion:
    """Proposes a change to the first node that can be reached.

    An answer that was lost on the way leaves open whether the change was
    accepted. Proposed again, it could undo what another operator applied in
    between; so it is only read back by its id.

    Raises:
        errors.AlmondshiftError: It was not accepted, or its execution says
            that the outcome is unknown.
    """
    output.note(f"change id {proposal.change_id}")
    applied = await nodes.first_reachable(
        named,
        lambda node: client.apply(
            node,
            proposal.text,
            proposal.base,
            proposal.change_id,
            proposal.author,
        ),
    )
    if applied.is_ok():
        return applied.ok
    error = applied.error
    if error.execution is not errors.Execution.UNKNOWN:
        raise error
    output.note(f"no certain answer ({error.detail}); reading back")
    return await _read_back(client, named, proposal)


async def _read_back(
    client: http_operations_client.NodeClient,
    named: list[str],
    proposal: Proposal,
) -> operations.ConfigVersion:
    for _ in range(ASK_TIMES):
        for node in named:
            found = await client.history(node, HISTORY_LIMIT)
            if found.is_error():
                continue
            accepted = _find(found.ok, proposal)
            if accepted is not None:
                return accepted
        await asyncio.sleep(ASK_EVERY_S)
    raise errors.OutcomeUnknown(
        f"Whether change {proposal.change_id} was accepted is unknown.",
        remedy="Ask later with 'almondshift config history --change-id "
        f"{proposal.change_id}' before applying again.",
    )


def _find(
    versions: list[operations.ConfigVersion], proposal: Proposal
) -> operations.ConfigVersion | None:
    """Returns the accepted change, or None if nothing is certain.

    Raises:
        errors.ConfigConflict: Another change took the version after the
            base, so this one can no longer be accepted.
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
