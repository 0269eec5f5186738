from __future__ import annotations

import pathlib
import re
import subprocess
import sys

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "embedding.md"
EXPECTED_LINES = [
    "version 1 is HELLO",
    "the second on base 0: config_conflict",
    "fencing number 1",
    "ran once",
    "kept answer: done",
]


def test_the_example_on_the_page_runs_unchanged() -> None:
    block = re.search(r"```python\n(.*?)```", PAGE.read_text(), re.S)
    assert block is not None
    result = subprocess.run(
        [sys.executable, "-c", block[1]],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.splitlines() == EXPECTED_LINES
