"""The relay node's daemon: connects platform adapters and application."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import random
import signal
import sys
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.adapters import http_connections
from almondshift.adapters import http_listener
from almondshift.adapters import peer_link
from almondshift.adapters import relay_settings
from almondshift.adapters import stdout_log
from almondshift.adapters import system_clock
from almondshift.platform import decode
from almondshift.platform import engines
from almondshift.platform import front
from almondshift.platform import names
from almondshift.platform import peer_entries
from almondshift.platform import store
from almondshift.relay import application
from almondshift.relay import catalogue
from almondshift.relay import gateway
from almondshift.relay import row_order
from almondshift.relay import status

if TYPE_CHECKING:
    from almondshift.ports import peers

SETTINGS_VARIABLE = "ALMONDSHIFT_SETTINGS"
ENGINE_CONNECT_TIMEOUT_S = 0.4
"""A live engine in the same region accepts within a few milliseconds."""

STATUS_PATH = "/v1/admin/status"
"""Path that ``almondshift status`` requests, on relay and other nodes."""

JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4"

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

logger = logging.getLogger(__name__)


class RelayProcess:
    """A relay node with its network adapters."""

    def __init__(self, settings: relay_settings.RelaySettings) -> None:
        rng = random.Random()
        self.store_pool = http_connections.create_connection_pool()
        self.engine_pool = http_connections.create_connection_pool(
            ENGINE_CONNECT_TIMEOUT_S
        )
        platform_store = store.create_platform_store(
            settings.platform.address, self.store_pool
        )
        self.settings = settings
        self.node = application.create_relay_node(
            settings,
            application.RelayPorts(
                clock=system_clock.create_system_clock(),
                rng=rng,
                table=platform_store,
                feed=platform_store,
                peer_entries=peer_entries.create_peer_entries(),
                engines=engines.create_platform_engines(self.engine_pool),
                decoders=catalogue.Decoders(
                    config=decode.decode_config,
                    engine=decode.decode_engine,
                    config_order=row_order.RowOrder(
                        decode.config_rank, is_lasting=True
                    ),
                    engine_order=row_order.RowOrder(decode.engine_rank),
                ),
                config_table=names.OPERATOR_TABLE,
                config_key=names.CONFIG_KEY,
                engine_table=names.ENGINE_TABLE,
                create_link=self.create_link,
            ),
        )
        limits = gateway.DEFAULT_LIMITS
        entry = settings.entry
        relay = self.node.gateway
        self.front = front.create_front(
            relay,
            entry.address,
            limits.idle_timeout_s,
            limits.header_bytes,
            self.node.shared.buffers,
        )
        self.engine_pool.buffers = self.node.shared.buffers
        self.node.is_front_idle = self.front.is_idle
        self.node.catalogue.on_config.append(self.apply_caller_limits)
        self.listeners = [
            front.create_directory(relay, address, entry.directory_hold_s)
            for address in {entry.ready_address, entry.directory_address}
        ]
        if settings.metrics.address:
            self.listeners.append(
                http_listener.create_short_listener(
                    settings.metrics.address, self.metrics
                )
            )

    def create_link(self, secret: str) -> peers.PeerLink:
        """Creates the network link to peers."""
        host, _, port = self.settings.peers.address.rpartition(":")
        return peer_link.create_peer_link(host, int(port), secret)

    def apply_caller_limits(self) -> None:
        """Applies the caller limits from the current configuration."""
        limits = self.node.gateway.limits()
        self.front.limit(limits.idle_timeout_s, limits.header_bytes)

    def metrics(self, target: str) -> http_listener.ShortAnswer:
        """Serves Prometheus metrics, and the node's status to operators."""
        if target.partition("?")[0] == STATUS_PATH:
            body_json = json.dumps(status.describe(self.node)).encode()
            return http_listener.ShortAnswer(200, JSON_TYPE, body_json)
        body = self.node.shared.observer.expose()
        return http_listener.ShortAnswer(200, METRICS_TYPE, body)

    async def start(self) -> None:
        """Opens the listeners, then starts the node."""
        await self.front.start()
        for listener in self.listeners:
            await listener.start()
        await self.node.start()

    async def stop_gracefully(self) -> None:
        """Drains in-flight requests, then stops serving callers."""
        self.front.disable_keep_alive()
        await self.node.stop_gracefully()
        await self.front.close_gracefully()

    async def close(self) -> None:
        """Closes the node, then its listeners and connections."""
        await self.node.close()
        await self.front.close()
        for listener in self.listeners:
            await listener.close()
        self.engine_pool.close()
        self.store_pool.close()


def run(path: str) -> int:
    """Runs a relay node until SIGTERM or SIGINT; returns the exit code."""
    loaded = relay_settings.load(path)
    if loaded.is_error():
        print(f"almondshift relay: {loaded.error}", file=sys.stderr)
        return 1
    settings = loaded.ok
    handler = stdout_log.start(
        settings.node.name, settings.node.log_lines_per_s
    )
    try:
        asyncio.run(_serve(path, settings))
    finally:
        stdout_log.close(handler)
    return 0


async def _serve(path: str, settings: relay_settings.RelaySettings) -> None:
    process = RelayProcess(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, process)
    # start_relay blocks SIGHUP; one sent during startup is delivered now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await process.start()
    await stop.wait()
    await process.stop_gracefully()
    await process.close()
    _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores further signals until the process exits.

    Closing the loop restores the default signal actions. A reload or a second
    stop signal in the tens of milliseconds until the interpreter exits would
    then end the process with the signal's exit code, which supervisors take
    for a crash. The signals are blocked during the change, so that the
    default action is never in effect.
    """
    handled = (*STOP_SIGNALS, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, handled)
    for number in handled:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _reload(path: str, process: RelayProcess) -> None:
    """Reloads the settings; only those read at run time take effect."""
    loaded = relay_settings.load(path)
    if loaded.is_error():
        log_events.emit(logger, log_events.NodeReloaded(f"not: {loaded.error}"))
        return
    new, old = loaded.ok, process.settings
    changed = [
        name
        for name in new.__struct_fields__
        if getattr(new, name) != getattr(old, name)
    ]
    process.settings = new
    process.node.settings = new
    log_events.emit(logger, log_events.NodeReloaded(",".join(changed)))


def main() -> int:
    """Runs ``python -m almondshift.daemons.relay --settings FILE``."""
    parser = argparse.ArgumentParser(prog="almondshift.daemons.relay")
    parser.add_argument("--settings", default="")
    args = parser.parse_args()
    path = args.settings or os.environ.get(SETTINGS_VARIABLE, "")
    return run(path)


if __name__ == "__main__":
    sys.exit(main())
