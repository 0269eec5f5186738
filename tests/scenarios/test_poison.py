from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import systems

if TYPE_CHECKING:
    from tests.scenarios import worlds

scenarios("features/poison.feature")

POISON = [1, 2, 666, 4]
ANSWERS = "poison answers"
SPARE_ENGINES = tuple(
    systems.EngineShape(f"{zone}{number}", 12, zone, "large")
    for zone in ("za", "zb")
    for number in (1, 2, 3)
)
SLOW_ENGINES = (
    systems.EngineShape("fast", 12, "za", "large"),
    systems.EngineShape("slow", 12, "zb", "large", fixed_ms=120.0),
    systems.EngineShape("slower", 12, "za", "large", fixed_ms=400.0),
)


@given(parsers.parse("every engine crashes on token {token:d}"))
def crash_on(world: worlds.World, token: int) -> None:
    for name in list(world.system.engines):
        world.run(world.system.control(name, crash_token=token))


@given(parsers.parse("a system of {nodes:d} nodes and spare engines"))
def start_spare(world: worlds.World, nodes: int) -> None:
    world.run(world.system.start(nodes=nodes, engines=SPARE_ENGINES))


@given(
    parsers.parse(
        "a system of {nodes:d} nodes with one fast engine and slow ones"
    )
)
def start_slow(world: worlds.World, nodes: int) -> None:
    world.run(world.system.start(nodes=nodes, engines=SLOW_ENGINES))


@when(parsers.parse("a request with token 666 is sent to {node}"))
def send_poison(world: worlds.World, node: str) -> None:
    world.send("poison", 8, node=node, prompt=POISON)
    world.notes[ANSWERS] = [world.answer("poison")]


@when(parsers.parse("it is sent again to {first} and {second}"))
def send_again(world: worlds.World, first: str, second: str) -> None:
    for node in (first, second):
        world.send(f"poison {node}", 8, node=node, prompt=POISON)
        world.notes[ANSWERS].append(world.answer(f"poison {node}"))


@then("it was refused as quarantined each time")
def refused(world: worlds.World) -> None:
    kinds = [answer.kind for answer in world.notes[ANSWERS]]
    assert kinds == ["quarantined"] * 3
    executions = [answer.execution for answer in world.notes[ANSWERS]]
    assert executions == ["unknown", "not_run", "not_run"]


@then("the request with token 666 was refused as quarantined")
def poison_refused(world: worlds.World) -> None:
    (answer,) = world.notes[ANSWERS]
    assert answer.kind == "quarantined"


@then(parsers.parse("at most {count:d} engines are lost"))
def lost(world: worlds.World, count: int) -> None:
    engines = world.system.engines.values()
    dead = [engine.name for engine in engines if not engine.is_running()]
    assert 1 <= len(dead) <= count


@when(parsers.parse("the engines of zone {zone} are killed"))
def kill_zone(world: worlds.World, zone: str) -> None:
    for name, engine in world.system.engines.items():
        if name.startswith(zone):
            engine.kill()


@then("no request is convicted")
def none_convicted(world: worlds.World) -> None:
    for node in world.system.nodes:
        status = world.run(world.system.status(node))
        assert status["quarantine"]["convicted"] == {}
