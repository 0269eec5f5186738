"""Scripted scenarios over real processes."""
