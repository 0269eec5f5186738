"""Sends of one request, and whether they may have run it."""

from __future__ import annotations

import pytest

from almondshift.model import not_run
from almondshift.policy import request_sends

STATED = not_run.NotRun.STATED


@pytest.mark.parametrize(
    ("evidence", "expected"),
    [
        ([], False),
        ([None], True),
        ([STATED], False),
        ([STATED, not_run.NotRun.NO_CONNECTION], False),
        ([STATED, None], True),
        ([None, STATED], True),
    ],
)
def test_only_evidence_for_each_send_shows_that_nothing_ran(
    evidence: list[not_run.NotRun | None], expected: bool
) -> None:
    sends = request_sends.RequestSends()
    for number, found in enumerate(evidence):
        sends.begin(f"i-{number}").end(request_sends.FAILED, 0, found)
    assert sends.may_have_run is expected


def test_an_open_send_may_have_run() -> None:
    sends = request_sends.RequestSends()
    sends.begin("i-1")
    assert sends.may_have_run


def test_the_log_names_each_send_its_connection_and_its_end() -> None:
    sends = request_sends.RequestSends()
    sends.begin("i-1").end(request_sends.FAILED, 3, STATED)
    sends.begin("i-2").end(
        request_sends.FAILED, None, not_run.NotRun.NO_CONNECTION
    )
    sends.begin("i-3").end(request_sends.ANSWERED, 0)
    assert str(sends) == (
        "i-1 (reused 3): stated by the endpoint; "
        "i-2 (none): no connection; i-3 (new): answered"
    )


def test_the_log_names_a_bounded_number_of_sends() -> None:
    sends = request_sends.RequestSends()
    for number in range(50):
        sends.begin(f"i-{number}")
    assert str(sends).count("i-") == request_sends.MAX_LISTED
