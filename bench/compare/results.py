"""Finished plays, kept in a file so that a comparison can be resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bench.compare import measurements

if TYPE_CHECKING:
    import pathlib


DECODER = msgspec.json.Decoder(measurements.Measurement)


class ResultFile:
    """A JSON Lines file with one measurement per finished play.

    Attributes:
        by_play: Measurements by play.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.by_play: dict[measurements.Play, measurements.Measurement] = {}

    def load(self) -> None:
        """Reads the plays of earlier runs; skips a truncated last line."""
        if not self.path.exists():
            return
        for line in self.path.read_text(encoding="utf-8").splitlines():
            try:
                measurement = DECODER.decode(line)
            except msgspec.DecodeError:
                continue
            self.by_play[measurement.play] = measurement

    def add(self, measured: measurements.Measurement) -> None:
        """Stores the measurement of a finished play."""
        self.by_play[measured.play] = measured
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with self.path.open("ab") as file:
            file.write(msgspec.json.encode(measured) + b"\n")
