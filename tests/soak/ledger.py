"""Ledgers in which engines record their requests, as JSON lines."""

from __future__ import annotations

import enum
import os
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import pathlib


class RowKind(enum.StrEnum):
    """The kind of a ledger row."""

    ARRIVED = "arrived"
    RAN = "ran"
    FAILED = "failed"
    LEFT = "left"
    ORDERED = "ordered"


class Row(msgspec.Struct, omit_defaults=True):
    """A row of a ledger.

    Attributes:
        at: Seconds of the machine's monotonic clock.
        engine: The engine's name, which a restart keeps.
        account: The account that was passed to the engine.
        has_key: Whether a client's key was passed on.
        parts: The path: addresses of engines with their start and end layer.
        layers: Number of layers that an order assigns.
        status: Status of a failure that the engine itself responded with.
        time_s: Seconds that a request leaves the engine; None if it is silent
            on that.
    """

    at: float
    what: RowKind
    engine: str
    request_id: str = ""
    method: str = ""
    target: str = ""
    account: str = ""
    has_key: bool = False
    body: str = ""
    parts: list[tuple[str, int, int]] = []
    layers: int = 0
    status: int = 0
    time_s: float | None = None


ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(Row)


class LedgerFile:
    """Appends rows; each is complete even if the process is killed next."""

    def __init__(self, path: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(path, flags, 0o644)

    def write(self, row: Row) -> None:
        os.write(self.descriptor, ENCODER.encode(row) + b"\n")


class LedgerTail:
    """Reads rows that were appended to a file since the last read."""

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
