"""Finished plays, kept in a file so that a comparison can be resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bench.compare import measurements

if TYPE_CHECKING:
    import pathlib


DECODER = msgspec.json.Decoder(measurements.Measurement)


class ResultFile:
    """A file with one finished play a line.

    Attributes:
        found: Measurements by play.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.found: dict[measurements.Play, measurements.Measurement] = {}

    def load(self) -> None:
        """Reads what earlier runs finished; passes over a torn last line."""
        if not self.path.exists():
            return
        for line in self.path.read_text(encoding="utf-8").splitlines():
            try:
                read = DECODER.decode(line)
            except msgspec.DecodeError:
                continue
            self.found[read.play] = read

    def add(self, measured: measurements.Measurement) -> None:
        """Keeps a finished play."""
        self.found[measured.play] = measured
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with self.path.open("ab") as file:
            file.write(msgspec.json.encode(measured) + b"\n")
