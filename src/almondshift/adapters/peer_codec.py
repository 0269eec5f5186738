"""Peer messages as zlib-compressed Cap'n Proto structs.

The schema ``peer.capnp`` is loaded when this module is imported, so no code
has to be generated. An origin that equals its key, as in every fact about a
node, is left empty on the wire.

Cap'n Proto's own packing is not used: its reader continues to read in a
destructor, so a truncated packed message terminates the process (pycapnp
2.2.4, "Premature EOF", found by fuzzing). zlib compresses equally well, and
its output is limited before Cap'n Proto sees a byte.
"""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any
import zlib

import capnp
import expression

from almondshift.ports import peers

MAX_ITEMS = 20_000
"""Maximum number of facts, digests or wants in one message."""

WORD_BYTES = 8
MAX_INFLATION_FACTOR = 4
"""Maximum size of a decompressed message, as a multiple of the frame limit."""

COMPRESSION_LEVEL = 1

KINDS = tuple(peers.FactKind)
"""Kinds by their number on the wire; append new ones at the end."""

NUMBERS = {kind: number for number, kind in enumerate(KINDS)}

capnp.remove_import_hook()
schema: Any = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedFrame(Exception):
    """The bytes are not a valid peer message; close the connection."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message and the number of the call to which it belongs."""

    call_number: int
    message: peers.PeerMessage


def encode(frame: Frame, max_bytes: int) -> bytes:
    """Returns the bytes of a frame, without the length prefix.

    Raises:
        ValueError: If ``decode`` would reject them as too large; the sender
            has to split its message.
    """
    envelope = schema.Envelope.new_message()
    envelope.callNumber = frame.call_number
    match frame.message:
        case peers.Exchange() as exchange:
            write_exchange(envelope.init("exchange"), exchange)
        case peers.Question() as question:
            builder = envelope.init("question")
            builder.sender = question.sender
            builder.secret = question.secret
            builder.topic = question.topic
            builder.body = question.body
        case peers.Answer() as answer:
            builder = envelope.init("answer")
            builder.known = answer.known
            builder.body = answer.body
    flat = envelope.to_bytes()
    content = zlib.compress(flat, COMPRESSION_LEVEL)
    if max(len(content), len(flat) // MAX_INFLATION_FACTOR) > max_bytes:
        raise ValueError(f"peer message too large: {len(flat)} bytes")
    return content


def decode(
    content: bytes, max_bytes: int
) -> expression.Result[Frame, MalformedFrame]:
    """Decodes a frame.

    Args:
        content: The bytes, from an untrusted source.
        max_bytes: Limit of the frame size; also bounds the decompressed size.

    Returns:
        The frame, or the reason why it is invalid.
    """
    max_inflated_bytes = max_bytes * MAX_INFLATION_FACTOR
    try:
        flat = inflate(content, max_inflated_bytes)
        with schema.Envelope.from_bytes(
            flat, traversal_limit_in_words=max_inflated_bytes // WORD_BYTES
        ) as envelope:
            message = read_message(envelope)
            return expression.Ok(Frame(envelope.callNumber, message))
    except (capnp.KjException, zlib.error, ValueError, IndexError) as error:
        return expression.Error(MalformedFrame(str(error)))


def inflate(content: bytes, max_inflated_bytes: int) -> bytes:
    """Returns the decompressed bytes.

    Raises:
        ValueError: If they exceed the limit or the stream is incomplete.
    """
    stream = zlib.decompressobj()
    flat = stream.decompress(content, max_inflated_bytes)
    if not stream.eof or stream.unused_data:
        raise ValueError("not one complete compressed message")
    return flat


def read_message(envelope: Any) -> peers.PeerMessage:
    """Copies the message out of an envelope."""
    which = str(envelope.which())
    if which == "exchange":
        return read_exchange(envelope.exchange)
    if which == "question":
        question = envelope.question
        return peers.Question(
            sender=question.sender,
            secret=question.secret,
            topic=question.topic,
            body=bytes(question.body),
        )
    answer = envelope.answer
    return peers.Answer(known=answer.known, body=bytes(answer.body))


def write_exchange(builder: Any, exchange: peers.Exchange) -> None:
    """Copies an exchange into a builder."""
    builder.sender = exchange.sender
    builder.secret = exchange.secret
    write_digests(builder, "digests", exchange.digests)
    write_digests(builder, "wants", exchange.wants)
    facts = builder.init("facts", len(exchange.facts))
    for item, fact in zip(facts, exchange.facts, strict=True):
        item.kind = NUMBERS[fact.kind]
        item.key = fact.key
        item.version = fact.version
        if fact.origin != fact.key:
            item.origin = fact.origin
        item.ttlSeconds = fact.ttl_s
        item.value = fact.value


def write_digests(
    builder: Any, field: str, digests: tuple[peers.FactDigest, ...]
) -> None:
    """Copies digests into a list of a builder."""
    items = builder.init(field, len(digests))
    for item, digest in zip(items, digests, strict=True):
        item.kind = NUMBERS[digest.kind]
        item.version = digest.version
        item.key = digest.key
        if digest.origin != digest.key:
            item.origin = digest.origin


def read_exchange(reader: Any) -> peers.Exchange:
    """Copies an exchange out of a reader."""
    return peers.Exchange(
        sender=reader.sender,
        secret=reader.secret,
        digests=read_digests(reader.digests),
        facts=tuple(read_fact(item) for item in check_length(reader.facts)),
        wants=read_digests(reader.wants),
    )


def read_fact(item: Any) -> peers.Fact:
    """Copies one fact out of a reader."""
    key = item.key
    return peers.Fact(
        kind=KINDS[item.kind],
        key=key,
        version=item.version,
        origin=item.origin or key,
        ttl_s=item.ttlSeconds,
        value=bytes(item.value),
    )


def read_digests(items: Any) -> tuple[peers.FactDigest, ...]:
    """Copies digests out of a list reader."""
    return tuple(
        peers.FactDigest(
            kind=KINDS[item.kind],
            key=item.key,
            version=item.version,
            origin=item.origin or item.key,
        )
        for item in check_length(items)
    )


def check_length(items: Any) -> Any:
    """Returns the list, or raises ``ValueError`` if it is too long."""
    if len(items) > MAX_ITEMS:
        raise ValueError(f"list too long: {len(items)} items")
    return items
