"""Signals that meet a relay process at the start and at the end."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from tests.platform import standin_system as system

if TYPE_CHECKING:
    import pathlib

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


def launch(folder: pathlib.Path) -> subprocess.Popen[bytes]:
    path = folder / "n1.ini"
    addresses = [system.free_address() for _ in range(3)]
    path.write_text(SETTINGS.format(*addresses))
    command = [sys.executable, "-m", "almondshift.daemons.relay"]
    return subprocess.Popen(
        [*command, "--settings", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )


def wait_started(process: subprocess.Popen[bytes]) -> None:
    assert process.stdout is not None
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        if b"AS1001" in process.stdout.readline():
            return
    raise AssertionError("the node did not start")


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_do_not_change_how_a_stopping_node_ends(
    number: signal.Signals, tmp_path: pathlib.Path
) -> None:
    """Operators see a planned stop as a crash, with an exit code of a signal.

    A node is asked to stop; while it closes its parts and the interpreter
    ends, further signals come, as from a reload of all settings or a second
    stop. Its handlers are gone by then, and the default ends the process.
    """
    process = launch(tmp_path)
    try:
        wait_started(process)
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + END_S
        while process.poll() is None and time.monotonic() < end:
            process.send_signal(number)
            time.sleep(PAUSE_S)
        assert process.poll() == 0
    finally:
        process.kill()
        process.communicate()
