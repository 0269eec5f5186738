"""Git worktrees, one for each job."""

from __future__ import annotations

import pathlib
import subprocess


def revision(name: str) -> str:
    """Returns the commit to which a revision name resolves.

    Raises:
        subprocess.CalledProcessError: There is no such revision.
    """
    return _git(pathlib.Path(), "rev-parse", "--verify", f"{name}^{{commit}}")


def prepare(path: pathlib.Path) -> pathlib.Path:
    """Creates a worktree if there is none and returns its absolute path."""
    if not (path / ".git").exists():
        _git(pathlib.Path(), "worktree", "add", "--detach", str(path))
    return path.resolve()


def check_out(
    worktree: pathlib.Path, commit: str, patch: pathlib.Path | None
) -> None:
    """Checks out a variant's sources in a worktree.

    Uncommitted journal entries are kept.
    """
    _git(worktree, "checkout", "--quiet", "--force", "--detach", commit)
    _git(worktree, "clean", "--quiet", "--force", "-d", "--exclude=journal")
    if patch is not None:
        _git(worktree, "apply", str(patch.resolve()))


def _git(folder: pathlib.Path, *arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments],
        cwd=folder,
        check=True,
        capture_output=True,
        text=True,
    )
    return completed.stdout.strip()
