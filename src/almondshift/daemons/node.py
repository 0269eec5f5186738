"""The node's daemon: reads settings, starts a node, stops it on a signal."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import random
import signal
import sys
from typing import TYPE_CHECKING

import prometheus_client

from almondshift.adapters import http_engine
from almondshift.adapters import http_operations
from almondshift.adapters import http_plain_service
from almondshift.adapters import keys
from almondshift.adapters import logs
from almondshift.adapters import metrics
from almondshift.adapters import peer_link
from almondshift.adapters import platform_store
from almondshift.adapters import request_observer
from almondshift.adapters import settings as node_settings
from almondshift.adapters import system_clock
from almondshift.adapters.http_front import server
from almondshift.node import application
from almondshift.node import completions
from almondshift.node import directory
from almondshift.policy import baseline
from almondshift.policy import planners
from almondshift.policy import router

if TYPE_CHECKING:
    import expression

    from almondshift import errors
    from almondshift.policy import router_interface

STORE_TIMEOUT_S = 1.0
MAX_ENGINE_CONNECTIONS = 256


class NodeProcess:
    """A node with its network adapters.

    Attributes:
        node: The application.
        front: The HTTP server.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        peer_secret: keys.Secret,
        operator_secret: keys.Secret,
        choices: application.NodeChoices,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        clock = system_clock.create_system_clock()
        address = settings.platform_address
        self.table = platform_store.create_table_store(address, STORE_TIMEOUT_S)
        self.objects = platform_store.create_object_store(
            address, STORE_TIMEOUT_S
        )
        self.vm_list = platform_store.create_vm_list(address, STORE_TIMEOUT_S)
        self.engines = http_engine.create_factory(MAX_ENGINE_CONNECTIONS)
        self.plain = http_plain_service.create_plain_service()
        ports = application.NodePorts(
            clock=clock,
            table=self.table,
            objects=self.objects,
            vm_list=self.vm_list,
            engines=self.engines,
            plain=self.plain,
            link=peer_link.create_peer_link(
                settings.peer_host, settings.peer_port, peer_secret.text
            ),
        )
        self.node = application.create_node(settings, ports, choices, rng)
        self.observer = request_observer.create_request_observer(
            metrics.create_metrics(prometheus_client.CollectorRegistry()),
            self.node.counts,
            clock,
            self.node.answer_times.note,
        )
        self.node.config.subscribe(
            lambda _, value: self.observer.metrics.use(value)
        )
        self.front = server.create_http_front(
            self.node.gateway,
            clock,
            self.observer,
            settings.entry_host,
            settings.entry_port,
            http_operations.create_routes(
                self.node.operations, operator_secret
            ),
        )

    async def start(self) -> None:
        """Starts the adapters, including the listener, then the node."""
        await self.table.start()
        await self.objects.start()
        await self.vm_list.start()
        await self.plain.start()
        await self.front.start()
        await self.node.start(self.front.address)
        if self.settings.port_file:
            node_settings.write_port_file(
                self.settings.port_file,
                self.front.address,
                self.node.membership.node.peer_address,
            )

    async def stop_gracefully(self) -> None:
        """Drains in-flight requests, then stops serving callers."""
        self.front.disable_keep_alive()
        await self.node.stop_gracefully()
        await self.front.close_gracefully()

    async def close(self) -> None:
        """Closes the node, then its adapters."""
        await self.node.close()
        await self.front.close()
        await self.plain.close()
        await self.engines.close()
        await self.vm_list.close()
        await self.objects.close()
        await self.table.close()


def create_node_process(
    settings: node_settings.NodeSettings,
    choices: application.NodeChoices,
    rng: random.Random,
) -> NodeProcess:
    """Creates a node with its adapters, without starting it.

    Raises:
        errors.ConfigInvalid: A secret cannot be read.
    """
    peer_secret = _unwrap(
        keys.read_secret(settings.peer_secret_file, "peers", "secret_file")
    )
    operator_secret = _unwrap(
        keys.read_secret(
            settings.operator_secret_file, "operators", "secret_file"
        )
    )
    return NodeProcess(settings, peer_secret, operator_secret, choices, rng)


def create_choices(
    settings: node_settings.NodeSettings, rng: random.Random
) -> application.NodeChoices:
    """Returns the router, planner and other choices from the settings."""
    return application.NodeChoices(
        router=_create_router(settings, rng),
        planner=planners.create_flow_planner(),
        completions=completions.CompletionSettings(
            keep_inputs=settings.keep_inputs
        ),
        directory=directory.DirectorySettings(coalesce=settings.coalesce),
    )


def _create_router(
    settings: node_settings.NodeSettings, rng: random.Random
) -> router_interface.Router:
    if settings.router == "baseline":
        return baseline.create_baseline_router(rng)
    return router.create_router(
        rng, settings.name, router.RouterSettings(zone=settings.zone)
    )


def run(path: str, port_file: str = "") -> int:
    """Runs a node until SIGTERM or SIGINT; returns the exit code.

    Args:
        path: The settings file.
        port_file: Overrides the port file in the settings, if not empty.
    """
    loaded = node_settings.load(path)
    if loaded.is_error():
        print(f"almondshift node: {loaded.error}", file=sys.stderr)
        return 1
    settings = loaded.ok
    if port_file:
        settings = dataclasses.replace(settings, port_file=port_file)
    handler = logs.start(settings)
    try:
        asyncio.run(_serve(settings))
    finally:
        logs.close(handler)
    return 0


async def _serve(settings: node_settings.NodeSettings) -> None:
    rng = random.Random()
    process = create_node_process(settings, create_choices(settings, rng), rng)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await process.start()
    await stop.wait()
    await process.stop_gracefully()
    await process.close()


def _unwrap(
    result: expression.Result[keys.Secret, errors.ConfigInvalid],
) -> keys.Secret:
    if result.is_error():
        raise result.error
    return result.ok


def main() -> int:
    """Runs ``python -m almondshift.daemons.node --settings FILE``."""
    parser = argparse.ArgumentParser(prog="almondshift.daemons.node")
    parser.add_argument("--settings", required=True)
    parser.add_argument("--port-file", default="")
    args = parser.parse_args()
    return run(args.settings, args.port_file)


if __name__ == "__main__":
    sys.exit(main())
