"""Abstract interfaces to everything outside a process."""
