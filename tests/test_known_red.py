from __future__ import annotations

import pytest

from tests import run


@pytest.mark.parametrize(
    ("line", "identity"),
    [
        (
            "tests/a.py::test_b[c d]  no seed; seen once; issue 3",
            "tests/a.py::test_b[c d]",
        ),
        ("fault: cmd --seed 7  seen; issue 36", "fault: cmd --seed 7"),
        ("tests/a.py::test_b  seen once", None),
        ("tests/a.py::test_b; issue 3", None),
        ("tests/a.py  a whole module; issue 3", None),
    ],
)
def test_entries_name_a_test_or_fault_what_was_seen_and_an_issue(
    line: str, identity: str | None
) -> None:
    """Guards against faults that are passed over without a trace."""
    entry = run.ENTRY.fullmatch(line)
    assert (entry["id"] if entry else None) == identity
