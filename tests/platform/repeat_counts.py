"""Counts arrivals beyond the first of each request against the retry budget."""

from __future__ import annotations

import asyncio
import bisect
import dataclasses
import itertools
from typing import TYPE_CHECKING

from tests.platform import standin_system as system

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from almondshift.adapters import relay_settings

SERVICE_BY_PATH = {
    "/look/x": system.PLAIN_SERVICE,
    "/once/x": system.PLAIN_SERVICE,
    "/chat/x": system.MODEL_SERVICE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCount:
    """Repeats in a window, and how many the retry budget allows there."""

    repeats: int
    allowed: float

    @property
    def is_within_limit(self) -> bool:
        """Whether the retry budget allows that many repeats."""
        return self.repeats <= self.allowed


def find_repeats(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Returns the times of arrivals beyond the first of each request."""
    seen: set[str] = set()
    repeats = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    return repeats


def worst_window(
    repeats: Iterable[float],
    requests: Iterable[float],
    limits: relay_settings.RepeatsSection,
) -> WindowCount:
    """Returns the window in which repeats exceed their limit the most.

    The requests of a window are those in it, in the one before it or in the
    one half a window before it, whichever has most.

    Args:
        repeats: Times of repeats.
        requests: Times of requests.
        limits: The retry budget of all nodes.
    """
    repeats, requests = sorted(repeats), sorted(requests)
    window_s = limits.window_s
    counts = []
    for start in repeats:
        most = max(
            count_within(requests, start - back * window_s, window_s)
            for back in (0.0, 0.5, 1.0)
        )
        allowed = limits.ratio * most + limits.allowance
        counts.append(
            WindowCount(count_within(repeats, start, window_s), allowed)
        )
    return max(
        counts,
        key=lambda count: count.repeats - count.allowed,
        default=WindowCount(0, limits.allowance),
    )


def count_within(times: list[float], start: float, window_s: float) -> int:
    """Returns how many of the sorted times lie in a window."""
    return bisect.bisect_left(times, start + window_s) - bisect.bisect_left(
        times, start
    )


class RepeatCounts:
    """Sends requests to random nodes and counts their arrivals at engines.

    Attributes:
        sent: Time of sending and service of each request, by its id.
        statuses: Status of each response, by the request's id; 0 for none.
    """

    def __init__(
        self, running: system.StandinSystem, rng: random.Random
    ) -> None:
        self.running = running
        self.rng = rng
        self.sent: dict[str, tuple[float, str]] = {}
        self.statuses: dict[str, int] = {}

    async def send_for(self, seconds: float, per_s: float) -> None:
        """Sends requests at a steady rate and awaits their responses."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = []
        for number in range(int(seconds * per_s)):
            await asyncio.sleep(started + number / per_s - loop.time())
            path = self.rng.choice(tuple(SERVICE_BY_PATH))
            request_id = f"r{len(self.sent)}"
            self.sent[request_id] = (loop.time(), SERVICE_BY_PATH[path])
            node = self.rng.choice(self.running.nodes)
            entry = node.settings.entry.address
            tasks.append(
                asyncio.create_task(self.send(entry, path, request_id))
            )
        await asyncio.gather(*tasks)

    async def send(self, entry: str, path: str, request_id: str) -> None:
        """Sends one request and records its status."""
        try:
            head = system.request(path, request_id)
            status, _, _ = await system.send(entry, head, b"x")
        except OSError:
            status = 0
        self.statuses[request_id] = status

    def count_statuses(self, *statuses: int) -> int:
        """Returns how many responses had one of the statuses."""
        return sum(status in statuses for status in self.statuses.values())

    def worst_window(self, service: str) -> WindowCount:
        """Returns the window in which a service's repeats exceed their limit.

        If they never do, the one that is closest to it.
        """
        of_service = {
            request_id: at
            for request_id, (at, name) in self.sent.items()
            if name == service
        }
        arrivals = itertools.chain.from_iterable(
            zip(engine.arrivals, engine.arrived_ids, strict=True)
            for engine in self.running.engines.values()
        )
        repeats = find_repeats(
            (at, request_id)
            for at, request_id in arrivals
            if request_id in of_service
        )
        return worst_window(repeats, of_service.values(), self.running.repeats)
