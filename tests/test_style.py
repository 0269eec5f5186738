from __future__ import annotations

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
SOURCES = sorted((ROOT / "src").rglob("*.py"))
SOURCE_IDS = [str(path.relative_to(ROOT)) for path in SOURCES]
NAME_IMPORTS_ALLOWED_FROM = {"typing", "collections.abc", "__future__"}
BANNER = re.compile(
    r"copyright|licen[cs]ed? |spdx|all rights reserved|-\*-|[#=*-]{20,}", re.I
)
MACHINE_PATH = re.compile(r"""["' ]/(work|home|root|Users|tmp|opt|usr)/""")
HEADER_LINES = 15


def _is_module(package: str, name: str) -> bool:
    folder = ROOT / "src" / pathlib.Path(*package.split("."))
    return (folder / name).is_dir() or (folder / f"{name}.py").is_file()


def _imported_names(tree: ast.AST) -> list[tuple[str, str]]:
    return [
        (node.module or "", alias.name)
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module not in NAME_IMPORTS_ALLOWED_FROM
        for alias in node.names
    ]


@pytest.mark.parametrize("path", SOURCES, ids=SOURCE_IDS)
def test_imports_are_of_modules(path: pathlib.Path) -> None:
    for package, name in _imported_names(ast.parse(path.read_text())):
        if package.startswith("almondshift"):
            assert _is_module(package, name), f"{package}.{name}"
        else:
            module = __import__(package, fromlist=[name])
            assert type(getattr(module, name)).__name__ == "module", name


@pytest.mark.parametrize("path", SOURCES, ids=SOURCE_IDS)
def test_no_banner_and_no_machine_path(path: pathlib.Path) -> None:
    text = path.read_text()
    header = "\n".join(text.splitlines()[:HEADER_LINES])
    assert not BANNER.search(header)
    assert not MACHINE_PATH.search(text)
    assert text.startswith('"""')
