"""Parts of prompts as callers name them."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest
from tornado import httputil

from almondshift.platform import front


def shared_parts(*fields: str) -> tuple[str, ...]:
    headers = httputil.HTTPHeaders({"X-Request-Id": "r"})
    for field in fields:
        headers.add("X-Prompt-Prefix", field)
    line = httputil.RequestStartLine("POST", "/x", "HTTP/1.1")
    return front.decode_request(line, headers, b"").shared_parts


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        pytest.param([], (), id="absent"),
        pytest.param([""], (), id="empty"),
        pytest.param(["a1:4"], (), id="only its own part"),
        pytest.param(["a1:4,b2:5,c3:6"], ("a1", "b2"), id="last part left out"),
        pytest.param(["A1 : 4 , b2:5"], ("a1",), id="spaces and capitals"),
        pytest.param(["a1:4,a1:9,b2:5"], ("a1",), id="another token count"),
        pytest.param(["a1,b2:,:7,c3:x"], ("a1", "b2"), id="malformed counts"),
        pytest.param([",,a1:4,,b2:5,"], ("a1",), id="empty entries"),
        pytest.param(["a1:4", "b2:5"], ("a1",), id="two fields"),
    ],
)
def test_parts_that_requests_may_share_are_decoded(
    fields: list[str], expected: tuple[str, ...]
) -> None:
    assert shared_parts(*fields) == expected


@hypothesis.given(
    parts=strategies.lists(strategies.text('0aF:;=/.-_~"\xa1\xff', max_size=40))
)
def test_any_prefix_is_decoded_to_short_ids(parts: list[str]) -> None:
    """Guards against requests that fail by a malformed prompt prefix."""
    found = shared_parts(",".join(parts))
    assert all(front.SHORT_PART_ID.fullmatch(part) for part in found)


def test_a_long_prefix_is_decoded() -> None:
    text = ",".join(f"{number:x}:1" for number in range(1, 20_000))
    assert len(shared_parts(text)) == 19_998
    assert len(shared_parts(f"{'f' * 5_000}:1,a:1")[0]) == front.MAX_PART_ID
