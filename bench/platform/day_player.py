"""Runs a day with the users' bench program and reads its journal entry."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import shutil
from typing import TYPE_CHECKING
from typing import Any

from bench.compare import measurements

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib

JOURNAL = "journal"
BLOBS = "blobs"


class DayNotPlayed(Exception):
    """The bench program wrote no readable result of a day."""


@dataclasses.dataclass(frozen=True, slots=True)
class DayPlayer:
    """Runs the bench program in a worktree.

    Attributes:
        program: Path of the bench program.
        charges_processor: Whether processor time is charged to the result;
            runs without it are mostly reproducible.
        collected_journal: Folder that collects the journal entries of all
            worktrees.
    """

    program: pathlib.Path
    charges_processor: bool
    collected_journal: pathlib.Path

    async def play(
        self, worktree: pathlib.Path, play: measurements.Play, why: str
    ) -> measurements.Measurement:
        """Runs a day in a worktree that has the variant checked out.

        Raises:
            DayNotPlayed: The bench program failed or was terminated.
        """
        journal = worktree / JOURNAL
        reason = f"{why}: {play.label}"
        before = {path.name for path in journal.glob("*.json")}
        process = await asyncio.create_subprocess_exec(
            *self._command(play, reason),
            cwd=worktree,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        new_paths = [p for p in journal.glob("*.json") if p.name not in before]
        self._collect_entries(journal, new_paths)
        entry = find_entry(new_paths, reason)
        if entry is None:
            output_lines = output.decode(errors="replace").strip().splitlines()
            raise DayNotPlayed(
                output_lines[-1] if output_lines else "no output"
            )
        return read_entry(entry, play)

    def _command(self, play: measurements.Play, reason: str) -> list[str]:
        command = [str(self.program), "run", play.site, play.day]
        command += ["--seed", str(play.seed), "--jobs", "1"]
        command += ["--why", reason]
        if play.is_small_twin:
            command.append("--small")
        if not self.charges_processor:
            command.append("--no-cpu")
        return command

    def _collect_entries(
        self, journal: pathlib.Path, new_paths: list[pathlib.Path]
    ) -> None:
        (self.collected_journal / BLOBS).mkdir(parents=True, exist_ok=True)
        for path in new_paths:
            shutil.copy2(path, self.collected_journal / path.name)
        for blob in (journal / BLOBS).glob("*"):
            target = self.collected_journal / BLOBS / blob.name
            if not target.exists():
                shutil.copy2(blob, target)


def find_entry(
    paths: Iterable[pathlib.Path], reason: str
) -> dict[str, Any] | None:
    """Returns the entry with this reason that contains days.

    The bench program copies entries between the worktrees of a repository, so
    entries of other jobs are among the paths too.
    """
    for path in paths:
        try:
            entry: dict[str, Any] = json.loads(path.read_text())
        except ValueError:
            continue
        if entry.get("why") == reason and entry.get("days"):
            return entry
    return None


def read_entry(
    entry: dict[str, Any], play: measurements.Play
) -> measurements.Measurement:
    """Returns the measurement of the one day in a journal entry.

    Raises:
        DayNotPlayed: The day is incomplete, or a field is missing or invalid.
    """
    days = entry.get("days") or []
    if not days or "G" not in days[0]:
        raise DayNotPlayed(str(entry.get("error") or "the day is incomplete"))
    day = days[0]
    try:
        return measurements.Measurement(
            play=play,
            broken_rules=tuple(sorted(day["rules"])),
            fault=day["fault"] or "",
            figures={
                "worth": day["G"],
                "served": day["served"],
                "refused": day["refused"],
                "failed": day["failed"],
                **{name: part for name, _, part in day["parts"]},
                **{
                    f"served, class {index + 1}": share
                    for index, share in enumerate(day["by_class"])
                    if share is not None
                },
                **{
                    f"price of {name}": -cost for name, _, cost in day["prices"]
                },
            },
        )
    except (KeyError, TypeError, ValueError) as error:
        raise DayNotPlayed(f"unreadable entry: {error!r}") from error
