"""Git worktrees, one for each play that runs at a time."""

from __future__ import annotations

import pathlib
import subprocess


def revision(name: str) -> str:
    """Returns the commit that a revision's name stands for.

    Raises:
        subprocess.CalledProcessError: There is no such revision.
    """
    return _git(pathlib.Path(), "rev-parse", "--verify", f"{name}^{{commit}}")


def prepare(path: pathlib.Path) -> pathlib.Path:
    """Creates a worktree unless it is there; returns its absolute path."""
    if not (path / ".git").exists():
        _git(pathlib.Path(), "worktree", "add", "--detach", str(path))
    return path.resolve()


def check_out(
    worktree: pathlib.Path, commit: str, patch: pathlib.Path | None
) -> None:
    """Puts a variant's sources into a worktree.

    Journal entries that are not committed stay.
    """
    _git(worktree, "checkout", "--quiet", "--force", "--detach", commit)
    _git(worktree, "clean", "--quiet", "--force", "-d", "--exclude=journal")
    if patch is not None:
        _git(worktree, "apply", str(patch.resolve()))


def _git(folder: pathlib.Path, *words: str) -> str:
    done = subprocess.run(
        ["git", *words], cwd=folder, check=True, capture_output=True, text=True
    )
    return done.stdout.strip()
