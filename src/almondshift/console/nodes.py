"""Options that name nodes, and calls that go to all of them."""

from __future__ import annotations

import asyncio
import dataclasses
import os
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

from almondshift import errors
from almondshift.adapters import http_operations_client
from almondshift.adapters import keys

if TYPE_CHECKING:
    import argparse
    from collections.abc import Awaitable
    from collections.abc import Callable

    import expression

NODES_VARIABLE = "ALMONDSHIFT_NODES"
SECRET_VARIABLE = "ALMONDSHIFT_SECRET_FILE"
CALLS_AT_ONCE = 32
ROUNDS = 3
"""Rounds of asking nodes that others named; guards against a long chain."""

ValueT = TypeVar("ValueT")


class Usage(errors.Refusal):
    """An option is missing."""

    kind = "usage"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(Generic[ValueT]):
    """What one node gave: a value, or else an error."""

    address: str
    value: ValueT | None
    error: errors.AlmondshiftError | None


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds ``--node`` and ``--secret-file``."""
    parser.add_argument(
        "--node",
        action="append",
        metavar="HOST:PORT",
        help=f"a node; may be repeated (default: ${NODES_VARIABLE}, "
        "addresses with commas)",
    )
    parser.add_argument(
        "--secret-file",
        metavar="FILE",
        default=os.environ.get(SECRET_VARIABLE, ""),
        help=f"the operators' secret (default: ${SECRET_VARIABLE})",
    )


def addresses(args: argparse.Namespace) -> list[str]:
    """Returns the nodes named.

    Raises:
        Usage: None is named.
    """
    named = args.node or os.environ.get(NODES_VARIABLE, "").split(",")
    found = [address.strip() for address in named if address.strip()]
    if not found:
        raise Usage(
            "No node is named.",
            remedy=f"Give --node HOST:PORT, or set {NODES_VARIABLE}.",
        )
    return found


def create_client(
    args: argparse.Namespace, needs_secret: bool = True
) -> http_operations_client.NodeClient:
    """Returns a client with the operators' secret; needs a running loop.

    Args:
        args: The command's options.
        needs_secret: Whether the nodes ask for it.

    Raises:
        Usage: No file with the secret is named.
        errors.ConfigInvalid: The file cannot be read.
    """
    if not needs_secret:
        return http_operations_client.create_node_client(keys.Secret(""))
    if not args.secret_file:
        raise Usage(
            "No file with the operators' secret is named.",
            remedy=f"Give --secret-file FILE, or set {SECRET_VARIABLE}.",
        )
    secret = keys.read_secret(args.secret_file, "command", "--secret-file")
    if secret.is_error():
        raise secret.error
    return http_operations_client.create_node_client(secret.ok)


async def first_reachable(
    nodes: list[str],
    call: Callable[
        [str], Awaitable[expression.Result[ValueT, errors.AlmondshiftError]]
    ],
) -> expression.Result[ValueT, errors.AlmondshiftError]:
    """Calls nodes in turn until one can be reached."""
    answer = await call(nodes[0])
    for node in nodes[1:]:
        if answer.is_ok():
            break
        if not isinstance(answer.error, http_operations_client.NodeUnreachable):
            break
        answer = await call(node)
    return answer


async def statuses(
    client: http_operations_client.NodeClient, seeds: list[str]
) -> list[Answered[dict[str, Any]]]:
    """Asks the named nodes, and all nodes that these know of."""
    answered: dict[str, Answered[dict[str, Any]]] = {}
    pending = seeds
    for _ in range(ROUNDS):
        for answer in await call_all(pending, client.status):
            answered[answer.address] = answer
        pending = [a for a in _named(answered) if a not in answered]
        if not pending:
            break
    return _without_aliases(list(answered.values()))


async def call_all(
    nodes: list[str],
    call: Callable[
        [str], Awaitable[expression.Result[ValueT, errors.AlmondshiftError]]
    ],
) -> list[Answered[ValueT]]:
    """Calls nodes side by side, some at a time; answers in their order."""
    free = asyncio.Semaphore(CALLS_AT_ONCE)

    async def one(address: str) -> Answered[ValueT]:
        async with free:
            answer = await call(address)
        if answer.is_ok():
            return Answered(address, answer.ok, None)
        return Answered(address, None, answer.error)

    return await asyncio.gather(*(one(address) for address in nodes))


def _named(
    answered: dict[str, Answered[dict[str, Any]]],
) -> list[str]:
    named: dict[str, None] = {}
    for answer in answered.values():
        rows = (answer.value or {}).get("nodes", [])
        for row in rows if isinstance(rows, list) else []:
            if isinstance(row, dict) and isinstance(row.get("entry"), str):
                named[row["entry"]] = None
    return [address for address in named if address]


def _without_aliases(
    answers: list[Answered[dict[str, Any]]],
) -> list[Answered[dict[str, Any]]]:
    """Leaves out a node reached by two addresses, which counts once."""
    seen: set[str] = set()
    kept = []
    for answer in answers:
        name = str((answer.value or {}).get("node") or answer.address)
        if name not in seen:
            kept.append(answer)
        seen.add(name)
    return kept
