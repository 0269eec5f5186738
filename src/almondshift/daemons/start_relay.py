"""Starts the relay node so that no early signal ends it.

A reload of the settings that comes while Python imports the program, for
about half a second, would meet the default action of SIGHUP and end the
process; supervisors count a crash, and the VM is back a second later. So
the signal is held back until the program can take it, and none is lost.
Nothing is imported here before; only the interpreter's own start, some 20 ms,
is left.

Nothing that is imported is garbage, so the collector rests meanwhile, and
passes over it for good afterwards: callers wait for a node that restarts.
"""

from __future__ import annotations

import gc
import importlib
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import types

PROGRAM = "almondshift.daemons.relay"


def main() -> int:
    """Runs ``python -m almondshift.daemons.start_relay --settings FILE``."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    program = import_program()
    code: int = program.main()
    return code


def import_program() -> types.ModuleType:
    """Imports the program without garbage collection."""
    gc.disable()
    try:
        return importlib.import_module(PROGRAM)
    finally:
        gc.freeze()
        gc.enable()


if __name__ == "__main__":
    sys.exit(main())
