"""Coordination parts that other programs can embed."""
