"""A router for models that are split across mismatched accelerators."""
