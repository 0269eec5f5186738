"""What the stand-ins' daemons share: port file, signals and leaving."""

from __future__ import annotations

import abc
import asyncio
import os
import pathlib
import signal

from almondshift.model import endpoints
from almondshift.standins import registrations

POLL_S = 0.05


class StandIn(abc.ABC):
    """An endpoint that can run as a process of its own.

    Attributes:
        address: ``host:port``, once started.
    """

    address: str

    @abc.abstractmethod
    async def start(self) -> None:
        """Listens."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops listening and closes connections."""

    @abc.abstractmethod
    def describe_vm(self, state: endpoints.VmState) -> endpoints.Vm:
        """Returns the endpoint's row in the list of VMs."""

    @abc.abstractmethod
    def begin_leaving(self) -> None:
        """Refuses new work from now on."""

    @abc.abstractmethod
    def has_work(self) -> bool:
        """Returns whether work that was begun is not finished."""


def write_port_file(path: str, address: str) -> None:
    """Writes ``host:port`` so that a reader sees all of it or no file."""
    target = pathlib.Path(path)
    partial = target.with_name(f"{target.name}.{os.getpid()}.part")
    partial.write_text(address)
    partial.replace(target)


def watch_signals() -> asyncio.Event:
    """Returns an event that the first SIGTERM or SIGINT sets."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def serve(
    endpoint: StandIn, platform: str, port_file: str, grace_s: float
) -> None:
    """Serves until a signal comes, then leaves.

    Args:
        endpoint: What to serve.
        platform: ``host:port`` of the platform, ``""`` for none.
        port_file: Where to write the address, ``""`` for nowhere.
        grace_s: Longest time to finish work that was begun.
    """
    stopped = watch_signals()
    registration = registrations.Registration(platform)
    await endpoint.start()
    if port_file:
        write_port_file(port_file, endpoint.address)
    live = endpoint.describe_vm(endpoints.VmState.LIVE)
    registering = asyncio.create_task(registration.put(live))
    await stopped.wait()
    await stop(registering)
    await leave(endpoint, registration, grace_s)
    await endpoint.close()
    registration.close()


async def leave(
    endpoint: StandIn,
    registration: registrations.Registration,
    grace_s: float,
) -> None:
    """Says that the endpoint is leaving and finishes what was begun."""
    endpoint.begin_leaving()
    leaving = endpoint.describe_vm(endpoints.VmState.LEAVING)
    telling = asyncio.create_task(registration.put(leaving))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + grace_s
    while endpoint.has_work() and loop.time() < deadline:
        await asyncio.sleep(POLL_S)
    await stop(telling)
    await registration.remove(leaving)


async def stop(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits for its end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
