from __future__ import annotations

import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from almondshift.adapters import http_connections
from almondshift.model import layers
from almondshift.model import rate_limits
from almondshift.model import relayed
from almondshift.model import routes
from almondshift.platform import decode
from almondshift.platform import engines
from almondshift.platform import names
from tests.platform import standin_system


def _decoded(**changes: Any) -> Any:
    text = json.dumps(standin_system.config(3, **changes)).encode()
    return decode.decode_config(text)


def test_a_configuration_is_decoded_completely() -> None:
    config = _decoded().ok
    chat = config.table.find("chat.example", "/chat/a/b")
    assert config.version == 3
    assert chat.repeat is routes.RepeatRule.STREAM
    assert chat.resumable and chat.may_repeat and chat.max_attempts == 2
    assert (chat.timeout_s, chat.objective_s, chat.event_gap_s) == (5, 0.5, 0.2)
    once = config.table.find("chat.example", "/once/")
    assert not once.may_repeat
    spec = config.services["model"].engine
    assert (spec.layers, spec.load_s, spec.mean_answer_tokens) == (80, 1.0, 20)
    assert spec.kinds["big"].memory_mb == 72_000
    assert config.services["plain"].engine is None
    assert config.account_by_key["key-1"].name == "account"


@pytest.mark.parametrize(
    ("objective_ms", "gap_ms", "abandon_after_s"),
    [(200, 200, 2.0), (500, 250, 2.0), (603, 250, 2.412), (100, 500, 4.0)],
)
def test_the_silence_timeout_follows_from_the_route(
    objective_ms: float, gap_ms: float, abandon_after_s: float
) -> None:
    """If too short, streams are given up whose callers still wait."""
    route = standin_system.route(
        "r",
        "/r/",
        "streaming",
        "model",
        targetLatencyMs=objective_ms,
        gapAimMs=gap_ms,
    )
    config = _decoded(routes=[route]).ok
    found = config.table.find("chat.example", "/r/")
    assert found.abandon_after_s == pytest.approx(abandon_after_s)


@pytest.mark.parametrize(
    ("prefixes", "path", "expected"),
    [
        (["/a/"], "/a/", "/a/"),
        (["/a/"], "/a", None),
        (["/a/"], "/ab/", None),
        (["/a/", "/a/b/"], "/a/b/c", "/a/b/"),
        (["/a/", "/a/b/"], "/a/bc", "/a/"),
        (["/"], "/x/y", "/"),
        (["/a/"], "no-slash", None),
    ],
)
def test_the_longest_prefix_matches(
    prefixes: list[str], path: str, expected: str | None
) -> None:
    written = [standin_system.route(p, p, "safe", "plain") for p in prefixes]
    found = _decoded(routes=written).ok.table.find("chat.example", path)
    assert (found.prefix if found else None) == expected


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"null",
        b"[]",
        b"{}",
        b'{"version":"x"}',
        b'{"version":1,"routes":[{}]}',
        b'{"version":1,"services":{"a":1}}',
        b"\xff\xfe",
    ],
)
def test_bad_configurations_are_errors(content: bytes) -> None:
    assert decode.decode_config(content).is_error()


def test_traffic_shares_must_not_be_negative() -> None:
    split = [{"service": "plain", "weight": -1}]
    route = standin_system.route("r", "/r/", "safe", "plain")
    del route["service"]
    assert _decoded(routes=[{**route, "trafficSplit": split}]).is_error()


def test_unknown_fields_are_ignored() -> None:
    assert _decoded(later=True).ok.version == 3


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"layers": None}, None),
        (
            {"layers": {"from": 3, "to": 9, "version": 1}},
            layers.LayerRange(3, 9),
        ),
        ({"layers": {"from": 3, "to": 3}}, None),
    ],
)
def test_engine_entries_are_decoded(changes: Any, expected: Any) -> None:
    entry = {"service": "s", "address": "1.2.3.4:5", "state": "draining"}
    text = json.dumps({**entry, **changes}).encode()
    engine = decode.decode_engine("i-1", text).ok
    assert engine.layers == expected
    assert engine.leaving


