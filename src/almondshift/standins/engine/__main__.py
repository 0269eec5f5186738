"""Runs the engine stand-in as a process."""

from __future__ import annotations

import argparse
import asyncio

from almondshift.standins import processes
from almondshift.standins.engine import server
from almondshift.standins.engine import settings as engine_settings

S_PER_MS = 1e-3
S_PER_US = 1e-6


def create_parser() -> argparse.ArgumentParser:
    """Creates the command-line parser."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--accelerator", default="fast")
    parser.add_argument(
        "--model",
        action="append",
        default=[],
        metavar="NAME=LAYERS",
        help="a model that can be loaded and its number of layers; repeatable",
    )
    parser.add_argument("--layer-capacity", type=int, default=8)
    parser.add_argument("--fixed-ms", type=float, default=5.0)
    parser.add_argument("--per-layer-token-us", type=float, default=200.0)
    parser.add_argument("--max-batch", type=int, default=32)
    parser.add_argument("--max-sessions", type=int, default=64)
    parser.add_argument("--session-idle-s", type=float, default=30.0)
    parser.add_argument("--load-lag-s", type=float, default=0.0)
    parser.add_argument("--load-layer-ms", type=float, default=0.0)
    parser.add_argument("--drain-s", type=float, default=30.0)
    parser.add_argument("--grace-s", type=float, default=10.0)
    parser.add_argument("--prefix-blocks", type=int, default=4096)
    parser.add_argument("--cache-event-delay-s", type=float, default=0.0)
    parser.add_argument("--cache-event-loss", type=float, default=0.0)
    parser.add_argument("--link-latency-ms", type=float, default=0.0)
    parser.add_argument("--link-bytes-per-s", type=float, default=0.0)
    parser.add_argument("--activation-bytes", type=int, default=8192)
    parser.add_argument("--kv-bytes", type=int, default=4096)
    parser.add_argument("--ledger-limit", type=int, default=100_000)
    parser.add_argument("--ledger-file", default="")
    parser.add_argument("--advertise", default="", metavar="HOST:PORT")
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", default="")
    parser.add_argument("--platform", default="", metavar="HOST:PORT")
    return parser


def read_models(arguments: list[str]) -> dict[str, int]:
    """Reads ``NAME=LAYERS`` arguments."""
    models = {}
    for argument in arguments:
        name, _, count = argument.partition("=")
        if not name or not count.isdecimal():
            raise SystemExit(f"--model {argument}: expected NAME=LAYERS")
        models[name] = int(count)
    return models


def read_settings(
    options: argparse.Namespace,
) -> engine_settings.EngineSettings:
    """Converts command-line options to settings."""
    return engine_settings.EngineSettings(
        name=options.name,
        zone=options.zone,
        accelerator=options.accelerator,
        port=options.port,
        platform=options.platform,
        models=read_models(options.model),
        layer_capacity=options.layer_capacity,
        fixed_s=options.fixed_ms * S_PER_MS,
        per_layer_token_s=options.per_layer_token_us * S_PER_US,
        max_batch=options.max_batch,
        max_sessions=options.max_sessions,
        session_idle_s=options.session_idle_s,
        load_lag_s=options.load_lag_s,
        load_layer_s=options.load_layer_ms * S_PER_MS,
        drain_s=options.drain_s,
        checks_fencing=not options.ignore_fencing,
        prefix_blocks=options.prefix_blocks,
        cache_event_delay_s=options.cache_event_delay_s,
        cache_event_loss=options.cache_event_loss,
        link_latency_s=options.link_latency_ms * S_PER_MS,
        link_bytes_per_s=options.link_bytes_per_s,
        activation_bytes=options.activation_bytes,
        kv_bytes=options.kv_bytes,
        ledger_limit=options.ledger_limit,
        ledger_file=options.ledger_file,
        advertise=options.advertise,
        grace_s=options.grace_s,
        seed=options.seed,
    )


async def run(options: argparse.Namespace) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
    settings = read_settings(options)
    engine = server.create_engine(settings)
    await processes.serve(
        engine, options.platform, options.port_file, settings.grace_s
    )


if __name__ == "__main__":
    asyncio.run(run(create_parser().parse_args()))
