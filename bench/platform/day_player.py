"""Plays one day of a deployment with the users' bench and reads its entry."""

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
    """The bench left no readable result of a day."""


@dataclasses.dataclass(frozen=True, slots=True)
class DayPlayer:
    """Runs the bench in a worktree.

    Attributes:
        program: The bench.
        charges_processor: Whether processor time is priced; runs without it
            mostly repeat.
        kept_journal: Folder that collects the entries of all worktrees.
    """

    program: pathlib.Path
    charges_processor: bool
    kept_journal: pathlib.Path

    async def play(
        self, worktree: pathlib.Path, play: measurements.Play, why: str
    ) -> measurements.Measurement:
        """Plays a day in a worktree that has the variant checked out.

        Raises:
            DayNotPlayed: The bench failed or was ended.
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
        fresh = [p for p in journal.glob("*.json") if p.name not in before]
        self._keep(journal, fresh)
        entry = find_entry(fresh, reason)
        if entry is None:
            detail = output.decode(errors="replace").strip().splitlines()
            raise DayNotPlayed(detail[-1] if detail else "no output")
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

    def _keep(self, journal: pathlib.Path, fresh: list[pathlib.Path]) -> None:
        (self.kept_journal / BLOBS).mkdir(parents=True, exist_ok=True)
        for path in fresh:
            shutil.copy2(path, self.kept_journal / path.name)
        for blob in (journal / BLOBS).glob("*"):
            kept = self.kept_journal / BLOBS / blob.name
            if not kept.exists():
                shutil.copy2(blob, kept)


def find_entry(
    paths: Iterable[pathlib.Path], reason: str
) -> dict[str, Any] | None:
    """Returns the ended entry with a reason.

    The bench copies entries between worktrees of one repository, so that
    those of other jobs appear here too.
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
    """Returns what a journal entry says of the one day in it.

    Raises:
        DayNotPlayed: The day did not end, or a field is missing.
    """
    days = entry.get("days") or []
    if not days or "G" not in days[0]:
        raise DayNotPlayed(str(entry.get("error") or "the day did not end"))
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
