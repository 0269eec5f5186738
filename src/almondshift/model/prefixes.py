"""Digests of prompt prefixes, as engines publish them in cache events."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_TOKENS = 16
"""Tokens per block; prefixes are digested in whole blocks."""

MAX_BLOCKS = 64
"""Only the first blocks are digested for routing hints; others add little."""

_BLOCK = struct.Struct(f"<{BLOCK_TOKENS}Q")


def seed(model: str, version: int, adapter: str) -> int:
    """Returns the digest of the empty prefix of a model's version."""
    return xxhash.xxh64_intdigest(f"{model}\0{version}\0{adapter}".encode())


def extend(digest: int, block: Sequence[int]) -> int:
    """Returns the digest of a prefix that is one block longer.

    Args:
        digest: Digest of the blocks before; for the first block, the seed.
        block: ``BLOCK_TOKENS`` inputs of a stage: token ids or activations.
    """
    return xxhash.xxh64_intdigest(_BLOCK.pack(*block), digest)


def digests(
    model: str, version: int, adapter: str, tokens: Sequence[int]
) -> list[int]:
    """Returns digests of the prefixes that end with a full block, in order."""
    digest = seed(model, version, adapter)
    found = []
    for block in range(min(len(tokens) // BLOCK_TOKENS, MAX_BLOCKS)):
        start = block * BLOCK_TOKENS
        digest = extend(digest, tokens[start : start + BLOCK_TOKENS])
        found.append(digest)
    return found
