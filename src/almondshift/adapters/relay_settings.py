"""Settings of a relay node, read from an INI file."""

from __future__ import annotations

import configparser
from typing import Annotated
from typing import Any

import expression
import msgspec

from almondshift import errors

Address = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9A-Za-z.:_-]{1,200}:[0-9]{1,5}$")
]
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class NodeSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[node]``: the identity of this node.

    Attributes:
        name: A name that is unique among the nodes.
        zone: Its availability zone.
        log_lines_per_s: Maximum log lines per second.
    """

    name: Name
    zone: Name
    log_lines_per_s: Annotated[float, msgspec.Meta(gt=0)] = 400.0


class EntrySection(msgspec.Struct, forbid_unknown_fields=True):
    """``[entry]``: where callers connect.

    Attributes:
        address: For requests.
        ready_address: For readiness checks.
        directory_address: For callers that look up nodes.
        directory_hold_s: How long they may cache the result.
    """

    address: Address
    ready_address: Address
    directory_address: Address
    directory_hold_s: Seconds = 1.0


class PeersSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[peers]``: where other nodes connect."""

    address: Address


class PlatformSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[platform]``: address of the store."""

    address: Address


class MetricsSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[metrics]``: where Prometheus reads metrics; empty to disable."""

    address: str = ""


class DrainSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[drain]``: how the node stops.

    Attributes:
        hold_s: How long new requests are accepted after a stop was
            requested. Callers cache addresses, so this is up to three times
            ``directory_hold_s``, less 0.1 s because a busy node notices the
            stop some hundredths of a second late. Later requests are refused
            even if their responses would probably complete in time: of the
            requests accepted in the middle of a stop, one in forty is still
            cut off. Callers that could have learned of the stop are refused
            rather than exposed to that risk.
        grace_s: After this the process is killed.
    """

    hold_s: NonNegative = 2.9
    grace_s: Seconds = 8.0


class RepeatsSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[repeats]``: the retry budget over all nodes.

    Attributes:
        ratio: Retries per request.
        window_s: Length of the window in which they are counted.
        allowance: Additional retries per window, beyond the ratio.
    """

    ratio: NonNegative = 0.1
    window_s: Seconds = 10.0
    allowance: NonNegative = 10.0


class EnginesSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[engines]``: guarantees that operators give for engines.

    Attributes:
        notice_ms: Minimum time for which an engine still serves after it was
            registered as leaving.
    """

    notice_ms: NonNegative = 2_000.0


class MemorySection(msgspec.Struct, forbid_unknown_fields=True):
    """``[memory]``: the memory of this process.

    Attributes:
        limit_mb: Memory that the process may use, in megabytes.
        buffer_share: Share of it for the bytes of messages in transfer; the
            rest covers all else, copies that are made while a message is sent,
            and fragmentation.
    """

    limit_mb: Annotated[float, msgspec.Meta(ge=1, le=1e9)] = 256.0
    buffer_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.15

    @property
    def buffer_bytes(self) -> int:
        """Limit of all buffers together, in bytes."""
        return int(self.limit_mb * self.buffer_share * 1_000_000)


class RelaySettings(msgspec.Struct, forbid_unknown_fields=True):
    """All sections."""

    node: NodeSection
    entry: EntrySection
    peers: PeersSection
    platform: PlatformSection
    metrics: MetricsSection = msgspec.field(default_factory=MetricsSection)
    drain: DrainSection = msgspec.field(default_factory=DrainSection)
    repeats: RepeatsSection = msgspec.field(default_factory=RepeatsSection)
    engines: EnginesSection = msgspec.field(default_factory=EnginesSection)
    memory: MemorySection = msgspec.field(default_factory=MemorySection)


def parse(
    text: str,
) -> expression.Result[RelaySettings, errors.ConfigInvalid]:
    """Reads settings from INI text; an empty value means the default."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
        sections: dict[str, Any] = {
            title: {k: v for k, v in parser[title].items() if v.strip()}
            for title in parser.sections()
        }
        return expression.Ok(
            msgspec.convert(sections, RelaySettings, strict=False)
        )
    except (configparser.Error, msgspec.ValidationError) as error:
        return expression.Error(_invalid(str(error)))


def load(
    path: str,
) -> expression.Result[RelaySettings, errors.ConfigInvalid]:
    """Reads settings from a file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(_invalid(f"{path}: {error}"))
    return parse(text)


def _invalid(detail: str) -> errors.ConfigInvalid:
    return errors.ConfigInvalid(
        f"invalid: {detail}.",
        section="settings",
        key=None,
        remedy="Correct the named section and key; see docs/settings.md.",
    )
