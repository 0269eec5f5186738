"""A stand-in for a plain service, served over HTTP."""
