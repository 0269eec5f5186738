"""Decodes the operators' configuration and the engines' registry entries."""

from __future__ import annotations

import math

import expression
import msgspec

from almondshift import errors
from almondshift.model import addresses
from almondshift.model import engine_specs
from almondshift.model import json_errors
from almondshift.model import layers as model_layers
from almondshift.model import lifetimes
from almondshift.model import registered_engines
from almondshift.model import revisions
from almondshift.model import routes as model_routes
from almondshift.model import routing_config
from almondshift.platform import field_text

SECTION = "configuration"
READY_STATE = "ready"
DRAINING_STATE = "draining"
LATIN_1_END = 256
"""Header fields consist of Latin-1 characters."""

MAX_SLOTS = 1_000_000
MAX_LAYERS = 10_000
"""Sanity bounds, far above any real accelerator and model."""

MAX_UNIX_MS = 10**14
"""The year 5138."""

DEFAULT_EVENT_GAP_S = 0.2
"""Longest pause between events for routes that set none."""

MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_OBJECTIVES = 4.0
SILENCE_TIMEOUT_GAPS = 8.0
"""Callers abandon a silent stream after the longest of these: a fixed time,
and multiples of the route's objective and of its pause between events."""

REPEAT_RULE_BY_KIND = {
    "safe": model_routes.RepeatRule.IDEMPOTENT,
    "unsafe": model_routes.RepeatRule.AT_MOST_ONCE,
    "streaming": model_routes.RepeatRule.STREAM,
}


class WireTrafficShare(msgspec.Struct):
    """A service's share of a split route."""

    service: str
    weight: float = 1.0


class WireRoute(msgspec.Struct, rename="camel"):
    """A route; ``target_latency_ms`` is its latency objective."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = 30_000
    target_latency_ms: float = 500
    gap_aim_ms: float | None = None
    priority: int = 1
    service: str | None = None
    traffic_split: list[WireTrafficShare] = []
    max_attempts: int = 1
    public: bool = False
    can_resume: bool = False


class WireAcceleratorKind(msgspec.Struct):
    """A kind of accelerator.

    ``pace`` and ``readX`` scale the published times of a generation step and
    of reading a prompt.
    """

    name: str
    mb: float
    pace: float = 1.0
    readX: float = 1.0  # noqa: N815


class WireModel(msgspec.Struct):
    """The model; ``loadS`` is the time to load all of its layers."""

    name: str
    loadS: float = 10.0  # noqa: N815


class WireMeanTokens(msgspec.Struct):
    """Mean token counts of prompts and answers."""

    prompt: float = 500.0
    answer: float = 200.0


class WireEngineSpec(msgspec.Struct):
    """Published capacity figures of a service's engines."""

    slots: int = 1
    kvTokenBytes: float = 0.0  # noqa: N815
    models: list[WireModel] = []
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 100_000.0
    usual: WireMeanTokens = msgspec.field(default_factory=WireMeanTokens)
    layers: int = 0
    layerMb: float = 0.0  # noqa: N815
    kinds: list[WireAcceleratorKind] = []


class WireService(msgspec.Struct, rename="camel"):
    """A service and, if it runs a model, the spec of its engines."""

    name: str
    health_path: str = ""
    max_connections: int = 64
    engine: WireEngineSpec | None = None


class WireAccount(msgspec.Struct, rename="camel"):
    """A client account and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits on what callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    idle_timeout_ms: float = 15_000


class WireConfig(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireAccount] = []


class WireLayers(msgspec.Struct, rename={"end": "to", "start": "from"}):
    """Layers from ``start`` up to but not including ``end``."""

    start: int = 0
    end: int = 0
    version: int = 0


class WireEngineEntry(msgspec.Struct):
    """An engine's registry entry; ``born`` is its start in Unix milliseconds.

    ``seq`` counts heartbeats here, see ``WireEntryRank``, whereas the field of
    the same name in a report counts accepted orders.
    """

    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    kind: str = ""
    layers: WireLayers | None = None
    born: int = 0


class WireConfigRank(msgspec.Struct):
    """The part of a configuration that orders it among others."""

    version: int


class WireEntryRank(msgspec.Struct):
    """The part of a registry entry that orders it among others."""

    seq: int
    born: int = 0


CONFIG_RANK_DECODER = msgspec.json.Decoder(WireConfigRank)
ENTRY_RANK_DECODER = msgspec.json.Decoder(WireEntryRank)
CONFIG_DECODER = msgspec.json.Decoder(WireConfig)
ENGINE_ENTRY_DECODER = msgspec.json.Decoder(WireEngineEntry)


def decode_config(
    content: bytes,
) -> expression.Result[routing_config.RoutingConfig, errors.ConfigInvalid]:
    """Decodes a configuration from JSON."""
    try:
        wire = CONFIG_DECODER.decode(content)
        return expression.Ok(_config(wire))
    except json_errors.MALFORMED as error:
        return expression.Error(_invalid(f"can't be decoded: {error}."))


def decode_engine(
    instance: str, content: bytes
) -> expression.Result[
    registered_engines.RegisteredEngine, errors.ConfigInvalid
]:
    """Decodes an engine's registry entry."""
    try:
        wire = ENGINE_ENTRY_DECODER.decode(content)
        if not _is_field_text(instance):
            raise ValueError("its key can't stand in a header field")
        _check_entry(wire)
    except json_errors.MALFORMED as error:
        return expression.Error(
            _invalid(f"has an invalid registry entry {instance[:64]}: {error}.")
        )
    return expression.Ok(
        registered_engines.RegisteredEngine(
            instance=lifetimes.lifetime_name(instance, wire.born),
            service=wire.service,
            address=wire.address,
            zone=wire.zone,
            slots=wire.slots,
            leaving=wire.state == DRAINING_STATE,
            kind=wire.kind,
            layers=decode_layers(wire.layers),
            born_ms=wire.born,
        )
    )