@pytest.mark.parametrize(
    ("values", "per_s", "is_invalid"),
    [
        ([], None, False),
        (["3.7"], 3.7, False),
        (["0"], 0.0, False),
        ([".5"], 0.5, False),
        (["12."], 12.0, False),
        ([""], None, True),
        (["-1"], None, True),
        (["+1"], None, True),
        (["NaN"], None, True),
        (["inf"], None, True),
        (["1e400"], None, True),
        (["1e2"], None, True),
        (["9" * 400], None, True),
        (["\u0663"], None, True),
        (["many"], None, True),
        (["2", "3"], None, True),
        (["2, 3"], None, True),
    ],
)
def test_only_a_single_decimal_number_is_a_rate_limit(
    values: list[str], per_s: float | None, is_invalid: bool
) -> None:
    """Guards against a node that stops or floods an engine by a bad value."""
    head = http_connections.ResponseHead(
        200, [(names.RATE_LIMIT, value) for value in values]
    )
    notice = engines.decode_limit(
        head, rate_limits.CallPurpose.REQUEST, "1.2.3.4:5", "i-1", 1.0
    )
    assert notice.per_s == per_s
    assert bool(notice.invalid) == is_invalid
    assert len(notice.invalid) <= engines.MAX_LOGGED_LIMIT


@hypothesis.given(strategies.binary(max_size=300))
def test_decoders_raise_no_exception_on_arbitrary_bytes(content: bytes) -> None:
    decode.decode_config(content)
    decode.decode_engine("i", content)
    engines.decode_report(content)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            ["version", "routes", "services", "engine", "layers", "from", "to",
             "stalled", "id", "name", "kinds", "weight", "tenants", "limits"]
        ),
        inner,
        max_size=5,
    ),
    max_leaves=12,
)  # fmt: skip


@hypothesis.given(JSON)
def test_decoders_raise_no_exception_on_arbitrary_json(content: Any) -> None:
    text = json.dumps(content).encode()
    decode.decode_config(text)
    decode.decode_engine("i", text)
    engines.decode_report(text)


def test_forwarded_fields_have_the_path_and_the_remaining_time() -> None:
    request = relayed.RelayedRequest(
        "r1", "POST", "h", "/x", "/x", (("X-Request-Id", "r1"),), b"", 9.0, "k",
        "", 1, 2, 0,
    )  # fmt: skip
    path = (
        relayed.PathPart("i1", "1.1.1.1:1", 0, 5),
        relayed.PathPart("i2", "2.2.2.2:2", 5, 80),
    )
    forwarding = relayed.Forwarding("1.1.1.1:1", "i1", path, 1.5, "a", 3, "7")
    fields = dict(engines.forward_headers(request, forwarding))
    assert fields == {
        "X-Request-Id": "r1",
        "X-Deadline-Ms": "1500",
        "X-Expect-Instance": "i1",
        "X-Tenant": "a",
        "X-Request-Priority": "3",
        "X-Hop-Count": "1.1.1.1:1=0-5,2.2.2.2:2=5-80",
        "Last-Event-Id": "7",
    }


@pytest.mark.parametrize(
    ("status", "fields", "genuine", "not_run"),
    [
        (200, [("x-engine-signature", "s")], True, False),
        (200, [], False, False),
        (503, [("x-not-executed", "1")], False, True),
        (503, [], False, False),
        (421, [], False, True),
    ],
)
def test_response_heads_are_decoded(
    status: int, fields: list[tuple[str, str]], genuine: bool, not_run: bool
) -> None:
    head = engines.decode_head(
        http_connections.ResponseHead(
            status, [*fields, ("keep-alive", "timeout=1")]
        )
    )
    assert (head.genuine, head.not_run) == (genuine, not_run)
    assert all(name != "keep-alive" for name, _ in head.headers)


@pytest.mark.parametrize(
    ("content", "config", "engine"),
    [
        (b'{"version":7,"seq":3}', (0, 7), (0, 3)),
        (b'{"version":8,"seq":3,"born":9}', (0, 8), (9, 3)),
        (b'{"version":"7"}', None, None),
        (b'{"seq":null}', None, None),
        (b"[]", None, None),
        (b"{", None, None),
    ],
)
def test_ranks_order_contents_of_one_writer(
    content: bytes, config: Any, engine: Any
) -> None:
    """Guards against invalid rows that end a table's watch."""
    assert decode.config_rank(content) == config
    assert decode.engine_rank(content) == engine
