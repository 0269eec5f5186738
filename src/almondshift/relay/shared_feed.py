"""Follows the store's tables through the nodes that read them for all."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import expression

from almondshift import errors
from almondshift.policy import feed_readers
from almondshift.ports import row_feeds
from almondshift.relay import peer_rows

if TYPE_CHECKING:
    import random

    from almondshift.ports import clocks
    from almondshift.ports import stores
    from almondshift.relay import group as relay_group

ANSWER_S = 0.4
"""Time for a reader's answer beyond the wait that it was asked for."""

READERS_TRIED = 2
"""Readers asked until the store itself is; a third would only add delay. These
two change places at random: one that lost the store without a word delays news
by one question, as the other has it."""

T = TypeVar("T")
Change = expression.Result["row_feeds.TableChange", "stores.StoreError"]


class SharedFeed(row_feeds.RowFeed):
    """Asks readers among the peers, and the store where they can't help.

    Attributes:
        direct: The store.
        group: The other nodes; None before they are known.
        direct_at: The store is not asked before, since it did not answer.
        bad_until: Readers that failed, with the time until which they are
            passed over.
    """

    def __init__(
        self, direct: row_feeds.RowFeed, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self.direct = direct
        self.clock = clock
        self.rng = rng
        self.group: relay_group.Group | None = None
        self.direct_at = 0.0
        self.bad_until: dict[str, float] = {}

    async def read_whole(self, table: str) -> Change:
        """Reads all rows of a table."""
        question = peer_rows.RowQuestion(after=-1)
        found = await self._ask_readers(table, question)
        if found is not None:
            return expression.Ok(found)
        if self._must_wait():
            return _away()
        return self._noted(await self.direct.read_whole(table))

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        """Waits until a table has changed since a revision."""
        asked_s = min(wait_s, feed_readers.ASKED_WAIT_S)
        question = peer_rows.RowQuestion(
            after, asked_s, is_fresh=wait_s <= 0, takes_unchanged=True
        )
        found = await self._ask_readers(table, question)
        if found is not None:
            return expression.Ok(found)
        if self._must_wait():
            return _away()
        return self._noted(
            await self.direct.wait_for_changes(table, after, wait_s)
        )

    def is_reader(self) -> bool:
        """Returns whether this node follows the store itself."""
        return self.group is None or _has(
            self.group.readers().chosen, self.group.name
        )

    async def _ask_readers(
        self, table: str, question: peer_rows.RowQuestion
    ) -> row_feeds.TableChange | None:
        if self.group is None or self.is_reader():
            return None
        body = peer_rows.encode_question(question)
        for name in self._readers(self.group):
            answer = await self.group.members.ask(
                name, table, body, question.wait_s + ANSWER_S
            )
            change = _change_in(answer.ok) if answer.is_ok() else None
            if change is not None and change.age_s <= feed_readers.MAX_AGE_S:
                return change
            pause_s = feed_readers.AWAY_S
            if answer.is_error():
                pause_s = feed_readers.SILENT_S
            self.bad_until[name] = self.clock.monotonic() + pause_s
        return None

    def _readers(self, joined: relay_group.Group) -> list[str]:
        """Returns the readers to ask, in that order.

        Stand-ins only where no reader is left; these ask nobody but readers,
        and have what the store itself told them.
        """
        readers = joined.readers()
        usable = self._usable(joined.name, readers.chosen)
        if not usable and not _has(readers.stand_ins, joined.name):
            usable = self._usable(joined.name, readers.stand_ins)
        own = usable[:READERS_TRIED]
        self.rng.shuffle(own)
        return own

    def _usable(
        self, name: str, readers: tuple[feed_readers.GroupNode, ...]
    ) -> list[str]:
        now = self.clock.monotonic()
        return [
            reader
            for reader in feed_readers.own_order(name, readers)
            if self.bad_until.get(reader, 0.0) <= now
        ]

    def _must_wait(self) -> bool:
        """Returns whether a call to the store would only add to its load.

        While the store is away all nodes would ask it some times a second;
        readers do so, and the others only now and then.
        """
        if self.is_reader():
            return False
        return self.clock.monotonic() < self.direct_at

    def _noted(
        self, result: expression.Result[T, stores.StoreError]
    ) -> expression.Result[T, stores.StoreError]:
        """Notes whether the store answered this node."""
        if result.is_ok() or self.group is None:
            self.direct_at = 0.0
            return result
        pause_s = feed_readers.probe_pause_s(len(self.group.names()))
        pause_s *= self.rng.uniform(0.5, 1.5)
        self.direct_at = self.clock.monotonic() + pause_s
        return result


def create_shared_feed(
    direct: row_feeds.RowFeed, clock: clocks.Clock, rng: random.Random
) -> SharedFeed:
    """Creates a feed that asks the store until it knows peers."""
    return SharedFeed(direct, clock, rng)


def _has(nodes: tuple[feed_readers.GroupNode, ...], name: str) -> bool:
    return any(node.name == name for node in nodes)


def _change_in(body: bytes) -> row_feeds.TableChange | None:
    """Returns what a reader answered; None if it can't be read."""
    try:
        return peer_rows.decode_answer(body)
    except ValueError:
        return None


def _away() -> expression.Result[row_feeds.TableChange, stores.StoreError]:
    detail = "The store does not answer, nor do the nodes that read it."
    return expression.Error(errors.StoreUnavailable(detail))