def config_rank(content: bytes) -> revisions.Rank | None:
    """Returns the rank of a configuration; None if it has none."""
    try:
        return revisions.Rank(0, CONFIG_RANK_DECODER.decode(content).version)
    except json_errors.MALFORMED:
        return None


def engine_rank(content: bytes) -> revisions.Rank | None:
    """Returns the rank of an engine's entry; None if it has none."""
    try:
        wire = ENTRY_RANK_DECODER.decode(content)
    except json_errors.MALFORMED:
        return None
    return revisions.Rank(wire.born, wire.seq)


def _check_entry(wire: WireEngineEntry) -> None:
    """Rejects entries that describe no usable engine.

    Other programs may write to the registry too. An invalid row does more
    harm than a missing engine: it could lead to a path over layers that no
    engine holds, or to a connection to an invalid address.

    Raises:
        ValueError: A field is out of its range.
    """
    if wire.state not in (READY_STATE, DRAINING_STATE):
        raise ValueError("its state is unknown")
    host, _, port = wire.address.rpartition(":")
    is_port = addresses.parse_port(port) is not None
    if not host or not is_port or not _is_field_text(host):
        raise ValueError("its address is not host:port")
    if not 0 < wire.slots <= MAX_SLOTS:
        raise ValueError("its number of slots is out of range")
    if not 0 <= wire.born <= MAX_UNIX_MS:
        raise ValueError("its start time is out of range")
    held = wire.layers
    if held is not None and not 0 <= held.start <= held.end <= MAX_LAYERS:
        raise ValueError("its layers are out of range")


def _is_field_text(text: str) -> bool:
    """Returns whether a text can stand in a header field of a request."""
    return text.isprintable() and all(ord(char) < LATIN_1_END for char in text)


def decode_layers(wire: WireLayers | None) -> model_layers.LayerRange | None:
    """Returns the range, or None if it is empty."""
    if wire is None or wire.end <= wire.start:
        return None
    return model_layers.LayerRange(wire.start, wire.end)


def _config(wire: WireConfig) -> routing_config.RoutingConfig:
    limits = wire.limits
    return routing_config.RoutingConfig(
        version=wire.version,
        routes=tuple(_route(route) for route in wire.routes),
        services={s.name: _service(s) for s in wire.services},
        accounts=tuple(
            routing_config.KeyedAccount(
                name=t.name,
                keys=tuple(t.api_keys),
                priority=t.priority,
                is_usable=field_text.is_field_text(t.name),
            )
            for t in wire.tenants
        ),
        limits=routing_config.CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
    )


def _route(wire: WireRoute) -> model_routes.Route:
    gap_ms = wire.gap_aim_ms
    objective_s = wire.target_latency_ms / 1000
    event_gap_s = DEFAULT_EVENT_GAP_S if gap_ms is None else gap_ms / 1000
    shares = [
        model_routes.ServiceShare(s.service, _weight(s.weight))
        for s in wire.traffic_split
    ]
    if not shares and wire.service is not None:
        shares = [model_routes.ServiceShare(wire.service, 1.0)]
    return model_routes.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        repeat=REPEAT_RULE_BY_KIND.get(
            wire.kind, model_routes.RepeatRule.AT_MOST_ONCE
        ),
        timeout_s=wire.timeout_ms / 1000,
        objective_s=objective_s,
        event_gap_s=event_gap_s,
        priority=wire.priority,
        shares=tuple(shares),
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.can_resume,
        abandon_after_s=max(
            MIN_SILENCE_TIMEOUT_S,
            SILENCE_TIMEOUT_OBJECTIVES * objective_s,
            SILENCE_TIMEOUT_GAPS * event_gap_s,
        ),
    )


def _weight(weight: float) -> float:
    if not math.isfinite(weight) or weight < 0:
        raise ValueError(
            f"traffic share {weight} is negative or not a finite number"
        )
    return weight


def _service(wire: WireService) -> routing_config.RoutedService:
    return routing_config.RoutedService(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=_engine_spec(wire.engine),
    )


def _engine_spec(wire: WireEngineSpec | None) -> engine_specs.EngineSpec | None:
    if wire is None or wire.layers <= 0:
        return None
    return engine_specs.EngineSpec(
        layers=wire.layers,
        layer_mb=wire.layerMb,
        token_bytes=wire.kvTokenBytes,
        load_s=wire.models[0].loadS if wire.models else 0.0,
        step_ms=wire.step_ms,
        step_ms_per_request=wire.per_seq_ms,
        step_ms_per_kilotoken=wire.context_per_k,
        prefill_tokens_per_s=wire.read_per_s,
        mean_prompt_tokens=wire.usual.prompt,
        mean_answer_tokens=wire.usual.answer,
        slots=wire.slots,
        kinds={
            k.name: engine_specs.AcceleratorKind(k.name, k.mb, k.pace, k.readX)
            for k in wire.kinds
        },
    )


def _invalid(detail: str) -> errors.ConfigInvalid:
    return errors.ConfigInvalid(
        detail,
        section=SECTION,
        key=None,
        remedy="Write a valid one; the previous one stays in force.",
    )
