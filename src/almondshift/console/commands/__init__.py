"""One module for each command."""
