from __future__ import annotations

import io
import json
import re
from typing import TYPE_CHECKING

import pytest

from almondshift.console import application
from almondshift.console import applying
from almondshift.console import exit_codes
from almondshift.console import nodes
from tests import fake_operations
from tests import samples

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib

UNREACHABLE_NODE = "127.0.0.1:1"


class Console:
    """Runs commands against one fake node."""

    def __init__(
        self,
        folder: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
        node: str,
        calls: fake_operations.FakeOperations,
    ) -> None:
        self.capsys = capsys
        self.node = node
        self.calls = calls
        self.fleet = folder / "fleet.ini"
        self.fleet.write_text(samples.TEXT.replace("weight = 2", "weight = 3"))
        self.secret = folder / "secret"
        self.secret.write_text(fake_operations.SECRET)

    def run(self, *args: str, node: str = "") -> tuple[int, str, str]:
        options = ["--node", node or self.node, "--secret-file", self.secret]
        code = application.main([*args, *map(str, options)])
        printed = self.capsys.readouterr()
        return code, printed.out, printed.err


@pytest.fixture
def console(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Console]:
    monkeypatch.setattr(applying, "READ_BACK_ATTEMPTS", 2)
    monkeypatch.setattr(applying, "READ_BACK_INTERVAL_S", 0.01)
    calls = fake_operations.FakeOperations()
    with fake_operations.serve(calls) as node:
        yield Console(tmp_path, capsys, node, calls)


@pytest.mark.parametrize(
    ("lost_response", "concurrent_change", "base", "code", "expected_text"),
    [
        ("", False, [], exit_codes.ExitCode.OK, "accepted as version 2"),
        ("", False, ["--base", "7"], exit_codes.ExitCode.CONFLICT,
         "config show"),
        ("", True, [], exit_codes.ExitCode.CONFLICT, "config show"),
        ("after", False, [], exit_codes.ExitCode.OK, "accepted as version 2"),
        ("before", False, [], exit_codes.ExitCode.OUTCOME_UNKNOWN,
         "history --change-id"),
        ("after", True, [], exit_codes.ExitCode.CONFLICT, "accepted first"),
    ],
)  # fmt: skip
def test_apply(
    console: Console,
    lost_response: str,
    concurrent_change: bool,
    base: list[str],
    code: int,
    expected_text: str,
) -> None:
    """The operator learns the outcome of a change if a response is lost.

    The store's response is lost before or after the write, and another
    operator's change may be accepted first. After the write, the change is
    found by its id. Before it, the absence of the change proves nothing, as
    the write may still arrive, unless another change has its version.
    """
    console.calls.lost_response = lost_response
    console.calls.concurrent_change = concurrent_change
    apply = ["config", "apply", str(console.fleet), *base]
    exit_code, out, err = console.run(*apply)
    assert exit_code == code
    assert expected_text in out + err
    change_id = re.search(r"change id (\w+)", err)
    assert change_id
    history_code, _, _ = console.run("config", "history", "--change-id",
                              change_id[1])  # fmt: skip
    assert (history_code == 0) is (code == 0)


def test_apply_does_not_send_an_invalid_text(console: Console) -> None:
    console.fleet.write_text(samples.TEXT.replace("kind =", "kid ="))
    code, _, err = console.run("config", "apply", str(console.fleet))
    assert code == exit_codes.ExitCode.FAILED
    assert "Did you mean 'kind'?" in err
    assert len(console.calls.versions) == 1


def test_config_commands(console: Console) -> None:
    code, out, err = console.run("config", "show")
    assert (code, out) == (0, samples.TEXT)
    assert "version 1" in err
    code, out, _ = console.run("config", "diff", "1", str(console.fleet))
    assert code == 0
    assert re.search(r"account members-app +weight +2 +3", out)
    code, _, err = console.run("config", "show", "--version", "42")
    assert code == exit_codes.ExitCode.FAILED
    code, out, _ = console.run("config", "history", "--json")
    assert json.loads(out)[0]["change_id"] == "c1"


def test_status_lists_all_nodes_and_the_unreachable_ones(
    console: Console,
) -> None:
    console.calls.nodes = [{"entry": console.node}, {"entry": UNREACHABLE_NODE}]
    code, out, err = console.run("status")
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert re.search(rf"n1 +zone-a +{console.node} +1 +yes +n1 #7 +ok", out)
    assert "0-12" in out
    assert f"no answer from {UNREACHABLE_NODE}" in err
    console.calls.nodes = []
    code, out, _ = console.run("status", "--json")
    assert code == 0
    (row,) = json.loads(out)["nodes"]
    assert row["status"]["node"] == "n1"


def test_an_unreachable_first_node_is_skipped(console: Console) -> None:
    code, out, _ = console.run("config", "show", "--node", UNREACHABLE_NODE)
    assert (code, out) == (0, samples.TEXT)
    code, _, err = console.run("config", "show", node=UNREACHABLE_NODE)
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert "remedy" in err


def test_burn(console: Console, tmp_path: pathlib.Path) -> None:
    counts = console.calls.counts
    counts.record_whole("advice", "members-app", "<overloaded>")
    counts.record_whole("advice", "members-app")
    console.calls.nodes = [{"entry": UNREACHABLE_NODE}]
    code, out, _ = console.run("burn")
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert re.search(r"advice +whole +0.99 +-4900.0% +fast +50.00", out)
    assert f"NOT COUNTED, no answer: {UNREACHABLE_NODE}" in out
    console.calls.nodes = []
    code, out, _ = console.run("burn", "--json")
    assert code == 0
    bad = {
        (item["service"], item["objective"]): item["rates"][0]["bad"]
        for item in json.loads(out)["burns"]
    }
    assert bad["advice", "whole"] == 1
    page = tmp_path / "burn.html"
    assert console.run("burn", "--html", str(page))[0] == 0
    html = page.read_text()
    assert "&lt;overloaded&gt;" in html
    assert "<overloaded>" not in html
    assert "<polyline" in html
    assert "<script" not in html
    assert "src=" not in html


@pytest.mark.parametrize(
    ("args", "stdin", "code", "expected_text"),
    [
        (["keys", "hash"], "demo-members-key\n", 0, "sha256:56563f62"),
        (["keys", "hash"], "\n", 2, "no key"),
        (["keys", "hash"], "p\xe4ss\n", 2, "not ASCII"),
        (["status"], "", 2, "--node"),
        (["status", "--node", UNREACHABLE_NODE], "", 2, "--secret-file"),
        (
            ["status", "--node", UNREACHABLE_NODE, "--secret-file", "/x/y"],
            "",
            1,
            "read",
        ),
        (["config", "check", "/x/y"], "", 1, "cannot be read"),
        (["version"], "", 0, "0."),
    ],
)
def test_without_a_node(
    args: list[str],
    stdin: str,
    code: int,
    expected_text: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv(nodes.NODES_VARIABLE, raising=False)
    monkeypatch.delenv(nodes.SECRET_VARIABLE, raising=False)
    monkeypatch.setattr("sys.stdin", io.StringIO(stdin))
    assert application.main(args) == code
    printed = capsys.readouterr()
    assert expected_text in printed.out + printed.err


def test_wrong_usage_and_help(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as raised:
        application.main(["configure"])
    assert raised.value.code == exit_codes.ExitCode.USAGE
    for command in ("config", "status", "burn"):
        with pytest.raises(SystemExit):
            application.main([command, "--help"])
        assert "example" in capsys.readouterr().out
