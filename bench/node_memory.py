"""Measures the memory of one node's state by cluster size.

Run as ``python -m bench.node_memory NODES ENGINES ACCOUNTS``, one process per
size. Prints the resident megabytes after each step: the imports of the daemon,
the configuration, the router's state and the facts of the exchange. The
figures are cumulative and don't include requests in flight.
"""

from __future__ import annotations

import argparse
import importlib
import json

from almondshift.adapters import engine_messages
from bench import configuration
from bench import exchange

BYTES_PER_MB = 1e6


def resident_mb() -> float:
    """Returns the resident memory of this process in megabytes."""
    return round(exchange.resident_bytes() / BYTES_PER_MB, 1)


def measure(nodes: int, engines: int, accounts: int) -> dict[str, float]:
    """Returns the resident megabytes after each step."""
    importlib.import_module("almondshift.daemons.node")
    megabytes = {"imports": resident_mb()}
    text = configuration.create_text(accounts)
    parsed = configuration.fleet_text.parse(text, 1)
    assert parsed.is_ok()
    megabytes["configuration"] = resident_mb()
    load = importlib.import_module("bench.load")
    megabytes["bench itself"] = resident_mb()
    router = load.create_sized_router(load.Size(nodes, engines, accounts))
    megabytes["router"] = resident_mb()
    watching = importlib.import_module("bench.watching")
    membership = watching.make_membership(nodes)
    for number in range(engines):
        report = exchange.make_load_report(f"engine-{number}", 1, 9)
        membership.publish(
            exchange.peers.FactKind.ENGINE_LOAD,
            report.endpoint,
            engine_messages.encode_load(report),
            900.0,
        )
    for number in range(nodes):
        membership.publish(
            exchange.peers.FactKind.ACCOUNT_USE,
            f"node-{number}",
            bytes(1_000),
            900.0,
        )
    megabytes["exchange"] = resident_mb()
    assert router is not None
    return megabytes


def main() -> None:
    """Prints the figures of one size."""
    parser = argparse.ArgumentParser(prog="bench.node_memory")
    for name in ("nodes", "engines", "accounts"):
        parser.add_argument(name, type=int)
    chosen = parser.parse_args()
    megabytes = measure(chosen.nodes, chosen.engines, chosen.accounts)
    print(json.dumps({**vars(chosen), **megabytes}))


if __name__ == "__main__":
    main()
