"""A whole system in one process, on one event loop, over loopback sockets.

For the demo, benchmarks and tests that need no separate processes.
"""

from __future__ import annotations

import dataclasses
import pathlib
import random
import tempfile
import time
from typing import TYPE_CHECKING

import expression

from almondshift.adapters import settings as node_settings
from almondshift.adapters import system_clock
from almondshift.daemons import node as node_daemon
from almondshift.model import endpoints
from almondshift.standins import registrations
from almondshift.standins.engine import server as engine_server
from almondshift.standins.engine import settings as engine_settings
from almondshift.standins.plain import server as plain_server
from almondshift.standins.plain import settings as plain_settings
from almondshift.standins.platform import server as platform_server
from almondshift.standins.platform import settings as platform_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.node import application

SETTINGS_TEMPLATE = """\
[node]
name = {name}
zone = {zone}
log_level = {log_level}

[peers]
seeds = {seeds}
secret_file = {folder}/peer.secret

[operators]
secret_file = {folder}/operator.secret

[platform]
address = {platform}

[drain]
hold_s = {hold_s}
grace_s = {grace_s}

[control]
poll_s = {poll_s}
lease_s = {lease_s}
"""
"""Template of a node's settings, for a system on one machine."""

OPERATOR_SECRET = "embedded-operator"
PEER_SECRET = "embedded-peers"
ZONES = ("zone-a", "zone-b")


@dataclasses.dataclass(frozen=True, slots=True)
class EmbeddedSettings:
    """Configuration of an embedded system.

    Attributes:
        config_text: Configuration text to apply.
        nodes: Number of nodes.
        engines: Settings for each engine stand-in.
        plain: Names of plain services; each gets two endpoints.
        choices: Creates a node's router, planner and related settings.
    """

    config_text: str
    nodes: int
    engines: tuple[engine_settings.EngineSettings, ...]
    plain: tuple[str, ...] = ()
    choices: Callable[
        [node_settings.NodeSettings, random.Random], application.NodeChoices
    ] = node_daemon.create_choices
    platform: platform_settings.PlatformSettings = dataclasses.field(
        default_factory=platform_settings.PlatformSettings
    )
    seed: int = 1
    hold_s: float = 0.5
    grace_s: float = 10.0


class EmbeddedSystem:
    """Stand-in servers and nodes of a running system, by name."""

    def __init__(self, settings: EmbeddedSettings) -> None:
        self.settings = settings
        self.clock = system_clock.create_system_clock()
        self.folder = tempfile.TemporaryDirectory(prefix="almondshift-")
        self.platform = platform_server.create_platform(settings.platform)
        self.engines: dict[str, engine_server.EngineServer] = {}
        self.plain: dict[str, plain_server.PlainServer] = {}
        self.nodes: dict[str, node_daemon.NodeProcess] = {}

    async def start(self) -> None:
        """Starts the stand-ins and the nodes, then applies the config text."""
        self._write_secrets()
        await self.platform.start()
        for settings in self.settings.engines:
            await self.add_engine(settings)
        for service in self.settings.plain:
            for index, zone in enumerate(ZONES):
                await self._add_plain(service, f"{service}-{index + 1}", zone)
        for index in range(self.settings.nodes):
            await self.add_node(f"node-{index + 1}", ZONES[index % len(ZONES)])
        await self._apply_config(self.settings.config_text)

    async def close(self) -> None:
        """Closes all servers and nodes that still run."""
        for node in self.nodes.values():
            await node.close()
        for engine in self.engines.values():
            await engine.close()
        for plain in self.plain.values():
            await plain.close()
        await self.platform.close()
        self.folder.cleanup()

    async def add_engine(
        self, settings: engine_settings.EngineSettings
    ) -> engine_server.EngineServer:
        """Starts an engine and registers it with the platform."""
        settings.platform = self.platform.address
        engine = engine_server.create_engine(settings)
        await engine.start()
        await self._register(engine)
        self.engines[settings.name] = engine
        return engine

    async def kill_engine(self, name: str) -> None:
        """Closes an engine without draining or deregistering it."""
        await self.engines.pop(name).close()

    async def add_node(self, name: str, zone: str) -> node_daemon.NodeProcess:
        """Starts a node that knows the others as seeds."""
        rng = random.Random(f"{self.settings.seed}/{name}")
        settings = self._node_settings(name, zone)
        process = node_daemon.create_node_process(
            settings, self.settings.choices(settings, rng), rng
        )
        await process.start()
        self.nodes[name] = process
        return process

    def entry_addresses(self) -> list[str]:
        """Returns the addresses of all nodes."""
        return [node.front.address for node in self.nodes.values()]

    async def wait_until(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Waits until a condition holds.

        Raises:
            TimeoutError: It did not hold in time; the message has ``what``.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"timed out after {seconds} s: {what}")
            await self.clock.sleep(0.02)

    async def wait_ready(self, *services: str, seconds: float = 20.0) -> None:
        """Waits until every node can serve these services."""

        def ready() -> bool:
            return all(
                node.node.driver.router.service_ready(service)
                for node in self.nodes.values()
                for service in services
            )

        await self.wait_until(ready, seconds, f"ready: {services}")

    async def wait_peers(self, seconds: float = 20.0) -> None:
        """Waits until every node knows all others."""

        def all_known() -> bool:
            others = len(self.nodes) - 1
            return all(
                len(node.node.membership.peers()) == others
                for node in self.nodes.values()
            )

        await self.wait_until(all_known, seconds, "all peers known")

    async def _apply_config(self, text: str) -> None:
        first = next(iter(self.nodes.values())).node
        result = await first.operations.apply_config(
            text, 0, "first", "embedded"
        )
        match result:
            case expression.Result(tag="ok"):
                pass
            case expression.Result(error=error):
                raise error
        await self.wait_until(self._all_configured, 20.0, "first config")

    def _all_configured(self) -> bool:
        return all(
            node.node.config.current is not None for node in self.nodes.values()
        )

    async def _add_plain(self, service: str, name: str, zone: str) -> None:
        server = plain_server.create_plain(
            plain_settings.PlainSettings(
                name=name,
                zone=zone,
                service=service,
            )
        )
        await server.start()
        await self._register(server)
        self.plain[name] = server

    async def _register(
        self, server: engine_server.EngineServer | plain_server.PlainServer
    ) -> None:
        registration = registrations.Registration(self.platform.address)
        await registration.put(server.describe_vm(endpoints.VmState.LIVE))
        registration.close()

    def _write_secrets(self) -> None:
        folder = pathlib.Path(self.folder.name)
        (folder / "peer.secret").write_text(PEER_SECRET)
        (folder / "operator.secret").write_text(OPERATOR_SECRET)

    def _node_settings(
        self, name: str, zone: str
    ) -> node_settings.NodeSettings:
        seeds = ", ".join(
            node.node.membership.node.peer_address
            for node in self.nodes.values()
        )
        text = SETTINGS_TEMPLATE.format(
            name=name,
            zone=zone,
            seeds=seeds,
            folder=self.folder.name,
            platform=self.platform.address,
            hold_s=self.settings.hold_s,
            grace_s=self.settings.grace_s,
            log_level="warning",
            poll_s=0.5,
            lease_s=2,
        )
        parsed = node_settings.parse(text)
        if parsed.is_error():
            raise parsed.error
        return parsed.ok


def create_embedded_system(settings: EmbeddedSettings) -> EmbeddedSystem:
    """Creates a system without starting it."""
    return EmbeddedSystem(settings)
