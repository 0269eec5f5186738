"""Implementations of the ports over real protocols."""
