"""What the measurements speak to the users' bench."""
