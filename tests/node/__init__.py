"""Tests of almondshift.node."""
