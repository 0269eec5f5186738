"""Compares variants of the code on the same days and seeds."""
