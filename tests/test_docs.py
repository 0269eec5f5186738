from __future__ import annotations

import pathlib
import re
import shlex
import subprocess
import sys

import prometheus_client
import pydantic_core
import pytest

from almondshift import errors
from almondshift.adapters import fleet_sections
from almondshift.adapters import metrics
from almondshift.adapters import problems
from almondshift.adapters import settings
from almondshift.adapters import settings_sections
from almondshift.console import application
from almondshift.console import exit_codes

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
PAGES = sorted(DOCS.rglob("*.md"))
LINK = re.compile(r"\]\(([^)#:]+)\)")
BLOCK = re.compile(r"```(\w+)\n(.*?)```", re.S)
RUNNING_SYSTEM_OPTION = "--node "


def _rows(page: str, width: int) -> list[list[str]]:
    lines = (DOCS / page).read_text().splitlines()
    rows = [[c.strip() for c in line.strip("|").split(" | ")]
            for line in lines if line.startswith("| ")]  # fmt: skip
    return [row for row in rows if len(row) == width]


def _errors() -> dict[str, type[errors.AlmondshiftError]]:
    found = [v for v in vars(errors).values() if isinstance(v, type)]
    return {e.kind: e for e in found if issubclass(e, errors.AlmondshiftError)}


def test_callers_page_has_every_kind_and_no_other() -> None:
    rows = {row[0].strip("`"): row[1:] for row in _rows("callers.md", 5)}
    del rows["kind"], rows["---"]
    assert set(rows) == set(_errors())
    for kind, error in _errors().items():
        status, execution, retry, remedy = rows[kind]
        assert status == str(error.status)
        if kind != "internal":
            assert execution == f"`{error.default_execution.value}`"
        assert retry
        if kind != "config_invalid":
            assert remedy == error.default_remedy
    body = problems.render(ValueError(), "").body
    assert f'"execution": "{rows["internal"][1].strip("`")}"'.encode() in body


def _default(value: object) -> str:
    if value is pydantic_core.PydanticUndefined:
        return "required"
    if value in (None, "", ()):
        return "none"
    if isinstance(value, bool):
        return "`yes`" if value else "`no`"
    return f"`{value:.15g}`" if isinstance(value, float) else f"`{value}`"


@pytest.mark.parametrize(
    ("kinds", "arguments"),
    [
        (fleet_sections.KINDS, fleet_sections.ARGUMENTS),
        (settings_sections.SECTIONS, {}),
    ],
)
def test_settings_page_has_every_key(
    kinds: dict[str, type], arguments: dict[str, tuple[str, ...]]
) -> None:
    page = (DOCS / "settings.md").read_text()
    for kind, model in kinds.items():
        title = " ".join((kind, *arguments.get(kind, ())))
        section = page.partition(f"### `[{title}]`\n")[2]
        section = re.split(r"^##", section, flags=re.M)[0]
        fields = model.model_fields  # type: ignore[attr-defined]
        expected = [f"| `{name}` | {_default(field.default)} | "
                  f"{field.description} |"
                  for name, field in fields.items()]  # fmt: skip
        assert re.findall(r"^\| `.*$", section, re.M) == expected


def test_metrics_page_has_every_metric() -> None:
    registry = prometheus_client.CollectorRegistry()
    metrics.create_metrics(registry)
    rows = [(row[0].strip("`").removesuffix("_total"), *row[1::2])
            for row in _rows("metrics.md", 4)[2:]]  # fmt: skip
    exposed = [(m.name, m.type, m.documentation) for m in registry.collect()]
    assert rows == exposed


def test_exit_codes_page() -> None:
    rows = [tuple(row[:2]) for row in _rows("exit-codes.md", 3)[2:]]
    assert rows == [(str(c.value), c.name) for c in exit_codes.ExitCode]


@pytest.mark.parametrize("page", PAGES, ids=str)
def test_link_targets_exist(page: pathlib.Path) -> None:
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), target


def test_index_links_to_every_page() -> None:
    index = (DOCS / "index.md").read_text()
    named = {DOCS / target for target in LINK.findall(index)}
    pages = {page for page in DOCS.glob("*.md") if page.name != "index.md"}
    assert pages - named == set()


def _blocks(language: str) -> list[tuple[str, str]]:
    return [
        (page.name, text)
        for page in PAGES
        for block_language, text in BLOCK.findall(page.read_text())
        if block_language == language
    ]


@pytest.mark.parametrize(("page", "text"), _blocks("ini"))
def test_settings_in_docs_are_valid(page: str, text: str) -> None:
    assert settings.parse(text).is_ok()


@pytest.mark.parametrize(("page", "text"), _blocks("sh"))
def test_commands_in_docs(page: str, text: str, tmp_path: pathlib.Path) -> None:
    """Runs commands that need no running system, and parses the others."""
    command = f"{sys.executable} -m almondshift.console.application"
    lines = ["almondshift config sample > fleet.ini", *text.splitlines()]
    for line in lines:
        if RUNNING_SYSTEM_OPTION in line:
            words = shlex.split(line.partition(">")[0])
            assert application.create_parser().parse_args(words[1:]).run
            continue
        called = line.replace("almondshift", command, 1)
        result = subprocess.run(
            called, shell=True, cwd=tmp_path, capture_output=True, text=True
        )
        assert result.returncode == 0, f"{line}: {result.stderr}"
