from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import systems

if TYPE_CHECKING:
    from tests.scenarios import worlds

scenarios("features/fleet_change.feature")

CALLER_COUNT = 4


@dataclasses.dataclass
class SteadyLoad:
    """Callers that send requests continuously.

    Attributes:
        versions: Versions of the answers so far, in order.
        faults: Answers that were incomplete or of no single version.
    """

    count: int
    versions: list[int] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    is_on: bool = True
    tasks: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)

    async def ask(self, system: systems.RealSystem, number: int) -> None:
        caller = await system.caller()
        prompt = [ord(c) for c in f"steady {number}"]
        expected = {
            systems.expected(prompt, self.count, version): version
            for version in (1, 2)
        }
        nodes = list(system.nodes.values())
        while self.is_on:
            answer = await caller.complete(
                "chat",
                prompt,
                self.count,
                address=nodes[number % len(nodes)].address,
            )
            version = expected.get(tuple(answer.tokens))
            if not answer.whole or version is None:
                self.faults.append(f"{answer.problem} {answer.tokens}")
            else:
                self.versions.append(version)


@when(parsers.parse("the engine {name} with room for {room:d} layers joins"))
def join(world: worlds.World, name: str, room: int) -> None:
    shape = systems.EngineShape(name, room, "za", "large")
    world.run(world.system.start_engine(shape))


@then(parsers.parse("{name} serves layers within {seconds:d} seconds"))
def serves(world: worlds.World, name: str, seconds: int) -> None:
    async def ready() -> bool:
        status = await world.system.status("n1")
        rows = [r for r in status["endpoints"] if r["name"] == name]
        return any(h["ready"] for row in rows for h in row["holdings"])

    world.run(world.system.wait_for(ready, f"{name} serves", seconds))

    async def used() -> bool:
        caller = await world.system.caller()
        await asyncio.gather(
            *(caller.complete("chat", [n + 1, 2, 3], 4) for n in range(16))
        )
        return len(await world.system.ledger(name)) > 0

    world.run(world.system.wait_for(used, f"{name} is used", seconds))


@when(parsers.parse("callers keep asking for {count:d} tokens"))
def keep_asking(world: worlds.World, count: int) -> None:
    load = SteadyLoad(count)
    world.notes["load"] = load

    async def start() -> None:
        load.tasks = [
            asyncio.create_task(load.ask(world.system, number))
            for number in range(CALLER_COUNT)
        ]

    async def begun() -> bool:
        return len(load.versions) >= 2 * CALLER_COUNT

    world.run(start())
    world.run(world.system.wait_for(begun, "first answers"))


@when("version 2 of the model is applied")
def apply_version(world: worlds.World) -> None:
    text = systems.fleet_text().replace("version = 1", "version = 2")
    assert world.run(world.system.apply(text, 1)).is_ok()


@then(
    parsers.parse(
        "all answers are of version {version:d} within {seconds:d} seconds"
    )
)
def all_of_version(world: worlds.World, version: int, seconds: int) -> None:
    load = world.notes["load"]

    async def changed() -> bool:
        latest = collections.Counter(load.versions[-4 * CALLER_COUNT :])
        return set(latest) == {version}

    world.run(world.system.wait_for(changed, f"version {version}", seconds))
    load.is_on = False
    world.run(_gather(load))


async def _gather(load: SteadyLoad) -> None:
    await asyncio.gather(*load.tasks)


@then("every answer was complete and of one version")
def every_answer_whole(world: worlds.World) -> None:
    assert world.notes["load"].faults == []


@when("chat is made to depend on a service without endpoints")
def depend(world: worlds.World) -> None:
    text = systems.fleet_text().replace(
        "[service chat]\nkind = model",
        "[service chat]\nkind = model\ndepends_on = absent",
    )
    text += "\n[service absent]\nkind = plain\n"
    assert world.run(world.system.apply(text, 1)).is_ok()


@then(parsers.parse("a request for {service} is refused as {kind}"))
def refused(world: worlds.World, service: str, kind: str) -> None:
    answers = []

    async def is_refused() -> bool:
        caller = await world.system.caller()
        answer = await caller.complete(service, [1, 2, 3], 4, deadline_ms=2000)
        answers.append(answer)
        return answer.kind == kind

    world.run(world.system.wait_for(is_refused, f"refused as {kind}"))
    assert answers[-1].execution == "not_run"
    assert answers[-1].problem["retry_after_s"] >= 1


@when(
    parsers.parse("version {version:d} of the model is applied through {node}")
)
def apply_version_through(world: worlds.World, version: int, node: str) -> None:
    text = systems.fleet_text().replace(
        "layers = 12\nversion = 1", f"layers = 12\nversion = {version}"
    )
    applied = world.run(world.system.apply(text, 1, node))
    assert applied.is_ok(), applied


@then(
    parsers.parse(
        "all engines hold version {version:d} within {limit:d} seconds"
    )
)
def all_hold(world: worlds.World, version: int, limit: int) -> None:
    held: dict[str, list[tuple[int, bool]]] = {}

    async def hold() -> bool:
        for name, engine in world.system.engines.items():
            report = await world.system.get_json(engine.address, "/v1/load")
            held[name] = [
                (row["version"], row["ready"]) for row in report["holdings"]
            ]
        return all(rows == [(version, True)] for rows in held.values())

    world.run(
        world.system.wait_for(
            hold, f"version {version}", limit, seen=lambda: held
        )
    )


@when(
    parsers.parse("{name} asks a node without the lease for {count:d} tokens")
)
def ask_without_lease(world: worlds.World, name: str, count: int) -> None:
    async def holder() -> str:
        assert world.system.platform is not None
        found = await world.system.get_json(
            world.system.platform.address,
            "/v1/tables/leases/rows?prefix=control&limit=1",
        )
        held: str = found["rows"][0]["value"]["holder"]
        return held

    held_by = world.run(holder())
    node = next(n for n in world.system.nodes if n not in ("n1", held_by))
    world.notes["node"] = node
    world.send(name, count, node=node)


@when("that node is frozen")
def freeze_node(world: worlds.World) -> None:
    world.system.nodes[world.notes["node"]].freeze()


@when("that node is thawed")
def thaw_node(world: worlds.World) -> None:
    world.system.nodes[world.notes["node"]].thaw()


@when("all engines lose their sessions")
def lose_sessions(world: worlds.World) -> None:
    for engine in world.system.engines:
        world.run(world.system.control(engine, drop_kv=True))


@when(parsers.parse("a chain of engines holds version {version:d}"))
def chain_holds(world: worlds.World, version: int) -> None:
    async def holds() -> bool:
        held: set[int] = set()
        for engine in world.system.engines.values():
            report = await world.system.get_json(engine.address, "/v1/load")
            for row in report["holdings"]:
                if row["ready"] and row["version"] == version:
                    held |= set(range(row["start"], row["end"]))
        return len(held) == systems.LAYERS

    world.run(world.system.wait_for(holds, f"a chain of version {version}"))


@when(parsers.parse("{seconds:g} seconds pass"))
def pass_time(world: worlds.World, seconds: float) -> None:
    world.run(asyncio.sleep(seconds))
