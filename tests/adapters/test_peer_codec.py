from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from almondshift.adapters import peer_codec
from almondshift.ports import peers

MAX_BYTES = 65_536

texts = st.text(max_size=20)
versions = st.integers(min_value=0, max_value=2**64 - 1)
kinds = st.sampled_from(peers.FactKind)
keys = st.text(min_size=1, max_size=20)
digests = st.builds(peers.FactDigest, kinds, keys, versions, keys)
held = st.builds(
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
        st.lists(held, max_size=5).map(tuple),
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
    content = peer_codec.encode(frame)
    assert peer_codec.decode(content, MAX_BYTES).ok == frame


@fuzz
@hypothesis.given(st.binary(max_size=300))
@hypothesis.example(b"")
@hypothesis.example(b"\xff" * 64)
def test_any_bytes_give_a_frame_or_an_error(content: bytes) -> None:
    result = peer_codec.decode(content, MAX_BYTES)
    assert result.is_error() or isinstance(result.ok, peer_codec.Frame)


@fuzz
@hypothesis.given(frames, st.data())
def test_damaged_frames_give_a_frame_or_an_error(
    frame: peer_codec.Frame, data: st.DataObject
) -> None:
    content = bytearray(peer_codec.encode(frame))
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(content) - 1))
        content[index] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(content)))
    for damaged in (bytes(content), bytes(content[:cut])):
        result = peer_codec.decode(damaged, MAX_BYTES)
        assert result.is_error() or isinstance(result.ok, peer_codec.Frame)


def test_packed_zeros_do_not_unpack_past_the_limit() -> None:
    """A few bytes that claim many words of zeros must not take memory.

    Packing writes 256 words of zeros in two bytes; a peer, or whoever
    reaches the port, could send 1 MB that unpacks to 1 GB.
    """
    words = 10_000_000
    table = bytes([0x0F, 0, 0, 0, 0]) + b""
    segment = words.to_bytes(4, "little")
    content = bytes([0xF0]) + segment + b"\x00\xff" * 60_000
    result = peer_codec.decode(content, MAX_BYTES)
    assert result.is_error()
    assert peer_codec.decode(table, MAX_BYTES).is_error()


def test_every_kind_has_its_number() -> None:
    assert [str(kind) for kind in peer_codec.KINDS] == [
        "node",
        "config",
        "leaving",
        "quarantine",
        "engine_load",
        "account_use",
    ]
