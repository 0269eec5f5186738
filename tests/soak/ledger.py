"""What engines note of the requests that reach them, one JSON line each."""

from __future__ import annotations

import enum
import os
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import pathlib


class What(enum.StrEnum):
    """What an engine saw."""

    ARRIVED = "arrived"
    RAN = "ran"
    LEFT = "left"
    ORDERED = "ordered"


class Row(msgspec.Struct, omit_defaults=True):
    """One line.

    Attributes:
        at: Seconds of the machine's steady clock.
        engine: Its name, also after a restart.
        account: The account that the engine was told.
        has_key: Whether a client's key was passed on.
        parts: Engines' addresses with first and last layer.
        layers: Layers that an order asks to hold.
    """

    at: float
    what: What
    engine: str
    request_id: str = ""
    method: str = ""
    target: str = ""
    account: str = ""
    has_key: bool = False
    body: str = ""
    parts: list[tuple[str, int, int]] = []
    layers: int = 0


ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(Row)


class LedgerFile:
    """Appends rows; each is whole also if the process is killed after it."""

    def __init__(self, path: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(path, flags, 0o644)

    def write(self, row: Row) -> None:
        os.write(self.descriptor, ENCODER.encode(row) + b"\n")


class LedgerTail:
    """Reads what was appended to a file since the last time."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.offset = 0

    def read(self) -> list[Row]:
        try:
            with self.path.open("rb") as file:
                file.seek(self.offset)
                content = file.read()
        except FileNotFoundError:
            return []
        whole = content[: content.rfind(b"\n") + 1]
        self.offset += len(whole)
        return [DECODER.decode(line) for line in whole.splitlines()]
