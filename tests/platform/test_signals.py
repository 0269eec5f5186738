"""Signals that reach a relay process while it starts or exits."""

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

START_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.001

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
    """A relay process that is started as on a VM."""

    def __init__(self, folder: pathlib.Path) -> None:
        settings = folder / "n1.ini"
        addresses = [system.free_address() for _ in range(3)]
        settings.write_text(SETTINGS.format(*addresses))
        deployed = tomllib.loads(DEPLOY_FILE.read_text())
        words = deployed["roles"]["node"]["run"].split()
        self.log = folder / "n1.log"
        # As on a VM, libraries are found by path, not through the site module.
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
        """Returns whether it has started to import the program's libraries."""
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps")
        return b"msgspec" in maps.read_bytes()

    def until(self, condition: Callable[[], bool], seconds: float) -> None:
        end = time.monotonic() + seconds
        while self.is_running() and not condition():
            assert time.monotonic() < end, self.log.read_text()
            time.sleep(POLL_INTERVAL_S)

    def send_repeatedly(
        self, number: signal.Signals, until: Callable[[], bool], seconds: float
    ) -> None:
        """Sends a signal until the process exits or a condition holds."""
        end = time.monotonic() + seconds
        while self.is_running() and not until():
            assert time.monotonic() < end, self.log.read_text()
            self.process.send_signal(number)
            time.sleep(POLL_INTERVAL_S)


@pytest.fixture
def node(tmp_path: pathlib.Path) -> Iterator[Node]:
    started = Node(tmp_path)
    yield started
    started.close()


def test_a_reload_does_not_end_a_starting_node(node: Node) -> None:
    """Guards against a SIGHUP that kills a node during its start.

    While the process still imports its program, the settings are rewritten
    and SIGHUP is sent. The node must complete its start and reload the
    settings.
    """
    node.until(node.is_importing, START_TIMEOUT_S)
    node.process.send_signal(signal.SIGHUP)
    node.until(node.has_reloaded, START_TIMEOUT_S)
    node.until(node.has_started, START_TIMEOUT_S)
    assert node.is_running(), node.process.returncode


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_do_not_change_the_exit_code_of_a_stopping_node(
    number: signal.Signals, node: Node
) -> None:
    """Guards against a planned stop that looks like a crash by a signal.

    Further signals arrive while a stopping node closes and the interpreter
    exits, for example from a reload of all settings or a second stop. If the
    handlers are already removed, the default action kills the process.
    """
    node.until(node.has_started, START_TIMEOUT_S)
    assert node.is_running()
    node.process.send_signal(signal.SIGTERM)
    node.send_repeatedly(number, lambda: False, EXIT_TIMEOUT_S)
    assert node.process.returncode == 0
