"""Measurements, each against a named baseline in the same run."""
