from __future__ import annotations

import pathlib
import re
import subprocess
import sys

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "embedding.md"
EXPECTED = [
    "version 1 is HELLO",
    "the second on base 0: config_conflict",
    "fencing number 1",
    "ran once",
    "kept answer: done",
]


def test_the_example_runs_as_it_stands_in_the_page() -> None:
    found = re.search(r"```python\n(.*?)```", PAGE.read_text(), re.S)
    assert found is not None
    ran = subprocess.run(
        [sys.executable, "-c", found[1]],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ran.returncode == 0, ran.stderr
    assert ran.stdout.splitlines() == EXPECTED
