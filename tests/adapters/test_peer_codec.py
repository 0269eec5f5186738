from __future__ import annotations

import zlib

import hypothesis
from hypothesis import strategies as st
import pytest

from almondshift.adapters import peer_codec
from almondshift.ports import peers

MAX_BYTES = 65_536

texts = st.text(max_size=20)
versions = st.integers(min_value=0, max_value=2**64 - 1)
kinds = st.sampled_from(peers.FactKind)
keys = st.text(min_size=1, max_size=20)
digests = st.builds(peers.FactDigest, kinds, keys, versions, keys)
facts = st.builds(
    peers.Fact,
    kinds,
    keys,
    versions,
    keys,
    st.floats(width=32, allow_nan=False),
    st.binary(max_size=100),
)
messages = st.one_of(
    st.builds(
        peers.Exchange,
        texts,
        texts,
        st.lists(digests, max_size=5).map(tuple),
        st.lists(facts, max_size=5).map(tuple),
        st.lists(digests, max_size=5).map(tuple),
    ),
    st.builds(peers.Question, texts, texts, texts, st.binary(max_size=100)),
    st.builds(peers.Answer, st.booleans(), st.binary(max_size=100)),
)
frames = st.builds(peer_codec.Frame, versions, messages)

fuzz = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=500, database=None
)


@fuzz
@hypothesis.given(frames)
def test_round_trip(frame: peer_codec.Frame) -> None:
    content = peer_codec.encode(frame, MAX_BYTES)
    assert peer_codec.decode(content, MAX_BYTES).ok == frame


PACKED_AND_CUT = b"\xf0\x80\x96\x98\x00\x00\xff"
"""Terminated the process with Cap'n Proto packing; see ``peer_codec``."""


@fuzz
@hypothesis.given(st.binary(max_size=300))
@hypothesis.example(b"")
@hypothesis.example(b"\xff" * 64)
@hypothesis.example(PACKED_AND_CUT)
def test_arbitrary_bytes_decode_to_frame_or_error(content: bytes) -> None:
    for corrupted in (content, zlib.compress(content)):
        result = peer_codec.decode(corrupted, MAX_BYTES)
        assert result.is_error() or isinstance(result.ok, peer_codec.Frame)


@fuzz
@hypothesis.given(frames, st.data())
def test_corrupted_frames_decode_to_frame_or_error(
    frame: peer_codec.Frame, data: st.DataObject
) -> None:
    content = bytearray(zlib.decompress(peer_codec.encode(frame, MAX_BYTES)))
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(content) - 1))
        content[index] = data.draw(st.integers(0, 255))
    cut_at = data.draw(st.integers(0, len(content)))
    for flat in (bytes(content), bytes(content[:cut_at])):
        result = peer_codec.decode(zlib.compress(flat), MAX_BYTES)
        assert result.is_error() or isinstance(result.ok, peer_codec.Frame)


def test_decompressed_size_is_limited() -> None:
    """A small frame must not exhaust memory by decompressing to a large one.

    zlib compresses about a thousand zeros into one byte; anyone who reaches
    the port could send a frame of 1 MB that decompresses to 1 GB.
    """
    body = bytes(MAX_BYTES * peer_codec.MAX_INFLATION_FACTOR)
    frame = peer_codec.Frame(1, peers.Answer(known=True, body=body))
    content = peer_codec.encode(frame, 100 * MAX_BYTES)
    assert len(content) < MAX_BYTES
    result = peer_codec.decode(content, MAX_BYTES)
    assert "not one complete" in result.error.detail
    with pytest.raises(ValueError, match="bytes"):
        peer_codec.encode(frame, MAX_BYTES // 2)


def test_fact_kinds_keep_their_wire_numbers() -> None:
    assert [str(kind) for kind in peer_codec.KINDS] == [
        "node",
        "config",
        "leaving",
        "quarantine",
        "engine_load",
        "account_use",
        "engine_lost",
        "node_silent",
    ]
