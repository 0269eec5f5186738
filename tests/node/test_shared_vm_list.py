from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import expression
import msgspec
import pytest

from almondshift import errors
from almondshift.model import endpoints
from almondshift.node import shared_vm_list
from almondshift.ports import vm_lists
from tests import asynchronous

if TYPE_CHECKING:
    from collections.abc import Callable

LISTED_VM = endpoints.Vm(
    "e1",
    "127.0.0.1:1",
    "za",
    endpoints.EndpointKind.ENGINE,
    "",
    endpoints.VmState.LIVE,
)


class FakePlatform(vm_lists.VmList):
    """Returns ``vms``, or fails while it is None."""

    def __init__(self, vms: list[endpoints.Vm] | None) -> None:
        self.vms = vms

    async def list(
        self,
    ) -> expression.Result[list[endpoints.Vm], errors.StoreUnavailable]:
        if self.vms is None:
            return expression.Error(
                errors.StoreUnavailable("The platform is down.")
            )
        return expression.Ok(self.vms)


class FakePeer:
    name = "n2"


class FakeMembership:
    """One peer that replies with ``body``, or not at all if it is None."""

    def __init__(self, body: bytes | None) -> None:
        self.body = body
        self.asked = 0
        self.handlers: dict[str, Callable[..., Any]] = {}

    def answer(self, topic: str, handler: Callable[..., Any]) -> None:
        self.handlers[topic] = handler

    def peers(self) -> list[FakePeer]:
        return [FakePeer()]

    async def ask(
        self, name: str, topic: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.PeerUnreachable]:
        self.asked += 1
        if self.body is None:
            return expression.Error(errors.PeerUnreachable("No answer."))
        return expression.Ok(self.body)


def create(
    platform: FakePlatform, membership: FakeMembership
) -> shared_vm_list.SharedVmList:
    return shared_vm_list.create_shared_vm_list(
        platform,
        membership,  # type: ignore[arg-type]
        random.Random(1),
    )


@pytest.mark.parametrize(
    ("body", "found"),
    [
        (msgspec.json.encode([LISTED_VM]), [LISTED_VM]),
        (b"[]", None),
        (b"not a list", None),
        (None, None),
    ],
)
@asynchronous.run
async def test_first_list_comes_from_a_peer(
    body: bytes | None, found: list[endpoints.Vm] | None
) -> None:
    """A node starts while the platform is unavailable.

    Without a peer's list it would know no endpoint and refuse its callers.
    An empty or invalid reply of a peer must be ignored.
    """
    listed = await create(FakePlatform(None), FakeMembership(body)).list()
    assert listed.is_ok() == (found is not None)
    assert found is None or listed.ok == found


@asynchronous.run
async def test_platform_list_takes_precedence_over_peers() -> None:
    """The platform recovers and fails again.

    Its list replaces the peer's. In the second outage the node keeps it and
    asks no peer, since a peer's list could be older.
    """
    platform = FakePlatform(None)
    membership = FakeMembership(msgspec.json.encode([LISTED_VM]))
    vms = create(platform, membership)
    assert (await vms.list()).ok == [LISTED_VM]
    platform.vms = []
    assert (await vms.list()).ok == []
    platform.vms = None
    assert (await vms.list()).is_error()
    assert membership.asked == 1


@asynchronous.run
async def test_peers_get_the_known_list() -> None:
    membership = FakeMembership(None)
    vms = create(FakePlatform([LISTED_VM]), membership)
    answer_peer = membership.handlers[shared_vm_list.TOPIC]
    assert msgspec.json.decode(await answer_peer("n2", b"")) == []
    await vms.list()
    assert await answer_peer("n2", b"") == msgspec.json.encode([LISTED_VM])
