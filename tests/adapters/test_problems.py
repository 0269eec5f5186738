from __future__ import annotations

import json
import math

import pytest

from almondshift import errors
from almondshift.adapters import problems


@pytest.mark.parametrize(
    ("error", "status", "execution", "retry_after"),
    [
        (errors.Overloaded("Full.", retry_after_s=0.01), 503, "not_run", "1"),
        (errors.Overloaded("Full.", retry_after_s=2.1), 503, "not_run", "3"),
        (
            errors.Overloaded("Full.", retry_after_s=math.inf),
            503,
            "not_run",
            "3600",
        ),
        (
            errors.Overloaded("Full.", retry_after_s=math.nan),
            503,
            "not_run",
            "3600",
        ),
        (
            errors.Overloaded("Full.", retry_after_s=-math.inf),
            503,
            "not_run",
            "1",
        ),
        (errors.OutcomeUnknown("Gone."), 502, "unknown", None),
        (errors.WrongKey("No."), 401, "not_run", None),
        (ValueError("secret path"), 500, "unknown", None),
    ],
)
def test_render(
    error: Exception, status: int, execution: str, retry_after: str | None
) -> None:
    problem = problems.render(error, "r-1")
    body = json.loads(problem.body)
    assert problem.status == body["status"] == status
    assert body["execution"] == execution
    assert body["remedy"]
    assert body["request_id"] == problem.headers["X-Request-Id"] == "r-1"
    assert problem.headers.get("Retry-After") == retry_after
    assert ("WWW-Authenticate" in problem.headers) is (status == 401)
    assert b"secret path" not in problem.body


def test_invalid_configuration_names_section_and_key() -> None:
    error = errors.ConfigInvalid("Bad.", section="s", key="k", remedy="Mend.")
    described = problems.describe(error, "r")
    assert (described["section"], described["key"]) == ("s", "k")
