"""Data classes and typed errors that every layer shares."""
