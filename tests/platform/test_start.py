"""Start of the relay node's program."""

from __future__ import annotations

import subprocess
import sys

CHECK = """
import gc
from almondshift.daemons import start_relay
program = start_relay.import_program()
assert callable(program.main)
assert gc.isenabled() and gc.get_freeze_count() > 10_000
"""


def test_garbage_collection_is_enabled_after_the_import() -> None:
    """With the collector left off, a node's memory grows until it is killed."""
    subprocess.run([sys.executable, "-c", CHECK], check=True, timeout=60)
