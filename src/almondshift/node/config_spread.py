"""Spreads configuration versions between nodes.

The store is the authority; peers only say that there is something newer, and
give the text when the store is away.
"""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING
from typing import Any

import expression

from almondshift.ports import operations
from almondshift.ports import peers

if TYPE_CHECKING:
    import random

    from almondshift.coordination import membership as memberships
    from almondshift.coordination import versioned_config
    from almondshift.model import fleet
    from almondshift.ports import clocks

KEY = "config"
TOPIC = "config"
TTL_S = 3600.0
REPEAT_S = 900.0
ASK_TIMEOUT_S = 2.0
SPREAD_S = 0.3

logger = logging.getLogger(__name__)


class ConfigSpread:
    """Joins the versioned configuration to the membership."""

    def __init__(
        self,
        config: versioned_config.VersionedConfig[fleet.Fleet],
        membership: memberships.Membership,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.membership = membership
        self.clock = clock
        self.rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to tell and to listen."""
        self.membership.answer(TOPIC, self._answer)
        self.membership.subscribe(peers.FactKind.CONFIG, self._heard)
        self.config.subscribe(lambda version, _: self._tell(version))
        self._spawn(self._repeat())

    async def close(self) -> None:
        """Stops what runs."""
        for task in list(self._tasks):
            task.cancel()

    def _tell(self, version: operations.ConfigVersion) -> None:
        known = self._told_version()
        if version.version <= known:
            return
        value = json.dumps(
            {"version": version.version, "at": self.membership.node.name}
        )
        self.membership.publish(
            peers.FactKind.CONFIG, KEY, value.encode(), TTL_S
        )

    def _told_version(self) -> int:
        fact = self.membership.facts(peers.FactKind.CONFIG).get(KEY)
        return _version_of(fact) if fact else 0

    def _heard(self, key: str, fact: peers.Fact | None) -> None:
        if fact is None:
            return
        current = self.config.current
        newest = current.version if current else 0
        if _version_of(fact) > newest:
            self._spawn(self._fetch(fact))
        elif current is not None and _version_of(fact) < newest:
            self._tell(current)

    async def _fetch(self, fact: peers.Fact) -> None:
        await self.clock.sleep(self.rng.uniform(0, SPREAD_S))
        if self._has(fact):
            return
        if (await self.config.poll()).is_ok() and self._has(fact):
            return
        await self._ask_peer(fact)

    def _has(self, fact: peers.Fact) -> bool:
        current = self.config.current
        return current is not None and current.version >= _version_of(fact)

    async def _ask_peer(self, fact: peers.Fact) -> None:
        """Takes the text from a peer.

        Without it, an outage of the store would leave this node on an older
        version than its peers.
        """
        names = [str(json.loads(fact.value)["at"])]
        others = [peer.name for peer in self.membership.peers()]
        self.rng.shuffle(others)
        for name in [*names, *others[:3]]:
            answer = await self.membership.ask(
                name, TOPIC, b"{}", ASK_TIMEOUT_S
            )
            match answer:
                case expression.Result(tag="ok", ok=body):
                    self._offer(body)
                case _:
                    continue
            if self._has(fact):
                return

    def _offer(self, body: bytes) -> None:
        found: dict[str, Any] = json.loads(body)
        if found:
            self.config.offer(operations.ConfigVersion(**found))

    async def _answer(self, sender: str, body: bytes) -> bytes:
        current = self.config.current
        if current is None:
            return b"{}"
        return json.dumps(
            {
                "version": current.version,
                "text": current.text,
                "change_id": current.change_id,
                "author": current.author,
                "accepted_at": current.accepted_at,
                "verified": False,
            }
        ).encode()

    async def _repeat(self) -> None:
        while True:
            await self.clock.sleep(REPEAT_S * self.rng.uniform(0.8, 1.2))
            current = self.config.current
            if current is not None:
                self._tell(current)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _version_of(fact: peers.Fact) -> int:
    return int(json.loads(fact.value)["version"])


def create_config_spread(
    config: versioned_config.VersionedConfig[fleet.Fleet],
    membership: memberships.Membership,
    clock: clocks.Clock,
    rng: random.Random,
) -> ConfigSpread:
    """Builds the spread; not started yet."""
    return ConfigSpread(config, membership, clock, rng)
