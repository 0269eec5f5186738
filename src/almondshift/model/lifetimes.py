"""Names that distinguish the starts of an engine.

An engine may restart under the same name and then has lost all state. State
about an engine is therefore kept under a name that includes its start time, so
that what is known about one start is never applied to the next.
"""

from __future__ import annotations

SEPARATOR = "@"


def lifetime_name(engine: str, born_ms: int) -> str:
    """Returns the name of one start of an engine.

    Args:
        engine: The engine's own name.
        born_ms: Unix milliseconds of its start; 0 if not reported.
    """
    if not born_ms and SEPARATOR not in engine:
        return engine
    return f"{engine}{SEPARATOR}{born_ms}"


def engine_name(lifetime: str) -> str:
    """Returns the engine's own name."""
    return lifetime.rpartition(SEPARATOR)[0] or lifetime
