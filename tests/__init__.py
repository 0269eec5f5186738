"""Tests of almondshift."""
