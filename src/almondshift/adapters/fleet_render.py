"""Renders a fleet as canonical text, and compares two fleets."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.adapters import fleet_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import fleet

Rendered = dict[str, dict[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two versions.

    Attributes:
        key: The key, or None if the whole section was added or removed.
        old: The value before; None if there was none.
        new: The value after; None if there is none.
    """

    section: str
    key: str | None
    old: str | None
    new: str | None


def render(config: fleet.Fleet) -> str:
    """Returns the text with every key, sorted; it parses to an equal fleet."""
    blocks = [
        "\n".join([f"[{title}]", *_lines(keys)])
        for title, keys in describe(config).items()
    ]
    return "\n\n".join(blocks) + "\n"


def diff(old: fleet.Fleet, new: fleet.Fleet) -> list[Change]:
    """Returns the differences by section and key, with defaults filled in."""
    before = describe(old)
    after = describe(new)
    changes: list[Change] = []
    for section in sorted(before.keys() | after.keys()):
        changes.extend(_section_changes(section, before, after))
    return changes + _order_changes(before, after)


def describe(config: fleet.Fleet) -> Rendered:
    """Returns the values in INI form, by section title and key."""
    sections: Rendered = {
        "fleet": {
            "name": config.name,
            "body_limit_bytes": str(config.body_limit_bytes),
        }
    }
    for _, model in sorted(config.models.items()):
        sections[f"model {model.name}"] = _model(model)
    for _, service in sorted(config.services.items()):
        sections[f"service {service.name}"] = _service(service)
    for rule in config.endpoint_rules:
        sections[f"endpoint {rule.pattern}"] = {
            "checks_fencing": _yes_or_no(rule.checks_fencing)
        }
    for pin in config.pins:
        sections[f"pin {pin.pattern}"] = {
            "model": pin.model,
            "layers": f"{pin.layers.start}-{pin.layers.end}",
        }
    for link in sorted(config.links, key=_zones):
        sections[" ".join(("link", *_zones(link)))] = _link(link)
    for _, account in sorted(config.accounts.items()):
        sections[f"account {account.name}"] = _account(account)
    return sections


def _lines(keys: dict[str, str]) -> list[str]:
    return [f"{key} = {value}".rstrip() for key, value in keys.items()]


def _model(model: fleet.Model) -> dict[str, str]:
    return {
        "layers": str(model.layers),
        "version": str(model.version),
        "adapters": _names(model.adapters),
        "layer_bytes": str(model.layer_bytes),
    }


def _service(service: fleet.Service) -> dict[str, str]:
    objectives = service.objectives
    keys = {"kind": service.kind.value}
    if service.model:
        keys["model"] = service.model
    if service.adapter:
        keys["adapter"] = service.adapter
    return keys | {
        "depends_on": _names(service.depends_on),
        "priority": service.priority.name.lower(),
        "idempotent": _yes_or_no(service.idempotent),
        "replicas": str(service.replicas),
        "max_prompt_tokens": str(service.max_prompt_tokens),
        "max_output_tokens": str(service.max_output_tokens),
        "objective_whole_share": _number(objectives.whole_share),
        "objective_first_token_ms": _ms(objectives.first_token_s),
        "objective_between_tokens_ms": _ms(objectives.between_tokens_s),
    }


def _link(link: fleet.Link) -> dict[str, str]:
    megabytes_per_s = link.bytes_per_s / fleet_text.BYTES_PER_MEGABYTE
    return {
        "latency_ms": _ms(link.latency_s),
        "megabytes_per_s": _number(megabytes_per_s),
    }


def _account(account: fleet.Account) -> dict[str, str]:
    return {
        "key_hash": account.key_hash,
        "weight": _number(account.weight),
        "tokens_per_s": _number(account.tokens_per_s),
        "services": _names(account.services),
    }


def _zones(link: fleet.Link) -> tuple[str, ...]:
    return tuple(sorted((link.zone_a, link.zone_b)))


def _names(names: Iterable[str]) -> str:
    return ", ".join(names)


def _number(value: float) -> str:
    return f"{value:.15g}"


def _ms(seconds: float) -> str:
    return f"{seconds * fleet_text.MS_PER_S:.12g}"


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _section_changes(
    section: str, before: Rendered, after: Rendered
) -> list[Change]:
    if section not in before:
        return [Change(section, None, None, "added")]
    if section not in after:
        return [Change(section, None, "present", None)]
    old = before[section]
    new = after[section]
    return [
        Change(section, key, old.get(key), new.get(key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


def _order_changes(before: Rendered, after: Rendered) -> list[Change]:
    """Compares the order of endpoint sections, as the first match applies."""
    old = [s for s in before if s.startswith("endpoint ") and s in after]
    new = [s for s in after if s.startswith("endpoint ") and s in before]
    if old == new:
        return []
    return [Change("endpoint", "order", _names(old), _names(new))]
