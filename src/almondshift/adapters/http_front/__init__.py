"""The HTTP server for callers."""
