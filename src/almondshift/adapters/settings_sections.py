"""Models of the sections of a node's settings file."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import pydantic

from almondshift.adapters import ini_sections
from almondshift.model import addresses


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or any(c.isspace() for c in host):
        raise ValueError("is not host:port")
    if addresses.parse_port(port) is None:
        raise ValueError("is not host:port")
    return value


def _check_addresses(values: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(_check_address(value) for value in values)


def _check_advertise(value: str) -> str:
    return _check_address(value) if value else value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Addresses = Annotated[
    ini_sections.Strings, pydantic.AfterValidator(_check_addresses)
]
Advertise = Annotated[str, pydantic.AfterValidator(_check_advertise)]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Host = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9.:_-]{1,253}$")
]
Path = Annotated[str, pydantic.StringConstraints(pattern=r"^[^\r\n\x00]+$")]
OptionalPath = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[^\r\n\x00]*$")
]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400, allow_inf_nan=False)]
SecondsOrZero = Annotated[
    float, pydantic.Field(ge=0, le=86_400, allow_inf_nan=False)
]

ADVERTISE_DESCRIPTION = "host:port that others use; empty for the bound one"
PORT_DESCRIPTION = "a port, 0 to 65535; 0 lets the OS choose"


class NodeSection(ini_sections.SectionModel):
    """``[node]``: the identity and output files of this node."""

    name: ini_sections.Name = pydantic.Field(
        description="a name that is unique among the nodes"
    )
    zone: ini_sections.Name = pydantic.Field(
        description="the availability zone of this VM"
    )
    log_level: Literal["debug", "info", "warning", "error"] = pydantic.Field(
        default="info", description="'debug', 'info', 'warning' or 'error'"
    )
    log_file: OptionalPath = pydantic.Field(
        default="", description="a path; empty for standard error"
    )
    port_file: OptionalPath = pydantic.Field(
        default="",
        description="a path to write the bound addresses to; empty for none",
    )


class EntrySection(ini_sections.SectionModel):
    """``[entry]``: where callers and operators connect."""

    host: Host = pydantic.Field(
        default="127.0.0.1", description="the IP address to listen on"
    )
    port: Port = pydantic.Field(default=0, description=PORT_DESCRIPTION)
    advertise: Advertise = pydantic.Field(
        default="", description=ADVERTISE_DESCRIPTION
    )


class PeersSection(ini_sections.SectionModel):
    """``[peers]``: where other nodes connect, and which to contact first."""

    host: Host = pydantic.Field(
        default="127.0.0.1", description="the IP address to listen on"
    )
    port: Port = pydantic.Field(default=0, description=PORT_DESCRIPTION)
    advertise: Advertise = pydantic.Field(
        default="", description=ADVERTISE_DESCRIPTION
    )
    seeds: Addresses = pydantic.Field(
        default=(), description="host:port of some nodes, comma-separated"
    )
    secret_file: Path = pydantic.Field(
        description="the file with the secret that all nodes share"
    )


class PlatformSection(ini_sections.SectionModel):
    """``[platform]``: the platform's services."""

    address: Address = pydantic.Field(
        description="host:port of the platform's services"
    )


class OperatorsSection(ini_sections.SectionModel):
    """``[operators]``: who may change the configuration."""

    secret_file: Path = pydantic.Field(
        description="the file with the operators' secret"
    )


class DrainSection(ini_sections.SectionModel):
    """``[drain]``: how the node stops."""

    hold_s: SecondsOrZero = pydantic.Field(
        default=30.0,
        description="seconds in which new requests are accepted, 0 to 86400",
    )
    grace_s: SecondsOrZero = pydantic.Field(
        default=300.0,
        description="seconds for requests in flight to end, 0 to 86400",
    )


class ControlSection(ini_sections.SectionModel):
    """``[control]``: how often the node polls the platform."""

    poll_s: Seconds = pydantic.Field(
        default=1.0,
        description=(
            "seconds between reads of the configuration version, above 0"
        ),
    )
    lease_s: Seconds = pydantic.Field(
        default=10.0, description="duration of a lease in seconds, above 0"
    )


class LimitsSection(ini_sections.SectionModel):
    """``[limits]``: memory limits."""

    body_bytes: Annotated[int, pydantic.Field(ge=1, le=10**9)] = pydantic.Field(
        default=1_000_000,
        description="the largest request body in bytes, 1 to 10^9",
    )
    kept_inputs_bytes: Annotated[int, pydantic.Field(ge=0, le=10**12)] = (
        pydantic.Field(
            default=64_000_000,
            description="bytes of stage inputs kept for recovery",
        )
    )


class ExperimentSection(ini_sections.SectionModel):
    """``[experiment]``: disables a mechanism, to measure its effect."""

    router: Literal["full", "baseline"] = pydantic.Field(
        default="full", description="'full' or 'baseline'"
    )
    coalesce: ini_sections.YesNo = pydantic.Field(
        default=True,
        description="'yes' or 'no': steps of many requests share a call",
    )
    keep_inputs: ini_sections.YesNo = pydantic.Field(
        default=True,
        description="'yes' or 'no': keep stage inputs for recovery",
    )


SECTIONS: dict[str, type[ini_sections.SectionModel]] = {
    "node": NodeSection,
    "entry": EntrySection,
    "peers": PeersSection,
    "platform": PlatformSection,
    "operators": OperatorsSection,
    "drain": DrainSection,
    "control": ControlSection,
    "limits": LimitsSection,
    "experiment": ExperimentSection,
}
