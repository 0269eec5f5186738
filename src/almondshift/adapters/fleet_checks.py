"""Checks of a fleet that span several sections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift import errors
from almondshift.adapters import ini_sections
from almondshift.model import fleet

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


def check(config: fleet.Fleet) -> None:
    """Rejects undefined names, cycles, layer gaps and duplicate keys.

    Raises:
        errors.ConfigInvalid: For the first error found.
    """
    for service in config.services.values():
        _check_service(service, config)
    _check_cycles(config.services)
    _check_accounts(config)
    _check_pins(config)


def _check_service(service: fleet.Service, config: fleet.Fleet) -> None:
    section = f"service {service.name}"
    for name in service.depends_on:
        _check_defined(section, "depends_on", name, config.services)
    if service.kind is fleet.ServiceKind.PLAIN:
        _check_plain(section, service)
        return
    if not service.model:
        raise errors.ConfigInvalid(
            "is missing.",
            section=section,
            key="model",
            remedy="Name a [model NAME] section, or write kind = plain.",
        )
    _check_defined(section, "model", service.model, config.models)
    adapters = config.models[service.model].adapters
    if service.adapter:
        _check_defined(section, "adapter", service.adapter, adapters)


def _check_plain(section: str, service: fleet.Service) -> None:
    for key, value in (("model", service.model), ("adapter", service.adapter)):
        if value:
            raise errors.ConfigInvalid(
                "is not allowed with kind = plain.",
                section=section,
                key=key,
                remedy="Remove the line, or write kind = model.",
            )


def _check_defined(
    section: str, key: str, name: str, known: Collection[str]
) -> None:
    if name not in known:
        raise errors.ConfigInvalid(
            f"{ini_sections.shorten(name)} is not defined.",
            section=section,
            key=key,
            remedy=ini_sections.suggest(name, list(known)),
        )


def _check_cycles(services: Mapping[str, fleet.Service]) -> None:
    done: set[str] = set()
    for name in services:
        cycle = _find_cycle(name, services, done)
        if cycle:
            raise errors.ConfigInvalid(
                f"the services depend on each other: {' -> '.join(cycle)}.",
                section=f"service {cycle[0]}",
                key="depends_on",
                remedy="Remove one of these dependencies.",
            )


def _find_cycle(
    start: str, services: Mapping[str, fleet.Service], done: set[str]
) -> list[str]:
    # Iterative: a dependency chain may be deeper than Python's recursion limit.
    path: list[str] = []
    path_names: set[str] = set()
    todo: list[tuple[str, bool]] = [(start, False)]
    while todo:
        name, is_exit = todo.pop()
        if is_exit:
            path_names.discard(path.pop())
            done.add(name)
        elif name in path_names:
            return [*path[path.index(name) :], name]
        elif name not in done:
            path.append(name)
            path_names.add(name)
            todo.append((name, True))
            todo.extend((n, False) for n in services[name].depends_on)
    return []


def _check_accounts(config: fleet.Fleet) -> None:
    owners: dict[str, str] = {}
    for account in config.accounts.values():
        section = f"account {account.name}"
        for name in account.services:
            _check_defined(section, "services", name, config.services)
        owner = owners.setdefault(account.key_hash, account.name)
        if owner != account.name:
            raise errors.ConfigInvalid(
                f"is also the key of account {owner}.",
                section=section,
                key="key_hash",
                remedy="Give each account its own key.",
            )


def _check_pins(config: fleet.Fleet) -> None:
    by_model: dict[str, list[fleet.Pin]] = {}
    for pin in config.pins:
        section = f"pin {pin.pattern}"
        _check_defined(section, "model", pin.model, config.models)
        _check_range(section, pin, config.models[pin.model].layers)
        by_model.setdefault(pin.model, []).append(pin)
    for model, pins in by_model.items():
        _check_gaps(pins, config.models[model].layers)


def _check_range(section: str, pin: fleet.Pin, layers: int) -> None:
    if not 0 <= pin.layers.start < pin.layers.end <= layers:
        raise errors.ConfigInvalid(
            f"{pin.layers.start}-{pin.layers.end} is not within 0-{layers}.",
            section=section,
            key="layers",
            remedy="Write START-END with START below END.",
        )


def _check_gaps(pins: list[fleet.Pin], layers: int) -> None:
    """Rejects pins that are not part of a chain over all layers."""
    chain_ends = {0}
    for pin in sorted(pins, key=lambda p: p.layers):
        if pin.layers.start not in chain_ends:
            end = max(chain_ends)
            raise _gap_error(
                pin,
                f"ends at layer {pin.layers.start}; the preceding pins end "
                f"at {end}.",
                f"Start it at {end}, or add a pin in between.",
            )
        chain_ends.add(pin.layers.end)
    chain_starts = {layers}
    for pin in sorted(pins, key=lambda p: p.layers.end, reverse=True):
        end = pin.layers.end
        if end not in chain_starts:
            following = min(layer for layer in chain_starts if layer > end)
            raise _gap_error(
                pin,
                f"starts at layer {end}.",
                f"Add a pin for {end}-{following}.",
            )
        chain_starts.add(pin.layers.start)


def _gap_error(
    pin: fleet.Pin, detail: str, remedy: str
) -> errors.ConfigInvalid:
    return errors.ConfigInvalid(
        f"no pin of model {pin.model} {detail}",
        section=f"pin {pin.pattern}",
        key="layers",
        remedy=remedy,
    )
