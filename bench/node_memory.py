"""Measures the memory of one node's state by the size of the system.

Run as ``python -m bench.node_memory NODES ENGINES ACCOUNTS``, one size for
each process. Prints the resident megabytes after the imports of the daemon,
after the configuration, after the router's state and after the facts of the
exchange, each with what came before. Requests in flight are not in it.
"""

from __future__ import annotations

import argparse
import importlib
import json

from almondshift.adapters import engine_messages
from bench import configuration
from bench import exchange

MB = 1e6


def megabytes() -> float:
    """Returns the resident memory of this process."""
    return round(exchange.resident_bytes() / MB, 1)


def measure(nodes: int, engines: int, accounts: int) -> dict[str, float]:
    """Returns the megabytes after each step."""
    importlib.import_module("almondshift.daemons.node")
    found = {"imports": megabytes()}
    text = configuration.create_text(accounts)
    parsed = configuration.fleet_text.parse(text, 1)
    assert parsed.is_ok()
    found["configuration"] = megabytes()
    load = importlib.import_module("bench.load")
    found["bench itself"] = megabytes()
    router = load._sized_router(load.Size(nodes, engines, accounts))
    found["router"] = megabytes()
    watching = importlib.import_module("bench.watching")
    membership = watching.make_membership(nodes)
    for number in range(engines):
        report = exchange.report_of(f"engine-{number}", 1, 9)
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
    found["exchange"] = megabytes()
    assert router is not None
    return found


def main() -> None:
    """Prints the figures of one size."""
    parser = argparse.ArgumentParser(prog="bench.node_memory")
    for name in ("nodes", "engines", "accounts"):
        parser.add_argument(name, type=int)
    chosen = parser.parse_args()
    found = measure(chosen.nodes, chosen.engines, chosen.accounts)
    print(json.dumps({**vars(chosen), **found}))


if __name__ == "__main__":
    main()
