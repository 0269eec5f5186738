"""Benchmarks, each compared with a named baseline in the same run."""
