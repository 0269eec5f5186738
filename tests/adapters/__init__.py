"""Tests of almondshift.adapters."""
