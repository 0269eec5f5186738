"""Simulates routers that have partial, delayed views, in virtual time."""
