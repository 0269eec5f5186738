"""Finished plays, kept in a file so that a comparison can be resumed."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from bench.compare import measurements

if TYPE_CHECKING:
    import pathlib


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
                read = _decoded(line)
            except (ValueError, KeyError, TypeError):
                continue
            self.found[read.play] = read

    def add(self, measured: measurements.Measurement) -> None:
        """Keeps a finished play."""
        self.found[measured.play] = measured
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with self.path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(dataclasses.asdict(measured)) + "\n")


def _decoded(line: str) -> measurements.Measurement:
    values = json.loads(line)
    return measurements.Measurement(
        play=measurements.Play(**values["play"]),
        figures={k: float(v) for k, v in values["figures"].items()},
        broken_rules=tuple(values["broken_rules"]),
        fault=str(values["fault"]),
    )
