from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import ClassVar

from hypothesis import stateful
from hypothesis import strategies

from almondshift import errors
from almondshift.coordination import claim_rows
from almondshift.coordination import claims
from tests.coordination import test_claims
from tests.fakes import machines
from tests.fakes import tables as fake_tables

if TYPE_CHECKING:
    import asyncio

NODES = strategies.integers(0, 2)
KEYS = strategies.sampled_from(["x", "y", "z", "w"])


@dataclasses.dataclass(slots=True)
class Request:
    """A request at a node.

    Attributes:
        owner: Claims of the process that received the request.
        dispatched: Whether it was dispatched.
        done: Whether it ended, or its process did.
    """

    node: int
    key: str
    body: bytes
    task: asyncio.Task[claims.ClaimResult]
    owner: claims.Claims
    dispatched: bool = False
    done: bool = False


class ClaimMachine(machines.LoopMachine):
    """Requests are retried through three nodes with all kinds of faults."""

    grouped: ClassVar[bool] = False

    def __init__(self) -> None:
        super().__init__()
        self.nodes = test_claims.Nodes(3, self.grouped)
        self.clock = self.nodes.clock
        self.requests: list[Request] = []
        self.runs: dict[str, int] = {}
        self.begin_with_one_finished_and_one_running()

    def begin_with_one_finished_and_one_running(self) -> None:
        self.request(0, "x", 0)
        self.dispatch(0)
        self.finish(0)
        self.request(1, "y", 0)
        self.dispatch(0)

    @stateful.rule(
        node=NODES, key=KEYS, other=strategies.sampled_from([0, 0, 1])
    )
    def request(self, node: int, key: str, other: int) -> None:
        self.send(node, key, other)
        self.settle()

    @stateful.rule(node=NODES, key=KEYS)
    def race(self, node: int, key: str) -> None:
        """Sends the same request through two nodes at once."""
        self.send(node, key, 0)
        self.send((node + 1) % 3, key, 0)
        self.settle()

    def send(self, node: int, key: str, other: int) -> None:
        body = f"body {other}".encode()
        claim = self.nodes.claim(node, key, body, wait_s=20.0)
        task = self.loop.create_task(claim)
        self.tasks.append(task)
        owner = self.nodes.claims[node]
        self.requests.append(Request(node, key, body, task, owner))

    @stateful.rule(pick=strategies.integers(0, 9))
    def dispatch(self, pick: int) -> None:
        waiting = [r for r in self.holding() if not r.dispatched]
        if not waiting:
            return
        request = waiting[pick % len(waiting)]
        if request.owner.may_dispatch(self.claimed(request)):
            request.dispatched = True
            self.runs[request.key] = self.runs.get(request.key, 0) + 1

    @stateful.rule(pick=strategies.integers(0, 9))
    def finish(self, pick: int) -> None:
        running = [r for r in self.holding() if r.dispatched]
        if not running:
            return
        request = running[pick % len(running)]
        request.done = True
        result = claim_rows.StoredResult(200, "", request.key.encode())
        self.begin(request.owner.finish(self.claimed(request), result))

    @stateful.rule(pick=strategies.integers(0, 9))
    def refuse(self, pick: int) -> None:
        """The endpoint refuses before running anything."""
        waiting = [r for r in self.holding() if not r.dispatched]
        if not waiting:
            return
        request = waiting[pick % len(waiting)]
        request.done = True
        self.begin(request.owner.release_not_run(self.claimed(request)))

    @stateful.rule(node=NODES)
    def restart(self, node: int) -> None:
        """Replaces a process by a new one with the same name."""
        for request in self.requests:
            if request.owner is self.nodes.claims[node]:
                request.task.cancel()
                request.done = True
        self.settle()
        self.nodes.claims[node] = self.nodes.create(node)

    @stateful.rule(
        node=NODES,
        outcomes=strategies.lists(
            strategies.sampled_from(fake_tables.MOSTLY_OK), max_size=4
        ),
    )
    def fail_next(self, node: int, outcomes: list[fake_tables.Outcome]) -> None:
        self.nodes.stores[node].outcomes.extend(outcomes)

    @stateful.rule(node=NODES)
    def freeze(self, node: int) -> None:
        self.nodes.stores[node].paused = True
        self.nodes.silent.add(str(node))

    @stateful.rule(node=NODES)
    def thaw(self, node: int) -> None:
        self.nodes.silent.discard(str(node))
        self.nodes.stores[node].resume()
        self.settle()

    @stateful.rule(node=NODES)
    def apply_late_writes(self, node: int) -> None:
        self.nodes.stores[node].apply_late_writes()

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 10.0]))
    def pass_time(self, seconds: float) -> None:
        self.advance(seconds)

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    @stateful.invariant()
    def answers_are_right(self) -> None:
        for request in self.requests:
            if not request.task.done() or request.task.cancelled():
                continue
            result = request.task.result()
            if result.is_error():
                assert not request.dispatched
                self.check_reuse(request, result.error)
            elif isinstance(result.ok, claims.Finished):
                assert self.runs[request.key] == 1
                assert result.ok.result.body == request.key.encode()

    def check_reuse(
        self, request: Request, error: errors.AlmondshiftError
    ) -> None:
        if isinstance(error, errors.IdempotencyKeyReused):
            bodies = {r.body for r in self.requests if r.key == request.key}
            assert len(bodies) == 2

    def holding(self) -> list[Request]:
        return [
            request
            for request in self.requests
            if not request.done
            and request.task.done()
            and not request.task.cancelled()
            and request.task.result().is_ok()
            and isinstance(request.task.result().ok, claims.Claimed)
        ]

    def claimed(self, request: Request) -> claims.Claimed:
        claimed = request.task.result().ok
        assert isinstance(claimed, claims.Claimed)
        return claimed


ClaimMachine.TestCase.settings = machines.SETTINGS
TestClaimMachine = ClaimMachine.TestCase


class GroupedClaimMachine(ClaimMachine):
    """The same with group commit on each node."""

    grouped = True


GroupedClaimMachine.TestCase.settings = machines.SETTINGS
TestGroupedClaimMachine = GroupedClaimMachine.TestCase
