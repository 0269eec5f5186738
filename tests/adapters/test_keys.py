from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from almondshift.adapters import keys
from tests import samples

if TYPE_CHECKING:
    import pathlib


@pytest.mark.parametrize(
    ("key", "account"),
    [
        ("demo-members-key", "members-app"),
        ("demo-campaign-key", "campaign-desk"),
        ("demo-members-ke", None),
        ("", None),
        ("\ud800", None),
        ("\udcff", None),
    ],
)
def test_find(key: str, account: str | None) -> None:
    table = keys.create_key_table(samples.sample_fleet().accounts)
    found = table.find(key)
    assert (found.name if found else None) == account


@pytest.mark.parametrize(
    ("content", "secret"),
    [(b"s3cret\n", "s3cret"), (b"a\nb", "a"), (b"\n", None), (b"\xff", None)],
)
def test_secret_files(
    tmp_path: pathlib.Path, content: bytes, secret: str | None
) -> None:
    path = tmp_path / "secret"
    path.write_bytes(content)
    read = keys.read_secret(str(path), "peers", "secret_file")
    if secret is None:
        assert read.error.key == "secret_file"
        return
    assert read.ok.text == secret
    assert secret not in f"{read.ok!r} {read.ok}".replace("Secret", "")


def test_secret_matches() -> None:
    secret = keys.Secret("pass")
    assert secret.matches("pass")
    assert not secret.matches("passe")
    assert not secret.matches("\udcff")
