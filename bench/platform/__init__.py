"""Interface to the users' bench program."""
