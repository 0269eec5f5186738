"""Measures platform reads and writes per claim, config poll and lease.

Claims arrive at a fixed rate at one process, as at a node or a relay; the
baseline is the same load without grouped writes. The platform stand-in runs
in this process and delays each request by a set time before it takes effect.

Run: ``python -m bench.coordination``; takes about 50 seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import random
import statistics
from typing import TYPE_CHECKING

import expression

from almondshift.adapters import platform_store
from almondshift.adapters import system_clock
from almondshift.coordination import claim_attempts
from almondshift.coordination import claim_rows
from almondshift.coordination import claims
from almondshift.coordination import grouped_writes
from almondshift.coordination import lease
from almondshift.coordination import versioned_config
from almondshift.standins.platform import faults
from almondshift.standins.platform import server
from almondshift.standins.platform import settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from almondshift.ports import stores

CLOCK = system_clock.create_system_clock()
RESULT = claim_rows.StoredResult(200, "application/json", b"{}" * 50)
TIMEOUT_S = 2.0
WARM_UP_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Claims per second, duration in seconds and delay of the platform."""

    rate: float
    seconds: float
    delay_s: float


@dataclasses.dataclass(slots=True)
class ClaimResults:
    """Counts and latencies of the claims of one run."""

    finished: int = 0
    failed: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)


async def _ask_claimant(
    node: str, attempt: str
) -> claim_attempts.ClaimantAnswer:
    return claim_attempts.ClaimantAnswer.UNKNOWN


async def _claim_and_finish(
    node: claims.Claims, key: str, results: ClaimResults
) -> None:
    began = CLOCK.monotonic()
    result = await node.claim("a", "s", key, b"body", began + TIMEOUT_S)
    if result.is_error() or not isinstance(result.ok, claims.Claimed):
        results.failed += 1
        return
    results.latencies_s.append(CLOCK.monotonic() - began)
    await node.finish(result.ok, RESULT)
    results.finished += 1


async def _run_claims(node: claims.Claims, load: Load) -> ClaimResults:
    results = ClaimResults()
    began = CLOCK.monotonic()
    tasks = []
    for number in range(int(load.rate * load.seconds)):
        due = began + number / load.rate
        await CLOCK.sleep(max(0.0, due - CLOCK.monotonic()))
        claim = _claim_and_finish(node, f"k{number}", results)
        tasks.append(asyncio.create_task(claim))
    await asyncio.gather(*tasks)
    return results


async def measure_claims(
    load: Load,
    label: str,
    wrap: Callable[[stores.TableStore], stores.TableStore],
) -> None:
    """Prints the platform load and latency of claims at a fixed rate."""
    platform = server.create_platform(settings.PlatformSettings())
    await platform.start()
    platform.state.faults.set(faults.Switch(delay_s=load.delay_s))
    table = platform_store.create_table_store(platform.address, TIMEOUT_S)
    objects = platform_store.create_object_store(platform.address, TIMEOUT_S)
    await table.start()
    await objects.start()
    node = claims.create_claims(
        wrap(table), objects, CLOCK, random.Random(1), "n", _ask_claimant
    )
    results = await _run_claims(node, load)
    counts = platform.state.counters.current()
    done = max(1, results.finished)
    latencies = sorted(results.latencies_s) or [0.0]
    p99 = latencies[int(0.99 * (len(latencies) - 1))]
    print(
        f"{label:9} {load.rate:5.0f} claims/s: "
        f"{counts.writes / done:5.2f} writes, {counts.reads / done:5.2f} "
        f"reads a claim; peak {counts.peak_writes_per_s:4d} writes/s; "
        f"claimed in p50 {statistics.median(latencies) * 1000:6.1f} "
        f"p99 {p99 * 1000:6.1f} ms; "
        f"{results.finished} finished, {results.failed} failed"
    )
    await table.close()
    await objects.close()
    await platform.close()


async def _measure_steady_rates(
    platform: server.PlatformServer,
    label: str,
    components: Sequence[versioned_config.VersionedConfig[str] | lease.Lease],
    seconds: float,
) -> None:
    """Prints request rates in steady state, after the warm-up."""
    for component in components:
        await component.start()
    await CLOCK.sleep(WARM_UP_S)
    counts = platform.state.counters.current()
    reads, writes = counts.reads, counts.writes
    await CLOCK.sleep(seconds)
    counts = platform.state.counters.current()
    reads, writes = counts.reads - reads, counts.writes - writes
    print(
        f"{label:9} {len(components)} nodes: "
        f"{reads / seconds / len(components):5.2f} reads/s a node, "
        f"{writes / seconds:5.2f} writes/s in all"
    )
    for component in components:
        await component.close()


async def measure_polls(nodes: int, seconds: float) -> None:
    """Prints the request rates of configuration polls and of a lease."""
    platform = server.create_platform(settings.PlatformSettings())
    await platform.start()
    table = platform_store.create_table_store(platform.address, TIMEOUT_S)
    await table.start()
    configs = [
        versioned_config.create_versioned_config(
            table,
            CLOCK,
            random.Random(number),
            lambda text, version: expression.Ok(text),
        )
        for number in range(nodes)
    ]
    await configs[0].apply("text", 0, "c", "bench")
    leases = [
        lease.create_lease(
            table, CLOCK, random.Random(number), "control", f"n{number}"
        )
        for number in range(nodes)
    ]
    await _measure_steady_rates(platform, "polls", configs, seconds)
    await _measure_steady_rates(platform, "lease", leases, seconds)
    await table.close()
    await platform.close()


async def run(arguments: argparse.Namespace) -> None:
    """Runs all measurements, the baseline first."""
    for rate in (20.0, 100.0, 300.0):
        load = Load(rate, arguments.seconds, arguments.delay_s)
        await measure_claims(load, "alone", lambda store: store)
        await measure_claims(
            load, "grouped", grouped_writes.create_grouped_store
        )
    await measure_polls(arguments.nodes, arguments.seconds)


def main() -> None:
    """Parses the command line and runs the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--delay-s", type=float, default=0.02)
    parser.add_argument("--nodes", type=int, default=40)
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
