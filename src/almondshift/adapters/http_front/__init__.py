"""The HTTP server towards callers."""
