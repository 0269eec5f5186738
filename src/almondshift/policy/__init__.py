"""Decisions under load: no network, no clock, no global random source.

Two sets of modules choose engines. For the relay, ``path_choice`` chooses the
path of a request and ``layer_plan`` the layers that engines hold. For nodes
that call each engine of a chain themselves, ``router`` handles all events:
``chain_choice`` chooses the chain of a request, and ``placement`` the layers.
"""
