"""Checks of what ran for a request, based on the engines' ledger files."""

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
    """The items that ran in one session on one engine."""

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
    """Reads a ledger file; skips an incomplete last line."""
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
    runs_by_session: dict[tuple[str, str], list[Run]] = collections.defaultdict(
        list
    )
    for run in runs:
        runs_by_session[run.engine, run.session].append(run)
    return [Session(grouped) for grouped in runs_by_session.values()]


def check(runs: list[Run], layer_count: int, positions: int) -> None:
    """Checks that every layer ran once and in order for each position.

    Args:
        runs: All items that ran for one request, on all engines.
        layer_count: Layers of the model.
        positions: Number of positions that the complete answer requires.

    Raises:
        AssertionError: The message names the session, layer or position.
    """
    all_sessions = sessions(runs)
    for session in all_sessions:
        check_session(session)
    check_cover(all_sessions, layer_count, positions)
    check_order(runs, layer_count, positions)


def check_session(session: Session) -> None:
    """Checks that each position ran once, in order, on one layer range."""
    first = session.first
    expected = first.position
    for run in session.runs:
        assert (run.start, run.end) == (first.start, first.end), run
        assert run.position == expected, (
            f"{run.engine} ran position {run.position} of {run.session} "
            f"instead of {expected}"
        )
        expected = run.stop


def check_cover(
    all_sessions: list[Session], layer_count: int, positions: int
) -> None:
    """Checks that the final sessions cover each layer from 0 on once."""
    chosen = {
        id(session): session
        for session in (
            last_session(all_sessions, layer, positions)
            for layer in range(layer_count)
        )
    }
    covered = sum(s.first.end - s.first.start for s in chosen.values())
    assert covered == layer_count, [s.first for s in chosen.values()]
    for session in chosen.values():
        check_origin(session, all_sessions)


def last_session(
    all_sessions: list[Session], layer: int, positions: int
) -> Session:
    """Returns the completed session with the highest epoch for a layer."""
    ended = [s for s in all_sessions if s.holds(layer) and s.stop == positions]
    assert ended, f"layer {layer} never ran position {positions - 1}"
    return max(ended, key=lambda s: s.first.epoch)


def check_origin(session: Session, all_sessions: list[Session]) -> None:
    """Checks that an imported session continues where another one ended."""
    while session.begin > 0:
        sources = [
            other
            for other in all_sessions
            if other.first.start == session.first.start
            and other.first.end == session.first.end
            and other.first.epoch < session.first.epoch
            and other.stop == session.begin
        ]
        assert sources, f"{session.first} continues no other session"
        session = sources[-1]


def check_order(runs: list[Run], layer_count: int, positions: int) -> None:
    """Checks that a layer ran a position only after the layer below it.

    A replay repeats positions in a new session, so the first run counts.
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
