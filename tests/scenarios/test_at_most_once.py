from __future__ import annotations

from pytest_bdd import scenarios

pytest_plugins = [
    "tests.scenarios.steps_control",
    "tests.scenarios.steps_once",
]

scenarios("features/at_most_once.feature")
