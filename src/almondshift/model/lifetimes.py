"""Names of engines' lifetimes.

An engine may start again under the name that it had and then knows nothing of
before. All that is believed of an engine is therefore kept under a name that
holds its start too, so that beliefs about one start never reach the next.
"""

from __future__ import annotations

SEPARATOR = "@"


def lifetime_name(engine: str, born_ms: int) -> str:
    """Returns the name of one start of an engine.

    Args:
        engine: The engine's own name.
        born_ms: Unix milliseconds of its start; 0 if it does not say.
    """
    if not born_ms and SEPARATOR not in engine:
        return engine
    return f"{engine}{SEPARATOR}{born_ms}"


def engine_name(lifetime: str) -> str:
    """Returns the name by which the engine knows itself."""
    return lifetime.rpartition(SEPARATOR)[0] or lifetime
