"""Coordination between nodes; other programs can embed these modules."""
