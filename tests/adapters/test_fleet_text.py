from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st
import pytest

from almondshift.adapters import fleet_render
from almondshift.adapters import fleet_text
from almondshift.adapters import ini_sections
from almondshift.model import fleet
from almondshift.model import layers
from tests import samples

if TYPE_CHECKING:
    from almondshift import errors

FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
HASH = "sha256:" + "0" * 64


def _parse_error(text: str) -> errors.ConfigInvalid:
    parsed = fleet_text.parse(text, 1)
    assert parsed.is_error()
    return parsed.error


def test_sample_fleet_matches_demo() -> None:
    sample = samples.sample_fleet()
    assert sample.models["adviser"].layers == 12
    priorities = {s.name: s.priority.name for s in sample.services.values()}
    assert priorities == {
        "advice": "NORMAL",
        "drafts": "BULK",
        "confirmations": "CRITICAL",
        "portal": "NORMAL",
    }
    assert not sample.services["confirmations"].idempotent
    assert not sample.services["portal"].idempotent
    assert set(sample.accounts) == {"members-app", "campaign-desk"}


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "message"),
    [
        ("priority = bulk", "prioriti = bulk", "service drafts", "prioriti",
         "Did you mean 'priority'?"),
        ("[service drafts]", "[servise drafts]", "'servise drafts'", None,
         "Did you mean 'service'?"),
        ("[service drafts]", "[service]", "'service'", None, "[service NAME]"),
        ("[service drafts]", "[service a/b]", "'service a/b'", None,
         "Use names of"),
        ("[service drafts]", "[service advice]", "service advice", None,
         "twice"),
        ("[service drafts]", "[service  advice]", "service advice", None,
         "twice"),
        ("priority = bulk", "priority = bulk\npriority = bulk",
         "service drafts", "priority", "twice"),
        ("priority = bulk", "priority = urgent", "service drafts", "priority",
         "'critical', 'normal' or 'bulk'"),
        ("idempotent = no", "idempotent = maybe", "service portal",
         "idempotent", "neither 'yes' nor 'no'"),
        ("layers = 12", "layers = twelve", "model adviser", "layers",
         "the number of layers"),
        ("layers = 12", "layers = 0", "model adviser", "layers", "'0'"),
        ("layers = 12", "", "model adviser", "layers", "is missing"),
        ("weight = 2", "weight = nan", "account members-app", "weight",
         "above 0"),
        ("model = adviser", "model = advisor", "service advice", "model",
         "Did you mean 'adviser'?"),
        ("adapter = campaigns", "adapter = campaign", "service drafts",
         "adapter", "Did you mean 'campaigns'?"),
        ("depends_on = portal", "depends_on = portals",
         "service confirmations", "depends_on", "Did you mean 'portal'?"),
        ("services = advice,", "services = advise,", "account campaign-desk",
         "services", "Did you mean 'advice'?"),
        ("kind = plain", "kind = plain\nmodel = adviser", "service portal",
         "model", "kind = plain"),
        ("kind = model\nmodel = adviser\npriority", "kind = model\npriority",
         "service advice", "model", "is missing"),
        ("[service portal]\n", "[service portal]\ndepends_on = confirmations\n",
         "service portal", "depends_on",
         "portal -> confirmations -> portal"),
        ("[link zone-a zone-b]", "[link zone-b zone-a]\nlatency_ms = 1\n"
         "megabytes_per_s = 1\n[link zone-a zone-b]", "link zone-a zone-b",
         None, "twice"),
        ("[endpoint *]", "[pin a-*]\nmodel = adviser\nlayers = 0-4\n"
         "[pin b-*]\nmodel = adviser\nlayers = 5-12\n[endpoint *]",
         "pin b-*", "layers", "Start it at 4"),
        ("[endpoint *]", "[pin a-*]\nmodel = adviser\nlayers = 0-4\n"
         "[endpoint *]", "pin a-*", "layers", "Add a pin for 4-12"),
        ("[endpoint *]", "[pin a-*]\nmodel = adviser\nlayers = 0-13\n"
         "[endpoint *]", "pin a-*", "layers", "not within 0-12"),
        ("[endpoint *]", "[pin a]\nmodel = adviser\nlayers = 0-12\n"
         "[pin b]\nmodel = adviser\nlayers = 0-7\n[endpoint *]",
         "pin b", "layers", "Add a pin for 7-12"),
        ("services = advice,", "services = advice, drafts,",
         "account campaign-desk", "services", "'drafts' twice"),
        ("[fleet]", "[fleet] weight = 9", "text", None, "any section"),
        ("[model adviser]", "[model adviser] weight = 9", "fleet",
         "[model adviser] weight", "not a key"),
        ("version = 1", "version = 1\n  [service x]", "model adviser",
         "version", "service x"),
        ("name = sample", "", "fleet", "name", "is missing"),
        ("[fleet]", "stray\n[fleet]", "text", None, "before any section"),
        ("[fleet]", "[fleet]\nstray", "text", None, "'key = value'"),
        ("[fleet]", "[DEFAULT]\nname = x\n[fleet]", "'DEFAULT'", None,
         "kind of section"),
        ("[fleet]", "[ ]\n[fleet]", "text", None, "no name"),
        ("name = sample", "name = %(x)s", "fleet", "name", "a name of"),
    ],
)  # fmt: skip
def test_errors_name_section_key_and_remedy(
    old: str, new: str, section: str, key: str | None, message: str
) -> None:
    assert old in samples.TEXT
    fault = _parse_error(samples.TEXT.replace(old, new, 1))
    assert (fault.section, fault.key) == (section, key)
    assert message in str(fault)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "[fleet]"),
        ("#" * (ini_sections.MAX_TEXT_BYTES + 1), "over the limit"),
        ("[fleet]\nname = \ud800", "UTF-8"),
    ],
)
def test_invalid_texts_are_rejected(text: str, message: str) -> None:
    assert message in str(_parse_error(text))


