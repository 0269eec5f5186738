"""A small stand-in for the platform: table, objects, VMs and weights."""
