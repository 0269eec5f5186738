"""How the relay node's program is started."""

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


def test_garbage_is_collected_again_once_the_program_is_imported() -> None:
    """A node whose collector stays off would grow until it is killed."""
    subprocess.run([sys.executable, "-c", CHECK], check=True, timeout=60)
