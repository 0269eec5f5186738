"""Decisions under load: no network, no clock, no global random source."""
