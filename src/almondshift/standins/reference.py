"""Arithmetic of the stand-in model, and direct computation of its output.

An activation is an xxh64 digest of the layer, the position, the KV state of
that layer and the input, seeded with the model, version and adapter. The KV
state of a layer is its last activation and so depends on all positions before
it. A layer that is skipped, repeated or swapped, or the KV state of another
session, changes every later activation and thus the output.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

from almondshift.model import prefixes

if TYPE_CHECKING:
    from collections.abc import Sequence

EMPTY_STATE = 0
FIRST_PRINTABLE = 32
PRINTABLE_COUNT = 95

_FIELDS = struct.Struct("<QQQQ")


def model_seed(model: str, version: int, adapter: str) -> int:
    """Returns the seed that represents the weights of a model."""
    return prefixes.seed(model, version, adapter)


def activation(
    seed: int, layer: int, position: int, state: int, value: int
) -> int:
    """Runs one layer for one position.

    Args:
        seed: From ``model_seed``.
        layer: The layer, counted from 0.
        position: The position, counted from 0.
        state: KV state of the layer, ``EMPTY_STATE`` before position 0.
        value: Token id for layer 0, else the activation of the layer below.

    Returns:
        The activation, an unsigned 64-bit number, and also the layer's next
        KV state.
    """
    fields = _FIELDS.pack(layer, position, state, value)
    return xxhash.xxh64_intdigest(fields, seed)


def sample(value: int) -> int:
    """Returns the token id, 32 to 126, for the last layer's activation."""
    return FIRST_PRINTABLE + value % PRINTABLE_COUNT


def complete(
    model: str,
    version: int,
    adapter: str,
    layer_count: int,
    prompt: Sequence[int],
    max_tokens: int,
) -> tuple[int, ...]:
    """Computes the tokens that a fault-free run generates.

    Args:
        model: Name of the model.
        version: Version of the model.
        adapter: Adapter, or ``""``.
        layer_count: Number of layers of the model.
        prompt: Token ids, at least one, each from 0 to 2**32.
        max_tokens: Number of tokens to generate.
    """
    seed = model_seed(model, version, adapter)
    states = [EMPTY_STATE] * layer_count
    tokens = list(prompt)
    position = 0
    while len(tokens) < len(prompt) + max_tokens:
        value = tokens[position]
        for layer in range(layer_count):
            value = activation(seed, layer, position, states[layer], value)
            states[layer] = value
        position += 1
        if position == len(tokens):
            tokens.append(sample(value))
    return tuple(tokens[len(prompt) :])
