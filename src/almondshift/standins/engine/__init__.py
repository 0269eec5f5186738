"""A stand-in for a model engine, served over HTTP."""

from almondshift.standins.engine.server import EngineServer
from almondshift.standins.engine.server import create_engine
from almondshift.standins.engine.settings import EngineSettings

__all__ = ["EngineServer", "EngineSettings", "create_engine"]
