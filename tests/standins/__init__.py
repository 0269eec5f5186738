"""Tests of almondshift.standins."""
