"""The application: it wires policy and coordination to the ports."""
