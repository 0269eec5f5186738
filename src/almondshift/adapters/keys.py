"""Secrets, and the bearer keys of client accounts."""

from __future__ import annotations

import hashlib
import hmac
import pathlib
from typing import TYPE_CHECKING

import expression

from almondshift import errors

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondshift.model import fleet

HASH_PREFIX = "sha256:"
MAX_SECRET_BYTES = 4096


class Secret:
    """A secret that is not shown in logs or tracebacks."""

    __slots__ = ("text",)

    def __init__(self, text: str) -> None:
        self.text = text

    def __repr__(self) -> str:
        return "Secret(hidden)"

    def matches(self, other: str) -> bool:
        """Compares in constant time."""
        return hmac.compare_digest(_bytes(self.text), _bytes(other))


def read_secret(
    path: str, section: str, key: str
) -> expression.Result[Secret, errors.ConfigInvalid]:
    """Reads a secret from the first line of a file.

    Args:
        path: The file.
        section: Settings section that names the file, for the error.
        key: Settings key that names the file, for the error.
    """
    try:
        content = pathlib.Path(path).read_bytes()[:MAX_SECRET_BYTES]
        text = content.decode("ascii").partition("\n")[0].strip()
    except (OSError, ValueError) as error:
        return expression.Error(
            errors.ConfigInvalid(
                f"the file {path!r} cannot be read ({type(error).__name__}).",
                section=section,
                key=key,
                remedy="Create an ASCII file that only this process can read.",
            )
        )
    if not text:
        return expression.Error(
            errors.ConfigInvalid(
                f"the first line of {path!r} is empty.",
                section=section,
                key=key,
                remedy="Write the secret into the file's first line.",
            )
        )
    return expression.Ok(Secret(text))


def hash_key(key: str) -> str:
    """Returns ``sha256:`` and the hex digest, as in ``key_hash``."""
    return HASH_PREFIX + hashlib.sha256(_bytes(key)).hexdigest()


class KeyTable:
    """Looks up client accounts by bearer key."""

    def __init__(self, accounts: Mapping[str, fleet.Account]) -> None:
        self.by_hash = {a.key_hash: a for a in accounts.values()}

    def find(self, key: str) -> fleet.Account | None:
        """Returns the account, or None if the key belongs to none.

        A comparison that stops at the first difference would let a caller
        guess a key byte by byte from response times. The lookup uses the
        key's digest, which a caller can't make similar to a stored one, and
        the match is confirmed in constant time.
        """
        digest = hash_key(key)
        account = self.by_hash.get(digest)
        if account is None:
            return None
        if not hmac.compare_digest(account.key_hash, digest):
            return None
        return account


def _bytes(text: str) -> bytes:
    # Untrusted header values may contain lone surrogates and must not raise.
    return text.encode(errors="surrogatepass")


def create_key_table(accounts: Mapping[str, fleet.Account]) -> KeyTable:
    """Returns a lookup table of a configuration's accounts."""
    return KeyTable(accounts)
