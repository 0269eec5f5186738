"""Command-line options for node addresses, and calls to many nodes."""

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
MAX_CONCURRENT_CALLS = 32
MAX_DISCOVERY_ROUNDS = 3
"""Bounds node discovery if nodes list one another in a long chain."""

ValueT = TypeVar("ValueT")


class UsageError(errors.Refusal):
    """A required option or input is missing or invalid."""

    kind = "usage"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeResult(Generic[ValueT]):
    """Result of a call to one node: a value or an error."""

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
        "a comma-separated list)",
    )
    parser.add_argument(
        "--secret-file",
        metavar="FILE",
        default=os.environ.get(SECRET_VARIABLE, ""),
        help=f"file with the operators' secret (default: ${SECRET_VARIABLE})",
    )


def read_addresses(args: argparse.Namespace) -> list[str]:
    """Returns the node addresses from the options or the environment.

    Raises:
        UsageError: No address is given.
    """
    given = args.node or os.environ.get(NODES_VARIABLE, "").split(",")
    found = [address.strip() for address in given if address.strip()]
    if not found:
        raise UsageError(
            "No node address is given.",
            remedy=f"Give --node HOST:PORT, or set {NODES_VARIABLE}.",
        )
    return found


def create_client(
    args: argparse.Namespace, needs_secret: bool = True
) -> http_operations_client.NodeClient:
    """Returns a client with the operators' secret; needs a running loop.

    Args:
        args: The command's options.
        needs_secret: Whether the nodes require the secret.

    Raises:
        UsageError: No secret file is given.
        errors.ConfigInvalid: The file cannot be read.
    """
    if not needs_secret:
        return http_operations_client.create_node_client(keys.Secret(""))
    if not args.secret_file:
        raise UsageError(
            "No file with the operators' secret is given.",
            remedy=f"Give --secret-file FILE, or set {SECRET_VARIABLE}.",
        )
    secret = keys.read_secret(args.secret_file, "command", "--secret-file")
    if secret.is_error():
        raise secret.error
    return http_operations_client.create_node_client(secret.ok)


async def call_first_reachable(
    nodes: list[str],
    call: Callable[
        [str], Awaitable[expression.Result[ValueT, errors.AlmondshiftError]]
    ],
) -> expression.Result[ValueT, errors.AlmondshiftError]:
    """Calls nodes in turn until one is reachable."""
    result = await call(nodes[0])
    for node in nodes[1:]:
        if result.is_ok():
            break
        if not isinstance(result.error, http_operations_client.NodeUnreachable):
            break
        result = await call(node)
    return result


async def fetch_statuses(
    client: http_operations_client.NodeClient, seeds: list[str]
) -> list[NodeResult[dict[str, Any]]]:
    """Fetches the statuses of the seeds and of all nodes they know of."""
    results: dict[str, NodeResult[dict[str, Any]]] = {}
    pending = seeds
    for _ in range(MAX_DISCOVERY_ROUNDS):
        for result in await call_all(pending, client.status):
            results[result.address] = result
        pending = [a for a in _listed_addresses(results) if a not in results]
        if not pending:
            break
    return _without_aliases(list(results.values()))


async def call_all(
    nodes: list[str],
    call: Callable[
        [str], Awaitable[expression.Result[ValueT, errors.AlmondshiftError]]
    ],
) -> list[NodeResult[ValueT]]:
    """Calls nodes with bounded concurrency; returns results in their order."""
    slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def call_one(address: str) -> NodeResult[ValueT]:
        async with slots:
            result = await call(address)
        if result.is_ok():
            return NodeResult(address, result.ok, None)
        return NodeResult(address, None, result.error)

    return await asyncio.gather(*(call_one(address) for address in nodes))


def _listed_addresses(
    results: dict[str, NodeResult[dict[str, Any]]],
) -> list[str]:
    addresses: dict[str, None] = {}
    for result in results.values():
        rows = (result.value or {}).get("nodes", [])
        for row in rows if isinstance(rows, list) else []:
            if isinstance(row, dict) and isinstance(row.get("entry"), str):
                addresses[row["entry"]] = None
    return [address for address in addresses if address]


def _without_aliases(
    results: list[NodeResult[dict[str, Any]]],
) -> list[NodeResult[dict[str, Any]]]:
    """Counts a node that was reached at several addresses only once."""
    seen: set[str] = set()
    kept = []
    for result in results:
        name = str((result.value or {}).get("node") or result.address)
        if name not in seen:
            kept.append(result)
        seen.add(name)
    return kept
