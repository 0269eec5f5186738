"""A system whose nodes connect to the platform through fault proxies."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

from almondshift.adapters import keys
from tests.faults import proxy as fault_proxy
from tests.faults import systems

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.faults import processes
    from tests.scenarios import worlds

CONFIG_APPLIED = "AS2002"
ALL_NODES = "all nodes"
HEAD_READ = "GET /v1/tables/config/rows/head HTTP/1.1"
CONFIG_WRITE = b'"table":"config"'
NO_PLATFORM_FAULTS = {"down": "no", "delay_s": 0.0, "lose_share": 0.0}

ACCOUNT = """
[account {name}]
key_hash = {key_hash}
"""


def api_key(account: str) -> str:
    """Returns the API key of an account that a change adds."""
    return f"key of {account}"


def with_account(text: str, name: str) -> str:
    """Returns the configuration text with one more account."""
    return text + ACCOUNT.format(
        name=name, key_hash=keys.hash_key(api_key(name))
    )


class Control:
    """State shared by the steps of control-path scenarios.

    Attributes:
        proxies: The proxy between each node and the platform, by node.
        stopped: Nodes that were stopped or killed; their logs are still read.
        texts: The configuration text that each operator applies.
        base_versions: The version on which each operator's text is based.
        results: The last result of each operator's change.
        frozen: Nodes frozen by the scenario, which callers avoid.
        pending: The latest apply task, by operator.
    """

    def __init__(self, world: worlds.World) -> None:
        self.world = world
        self.system = world.system
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self.stopped: dict[str, processes.ChildProcess] = {}
        self.frozen: set[str] = set()
        self.texts: dict[str, str] = {}
        self.base_versions: dict[str, int] = {}
        self.results: dict[str, Any] = {}
        self.pending: dict[str, asyncio.Task[Any]] = {}

    def start(
        self,
        nodes: int,
        engines: tuple[systems.EngineShape, ...] = systems.ENGINES,
    ) -> None:
        """Starts a system with a proxy between each node and the platform."""
        self.world.run(self._start(nodes, engines))

    async def _start(
        self, nodes: int, engines: tuple[systems.EngineShape, ...]
    ) -> None:
        await self.system.start_platform()
        for number in range(nodes):
            await self._create_proxy(f"n{number + 1}")
        await self.system.start_parts(nodes=nodes, engines=engines)

    async def _create_proxy(self, node: str) -> None:
        assert self.system.platform is not None
        proxy = await fault_proxy.create_fault_proxy(
            self.system.platform.address
        )
        self.proxies[node] = proxy
        self.system.platform_routes[node] = proxy.address

    def add_node(self, name: str) -> None:
        """Starts another node with its own proxy."""
        self.world.run(self._create_proxy(name))
        self.world.run(self.system.start_node(name))

    def remove_node(self, name: str) -> None:
        """Removes a node that has exited; its log is kept."""
        self.stopped[name] = self.system.nodes.pop(name)

    def close(self) -> None:
        """Closes the proxies."""
        for proxy in self.proxies.values():
            self.world.run(proxy.close())

    def set_platform_faults(self, **switches: Any) -> None:
        """Sets fault switches of the platform and resets all others."""
        self.world.run(
            self.system.control(
                "platform", **{**NO_PLATFORM_FAULTS, **switches}
            )
        )

    async def rows(self, table: str, prefix: str) -> list[dict[str, Any]]:
        """Reads rows from the platform directly, bypassing the proxies."""
        assert self.system.platform is not None
        query = urllib.parse.urlencode({"prefix": prefix, "limit": 1000})
        found = await self.system.get_json(
            self.system.platform.address, f"/v1/tables/{table}/rows?{query}"
        )
        rows: list[dict[str, Any]] = found.get("rows", [])
        return rows

    def stored_versions(self) -> list[int]:
        """Returns the versions stored on the platform, newest first."""
        rows = self.world.run(self.rows("config", "version/"))
        return [row["value"]["version"] for row in rows]

    def start_apply(
        self, operator: str, node: str, change_id: str = ""
    ) -> None:
        """Starts applying an operator's text without waiting for the result."""
        self.pending[operator] = self.world.run(
            self._start_apply(
                operator, node, change_id or f"change-of-{operator}"
            )
        )

    async def _start_apply(
        self, operator: str, node: str, change_id: str
    ) -> asyncio.Task[Any]:
        return asyncio.create_task(
            self.system.apply(
                self.texts[operator],
                self.base_versions[operator],
                node,
                change_id,
            )
        )

    def wait_result(self, operator: str) -> Any:
        """Waits for the result of an operator's change."""

        async def answer() -> Any:
            return await self.pending[operator]

        self.results[operator] = self.world.run(answer())
        return self.results[operator]

    def parse_nodes(self, names: str) -> list[str]:
        """Parses the node names of a step, e.g. ``n1 and n2``."""
        if names == ALL_NODES:
            return list(self.system.nodes)
        return names.replace(" and ", ", ").split(", ")

    def applied_versions(self, node: str) -> list[int]:
        """Returns the versions that a node applied, in order, from its log."""
        process = self.system.nodes.get(node) or self.stopped[node]
        return [
            int(line["version"])
            for line in read_log_events(process, CONFIG_APPLIED)
        ]

    def last_applied_version(self, node: str) -> int:
        """Returns the version that a node applied last, or 0."""
        found = self.applied_versions(node)
        return found[-1] if found else 0

    def wait_version(
        self, version: int, nodes: Iterable[str], seconds: float
    ) -> float:
        """Waits until the logs show that these nodes applied a version."""
        wanted = list(nodes)

        async def in_force() -> bool:
            return all(
                self.last_applied_version(node) == version for node in wanted
            )

        return self.world.run(
            self.system.wait_for(
                in_force, f"version {version} on {wanted}", seconds
            )
        )


def read_log_events(
    process: processes.ChildProcess, event: str
) -> list[dict[str, Any]]:
    """Returns a node's log lines for one event, in order."""
    lines = process.log_file.read_text().splitlines()
    found = [json.loads(line) for line in lines if event in line]
    return [line for line in found if line.get("event") == event]
