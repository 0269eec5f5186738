"""The sample fleet that comes with the package, for tests."""

from __future__ import annotations

import importlib.resources
from typing import TYPE_CHECKING

from almondshift.adapters import fleet_text

if TYPE_CHECKING:
    from almondshift.model import fleet

TEXT = (importlib.resources.files("almondshift.data") / "sample.ini").read_text(
    encoding="utf-8"
)

SETTINGS = """\
[node]
name = n1
zone = zone-a

[peers]
secret_file = peers.secret

[platform]
address = 127.0.0.1:9000

[operators]
secret_file = operators.secret
"""


def sample_fleet(version: int = 1) -> fleet.Fleet:
    return fleet_text.parse(TEXT, version).ok
