from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift.console import application

if TYPE_CHECKING:
    import pathlib

LINES: list[dict[str, Any]] = [
    {"time": "2026-07-10T09:45:59.5+00:00", "node": "n2", "event": "AS4004",
     "message": "endpoint ejected", "endpoint": "e1", "reason": "stalled"},
    {"time": "2026-07-10T09:45:59.1+00:00", "node": "n1", "event": "AS5008",
     "message": "request forwarded", "request_id": "r1", "instances": "e1,e2"},
    {"time": "2026-07-10T09:46:00.1+00:00", "node": "n1", "event": "AS5003",
     "message": "request refused", "request_id": "r1", "kind": "overloaded"},
    {"time": "2026-07-10T09:46:00.0+00:00", "node": "n1", "event": "AS5003",
     "message": "request refused", "request_id": "r2", "kind": "overloaded"},
    {"time": "2026-07-10T09:59:00.0+00:00", "node": "n1", "event": "AS4004",
     "message": "endpoint ejected", "endpoint": "e1", "reason": "gone"},
    {"time": "2026-07-10T09:45:59.6+00:00", "node": "n1", "event": "AS4004",
     "message": "endpoint ejected", "endpoint": "e9", "reason": "stalled"},
]  # fmt: skip


@pytest.fixture
def log_path(tmp_path: pathlib.Path) -> str:
    texts = [f"  0.1 n {json.dumps(line)}" for line in LINES]
    path = tmp_path / "log"
    path.write_text("\n".join(["no json {", "plain text", *texts]))
    return str(path)


def test_trace_shows_the_request_and_its_endpoints_in_time_order(
    log_path: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert application.main(["trace", "r1", log_path]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in printed] == [
        "AS5008",
        "AS4004",
        "AS5003",
    ]


def test_trace_of_an_unknown_request_suggests_a_remedy(
    log_path: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert application.main(["trace", "r9", log_path]) == 1
    assert "logs of all nodes" in capsys.readouterr().err
