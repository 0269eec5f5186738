"""Distributes configuration versions between nodes.

The store is the source of truth; peers only announce that a newer version
exists and supply its text while the store is unavailable.
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
FACT_TTL_S = 3600.0
REPUBLISH_INTERVAL_S = 900.0
ASK_TIMEOUT_S = 2.0
MAX_FETCH_DELAY_S = 0.3

logger = logging.getLogger(__name__)


class ConfigSync:
    """Announces and fetches configuration versions over the membership."""

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
        """Starts to announce versions and to listen for announcements."""
        self.membership.answer(TOPIC, self._answer)
        self.membership.subscribe(peers.FactKind.CONFIG, self._on_fact)
        self.config.subscribe(lambda version, _: self._publish(version))
        self._spawn(self._republish())

    async def close(self) -> None:
        """Cancels the running tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _publish(self, version: operations.ConfigVersion) -> None:
        known = self._published_version()
        if version.version <= known:
            return
        value = json.dumps(
            {"version": version.version, "at": self.membership.node.name}
        )
        self.membership.publish(
            peers.FactKind.CONFIG, KEY, value.encode(), FACT_TTL_S
        )

    def _published_version(self) -> int:
        fact = self.membership.facts(peers.FactKind.CONFIG).get(KEY)
        return _version_of(fact) if fact else 0

    def _on_fact(self, key: str, fact: peers.Fact | None) -> None:
        if fact is None:
            return
        current = self.config.current
        newest = current.version if current else 0
        if _version_of(fact) > newest:
            self._spawn(self._fetch(fact))
        elif current is not None and _version_of(fact) < newest:
            self._publish(current)

    async def _fetch(self, fact: peers.Fact) -> None:
        await self.clock.sleep(self.rng.uniform(0, MAX_FETCH_DELAY_S))
        if self._has_version(fact):
            return
        if (await self.config.poll()).is_ok() and self._has_version(fact):
            return
        await self._fetch_from_peers(fact)

    def _has_version(self, fact: peers.Fact) -> bool:
        current = self.config.current
        return current is not None and current.version >= _version_of(fact)

    async def _fetch_from_peers(self, fact: peers.Fact) -> None:
        """Fetches the configuration text from a peer.

        Without this, a node would stay on an older version than its peers
        for as long as the store is unavailable.
        """
        names = [str(json.loads(fact.value)["at"])]
        others = [peer.name for peer in self.membership.peers()]
        self.rng.shuffle(others)
        for name in [*names, *others[:3]]:
            reply = await self.membership.ask(name, TOPIC, b"{}", ASK_TIMEOUT_S)
            match reply:
                case expression.Result(tag="ok", ok=body):
                    self._offer(body)
                case _:
                    continue
            if self._has_version(fact):
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

    async def _republish(self) -> None:
        while True:
            await self.clock.sleep(
                REPUBLISH_INTERVAL_S * self.rng.uniform(0.8, 1.2)
            )
            current = self.config.current
            if current is not None:
                self._publish(current)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _version_of(fact: peers.Fact) -> int:
    return int(json.loads(fact.value)["version"])


def create_config_sync(
    config: versioned_config.VersionedConfig[fleet.Fleet],
    membership: memberships.Membership,
    clock: clocks.Clock,
    rng: random.Random,
) -> ConfigSync:
    """Builds the synchronisation without starting it."""
    return ConfigSync(config, membership, clock, rng)
