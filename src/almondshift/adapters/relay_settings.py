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
NotNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class NodeSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[node]``: who this node is.

    Attributes:
        name: A name no other node has.
        zone: Its availability zone.
        log_lines_per_s: Most lines a second that the log gets.
    """

    name: Name
    zone: Name
    log_lines_per_s: Annotated[float, msgspec.Meta(gt=0)] = 400.0


class EntrySection(msgspec.Struct, forbid_unknown_fields=True):
    """``[entry]``: where callers connect.

    Attributes:
        address: For requests.
        ready_address: For questions whether the node is ready.
        directory_address: For callers that look for nodes.
        directory_hold_s: How long they may keep an answer.
    """

    address: Address
    ready_address: Address
    directory_address: Address
    directory_hold_s: Seconds = 1.0


class PeersSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[peers]``: where other nodes connect."""

    address: Address


class PlatformSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[platform]``: where the store is."""

    address: Address


class MetricsSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[metrics]``: where Prometheus reads; empty for nowhere."""

    address: str = ""


class DrainSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[drain]``: how the node stops.

    Attributes:
        hold_s: New requests are served for so long after a stop was asked
            for, since callers keep addresses for a while: up to three times
            ``directory_hold_s``, less a tenth, since a busy node notices
            the stop some hundredths of a second late. Who comes later is
            refused, also if the answer would most likely be whole in time:
            of those that are taken in the middle of a stop one in forty is
            cut after all, and who could know better must not bear that.
        grace_s: After this the process is killed.
    """

    hold_s: NotNegative = 2.9
    grace_s: Seconds = 8.0


class RepeatsSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[repeats]``: how much may be sent again, over all nodes.

    Attributes:
        ratio: Repeats for each request.
        window_s: Length of the window in which they are counted.
        allowance: Repeats in a window beyond the ratio.
    """

    ratio: NotNegative = 0.1
    window_s: Seconds = 10.0
    allowance: NotNegative = 10.0


class EnginesSection(msgspec.Struct, forbid_unknown_fields=True):
    """``[engines]``: what operators promise of engines.

    Attributes:
        notice_ms: Time for which an engine serves at least after it was
            registered as leaving.
    """

    notice_ms: NotNegative = 2_000.0


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


def parse(
    text: str,
) -> expression.Result[RelaySettings, errors.ConfigInvalid]:
    """Reads settings from INI text; an empty value stands for the default."""
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
        f"can't be used: {detail}.",
        section="settings",
        key=None,
        remedy="Correct the named section and key; see docs/settings.md.",
    )
