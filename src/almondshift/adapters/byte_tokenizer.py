"""A tokenizer whose tokens are the bytes of the UTF-8 text."""

from __future__ import annotations

from almondshift.ports import tokenizers

_BYTE_VALUES = 256


class ByteTokenizer(tokenizers.Tokenizer):
    """One token per byte; ids above 255 are decoded modulo 256."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Returns the bytes of the text as integers."""
        return tuple(text.encode())

    def decode(self, tokens: tuple[int, ...]) -> str:
        """Returns the text; invalid UTF-8 sequences become U+FFFD."""
        content = bytes(token % _BYTE_VALUES for token in tokens)
        return content.decode(errors="replace")


def create_tokenizer() -> ByteTokenizer:
    """Builds the tokenizer."""
    return ByteTokenizer()
