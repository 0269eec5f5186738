from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st
import pytest

from almondshift.adapters import settings
from tests import samples

if TYPE_CHECKING:
    import pathlib


def test_defaults_and_values() -> None:
    text = samples.SETTINGS.replace("[peers]\n", "[peers]\nseeds = 10.0.0.1:7, "
                                    "10.0.0.2:7\nport = 7\n")  # fmt: skip
    node = settings.parse(text).ok
    assert node.peer_seeds == ("10.0.0.1:7", "10.0.0.2:7")
    assert (node.entry_port, node.peer_port) == (0, 7)
    assert (node.log_level, node.log_file) == ("info", "")


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "message"),
    [
        ("zone = zone-a", "", "node", "zone", "is missing"),
        ("zone =", "zones =", "node", "zones", "'zone'"),
        ("address = 127.0.0.1:9000", "address = here", "platform", "address",
         "host:port"),
        ("[peers]", "[peers]\nseeds = a:0000080000000", "peers", "seeds",
         "host:port"),
        ("[peers]", "[peers]\nseeds = a:1, b", "peers", "seeds", "host:port"),
        ("[peers]", "[peers]\nport = 70000", "peers", "port", "65535"),
        ("[peers]", "[drain]\nhold_s = -1\n[peers]", "drain", "hold_s", "'-1'"),
        ("[peers]", "[control]\nlease_s = 0\n[peers]", "control", "lease_s",
         "above 0"),
        ("[peers]", "[limit]\n[peers]", "'limit'", None, "'limits'"),
        ("[peers]", "[entry]\nhost = 0.0.0.0\n[peers]", "entry",
         "advertise", "IP address"),
        ("[peers]", "[entry]\nhost = 0.0.0.0\n[peers]", "entry",
         "advertise", "IP address"),
        ("[peers]", "[peers]\nseeds = a:1, a:1", "peers", "seeds", "twice"),
        ("[node]", "[node]\nlog_level = loud", "node", "log_level", "'debug'"),
    ],
)  # fmt: skip
def test_errors_name_section_key_value_and_remedy(
    old: str, new: str, section: str, key: str | None, message: str
) -> None:
    fault = settings.parse(samples.SETTINGS.replace(old, new, 1)).error
    assert (fault.section, fault.key) == (section, key)
    assert message in str(fault)


def test_files(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.ini"
    assert "cannot be read" in str(settings.load(str(path)).error)
    path.write_bytes(b"\xff")
    assert settings.load(str(path)).is_error()
    path.write_text(samples.SETTINGS)
    assert settings.load(str(path)).ok.name == "n1"
    settings.write_port_file(str(tmp_path / "ports"), "a:1", "b:2")
    assert (tmp_path / "ports").read_text() == "entry=a:1\npeer=b:2\n"
    assert sorted(p.name for p in tmp_path.iterdir()) == ["node.ini", "ports"]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.lists(st.one_of(
    st.sampled_from(samples.SETTINGS.splitlines()), st.text(max_size=9),
)).map("\n".join))  # fmt: skip
def test_never_raises(text: str) -> None:
    parsed = settings.parse(text)
    assert parsed.is_ok() or parsed.error.remedy
