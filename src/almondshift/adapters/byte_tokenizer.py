"""A tokenizer whose tokens are the bytes of UTF-8 text."""

from __future__ import annotations

from almondshift.ports import tokenizers

_BYTE = 256


class ByteTokenizer(tokenizers.Tokenizer):
    """One token for each byte; ids over 255 stand for themselves modulo."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Returns the bytes of the text as numbers."""
        return tuple(text.encode())

    def decode(self, tokens: tuple[int, ...]) -> str:
        """Returns the text; broken sequences become U+FFFD."""
        content = bytes(token % _BYTE for token in tokens)
        return content.decode(errors="replace")


def create_tokenizer() -> ByteTokenizer:
    """Builds the tokenizer."""
    return ByteTokenizer()