def test_duplicate_keys_are_rejected() -> None:
    """A caller with this key would match both accounts."""
    duplicated = samples.TEXT + "\n".join(
        f"[account {name}]\nkey_hash = {HASH}" for name in ("x", "y")
    )
    fault = _parse_error(duplicated)
    assert (fault.section, fault.key) == ("account y", "key_hash")


@pytest.mark.parametrize("closed", [False, True])
def test_dependency_chain_deeper_than_recursion_limit(closed: bool) -> None:
    count = 3000
    last = "s0" if closed else ""
    text = "[fleet]\nname = x\n" + "".join(
        f"[service s{i}]\nkind = plain\n"
        f"depends_on = {f's{i + 1}' if i + 1 < count else last}\n"
        for i in range(count)
    )
    assert fleet_text.parse(text, 1).is_error() is closed


def test_defaults_are_safe() -> None:
    text = samples.TEXT.replace("idempotent = no\n", "")
    text = text.replace("checks_fencing = no\n", "")
    parsed = fleet_text.parse(text, 1).ok
    assert not parsed.services["portal"].idempotent
    assert parsed.services["advice"].idempotent
    assert not parsed.checks_fencing("any")


def test_byte_order_mark_and_pins() -> None:
    text = "\ufeff" + samples.TEXT + (
        "[pin a-*]\nmodel = adviser\nlayers = 0-7\n"
        "[pin b-*]\nmodel = adviser\nlayers = 7-12\n"
        "[pin c-*]\nmodel = adviser\nlayers = 0-12\n"
    )  # fmt: skip
    parsed = fleet_text.parse(text, 1).ok
    assert parsed.pins[1].layers == layers.LayerRange(7, 12)
    assert fleet_text.parse(fleet_render.render(parsed), 1).ok == parsed


def test_canonical_text_round_trip() -> None:
    sample = samples.sample_fleet()
    canonical = fleet_render.render(sample)
    again = fleet_text.parse(canonical, 1).ok
    assert again == sample
    assert fleet_render.render(again) == canonical


def test_diff_by_section_and_key() -> None:
    old = samples.sample_fleet()
    text = samples.TEXT.replace("weight = 2", "weight = 3")
    text = text.replace("[model adviser]", "[model second]\nlayers = 1\n"
                        "version = 1\n[model adviser]")  # fmt: skip
    text = text.replace("[endpoint *]", "[endpoint a*]\n[endpoint *]")
    new = fleet_text.parse(text, 2).ok
    assert [(c.section, c.key, c.old, c.new) for c in
            fleet_render.diff(old, new)] == [
        ("account members-app", "weight", "2", "3"),
        ("endpoint a*", None, None, "added"),
        ("model second", None, None, "added"),
    ]  # fmt: skip
    assert fleet_render.diff(new, new) == []
    assert fleet_render.diff(new, old)[1].new is None


def test_diff_shows_the_order_of_endpoint_sections() -> None:
    old = dataclasses.replace(
        samples.sample_fleet(),
        endpoint_rules=(fleet.EndpointRule("a"), fleet.EndpointRule("*")),
    )
    new = dataclasses.replace(old, endpoint_rules=old.endpoint_rules[::-1])
    assert [c.key for c in fleet_render.diff(old, new)] == ["order"]


_LINES = st.sampled_from([
    *samples.TEXT.splitlines(), "[pin x]", "layers = 9-1", "[fleet]", " a",
    "[model x]", "layers = 99999999999", "weight = 1e999", "=", "[", "]",
])  # fmt: skip


@FUZZ
@hypothesis.given(st.one_of(
    st.text(),
    st.text(alphabet="[]=#;: \n\r\tab0-9,%*"),
    st.lists(st.one_of(_LINES, st.text(max_size=9))).map("\n".join),
    st.permutations(samples.TEXT.splitlines()).map("\n".join),
))  # fmt: skip
@hypothesis.example("[fleet]\nname = x\n\x00 = \x85")
def test_never_raises_and_the_canonical_text_is_stable(text: str) -> None:
    parsed = fleet_text.parse(text, 1)
    if parsed.is_error():
        assert parsed.error.remedy
        return
    canonical = fleet_render.render(parsed.ok)
    again = fleet_text.parse(canonical, 1)
    assert again.is_ok()
    assert fleet_render.render(again.ok) == canonical
