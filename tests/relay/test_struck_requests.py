"""What nodes tell each other of requests that met several crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from almondshift.policy import crash_strikes
from almondshift.relay import struck_requests

if TYPE_CHECKING:
    from almondshift.ports import peers

NOW = 100.0


class FakeGroup:
    """A node's group that keeps the latest fact of each key."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.facts: dict[str, bytes] = {}

    def publish_fact(
        self, kind: peers.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        del kind, ttl_s
        self.facts[key] = value

    def withdraw_fact(self, kind: peers.FactKind, key: str) -> None:
        del kind
        del self.facts[key]


def create(
    strikes: dict[str, str],
) -> tuple[struck_requests.StruckRequests, Any]:
    """Returns a node's record, whose requests were struck by endpoints."""
    counted = crash_strikes.CrashStrikes()
    for fingerprint, endpoints in strikes.items():
        for instance in endpoints:
            counted.strike(fingerprint, instance, NOW)
    told = struck_requests.StruckRequests(counted)
    group: Any = FakeGroup("n")
    told.join(group)
    return told, group


@pytest.mark.parametrize(
    ("strikes", "endpoints", "beside"),
    [
        ({"f": "a"}, None, ""),
        ({"f": "ab"}, "ab", ""),
        ({"f": "ab", "g": "b"}, "ab", ""),
        ({"f": "ab", "g": "abc"}, "ab", "g"),
        ({"f": "abcdefghij"}, "cdefghij", ""),
    ],
)
def test_requests_with_several_strikes_are_told_by_themselves(
    strikes: dict[str, str], endpoints: str | None, beside: str
) -> None:
    """Guards against crashes of a request that wait behind other reports."""
    told, group = create(strikes)
    told.tell(["f"])
    if endpoints is None:
        assert not group.facts
        return
    value = struck_requests.DECODER.decode(group.facts["struck/f/n"])
    assert value.endpoints == list(endpoints)
    assert value.beside == beside


@pytest.mark.parametrize(
    ("known", "told", "refused"),
    [
        ({}, ("abc", ""), ["f"]),
        ({}, ("ab", ""), []),
        ({"f": "c"}, ("ab", ""), ["f"]),
        ({"f": "abc"}, ("abc", ""), []),
        ({}, ("abc", "g"), []),
        ({"g": "abc"}, ("abc", ""), []),
    ],
)
def test_a_peer_adds_the_strikes(
    known: dict[str, str], told: tuple[str, str], refused: list[str]
) -> None:
    """Guards against sound requests that are refused beside another one."""
    record, _ = create(known)
    value = struck_requests.StruckRequest(list(told[0]), told[1])
    encoded = msgspec.json.encode(value)
    assert record.add_from_peer("f", encoded, NOW) == refused
    later = NOW + crash_strikes.AMBIGUOUS_S
    is_refused = record.strikes.is_refused("f", later)
    assert is_refused is (len(record.strikes.strikes["f"]) >= 3)


def test_an_endpoint_that_did_not_crash_is_left_out() -> None:
    """Guards against nodes that learn of crashes that were withdrawn."""
    told, group = create({"f": "abc", "g": "ab"})
    told.tell(["f", "g"])
    told.strikes.withdraw("a")
    told.withdraw_endpoint("a")
    assert list(group.facts) == ["struck/f/n"]
    value = struck_requests.DECODER.decode(group.facts["struck/f/n"])
    assert value.endpoints == ["b", "c"]


def test_a_request_that_was_answered_is_withdrawn() -> None:
    """Guards against sound requests that nodes learn as suspects."""
    told, group = create({"f": "ab"})
    told.tell(["f"])
    told.strikes.note_answered("f", NOW)
    told.forget_old()
    assert not group.facts
    assert not told.told
