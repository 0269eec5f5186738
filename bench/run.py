"""Runs benchmarks, prints a table for each and writes JSON."""

from __future__ import annotations

import argparse
import importlib
import json
import pathlib
import time

BENCHMARKS = ("throughput", "recovery", "pipeline_calls", "load")
OUTPUT_FOLDER = pathlib.Path(__file__).resolve().parent / "out"


def main() -> None:
    """Runs the named benchmarks, or all of them."""
    parser = argparse.ArgumentParser(prog="bench.run")
    parser.add_argument("names", nargs="*", default=BENCHMARKS)
    names = parser.parse_args().names
    results = {}
    for name in names:
        print(f"== {name}")
        started = time.monotonic()
        results[name] = importlib.import_module(f"bench.{name}").main()
        print(f"   took {time.monotonic() - started:.0f} s\n")
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    path = OUTPUT_FOLDER / "results.json"
    path.write_text(json.dumps(results, indent=2, default=str))
    print(f"written to bench/out/{path.name}")


if __name__ == "__main__":
    main()
