"""Measures a plan of placement as the number of engines grows.

Run as ``python -m bench.placement``; takes a few seconds. Prints
milliseconds of processor time of the first plan, with all engines free, and
of a plan that changes nothing, as a lease holder makes it several times a
second.
"""

from __future__ import annotations

import statistics
import time

from almondshift.model import endpoints
from almondshift.model import fleet as fleets
from almondshift.policy import placement

ENGINES = (30, 270, 820)
MODELS = 3
LAYERS = 32
CAPACITIES = (16, 8, 8, 4)
"""Layers by kind of accelerator."""

MAX_SETTLING_PLANS = 400
REPEATS = 3
MS = 1e3


def make_fleet() -> fleets.Fleet:
    """Returns a configuration with three models and a service on each."""
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


def obey(
    engines: list[placement.PlacedEngine], plan: placement.Plan
) -> list[placement.PlacedEngine]:
    """Returns the engines after they did what was ordered."""
    ordered = {planned.endpoint: planned.order for planned in plan.orders}
    obeyed = []
    for engine in engines:
        order = ordered.get(engine.name)
        if order is None:
            obeyed.append(engine)
            continue
        held = endpoints.Holding(
            order.model, order.version, order.adapter, order.layers, True
        )
        report = endpoints.LoadReport(
            engine.name, "i", order.role, False, (held,), 0, 0, 1, 0.1
        )
        obeyed.append(placement.PlacedEngine(engine.description, report))
    return obeyed


def timed(
    fleet: fleets.Fleet, engines: list[placement.PlacedEngine]
) -> tuple[float, placement.Plan]:
    """Returns processor seconds of a plan, and the plan."""
    started = time.process_time()
    plan = placement.plan(fleet, engines)
    return time.process_time() - started, plan


def measure(count: int) -> None:
    """Prints the figures for a number of engines."""
    fleet = make_fleet()
    engines = [make_engine(number) for number in range(count)]
    first_s, plan = timed(fleet, engines)
    plans = 1
    while plan.orders and plans < MAX_SETTLING_PLANS:
        engines = obey(engines, plan)
        plan = placement.plan(fleet, engines)
        plans += 1
    steady = [timed(fleet, engines)[0] for _ in range(REPEATS)]
    print(
        f"{count} engines: first plan {first_s * MS:.1f} ms, "
        f"{plans} plans until {len(plan.orders)} orders are left, "
        f"then {statistics.median(steady) * MS:.1f} ms a plan",
        flush=True,
    )


def main() -> None:
    """Prints the figures."""
    for count in ENGINES:
        measure(count)


if __name__ == "__main__":
    main()
