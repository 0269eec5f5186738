"""Common to the stand-in daemons: port file, signals, graceful shutdown."""

from __future__ import annotations

import abc
import asyncio
import os
import pathlib
import signal

from almondshift.model import endpoints
from almondshift.standins import registrations

DRAIN_POLL_INTERVAL_S = 0.05


class StandIn(abc.ABC):
    """An endpoint that can run as a separate process.

    Attributes:
        address: ``host:port``, once started.
    """

    address: str

    @abc.abstractmethod
    async def start(self) -> None:
        """Starts listening."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops listening and closes connections."""

    @abc.abstractmethod
    def describe_vm(self, state: endpoints.VmState) -> endpoints.Vm:
        """Returns the endpoint's row in the VM list."""

    @abc.abstractmethod
    def begin_leaving(self) -> None:
        """Starts refusing new work."""

    @abc.abstractmethod
    def has_work(self) -> bool:
        """Returns whether any accepted work is unfinished."""


def write_port_file(path: str, address: str) -> None:
    """Writes ``host:port`` atomically: a reader sees all of it or no file."""
    target = pathlib.Path(path)
    partial = target.with_name(f"{target.name}.{os.getpid()}.part")
    partial.write_text(address)
    partial.replace(target)


def watch_signals() -> asyncio.Event:
    """Returns an event that is set by the first SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def serve(
    endpoint: StandIn, platform: str, port_file: str, grace_s: float
) -> None:
    """Serves until SIGTERM or SIGINT, then shuts down gracefully.

    Args:
        endpoint: The endpoint to serve.
        platform: ``host:port`` of the platform, ``""`` for none.
        port_file: File to write the address to, ``""`` for none.
        grace_s: Maximum time to finish accepted work.
    """
    stopped = watch_signals()
    registration = registrations.Registration(platform)
    await endpoint.start()
    if port_file:
        write_port_file(port_file, endpoint.address)
    live = endpoint.describe_vm(endpoints.VmState.LIVE)
    registering = asyncio.create_task(registration.put(live))
    await stopped.wait()
    await cancel_task(registering)
    await drain_and_deregister(endpoint, registration, grace_s)
    await endpoint.close()
    registration.close()


async def drain_and_deregister(
    endpoint: StandIn,
    registration: registrations.Registration,
    grace_s: float,
) -> None:
    """Announces that the endpoint is leaving, drains and deregisters it."""
    endpoint.begin_leaving()
    leaving = endpoint.describe_vm(endpoints.VmState.LEAVING)
    announcing = asyncio.create_task(registration.put(leaving))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + grace_s
    while endpoint.has_work() and loop.time() < deadline:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    await cancel_task(announcing)
    await registration.remove(leaving)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
