"""Starts the relay node so that a SIGHUP during startup does not end it.

Importing the program takes about half a second. A SIGHUP (settings reload)
in that time would have its default action and end the process; supervisors
would count a crash, and the VM would serve again only a second later. So the
signal is blocked until the program has installed its handler, and none is
lost. This module imports nothing of the program before that; only the
interpreter's own startup, about 20 ms, is unprotected.

Imported objects are never garbage, so the garbage collector is disabled
during the import and ignores them afterwards. This shortens a restart, for
which callers wait.
"""

from __future__ import annotations

import gc
import importlib
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import types

PROGRAM_MODULE = "almondshift.daemons.relay"


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
        return importlib.import_module(PROGRAM_MODULE)
    finally:
        gc.freeze()
        gc.enable()


if __name__ == "__main__":
    sys.exit(main())
