"""Entry points: read settings, build, start, wait for a signal, close."""
