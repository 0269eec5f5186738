"""A complete system of real processes over loopback, for tests."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from typing import TYPE_CHECKING
from typing import Any

from tornado import httpclient
from tornado import simple_httpclient

from almondshift.adapters import http_caller
from almondshift.adapters import http_operations_client
from almondshift.adapters import keys
from almondshift.daemons import embedded
from almondshift.standins import reference
from tests.faults import processes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import pathlib

KEY = "test-key"
OTHER_KEY = "other-key"
OPERATOR = "test-operator"
MODEL = "m"
LAYERS = 12
READY_S = 30.0

FLEET = """\
[fleet]
name = test

[model m]
layers = 12
version = 1
layer_bytes = 1000

[service chat]
kind = model
model = m
max_output_tokens = 400

[service once]
kind = model
model = m
priority = critical
idempotent = no

[service portal]
kind = plain
idempotent = no

[service lookup]
kind = plain

[account tester]
key_hash = {key_hash}

[account other]
key_hash = {other_hash}
"""

EXPERIMENT = """
[experiment]
coalesce = {coalesce}
keep_inputs = {keep_inputs}
router = {router}
"""
SETTINGS = embedded.SETTINGS_TEMPLATE + EXPERIMENT


def fleet_text(extra: str = "") -> str:
    """Returns the tests' configuration."""
    text = FLEET.format(
        key_hash=keys.hash_key(KEY), other_hash=keys.hash_key(OTHER_KEY)
    )
    return text + extra


def expected(
    prompt: list[int], count: int, version: int = 1
) -> tuple[int, ...]:
    """Returns the correct tokens, computed directly."""
    return reference.complete(MODEL, version, "", LAYERS, tuple(prompt), count)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineShape:
    """Options of an engine to start."""

    name: str
    capacity: int
    zone: str = "za"
    accelerator: str = "fast"
    fixed_ms: float = 1.0
    token_us: float = 20.0
    extra: tuple[str, ...] = ()


ENGINES = (
    EngineShape("e1", 6),
    EngineShape("e2", 6, "zb"),
    EngineShape("e3", 4, "za", "slow", 2.0, 50.0),
    EngineShape("e4", 8, "zb", "slow", 2.0, 50.0),
)


