"""Sound prompts that are refused beside crashes, counted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.fakes import routed as fake_routed
from tests.relay import test_crash_watch as watches

if TYPE_CHECKING:
    from almondshift.relay import crash_watch

STREAMS = watches.STREAMS
FIRST = "f1"
BAD = "bad"
SUBJECTS = 6
LATER_S = 10.0


def subject(number: int) -> str:
    return f"5{number % SUBJECTS}"


def sound(name: str, number: int) -> Any:
    return fake_routed.routed(
        name, name.encode(), (FIRST, subject(number), f"0{number:x}")
    )


def create_watch(*answered: str) -> crash_watch.CrashWatch:
    """Returns a watch that has seen prompts with each of these parts."""
    watch = watches.create_watch(watches.FakePorts(watches.Port.CLOSED))
    for number in range(30):
        part = answered[number % len(answered)]
        name = f"before-{number}"
        watch.note_answered(fake_routed.routed(name, b"", (FIRST, part, "0")))
    return watch


async def crash(
    watch: crash_watch.CrashWatch, instance: str, running: list[Any]
) -> None:
    for request in running:
        watch.note_broken(request, 1, instance, "127.0.0.1:1")
    while watch.ports.checking:
        await asyncio.sleep(0.01)


def refused_new(watch: crash_watch.CrashWatch) -> int:
    """Returns how many of as many new sound prompts are refused, by part."""
    new = [sound(f"new-{number}", number) for number in range(STREAMS)]
    return sum(bool(watch.parts.find_refused(request)) for request in new)


def advance(watch: crash_watch.CrashWatch) -> None:
    clock: Any = watch.clock
    clock.now += LATER_S
    watch.tick()


@pytest.mark.parametrize("engines", [3, 6, 12])
@pytest.mark.parametrize("is_known", [True, False], ids=["known", "new"])
def test_a_lost_rack_costs_no_part_of_its_streams(
    is_known: bool, engines: int
) -> None:
    """Guards against sound prompts refused since a rack lost its engines.

    Each engine runs sixty streams, none of which has an event yet. All share
    the first part, and a sixth each a subject, answered before or new.
    """

    async def scenario() -> None:
        known = [subject(n) for n in range(SUBJECTS)] if is_known else ["other"]
        watch = create_watch(*known)
        for engine in range(engines):
            names = [f"r{engine}-{number}" for number in range(STREAMS)]
            running = [sound(name, n) for n, name in enumerate(names)]
            await crash(watch, f"e{engine}", running)
        assert refused_new(watch) == 0
        advance(watch)
        assert refused_new(watch) == 0
        await watch.close()

    asyncio.run(scenario())


def test_sound_streams_beside_a_bad_part_are_served() -> None:
    """Guards against sound prompts refused with the part beside them.

    Fifty-nine of sixty streams of each engine are sound and have no event.
    """

    async def scenario() -> None:
        watch = create_watch(*(subject(n) for n in range(SUBJECTS)))
        for engine in range(5):
            bad = fake_routed.routed(
                f"bad{engine}", b"%d" % engine, (FIRST, BAD, f"0{engine}")
            )
            running = [
                sound(f"r{engine}-{number}", number)
                for number in range(STREAMS - 1)
            ]
            await crash(watch, f"e{engine}", [*running, bad])
        again = fake_routed.routed("again", b"again", (FIRST, BAD, "99"))
        assert watch.is_refused(again)
        assert refused_new(watch) == 0
        advance(watch)
        assert watch.is_refused(again)
        assert refused_new(watch) == 0
        await watch.close()

    asyncio.run(scenario())
