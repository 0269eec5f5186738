"""Starts and signals real processes under test, and always ends them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    import pathlib

START_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 5.0
POLL_S = 0.02
LOG_TAIL_BYTES = 4_000


class ChildProcess:
    """One process, with its log and the address it listens on.

    Attributes:
        name: Unique in its test; names its log and port file.
        address: ``host:port`` that it wrote to its port file.
    """

    def __init__(
        self,
        name: str,
        popen: subprocess.Popen[bytes],
        port_file: pathlib.Path,
        log_file: pathlib.Path,
    ) -> None:
        self.name = name
        self.popen = popen
        self.port_file = port_file
        self.log_file = log_file
        self.address = ""

    @property
    def pid(self) -> int:
        """The process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Returns whether it has not exited; true for a suspended process."""
        return self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process if it is running."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills it with SIGKILL and waits for its exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait(EXIT_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspends it with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes it after ``freeze``."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful exit with SIGTERM; does not wait."""
        self.signal(signal.SIGTERM)

    def log(self) -> str:
        """Returns the end of its log."""
        content = self.log_file.read_bytes()[-LOG_TAIL_BYTES:]
        return content.decode(errors="replace")


class ProcessRunner:
    """Starts processes and kills all of them in ``close``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, ChildProcess] = {}

    def launch(self, name: str, module: str, *arguments: str) -> ChildProcess:
        """Starts ``python -m module`` without waiting for its address."""
        port_file = self.folder / f"{name}.port"
        log_file = self.folder / f"{name}.log"
        port_file.unlink(missing_ok=True)
        command = [sys.executable, "-m", module, *arguments]
        command += ["--port-file", str(port_file)]
        with log_file.open("ab") as log:
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        process = ChildProcess(name, popen, port_file, log_file)
        previous = self.processes.get(name)
        if previous is not None and previous.is_running():
            process.kill()
            raise ValueError(f"process {name} is still running")
        self.processes[name] = process
        return process

    def ready(self, process: ChildProcess) -> bool:
        """Returns whether a process wrote its address, and stores it.

        Raises:
            RuntimeError: If it exited; the message has the end of its log.
        """
        if not process.is_running():
            raise RuntimeError(f"{process.name} exited:\n{process.log()}")
        if not process.port_file.exists():
            return False
        first_line = process.port_file.read_text().splitlines()[0]
        process.address = first_line.removeprefix("entry=").strip()
        return True

    async def start(
        self, name: str, module: str, *arguments: str
    ) -> ChildProcess:
        """Starts ``python -m module`` and waits for its address."""
        process = self.launch(name, module, *arguments)
        await wait_until(
            lambda: self.ready(process), START_TIMEOUT_S, f"{name} listens"
        )
        return process

    async def start_node(
        self, name: str, settings: pathlib.Path
    ) -> ChildProcess:
        """Starts a node with a settings file."""
        return await self.start(
            name, "almondshift.daemons.node", "--settings", str(settings)
        )

    async def start_standin(
        self, name: str, kind: str, *arguments: str
    ) -> ChildProcess:
        """Starts a stand-in: ``engine``, ``platform`` or ``plain``."""
        return await self.start(
            name, f"almondshift.standins.{kind}", *arguments
        )

    def close(self) -> None:
        """Kills every process, including suspended ones."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()


@contextlib.contextmanager
def running(folder: pathlib.Path) -> Iterator[ProcessRunner]:
    """Yields a runner and kills its processes, even if the test fails."""
    runner = ProcessRunner(folder)
    try:
        yield runner
    finally:
        runner.close()


async def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str
) -> float:
    """Waits for a condition; returns the seconds that it took.

    Raises:
        AssertionError: If it did not hold in time; the message has ``what``.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise AssertionError(f"not met within {timeout_s} s: {what}")
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started
