"""Starts engine stand-ins in separate processes.

Their processor time is then not counted as that of the benchmark.
"""

from __future__ import annotations

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02


@contextlib.contextmanager
def run_engine(*options: str) -> Iterator[str]:
    """Runs an engine and yields its ``host:port``."""
    with tempfile.TemporaryDirectory() as folder:
        port_file = pathlib.Path(folder, "port")
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "almondshift.standins.engine",
                *("--name", "e1", "--zone", "z1", "--grace-s", "0"),
                *("--port-file", str(port_file)),
                *options,
            ]
        )
        try:
            yield wait_for_address(port_file)
        finally:
            process.terminate()
            process.wait(STOP_TIMEOUT_S)


def wait_for_address(port_file: pathlib.Path) -> str:
    """Waits until the engine has written its address."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not port_file.exists():
        if time.monotonic() > deadline:
            raise TimeoutError("engine stand-in did not start in time")
        time.sleep(POLL_S)
    return port_file.read_text()
