"""Digests of prompt prefixes, as engines publish them in cache events."""

from __future__ import annotations

import struct

import xxhash

BLOCK = 64
"""Positions between prefixes that are told apart."""

MAX_BLOCKS = 64


def digests(model: str, version: int, tokens: tuple[int, ...]) -> list[int]:
    """Returns the xxh64 digest of each whole block's prefix, shortest first.

    The digest of block n covers all tokens up to its end, as token ids in
    eight little-endian bytes each, seeded with model and version.
    """
    state = xxhash.xxh64(f"{model}:{version}".encode())
    found = []
    whole = min(len(tokens) // BLOCK, MAX_BLOCKS)
    for block in range(whole):
        part = tokens[block * BLOCK : (block + 1) * BLOCK]
        state.update(struct.pack(f"<{BLOCK}Q", *part))
        found.append(state.intdigest())
    return found
