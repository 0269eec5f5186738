"""Conversion of text to token ids and back."""

from __future__ import annotations

import abc


class Tokenizer(abc.ABC):
    """A tokenizer of a model."""

    @abc.abstractmethod
    def encode(self, text: str) -> tuple[int, ...]:
        """Returns the token ids of a text."""

    @abc.abstractmethod
    def decode(self, tokens: tuple[int, ...]) -> str:
        """Returns the text of token ids."""
