"""Models of the sections of the fleet configuration text."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

from almondshift.adapters import ini_sections

KEY_HASH_PATTERN = r"^sha256:[0-9a-f]{64}$"
LAYERS_PATTERN = r"^[0-9]{1,6}-[0-9]{1,6}$"


class FleetSection(ini_sections.SectionModel):
    """``[fleet]``: settings of the fleet as a whole."""

    name: ini_sections.Name = pydantic.Field(
        description="a name of letters, digits, '.', '_' and '-'"
    )
    body_limit_bytes: Annotated[int, pydantic.Field(ge=1, le=10**9)] = (
        pydantic.Field(
            default=1_000_000,
            description="the largest request body in bytes, 1 to 10^9",
        )
    )


class ModelSection(ini_sections.SectionModel):
    """``[model NAME]``: a model."""

    layers: Annotated[int, pydantic.Field(ge=1, le=10_000)] = pydantic.Field(
        description="the number of layers, 1 to 10000"
    )
    version: ini_sections.PositiveInt = pydantic.Field(
        description="the version to serve, a positive integer"
    )
    adapters: ini_sections.Names = pydantic.Field(
        default=(),
        description="names of adapters that may be loaded, comma-separated",
    )
    layer_bytes: ini_sections.PositiveInt = pydantic.Field(
        default=1_000_000,
        description="bytes of weights of one layer, a positive integer",
    )


class ServiceSection(ini_sections.SectionModel):
    """``[service NAME]``: a service that callers request by name."""

    kind: Literal["model", "plain"] = pydantic.Field(
        description="'model' or 'plain'"
    )
    model: ini_sections.Name | None = pydantic.Field(
        default=None,
        description="the name of a [model NAME] section; only kind = model",
    )
    adapter: ini_sections.Name | None = pydantic.Field(
        default=None, description="one of the model's adapters"
    )
    depends_on: ini_sections.Names = pydantic.Field(
        default=(),
        description=(
            "names of services that must be ready first, comma-separated"
        ),
    )
    priority: Literal["critical", "normal", "bulk"] = pydantic.Field(
        default="normal", description="'critical', 'normal' or 'bulk'"
    )
    idempotent: ini_sections.YesNo | None = pydantic.Field(
        default=None,
        description=(
            "'yes' if a request may be repeated, else 'no'; by default "
            "'yes' for kind = model and 'no' for kind = plain"
        ),
    )
    replicas: Annotated[int, pydantic.Field(ge=1, le=1000)] = pydantic.Field(
        default=1, description="minimum number of complete chains, 1 to 1000"
    )
    max_prompt_tokens: Annotated[int, pydantic.Field(ge=1, le=10**7)] = (
        pydantic.Field(default=4096, description="the longest prompt in tokens")
    )
    max_output_tokens: Annotated[int, pydantic.Field(ge=1, le=10**7)] = (
        pydantic.Field(
            default=1024, description="the most tokens of one completion"
        )
    )
    objective_whole_share: Annotated[
        float, pydantic.Field(gt=0, lt=1, allow_inf_nan=False)
    ] = pydantic.Field(
        default=0.99,
        description="the share of requests answered in full, between 0 and 1",
    )
    objective_first_token_ms: ini_sections.Positive = pydantic.Field(
        default=400.0,
        description="milliseconds to the first token, 95th percentile",
    )
    objective_between_tokens_ms: ini_sections.Positive = pydantic.Field(
        default=63.0,
        description="milliseconds between tokens, 95th percentile",
    )


class EndpointSection(ini_sections.SectionModel):
    """``[endpoint PATTERN]``: properties of endpoints, by name."""

    checks_fencing: ini_sections.YesNo = pydantic.Field(
        default=False,
        description="'yes' if they reject stale fencing tokens, else 'no'",
    )


class PinSection(ini_sections.SectionModel):
    """``[pin PATTERN]``: layers assigned to fixed endpoints, by name."""

    model: ini_sections.Name = pydantic.Field(
        description="the name of a [model NAME] section"
    )
    layers: Annotated[
        str, pydantic.StringConstraints(pattern=LAYERS_PATTERN)
    ] = pydantic.Field(
        description="START-END: the layers from START to before END, e.g. 0-8"
    )


class LinkSection(ini_sections.SectionModel):
    """``[link ZONE_A ZONE_B]``: a link between availability zones."""

    latency_ms: ini_sections.NonNegative = pydantic.Field(
        description="one-way latency in milliseconds"
    )
    megabytes_per_s: ini_sections.Positive = pydantic.Field(
        description="bandwidth in 10^6 bytes per second"
    )


class AccountSection(ini_sections.SectionModel):
    """``[account NAME]``: a client account."""

    key_hash: Annotated[
        str, pydantic.StringConstraints(pattern=KEY_HASH_PATTERN)
    ] = pydantic.Field(
        description="the output of 'almondshift keys hash', sha256:HEX"
    )
    weight: Annotated[
        float, pydantic.Field(gt=0, le=1_000_000, allow_inf_nan=False)
    ] = pydantic.Field(
        default=1.0,
        description="its relative share of a saturated system, above 0",
    )
    tokens_per_s: ini_sections.NonNegative = pydantic.Field(
        default=0.0,
        description="its limit over all nodes in tokens per second, 0 for none",
    )
    services: ini_sections.Names = pydantic.Field(
        default=(),
        description="services it may call, comma-separated; empty for all",
    )


KINDS: dict[str, type[ini_sections.SectionModel]] = {
    "fleet": FleetSection,
    "model": ModelSection,
    "service": ServiceSection,
    "endpoint": EndpointSection,
    "pin": PinSection,
    "link": LinkSection,
    "account": AccountSection,
}

ARGUMENTS: dict[str, tuple[str, ...]] = {
    "fleet": (),
    "model": ("NAME",),
    "service": ("NAME",),
    "endpoint": ("PATTERN",),
    "pin": ("PATTERN",),
    "link": ("ZONE_A", "ZONE_B"),
    "account": ("NAME",),
}
