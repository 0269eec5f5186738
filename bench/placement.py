"""Measures the cost of placement plans, by number of engines.

Run as ``python -m bench.placement``; takes a few seconds. Prints the
processor time in milliseconds of the first plan, when all engines are idle,
and of a plan that changes nothing, which a lease holder computes several
times per second.
"""

from __future__ import annotations

import statistics
import time

from almondshift.model import endpoints
from almondshift.model import fleet as fleets
from almondshift.policy import placement

ENGINE_COUNTS = (30, 270, 820)
MODELS = 3
LAYERS = 32
CAPACITIES = (16, 8, 8, 4)
"""Layer capacity by kind of accelerator."""

MAX_SETTLING_PLANS = 400
REPEATS = 3
MS_PER_S = 1e3


def make_fleet() -> fleets.Fleet:
    """Returns a configuration with three models and one service for each."""
    names = [f"m{i}" for i in range(MODELS)]
    kind = fleets.ServiceKind.MODEL
    return fleets.Fleet(
        version=1,
        name="bench",
        models={name: fleets.Model(name, LAYERS, 1) for name in names},
        services={
            f"service-{name}": fleets.Service(
                f"service-{name}", kind, model=name
            )
            for name in names
        },
        endpoint_rules=(),
        links=(),
        accounts={},
    )


def make_engine(number: int) -> placement.PlacedEngine:
    """Returns an engine that holds nothing."""
    capacity = CAPACITIES[number % len(CAPACITIES)]
    name = f"engine-{number}"
    description = endpoints.EndpointDescription(
        name, "i", f"kind-{number % 4}", capacity, 0.005, 0.0002, 16, 64
    )
    report = endpoints.LoadReport(
        name, "i", endpoints.EndpointRole.IDLE, False, (), 0, 0, 0, 0.1
    )
    return placement.PlacedEngine(description, report)


def apply_orders(
    engines: list[placement.PlacedEngine], plan: placement.Plan
) -> list[placement.PlacedEngine]:
    """Returns the engines after they have carried out a plan's orders."""
    orders = {planned.endpoint: planned.order for planned in plan.orders}
    updated = []
    for engine in engines:
        order = orders.get(engine.name)
        if order is None:
            updated.append(engine)
            continue
        holding = endpoints.Holding(
            order.model, order.version, order.adapter, order.layers, True
        )
        report = endpoints.LoadReport(
            engine.name, "i", order.role, False, (holding,), 0, 0, 1, 0.1
        )
        updated.append(placement.PlacedEngine(engine.description, report))
    return updated


def timed_plan(
    fleet: fleets.Fleet, engines: list[placement.PlacedEngine]
) -> tuple[float, placement.Plan]:
    """Returns the processor time of a plan in seconds, and the plan."""
    started = time.process_time()
    plan = placement.plan(fleet, engines)
    return time.process_time() - started, plan


def measure(count: int) -> None:
    """Prints the figures for a number of engines."""
    fleet = make_fleet()
    engines = [make_engine(number) for number in range(count)]
    first_s, plan = timed_plan(fleet, engines)
    plans = 1
    while plan.orders and plans < MAX_SETTLING_PLANS:
        engines = apply_orders(engines, plan)
        plan = placement.plan(fleet, engines)
        plans += 1
    steady = [timed_plan(fleet, engines)[0] for _ in range(REPEATS)]
    print(
        f"{count} engines: first plan {first_s * MS_PER_S:.1f} ms, "
        f"{plans} plans until {len(plan.orders)} orders are left, "
        f"then {statistics.median(steady) * MS_PER_S:.1f} ms a plan",
        flush=True,
    )


def main() -> None:
    """Prints the figures."""
    for count in ENGINE_COUNTS:
        measure(count)


if __name__ == "__main__":
    main()