class RealSystem:
    """The processes of a system by name, and calls to them.

    Attributes:
        platform_route: Address at which nodes reach the platform, or that of a
            proxy in front of it.
        platform_routes: The same for individual nodes, by name.
    """

    def __init__(
        self,
        runner: processes.ProcessRunner,
        folder: pathlib.Path,
        *,
        hold_s: float = 1.0,
        grace_s: float = 10.0,
        lease_s: float = 2.0,
        coalesce: bool = True,
        keep_inputs: bool = True,
        router: str = "full",
    ) -> None:
        self.runner = runner
        self.folder = folder
        self.hold_s = hold_s
        self.grace_s = grace_s
        self.lease_s = lease_s
        self.coalesce = coalesce
        self.keep_inputs = keep_inputs
        self.router = router
        self.platform: processes.ChildProcess | None = None
        self.platform_route = ""
        self.platform_routes: dict[str, str] = {}
        self.nodes: dict[str, processes.ChildProcess] = {}
        self.engines: dict[str, processes.ChildProcess] = {}
        self.plain: dict[str, processes.ChildProcess] = {}
        self.http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100
        )
        self.callers: dict[str, http_caller.Caller] = {}
        (folder / "peer.secret").write_text("peers\n")
        (folder / "operator.secret").write_text(OPERATOR + "\n")

    async def close(self) -> None:
        """Closes clients; the runner ends the processes."""
        for caller in self.callers.values():
            await caller.close()
        self.http.close()

    async def start_platform(self, *arguments: str) -> None:
        """Starts the platform stand-in."""
        self.platform = await self.runner.start_standin(
            "platform", "platform", *arguments
        )
        self.platform_route = self.platform.address

    async def start_engine(self, shape: EngineShape) -> None:
        """Starts an engine, which registers itself with the platform."""
        assert self.platform is not None
        self.engines[shape.name] = await self.runner.start_standin(
            shape.name,
            "engine",
            *("--name", shape.name),
            *("--zone", shape.zone),
            *("--accelerator", shape.accelerator),
            *("--layer-capacity", str(shape.capacity)),
            *("--fixed-ms", str(shape.fixed_ms)),
            *("--per-layer-token-us", str(shape.token_us)),
            *("--model", f"{MODEL}={LAYERS}"),
            *("--platform", self.platform.address),
            *shape.extra,
        )

    async def start_plain(
        self, service: str, name: str, zone: str, *extra: str
    ) -> None:
        """Starts an endpoint of a plain service."""
        assert self.platform is not None
        self.plain[name] = await self.runner.start_standin(
            name,
            "plain",
            *("--name", name),
            *("--zone", zone),
            *("--service", service),
            *("--platform", self.platform.address),
            *extra,
        )

    async def start_node(self, name: str, zone: str = "za") -> None:
        """Starts a node; the others discover it through the platform."""
        path = self.folder / f"{name}.ini"
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                seeds=", ".join(self._peer_addresses()),
                folder=self.folder,
                platform=self.platform_routes.get(name, self.platform_route),
                hold_s=self.hold_s,
                grace_s=self.grace_s,
                lease_s=self.lease_s,
                poll_s=0.3,
                log_level="info",
                coalesce="yes" if self.coalesce else "no",
                keep_inputs="yes" if self.keep_inputs else "no",
                router=self.router,
            )
        )
        self.nodes[name] = await self.runner.start_node(name, path)

    async def start(
        self,
        *,
        nodes: int = 2,
        engines: tuple[EngineShape, ...] = ENGINES,
        text: str | None = None,
    ) -> None:
        """Starts everything, applies the configuration, waits until ready."""
        await self.start_platform()
        await self.start_parts(nodes=nodes, engines=engines, text=text)

    async def start_parts(
        self,
        *,
        nodes: int = 2,
        engines: tuple[EngineShape, ...] = ENGINES,
        text: str | None = None,
    ) -> None:
        """Starts all processes except the platform, which must be running."""
        starts: list[Awaitable[None]] = [
            self.start_engine(shape) for shape in engines
        ]
        for service in ("portal", "lookup"):
            starts.append(self.start_plain(service, f"{service}1", "za"))
            starts.append(self.start_plain(service, f"{service}2", "zb"))
        await asyncio.gather(*starts)
        for index in range(nodes):
            await self.start_node(f"n{index + 1}", "za" if index % 2 else "zb")
        result = await self.apply(text or fleet_text(), 0)
        assert result.is_ok(), result
        await self.wait_ready("chat", "portal", "lookup")

    async def apply(
        self, text: str, base: int, node: str = "n1", change_id: str = ""
    ) -> Any:
        """Applies a configuration through a node; returns the result."""
        client = http_operations_client.create_node_client(
            keys.Secret(OPERATOR)
        )
        address = self.nodes[node].address
        try:
            return await client.apply(
                address, text, base, change_id or f"c{base}-{node}", "tester"
            )
        finally:
            client.close()

    async def status(self, node: str) -> dict[str, Any]:
        """Returns a node's status, or an empty object."""
        return await self.get_json(
            self.nodes[node].address, "/v1/admin/status", OPERATOR
        )

    async def ledger(self, endpoint: str) -> list[dict[str, Any]]:
        """Returns the executions recorded by an endpoint."""
        if endpoint in self.engines:
            address, path = self.engines[endpoint].address, "/v1/ledger"
        else:
            address, path = self.plain[endpoint].address, "/control/ledger"
        found = await self.get_json(address, path)
        rows: list[dict[str, Any]] = found["rows"]
        return rows

    async def control(self, endpoint: str, **switches: Any) -> None:
        """Sets fault switches of a stand-in."""
        if endpoint == "platform":
            assert self.platform is not None
            address, path = self.platform.address, "/v1/control"
        elif endpoint in self.engines:
            address, path = self.engines[endpoint].address, "/v1/control"
        else:
            address, path = self.plain[endpoint].address, "/control/switches"
        await self.post_json(address, path, switches)

    async def get_json(
        self, address: str, path: str, secret: str = ""
    ) -> dict[str, Any]:
        """Gets a JSON object; empty if there is no complete response."""
        headers = {"Authorization": f"Bearer {secret}"} if secret else {}
        try:
            response = await self.http.fetch(
                f"http://{address}{path}", headers=headers, request_timeout=5
            )
        except (OSError, httpclient.HTTPError):
            return {}
        found: dict[str, Any] = json.loads(response.body)
        return found

    async def post_json(self, address: str, path: str, body: Any) -> None:
        """Posts a JSON body; raises unless the response is a success."""
        response = await self.http.fetch(
            f"http://{address}{path}", method="POST", body=json.dumps(body)
        )
        assert response.code in (200, 204)

    async def wait_ready(self, *services: str) -> None:
        """Waits until each node knows its peers and serves ``services``."""
        for node in list(self.nodes):
            await self.wait_for(
                lambda node=node: self._is_ready(node, services),
                f"{node} serves {services}",
            )

    async def wait_for(
        self,
        condition: Callable[[], Awaitable[bool]],
        what: str,
        seconds: float = READY_S,
        seen: Callable[[], object] = lambda: "",
    ) -> float:
        """Waits for a condition; returns the seconds that it took.

        Args:
            condition: Polled until it holds.
            what: Description for the error message on timeout.
            seconds: Timeout in seconds.
            seen: Returns the last observation, for the same message.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not await condition():
            if loop.time() - started > seconds:
                message = f"not met within {seconds} s: {what} {seen()}"
                raise AssertionError(message.rstrip())
            await asyncio.sleep(processes.POLL_S)
        return loop.time() - started

    async def caller(self, key: str = KEY) -> http_caller.Caller:
        """Returns a caller for an account; it knows all nodes."""
        if key not in self.callers:
            caller = http_caller.create_caller(
                key, [node.address for node in self.nodes.values()]
            )
            await caller.start()
            self.callers[key] = caller
        return self.callers[key]

    async def _is_ready(self, node: str, services: tuple[str, ...]) -> bool:
        status = await self.status(node)
        if not status or len(status["nodes"]) != len(self.nodes):
            return False
        ready = {row["name"] for row in status["services"] if row["ready"]}
        return ready.issuperset(services)

    def _peer_addresses(self) -> list[str]:
        found = []
        for node in self.nodes.values():
            lines = node.port_file.read_text().splitlines()
            found.append(lines[1].removeprefix("peer="))
        return found
