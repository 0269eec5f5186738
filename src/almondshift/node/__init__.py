"""The node application, which connects policy and coordination to ports."""
