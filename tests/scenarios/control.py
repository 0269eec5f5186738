"""A system whose nodes reach the platform through fault proxies."""

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
PLATFORM_UP = {"down": "no", "delay_s": 0.0, "lose_share": 0.0}

ACCOUNT = """
[account {name}]
key_hash = {key_hash}
"""


def key_of(account: str) -> str:
    """Returns the bearer key of an account that a change adds."""
    return f"key of {account}"


def with_account(text: str, name: str) -> str:
    """Returns a text with one more account; the change of an operator."""
    return text + ACCOUNT.format(
        name=name, key_hash=keys.hash_key(key_of(name))
    )


class Control:
    """What the steps of the control path share.

    Attributes:
        proxies: The proxy between each node and the platform, by node.
        stopped: Nodes that were stopped or killed; logs are still read.
        texts: The text that each operator applies, by operator.
        bases: The version that each operator's text is based on.
        heard: What each operator heard, by operator.
        frozen: Nodes that the scenario froze and that callers avoid.
        applying: Applies that have not been answered yet, by operator.
    """

    def __init__(self, world: worlds.World) -> None:
        self.world = world
        self.system = world.system
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self.stopped: dict[str, processes.ChildProcess] = {}
        self.frozen: set[str] = set()
        self.texts: dict[str, str] = {}
        self.bases: dict[str, int] = {}
        self.heard: dict[str, Any] = {}
        self.applying: dict[str, asyncio.Task[Any]] = {}

    def start(
        self,
        nodes: int,
        engines: tuple[systems.EngineShape, ...] = systems.ENGINES,
    ) -> None:
        """Starts a system with a proxy before each node."""
        self.world.run(self._start(nodes, engines))

    async def _start(
        self, nodes: int, engines: tuple[systems.EngineShape, ...]
    ) -> None:
        await self.system.start_platform()
        for number in range(nodes):
            await self._put_proxy(f"n{number + 1}")
        await self.system.start_parts(nodes=nodes, engines=engines)

    async def _put_proxy(self, node: str) -> None:
        assert self.system.platform is not None
        proxy = await fault_proxy.create_fault_proxy(
            self.system.platform.address
        )
        self.proxies[node] = proxy
        self.system.platform_routes[node] = proxy.address

    def add_node(self, name: str) -> None:
        """Starts one more node, with a proxy of its own."""
        self.world.run(self._put_proxy(name))
        self.world.run(self.system.start_node(name))

    def forget_node(self, name: str) -> None:
        """Takes a node that ended out of the system; its log stays."""
        self.stopped[name] = self.system.nodes.pop(name)

    def close(self) -> None:
        """Closes the proxies."""
        for proxy in self.proxies.values():
            self.world.run(proxy.close())

    def platform(self, **switches: Any) -> None:
        """Sets switches of the platform; the others go back to normal."""
        self.world.run(
            self.system.control("platform", **{**PLATFORM_UP, **switches})
        )

    async def rows(self, table: str, prefix: str) -> list[dict[str, Any]]:
        """Returns rows as the platform holds them, past all proxies."""
        assert self.system.platform is not None
        query = urllib.parse.urlencode({"prefix": prefix, "limit": 1000})
        found = await self.system.get_json(
            self.system.platform.address, f"/v1/tables/{table}/rows?{query}"
        )
        rows: list[dict[str, Any]] = found.get("rows", [])
        return rows

    def accepted(self) -> list[int]:
        """Returns the versions that the platform holds, newest first."""
        rows = self.world.run(self.rows("config", "version/"))
        return [row["value"]["version"] for row in rows]

    def begin(self, operator: str, node: str, change_id: str = "") -> None:
        """Sends an operator's text and does not wait for the answer."""
        self.applying[operator] = self.world.run(
            self._begin(operator, node, change_id or f"change-of-{operator}")
        )

    async def _begin(
        self, operator: str, node: str, change_id: str
    ) -> asyncio.Task[Any]:
        return asyncio.create_task(
            self.system.apply(
                self.texts[operator], self.bases[operator], node, change_id
            )
        )

    def hear(self, operator: str) -> Any:
        """Waits for what an operator hears."""

        async def answer() -> Any:
            return await self.applying[operator]

        self.heard[operator] = self.world.run(answer())
        return self.heard[operator]

    def nodes_of(self, names: str) -> list[str]:
        """Returns the nodes that a step names, e.g. ``n1 and n2``."""
        if names == ALL_NODES:
            return list(self.system.nodes)
        return names.replace(" and ", ", ").split(", ")

    def versions_in_log(self, node: str) -> list[int]:
        """Returns the versions that a node put in force, in order."""
        process = self.system.nodes.get(node) or self.stopped[node]
        return [
            int(line["version"]) for line in events(process, CONFIG_APPLIED)
        ]

    def newest_in_log(self, node: str) -> int:
        """Returns the version that a node put in force last, or 0."""
        found = self.versions_in_log(node)
        return found[-1] if found else 0

    def wait_version(
        self, version: int, nodes: Iterable[str], seconds: float
    ) -> float:
        """Waits until these nodes put a version in force, by their logs."""
        wanted = list(nodes)

        async def in_force() -> bool:
            return all(self.newest_in_log(node) == version for node in wanted)

        return self.world.run(
            self.system.wait_for(
                in_force, f"version {version} on {wanted}", seconds
            )
        )


def events(process: processes.ChildProcess, event: str) -> list[dict[str, Any]]:
    """Returns the lines of a node's log for one event, in order."""
    lines = process.log_file.read_text().splitlines()
    found = [json.loads(line) for line in lines if event in line]
    return [line for line in found if line.get("event") == event]
