"""Steps for operators who change the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import systems
from tests.scenarios import control as controls

if TYPE_CHECKING:
    from almondshift.ports import operations

APPLY_LIMIT_S = 5.0
MAX_ATTEMPTS = 5

INVALID_EDITS = {
    "has an unknown key": (
        "[service chat]\n",
        "[service chat]\ncolour = red\n",
    ),
    "depends on a missing service": (
        "[service lookup]\n",
        "[service lookup]\ndepends_on = nowhere\n",
    ),
    "has a cycle of dependencies": (
        "[service lookup]\n",
        "[service lookup]\ndepends_on = lookup\n",
    ),
    "names a missing model": ("model = m\nmax", "model = lost\nmax"),
    "has a wrong number at its end": (
        "[account other]\n",
        "[account other]\nweight = heavy\n",
    ),
}


def _write_change(control: controls.Control, operator: str) -> None:
    """Adds the operator's account to a node's current configuration."""
    node = next(iter(control.system.nodes.values()))
    shown = control.world.run(
        control.system.get_json(
            node.address, "/v1/admin/config", systems.OPERATOR
        )
    )
    control.texts[operator] = controls.with_account(shown["text"], operator)
    control.base_versions[operator] = shown["version"]


@when(parsers.parse("{operator} begins to apply a change through {node}"))
def begin_change(control: controls.Control, operator: str, node: str) -> None:
    _write_change(control, operator)
    control.start_apply(operator, node)


@when(parsers.parse("{operator} applies a change through {node}"))
def apply_change(control: controls.Control, operator: str, node: str) -> None:
    begin_change(control, operator, node)
    control.wait_result(operator)


@when(parsers.parse("{operator} repeats the change through {node}"))
def repeat_change(control: controls.Control, operator: str, node: str) -> None:
    control.start_apply(operator, node)
    control.wait_result(operator)


@when(parsers.parse("{operator} applies a text that {fault}"))
def apply_invalid(control: controls.Control, operator: str, fault: str) -> None:
    _write_change(control, operator)
    old, new = INVALID_EDITS[fault]
    assert old in control.texts[operator]
    control.texts[operator] = control.texts[operator].replace(old, new)
    control.start_apply(operator, "n1")
    control.wait_result(operator)


@when(
    parsers.parse(
        "{first} and {second} apply changes at the same time through "
        "{one} and {other}"
    )
)
def apply_concurrently(
    control: controls.Control, first: str, second: str, one: str, other: str
) -> None:
    """Holds both writes until both nodes have sent theirs."""
    _write_change(control, first)
    _write_change(control, second)
    hold_writes(control, one)
    hold_writes(control, other)
    control.start_apply(first, one)
    control.start_apply(second, other)
    _wait_held(control, one)
    _wait_held(control, other)
    release_writes(control, one)
    release_writes(control, other)
    control.wait_result(first)
    control.wait_result(second)


@when(parsers.parse("config writes of {node} are held in transit"))
def hold_writes(control: controls.Control, node: str) -> None:
    control.proxies[node].held_request_content = controls.CONFIG_WRITE


@when(parsers.parse("the held writes of {node} are delivered"))
def release_writes(control: controls.Control, node: str) -> None:
    proxy = control.proxies[node]
    proxy.held_request_content = None

    async def delivered() -> bool:
        return proxy.held_requests == 0

    control.world.run(
        control.system.wait_for(
            delivered, f"held writes of {node} are delivered"
        )
    )


def _wait_held(control: controls.Control, node: str) -> None:
    async def held() -> bool:
        return control.proxies[node].held_requests > 0

    control.world.run(control.system.wait_for(held, f"{node} sends a write"))


@when("the operator with the conflict rebases and applies again")
def rebase(control: controls.Control) -> None:
    loser = next(
        name for name, result in control.results.items() if result.is_error()
    )
    _write_change(control, loser)
    control.start_apply(loser, "n3", f"rebased-change-of-{loser}")
    assert control.wait_result(loser).is_ok(), control.results[loser]


@when(parsers.parse("the platform holds version {version:d}"))
def wait_platform(control: controls.Control, version: int) -> None:
    async def holds() -> bool:
        rows = await control.rows("config", "version/")
        return version in [row["value"]["version"] for row in rows]

    control.world.run(
        control.system.wait_for(holds, f"the platform stores version {version}")
    )


@when(parsers.parse("{operator} is told that the outcome is unknown"))
@then(parsers.parse("{operator} is told that the outcome is unknown"))
def told_unknown(control: controls.Control, operator: str) -> None:
    error = control.wait_result(operator).error
    assert error.reported == "store_outcome_unknown", error
    assert error.execution == "unknown"
    assert f"change-of-{operator}" in error.remedy


@then(parsers.parse("{operator} is told that nothing was changed"))
def told_not_run(control: controls.Control, operator: str) -> None:
    error = control.wait_result(operator).error
    assert error.reported == "store_unavailable", error
    assert error.execution == "not_run"


@then(
    parsers.parse("{operator} is finally told that version {version:d} is hers")
)
def told_accepted(
    control: controls.Control, operator: str, version: int
) -> None:
    """Repeats with the same change id while the outcome is unknown."""
    for _ in range(MAX_ATTEMPTS):
        result = control.wait_result(operator)
        if result.is_ok() or result.error.reported != "store_outcome_unknown":
            break
        control.start_apply(operator, "n2")
    assert result.is_ok(), result
    accepted: operations.ConfigVersion = result.ok
    assert accepted.version == version
    assert accepted.text == control.texts[operator]


@then(parsers.parse("one is accepted, the other must rebase on {version:d}"))
def one_accepted(control: controls.Control, version: int) -> None:
    rejected = [
        result for result in control.results.values() if result.is_error()
    ]
    assert len(rejected) == 1, control.results
    error = rejected[0].error
    assert error.reported == "config_conflict", error
    assert error.execution == "not_run"
    assert "almondshift config show" in error.remedy
    assert f"--base {version}" in error.remedy


@then(parsers.parse("{operator} is told what to correct"))
def told_invalid(control: controls.Control, operator: str) -> None:
    error = control.results[operator].error
    assert error.reported == "config_invalid", error
    assert error.execution == "not_run"
    assert "[" in error.detail
    assert error.remedy


@when(parsers.parse("version {version:d} is in force on {names}"))
@then(parsers.parse("version {version:d} is in force on {names}"))
def in_force_on(control: controls.Control, version: int, names: str) -> None:
    wanted = control.parse_nodes(names)
    control.wait_version(version, wanted, APPLY_LIMIT_S)


@then(parsers.parse("the platform holds versions {versions}"))
def check_stored_versions(control: controls.Control, versions: str) -> None:
    wanted = [int(version) for version in versions.split(", ")]
    assert sorted(control.stored_versions()) == wanted


@then(parsers.parse("all nodes serve the account of {operator}"))
def serves_account(control: controls.Control, operator: str) -> None:
    for node in control.system.nodes:
        _wait_served(control, node, operator)


@then(parsers.parse("no node serves the account of {operator}"))
def serves_no_account(control: controls.Control, operator: str) -> None:
    for node in control.system.nodes:
        assert _lookup_status(control, node, operator) == 401, node


def _wait_served(control: controls.Control, node: str, operator: str) -> None:
    """Waits because a new node may not know the endpoints yet."""

    async def served() -> bool:
        return await _ask_lookup(control, node, operator) == 200

    control.world.run(
        control.system.wait_for(
            served, f"{node} serves {operator}", APPLY_LIMIT_S
        )
    )


def _lookup_status(control: controls.Control, node: str, operator: str) -> int:
    return control.world.run(_ask_lookup(control, node, operator))


async def _ask_lookup(
    control: controls.Control, node: str, operator: str
) -> int:
    caller = await control.system.caller(controls.api_key(operator))
    answer = await caller.call(
        "lookup",
        "/",
        b"",
        method="GET",
        address=control.system.nodes[node].address,
    )
    return answer.status


@then("no node ever reverted to an older version")
def no_node_reverted(control: controls.Control) -> None:
    for node in [*control.system.nodes, *control.stopped]:
        versions = control.applied_versions(node)
        assert versions, node
        assert versions == sorted(set(versions)), (node, versions)


@then(parsers.parse("{node} reports that its version is {word}"))
def reports_verified(control: controls.Control, node: str, word: str) -> None:
    wanted = {"verified": True, "unverified": False}[word]

    async def reports() -> bool:
        status = await control.system.status(node)
        return bool(status) and status["config"]["verified"] is wanted

    control.world.run(
        control.system.wait_for(
            reports, f"{node} reports {word}", APPLY_LIMIT_S
        )
    )


@when("the platform's table is restored from an older copy")
def restore_older_head(control: controls.Control) -> None:
    """Resets the head to version 1, as restoring a backup would."""

    async def write() -> None:
        assert control.system.platform is not None
        await control.system.post_json(
            control.system.platform.address,
            "/v1/transactions",
            {
                "writes": [
                    {
                        "table": "config",
                        "key": "head",
                        "value": {"version": 1, "change_id": "c0-n1"},
                        "if_revision": None,
                    }
                ]
            },
        )

    control.world.run(write())


@when("every node has read the platform again")
@then("every node has read the platform again")
def all_read_again(control: controls.Control) -> None:
    """Waits for two reads per node: the first may have started earlier."""
    before = {node: _head_reads(control, node) for node in control.proxies}

    async def read() -> bool:
        return all(
            _head_reads(control, node) >= count + 2
            for node, count in before.items()
        )

    control.world.run(
        control.system.wait_for(read, "all nodes read the platform")
    )


def _head_reads(control: controls.Control, node: str) -> int:
    return control.proxies[node].requests[controls.HEAD_READ]
