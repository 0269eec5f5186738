"""A stand-in for a model engine, served over HTTP."""
