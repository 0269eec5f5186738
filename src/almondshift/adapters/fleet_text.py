"""Parses the fleet configuration text."""

from __future__ import annotations

import expression

from almondshift import errors
from almondshift.adapters import fleet_checks
from almondshift.adapters import fleet_sections
from almondshift.adapters import ini_sections
from almondshift.model import fleet
from almondshift.model import layers

MS_PER_S = 1000.0
BYTES_PER_MEGABYTE = 1e6
MAX_ARGUMENT_LENGTH = 200

Sections = list[tuple[ini_sections.Section, ini_sections.SectionModel]]


def parse(
    text: str, version: int
) -> expression.Result[fleet.Fleet, errors.ConfigInvalid]:
    """Parses and validates a whole text; never raises, whatever the text.

    Args:
        text: INI, at most ``ini_sections.MAX_TEXT_BYTES``.
        version: The version that the text was accepted as; 0 for a draft.

    Returns:
        The fleet, or the first error with its section, key and remedy.
    """
    try:
        return expression.Ok(_parse(text, version))
    except errors.ConfigInvalid as error:
        return expression.Error(error)


def _parse(text: str, version: int) -> fleet.Fleet:
    sections = [_build_section(section) for section in ini_sections.read(text)]
    fleet_section = _fleet_section(sections)
    config = fleet.Fleet(
        version=version,
        name=fleet_section.name,
        models=_models(sections),
        services=_services(sections),
        endpoint_rules=_endpoint_rules(sections),
        links=_links(sections),
        accounts=_accounts(sections),
        body_limit_bytes=fleet_section.body_limit_bytes,
        pins=_pins(sections),
    )
    fleet_checks.check(config)
    return config


def _build_section(
    section: ini_sections.Section,
) -> tuple[ini_sections.Section, ini_sections.SectionModel]:
    model = fleet_sections.KINDS.get(section.kind)
    if model is None:
        raise errors.ConfigInvalid(
            "is not a known kind of section.",
            section=ini_sections.shorten(section.title),
            key=None,
            remedy=ini_sections.suggest(
                section.kind, list(fleet_sections.KINDS)
            ),
        )
    _check_arguments(section)
    return section, ini_sections.build(section, model)


def _check_arguments(section: ini_sections.Section) -> None:
    wanted = fleet_sections.ARGUMENTS[section.kind]
    form = " ".join((section.kind, *wanted))
    fits = len(section.arguments) == len(wanted)
    if fits and "NAME" in wanted:
        fits = ini_sections.is_name(section.arguments[0])
    if fits and len(section.title) <= MAX_ARGUMENT_LENGTH:
        return
    raise errors.ConfigInvalid(
        f"the header of this section must be [{form}].",
        section=ini_sections.shorten(section.title),
        key=None,
        remedy=(
            "Use names of letters, digits, '.', '_' and '-', at most "
            f"{ini_sections.MAX_NAME_LENGTH} long."
        ),
    )


def _fleet_section(sections: Sections) -> fleet_sections.FleetSection:
    for _, model in sections:
        if isinstance(model, fleet_sections.FleetSection):
            return model
    raise errors.ConfigInvalid(
        "the section is missing.",
        section="fleet",
        key=None,
        remedy="Add a section [fleet] with a line 'name = ...'.",
    )


def _models(sections: Sections) -> dict[str, fleet.Model]:
    return {
        section.arguments[0]: fleet.Model(
            name=section.arguments[0],
            layers=model.layers,
            version=model.version,
            adapters=model.adapters,
            layer_bytes=model.layer_bytes,
        )
        for section, model in sections
        if isinstance(model, fleet_sections.ModelSection)
    }


def _services(sections: Sections) -> dict[str, fleet.Service]:
    return {
        section.arguments[0]: _service(section.arguments[0], model)
        for section, model in sections
        if isinstance(model, fleet_sections.ServiceSection)
    }


def _service(
    name: str, section: fleet_sections.ServiceSection
) -> fleet.Service:
    kind = fleet.ServiceKind(section.kind)
    idempotent = section.idempotent
    if idempotent is None:
        # The effects of a repeated call can't be undone, so calls to a plain
        # service are repeated only where the operators allow it.
        idempotent = kind is fleet.ServiceKind.MODEL
    return fleet.Service(
        name=name,
        kind=kind,
        depends_on=section.depends_on,
        model=section.model or "",
        adapter=section.adapter or "",
        priority=fleet.Priority[section.priority.upper()],
        idempotent=idempotent,
        replicas=section.replicas,
        max_prompt_tokens=section.max_prompt_tokens,
        max_output_tokens=section.max_output_tokens,
        objectives=fleet.Objectives(
            whole_share=section.objective_whole_share,
            first_token_s=section.objective_first_token_ms / MS_PER_S,
            between_tokens_s=section.objective_between_tokens_ms / MS_PER_S,
        ),
    )


def _endpoint_rules(sections: Sections) -> tuple[fleet.EndpointRule, ...]:
    return tuple(
        fleet.EndpointRule(section.arguments[0], model.checks_fencing)
        for section, model in sections
        if isinstance(model, fleet_sections.EndpointSection)
    )


def _pins(sections: Sections) -> tuple[fleet.Pin, ...]:
    return tuple(
        fleet.Pin(section.arguments[0], model.model, _range(model.layers))
        for section, model in sections
        if isinstance(model, fleet_sections.PinSection)
    )


def _range(layer_range: str) -> layers.LayerRange:
    start, _, end = layer_range.partition("-")
    return layers.LayerRange(int(start), int(end))


def _links(sections: Sections) -> tuple[fleet.Link, ...]:
    links: dict[frozenset[str], fleet.Link] = {}
    for section, model in sections:
        if not isinstance(model, fleet_sections.LinkSection):
            continue
        zone_a, zone_b = section.arguments
        link = fleet.Link(
            zone_a,
            zone_b,
            model.latency_ms / MS_PER_S,
            model.megabytes_per_s * BYTES_PER_MEGABYTE,
        )
        if links.setdefault(frozenset((zone_a, zone_b)), link) is not link:
            raise errors.ConfigInvalid(
                "this link is defined twice.",
                section=section.title,
                key=None,
                remedy="Keep one; a link applies in both directions.",
            )
    return tuple(links.values())


def _accounts(sections: Sections) -> dict[str, fleet.Account]:
    return {
        section.arguments[0]: fleet.Account(
            name=section.arguments[0],
            key_hash=model.key_hash,
            weight=model.weight,
            tokens_per_s=model.tokens_per_s,
            services=model.services,
        )
        for section, model in sections
        if isinstance(model, fleet_sections.AccountSection)
    }
