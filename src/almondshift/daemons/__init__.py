"""Thin entry points: read settings, build, start, wait, close."""
