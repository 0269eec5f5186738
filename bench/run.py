"""Runs all measurements, prints one table each and writes JSON."""

from __future__ import annotations

import argparse
import importlib
import json
import pathlib
import time

MEASUREMENTS = ("throughput", "recovery", "pipeline_calls", "load")
OUT = pathlib.Path(__file__).resolve().parent / "out"


def main() -> None:
    """Runs the named measurements, or all of them."""
    parser = argparse.ArgumentParser(prog="bench.run")
    parser.add_argument("names", nargs="*", default=MEASUREMENTS)
    names = parser.parse_args().names
    results = {}
    for name in names:
        print(f"== {name}")
        started = time.monotonic()
        results[name] = importlib.import_module(f"bench.{name}").main()
        print(f"   took {time.monotonic() - started:.0f} s\n")
    OUT.mkdir(exist_ok=True)
    path = OUT / "results.json"
    path.write_text(json.dumps(results, indent=2, default=str))
    print(f"written to bench/out/{path.name}")


if __name__ == "__main__":
    main()
