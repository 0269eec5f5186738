"""A stand-in for a plain service, served over HTTP."""

from almondshift.standins.plain.server import PlainServer
from almondshift.standins.plain.server import create_plain
from almondshift.standins.plain.settings import PlainSettings

__all__ = ["PlainServer", "PlainSettings", "create_plain"]
