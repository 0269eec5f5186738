"""A node's settings, read from an INI file."""

from __future__ import annotations

import dataclasses
import pathlib

import expression

from almondshift import errors
from almondshift.adapters import ini_sections
from almondshift.adapters import settings_sections

WILDCARDS = ("0.0.0.0", "::")


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings that a node reads at startup.

    Attributes:
        entry_port: Port for callers and operators; 0 lets the OS choose.
        entry_advertise: ``host:port`` for callers; empty for the bound one.
        peer_advertise: ``host:port`` for peers; empty for the bound one.
        peer_seeds: ``host:port`` of nodes to contact first.
        port_file: Where the bound addresses are written; empty for none.
        log_file: Path of the log; empty for standard error.
        drain_hold_s: Seconds for which a stopping node accepts new requests.
        drain_grace_s: Seconds after that for requests in flight to end.
        poll_s: Seconds between reads of the configuration's version.
        lease_s: Duration of a lease in seconds.
        body_bytes: Largest request body in bytes.
        kept_inputs_bytes: Limit of the stage inputs kept for recovery.
        router: ``full``, or ``baseline`` for comparison measurements.
        coalesce: Whether steps of many requests share a call.
        keep_inputs: Whether stage inputs are kept for recovery.
    """

    name: str
    zone: str
    entry_host: str
    entry_port: int
    entry_advertise: str
    peer_host: str
    peer_port: int
    peer_advertise: str
    peer_seeds: tuple[str, ...]
    peer_secret_file: str
    platform_address: str
    operator_secret_file: str
    port_file: str
    log_level: str
    log_file: str
    drain_hold_s: float
    drain_grace_s: float
    poll_s: float
    lease_s: float
    body_bytes: int
    kept_inputs_bytes: int
    router: str
    coalesce: bool
    keep_inputs: bool


def load(
    path: str,
) -> expression.Result[NodeSettings, errors.ConfigInvalid]:
    """Reads and validates a settings file; paths in it are not resolved."""
    try:
        text = pathlib.Path(path).read_bytes().decode()
    except (OSError, ValueError) as error:
        return expression.Error(
            errors.ConfigInvalid(
                f"the file {path!r} cannot be read ({type(error).__name__}).",
                section=ini_sections.TEXT,
                key=None,
                remedy="Check the path, its permissions and that it is UTF-8.",
            )
        )
    return parse(text)


def parse(
    text: str,
) -> expression.Result[NodeSettings, errors.ConfigInvalid]:
    """Validates the text of a settings file; never raises."""
    try:
        return expression.Ok(_parse(text))
    except errors.ConfigInvalid as error:
        return expression.Error(error)


def write_port_file(path: str, entry: str, peer: str) -> None:
    """Writes the bound addresses atomically, so no reader sees a partial file.

    Args:
        path: The file.
        entry: ``host:port`` as bound for callers.
        peer: ``host:port`` as bound for peers.
    """
    target = pathlib.Path(path)
    draft = target.with_name(target.name + ".new")
    draft.write_text(f"entry={entry}\npeer={peer}\n")
    draft.replace(target)


def _parse(text: str) -> NodeSettings:
    sections = {s.title: s for s in ini_sections.read(text)}
    for title in sections:
        _check_title(title)
    node = _section(sections, "node", settings_sections.NodeSection)
    entry = _section(sections, "entry", settings_sections.EntrySection)
    peers = _section(sections, "peers", settings_sections.PeersSection)
    platform = _section(sections, "platform", settings_sections.PlatformSection)
    operators = _section(
        sections, "operators", settings_sections.OperatorsSection
    )
    drain = _section(sections, "drain", settings_sections.DrainSection)
    control = _section(sections, "control", settings_sections.ControlSection)
    limits = _section(sections, "limits", settings_sections.LimitsSection)
    experiment = _section(
        sections, "experiment", settings_sections.ExperimentSection
    )
    _check_advertised("entry", entry.host, entry.advertise)
    _check_advertised("peers", peers.host, peers.advertise)
    return NodeSettings(
        name=node.name,
        zone=node.zone,
        entry_host=entry.host,
        entry_port=entry.port,
        entry_advertise=entry.advertise,
        peer_host=peers.host,
        peer_port=peers.port,
        peer_advertise=peers.advertise,
        peer_seeds=peers.seeds,
        peer_secret_file=peers.secret_file,
        platform_address=platform.address,
        operator_secret_file=operators.secret_file,
        port_file=node.port_file,
        log_level=node.log_level,
        log_file=node.log_file,
        drain_hold_s=drain.hold_s,
        drain_grace_s=drain.grace_s,
        poll_s=control.poll_s,
        lease_s=control.lease_s,
        body_bytes=limits.body_bytes,
        kept_inputs_bytes=limits.kept_inputs_bytes,
        router=experiment.router,
        coalesce=experiment.coalesce,
        keep_inputs=experiment.keep_inputs,
    )


def _check_title(title: str) -> None:
    known = list(settings_sections.SECTIONS)
    if title not in known:
        raise errors.ConfigInvalid(
            "is not a section of a node's settings.",
            section=ini_sections.shorten(title),
            key=None,
            remedy=ini_sections.suggest(title, known),
        )


def _check_advertised(section: str, host: str, advertise: str) -> None:
    """Rejects a wildcard address, to which others can't connect."""
    if host in WILDCARDS and not advertise:
        raise errors.ConfigInvalid(
            f"is missing, and others can't connect to host = {host}.",
            section=section,
            key="advertise",
            remedy="Add 'advertise = host:port' with this VM's IP address.",
        )


def _section(
    sections: dict[str, ini_sections.Section],
    title: str,
    model: type[ini_sections.ModelT],
) -> ini_sections.ModelT:
    empty = ini_sections.Section(title, (), {})
    return ini_sections.build(sections.get(title, empty), model)
