"""Signals that meet a relay process at the start and at the end."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from typing import TYPE_CHECKING

import pytest

from tests.platform import standin_system as system

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
SOURCES = ROOT / "src"

START_S = 20.0
END_S = 10.0
PAUSE_S = 0.001

SETTINGS = """
[node]
name = n1
zone = za
[entry]
address = {0}
ready_address = {1}
directory_address = {1}
[peers]
address = {2}
[platform]
address = 127.0.0.1:9
[drain]
hold_s = 0.05
grace_s = 1
"""


class Node:
    """A relay process, started as on a VM."""

    def __init__(self, folder: pathlib.Path) -> None:
        settings = folder / "n1.ini"
        addresses = [system.free_address() for _ in range(3)]
        settings.write_text(SETTINGS.format(*addresses))
        deployed = tomllib.loads(DEPLOY_FILE.read_text())
        words = deployed["roles"]["node"]["run"].split()
        self.log = folder / "n1.log"
        # Libraries are found as on a VM, where no site module names them.
        paths = [sysconfig.get_path("purelib"), str(SOURCES)]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *words[1:-1], str(settings)],
                env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def close(self) -> None:
        self.process.kill()
        self.process.wait()

    def is_running(self) -> bool:
        return self.process.poll() is None

    def has_started(self) -> bool:
        return b"AS1001" in self.log.read_bytes()

    def has_reloaded(self) -> bool:
        return b"AS1005" in self.log.read_bytes()

    def is_importing(self) -> bool:
        """Returns whether it has begun to import the program's libraries."""
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps")
        return b"msgspec" in maps.read_bytes()

    def until(self, condition: Callable[[], bool], seconds: float) -> None:
        end = time.monotonic() + seconds
        while self.is_running() and not condition():
            assert time.monotonic() < end, self.log.read_text()
            time.sleep(PAUSE_S)

    def flood(
        self, number: signal.Signals, until: Callable[[], bool], seconds: float
    ) -> None:
        """Sends a signal again and again until the process ends or so."""
        end = time.monotonic() + seconds
        while self.is_running() and not until():
            assert time.monotonic() < end, self.log.read_text()
            self.process.send_signal(number)
            time.sleep(PAUSE_S)


@pytest.fixture
def node(tmp_path: pathlib.Path) -> Iterator[Node]:
    started = Node(tmp_path)
    yield started
    started.close()


def test_a_reload_does_not_end_a_node_that_starts(node: Node) -> None:
    """Operators see a node crash at its start, and callers miss it longer.

    A VM starts; while the process still imports its program the settings
    are written again and SIGHUP says so. The node goes on, starts and reads
    the settings again.
    """
    node.until(node.is_importing, START_S)
    node.process.send_signal(signal.SIGHUP)
    node.until(node.has_reloaded, START_S)
    node.until(node.has_started, START_S)
    assert node.is_running(), node.process.returncode


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_do_not_change_how_a_stopping_node_ends(
    number: signal.Signals, node: Node
) -> None:
    """Operators see a planned stop as a crash, with an exit code of a signal.

    A node is asked to stop; while it closes its parts and the interpreter
    ends, further signals come, as from a reload of all settings or a second
    stop. Its handlers are gone by then, and the default ends the process.
    """
    node.until(node.has_started, START_S)
    assert node.is_running()
    node.process.send_signal(signal.SIGTERM)
    node.flood(number, lambda: False, END_S)
    assert node.process.returncode == 0
