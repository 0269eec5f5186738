"""Judges by the engines' ledger files what really ran for a request."""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One item that an engine ran."""

    engine: str
    at: float
    request_id: str
    session: str
    epoch: int
    start: int
    end: int
    position: int
    count: int
    first_input: int

    @property
    def stop(self) -> int:
        """The position after its last."""
        return self.position + self.count


@dataclasses.dataclass(slots=True)
class Session:
    """All that ran in one session on one engine."""

    runs: list[Run]

    @property
    def first(self) -> Run:
        """The first item."""
        return self.runs[0]

    @property
    def begin(self) -> int:
        """The first position that ran here; above 0 after an import."""
        return self.first.position

    @property
    def stop(self) -> int:
        """The position after the last."""
        return self.runs[-1].stop

    def holds(self, layer: int) -> bool:
        """Returns whether a layer ran here."""
        return self.first.start <= layer < self.first.end


def read(path: pathlib.Path, engine: str) -> list[Run]:
    """Reads a ledger file; a line that is half written is left out."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")[:-1]
    names = {field.name for field in dataclasses.fields(Run)} - {"engine"}
    rows = [json.loads(line) for line in lines]
    return [
        Run(engine=engine, **{name: row[name] for name in names})
        for row in rows
    ]


def sessions(runs: Iterable[Run]) -> list[Session]:
    """Groups runs; a session id on two engines gives two sessions."""
    found: dict[tuple[str, str], list[Run]] = collections.defaultdict(list)
    for run in runs:
        found[run.engine, run.session].append(run)
    return [Session(grouped) for grouped in found.values()]


def check(runs: list[Run], layer_count: int, positions: int) -> None:
    """Checks that every layer ran once and in order for each position.

    Args:
        runs: All that ran for one request, on all engines.
        layer_count: Layers of the model.
        positions: Positions that the whole answer takes.

    Raises:
        AssertionError: Names the session, layer or position.
    """
    found = sessions(runs)
    for session in found:
        check_session(session)
    check_cover(found, layer_count, positions)
    check_order(runs, layer_count, positions)


def check_session(session: Session) -> None:
    """Checks one run for each position, in order, of one layer range."""
    first = session.first
    expected = first.position
    for run in session.runs:
        assert (run.start, run.end) == (first.start, first.end), run
        assert run.position == expected, (
            f"{run.engine} ran position {run.position} of {run.session} "
            f"where {expected} was due"
        )
        expected = run.stop


def check_cover(found: list[Session], layer_count: int, positions: int) -> None:
    """Checks that the last sessions cover each layer once, from 0 on."""
    chosen = {
        id(session): session
        for session in (
            last_session(found, layer, positions)
            for layer in range(layer_count)
        )
    }
    covered = sum(s.first.end - s.first.start for s in chosen.values())
    assert covered == layer_count, [s.first for s in chosen.values()]
    for session in chosen.values():
        check_origin(session, found)


def last_session(found: list[Session], layer: int, positions: int) -> Session:
    """Returns the session of the highest epoch that ran to the end."""
    ended = [s for s in found if s.holds(layer) and s.stop == positions]
    assert ended, f"layer {layer} never ran position {positions - 1}"
    return max(ended, key=lambda s: s.first.epoch)


def check_origin(session: Session, found: list[Session]) -> None:
    """Checks that a session that was imported goes on where another ended."""
    while session.begin > 0:
        sources = [
            other
            for other in found
            if other.first.start == session.first.start
            and other.first.end == session.first.end
            and other.first.epoch < session.first.epoch
            and other.stop == session.begin
        ]
        assert sources, f"{session.first} continues no other session"
        session = sources[-1]


def check_order(runs: list[Run], layer_count: int, positions: int) -> None:
    """Checks that a layer ran a position only after the layer below it.

    A replay runs positions again in a new session, so the first time counts.
    """
    first = [[float("inf")] * positions for _ in range(layer_count)]
    for run in runs:
        for layer in range(run.start, run.end):
            for position in range(run.position, run.stop):
                earlier = first[layer][position]
                first[layer][position] = min(earlier, run.at)
    for position in range(positions):
        times = [row[position] for row in first]
        assert times == sorted(times), f"position {position} ran out of order"
