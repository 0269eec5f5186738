"""Wire format of the messages between a node and an engine.

Steps and KV snapshots are encoded as MessagePack, with arrays in place of
maps; everything else is JSON.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import orders
from almondshift.model import steps

if TYPE_CHECKING:
    from collections.abc import Sequence

MSGPACK_TYPE = "application/msgpack"
JSON_TYPE = "application/json"
RANGE_CACHE_SIZE = 256
NOT_RUN_HEADER = "X-Not-Run"

STEPS_PATH = "/v1/steps"
DESCRIBE_PATH = "/v1/describe"
CANCEL_PATH = "/v1/cancel"
LOAD_PATH = "/v1/load"
CACHE_EVENTS_PATH = "/v1/cache-events"
ORDERS_PATH = "/v1/orders"

Unsigned = Annotated[int, msgspec.Meta(ge=0)]


class ItemMessage(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A ``steps.StepItem``."""

    request_id: str
    session: str
    epoch: int
    position: Unsigned
    start: Unsigned
    end: Unsigned
    model: str
    version: int
    adapter: str
    priority: int
    inputs: tuple[Unsigned, ...]


class ResultMessage(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A ``steps.StepResult``."""

    request_id: str
    session: str
    epoch: int
    position: int
    start: int
    end: int
    model: str
    version: int
    adapter: str
    status: steps.StepStatus
    outputs: tuple[int, ...]


class SnapshotMessage(msgspec.Struct, array_like=True, frozen=True):
    """A ``steps.KvSnapshot``."""

    session: str
    request_id: str
    start: Unsigned
    end: Unsigned
    model: str
    version: int
    adapter: str
    length: Unsigned
    state: bytes


class CancelMessage(msgspec.Struct, frozen=True):
    """The sessions to drop."""

    sessions: tuple[str, ...]


class HoldingMessage(msgspec.Struct, frozen=True):
    """An ``endpoints.Holding``."""

    model: str
    version: int
    adapter: str
    start: int
    end: int
    ready: bool


class LoadMessage(msgspec.Struct, frozen=True):
    """An ``endpoints.LoadReport``."""

    endpoint: str
    instance: str
    role: endpoints.EndpointRole
    leaving: bool
    holdings: tuple[HoldingMessage, ...]
    sessions: int
    queued_items: int
    order_number: int
    age_s: float


class OrderMessage(msgspec.Struct, frozen=True):
    """An ``orders.Order``."""

    fencing: int
    role: endpoints.EndpointRole
    model: str
    version: int
    adapter: str
    start: Unsigned
    end: Unsigned


_items_decoder = msgspec.msgpack.Decoder(list[ItemMessage])
_results_decoder = msgspec.msgpack.Decoder(list[ResultMessage])
_snapshot_decoder = msgspec.msgpack.Decoder(SnapshotMessage)
_msgpack_encoder = msgspec.msgpack.Encoder()


@functools.lru_cache(maxsize=RANGE_CACHE_SIZE)
def make_range(start: int, end: int) -> layers.LayerRange:
    """Returns a cached range; equal ranges share one object."""
    return layers.LayerRange(start, end)


def encode_items(items: Sequence[steps.StepItem]) -> bytes:
    """Encodes the items of one call."""
    rows = [
        (
            item.request_id,
            item.session,
            item.epoch,
            item.position,
            item.layers.start,
            item.layers.end,
            item.model,
            item.version,
            item.adapter,
            item.priority,
            item.inputs,
        )
        for item in items
    ]
    return _msgpack_encoder.encode(rows)


def decode_items(body: bytes) -> list[steps.StepItem]:
    """Decodes the items of one call; raises ``msgspec.DecodeError``."""
    return [
        steps.StepItem(
            row.request_id,
            row.session,
            row.epoch,
            row.position,
            make_range(row.start, row.end),
            row.model,
            row.version,
            row.adapter,
            row.priority,
            row.inputs,
        )
        for row in _items_decoder.decode(body)
    ]


def encode_results(results: list[steps.StepResult]) -> bytes:
    """Encodes the results of one call."""
    rows = [
        (
            result.request_id,
            result.session,
            result.epoch,
            result.position,
            result.layers.start,
            result.layers.end,
            result.model,
            result.version,
            result.adapter,
            result.status,
            result.outputs,
        )
        for result in results
    ]
    return _msgpack_encoder.encode(rows)


def decode_results(body: bytes) -> list[steps.StepResult]:
    """Decodes the results of one call; raises ``msgspec.DecodeError``."""
    return [
        steps.StepResult(
            row.request_id,
            row.session,
            row.epoch,
            row.position,
            make_range(row.start, row.end),
            row.model,
            row.version,
            row.adapter,
            row.status,
            row.outputs,
        )
        for row in _results_decoder.decode(body)
    ]


def encode_snapshot(snapshot: steps.KvSnapshot) -> bytes:
    """Encodes a KV snapshot."""
    return _msgpack_encoder.encode(
        SnapshotMessage(
            snapshot.session,
            snapshot.request_id,
            snapshot.layers.start,
            snapshot.layers.end,
            snapshot.model,
            snapshot.version,
            snapshot.adapter,
            snapshot.length,
            snapshot.state,
        )
    )


def decode_snapshot(body: bytes) -> steps.KvSnapshot:
    """Decodes a KV snapshot; raises ``msgspec.DecodeError``."""
    row = _snapshot_decoder.decode(body)
    return steps.KvSnapshot(
        row.session,
        row.request_id,
        layers.LayerRange(row.start, row.end),
        row.model,
        row.version,
        row.adapter,
        row.length,
        row.state,
    )


def encode_load(report: endpoints.LoadReport) -> bytes:
    """Encodes a load report."""
    held = tuple(
        HoldingMessage(
            holding.model,
            holding.version,
            holding.adapter,
            holding.layers.start,
            holding.layers.end,
            holding.ready,
        )
        for holding in report.holdings
    )
    return msgspec.json.encode(
        LoadMessage(
            report.endpoint,
            report.instance,
            report.role,
            report.leaving,
            held,
            report.sessions,
            report.queued_items,
            report.order_number,
            report.age_s,
        )
    )


def decode_load(body: bytes) -> endpoints.LoadReport:
    """Decodes a load report; raises ``msgspec.DecodeError``."""
    message = msgspec.json.decode(body, type=LoadMessage)
    held = tuple(
        endpoints.Holding(
            holding.model,
            holding.version,
            holding.adapter,
            layers.LayerRange(holding.start, holding.end),
            holding.ready,
        )
        for holding in message.holdings
    )
    return endpoints.LoadReport(
        message.endpoint,
        message.instance,
        message.role,
        message.leaving,
        held,
        message.sessions,
        message.queued_items,
        message.order_number,
        message.age_s,
    )


def encode_order(order: orders.Order) -> bytes:
    """Encodes an order."""
    return msgspec.json.encode(
        OrderMessage(
            order.fencing,
            order.role,
            order.model,
            order.version,
            order.adapter,
            order.layers.start,
            order.layers.end,
        )
    )


def decode_order(body: bytes) -> orders.Order:
    """Decodes an order; raises ``msgspec.DecodeError``."""
    message = msgspec.json.decode(body, type=OrderMessage)
    return orders.Order(
        message.fencing,
        message.role,
        message.model,
        message.version,
        message.adapter,
        layers.LayerRange(message.start, message.end),
    )


def decode_order_answer(body: bytes) -> orders.OrderAnswer:
    """Decodes the response to an order; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(body, type=orders.OrderAnswer)


def decode_description(body: bytes) -> endpoints.EndpointDescription:
    """Decodes a description; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(body, type=endpoints.EndpointDescription)


def decode_cache_events(body: bytes) -> list[endpoints.CacheEvent]:
    """Decodes cache events; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(body, type=list[endpoints.CacheEvent])


def decode_cancel(body: bytes) -> tuple[str, ...]:
    """Decodes a cancellation; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(body, type=CancelMessage).sessions
