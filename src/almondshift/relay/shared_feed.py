"""Follows the store's tables through the nodes that read them for the group."""

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

    from almondshift.model import revisions
    from almondshift.ports import clocks
    from almondshift.ports import stores
    from almondshift.relay import group as relay_group

REPLY_MARGIN_S = 0.4
"""Time for a reader's reply in addition to the requested wait, in seconds."""

MAX_READERS_TRIED = 2
"""Number of readers tried before the store itself; a third would only add
delay. The order is random for each request: if one reader has lost the store
without noticing it, changes are delayed by one request only, as the other
reader has them."""

T = TypeVar("T")
Change = expression.Result["row_feeds.TableChange", "stores.StoreError"]


class SharedFeed(row_feeds.RowFeed):
    """Reads tables through readers among the peers, or else from the store.

    Attributes:
        direct: The store.
        group: The other nodes; None before this node has joined them.
        next_store_call_at: Monotonic time before which the store is not called,
            as it did not respond.
        skipped_until: Monotonic time until which a reader that failed is
            skipped, by name.
        era: The newest known era of the store. Readers that have not noticed
            it are not believed.
    """

    def __init__(
        self, direct: row_feeds.RowFeed, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self.direct = direct
        self.clock = clock
        self.rng = rng
        self.group: relay_group.Group | None = None
        self.next_store_call_at = 0.0
        self.skipped_until: dict[str, float] = {}
        self.era = 0

    def note_era(self, era: int) -> None:
        """Records an era of the store that became known."""
        self.era = max(self.era, era)

    async def read_whole(self, table: str) -> Change:
        """Reads all rows of a table."""
        request = peer_rows.RowRequest(after=-1, era=self.era)
        found = await self._ask_readers(table, request)
        if found is not None:
            return expression.Ok(found)
        if self._is_backing_off():
            return _unavailable()
        return self._update_backoff(await self.direct.read_whole(table))

    async def wait_for_changes(
        self, table: str, after: revisions.Revision, wait_s: float
    ) -> expression.Result[row_feeds.TableChange | None, stores.StoreError]:
        """Waits until a table has changed since a revision.

        Returns:
            See ``row_feeds.RowFeed.wait_for_changes``.
        """
        asked_s = min(wait_s, feed_readers.ASKED_WAIT_S)
        request = peer_rows.RowRequest(
            after.number,
            asked_s,
            is_fresh=wait_s <= 0,
            takes_unchanged=True,
            era=after.era,
        )
        found = await self._ask_readers(table, request)
        if found is not None:
            return expression.Ok(found)
        if self._is_backing_off():
            return _unavailable()
        return self._update_backoff(
            await self.direct.wait_for_changes(table, after, wait_s)
        )

    def is_reader(self) -> bool:
        """Returns whether this node follows the store itself."""
        return self.group is None or _contains(
            self.group.readers().chosen, self.group.name
        )

    async def _ask_readers(
        self, table: str, request: peer_rows.RowRequest
    ) -> row_feeds.TableChange | None:
        if self.group is None or self.is_reader():
            return None
        body = peer_rows.encode_request(request)
        for name in self._readers(self.group):
            reply = await self.group.members.ask(
                name, table, body, request.wait_s + REPLY_MARGIN_S
            )
            change = (
                _decode_reply(reply.ok, self.era) if reply.is_ok() else None
            )
            if change is not None and self._is_usable(change):
                self.note_era(change.revision.era)
                return change
            pause_s = feed_readers.AWAY_S
            if reply.is_error():
                pause_s = feed_readers.SILENT_S
            self.skipped_until[name] = self.clock.monotonic() + pause_s
        return None

    def _is_usable(self, change: row_feeds.TableChange) -> bool:
        """Returns whether a reader follows the store's present state."""
        if change.revision.era < self.era:
            return False
        return change.age_s <= feed_readers.MAX_AGE_S

    def _readers(self, node_group: relay_group.Group) -> list[str]:
        """Returns the names of the readers to try, in order.

        Stand-ins are used only if no reader is left. A stand-in itself asks
        only readers or the store, never another stand-in.
        """
        readers = node_group.readers()
        usable = self._usable(node_group.name, readers.chosen)
        if not usable and not _contains(readers.stand_ins, node_group.name):
            usable = self._usable(node_group.name, readers.stand_ins)
        tried = usable[:MAX_READERS_TRIED]
        self.rng.shuffle(tried)
        return tried

    def _usable(
        self, name: str, readers: tuple[feed_readers.GroupNode, ...]
    ) -> list[str]:
        now = self.clock.monotonic()
        return [
            reader
            for reader in feed_readers.own_order(name, readers)
            if self.skipped_until.get(reader, 0.0) <= now
        ]

    def _is_backing_off(self) -> bool:
        """Returns whether this node must not call the store yet.

        During an outage all nodes would call the store a few times a second.
        Only readers do so; other nodes back off.
        """
        if self.is_reader():
            return False
        return self.clock.monotonic() < self.next_store_call_at

    def _update_backoff(
        self, result: expression.Result[T, stores.StoreError]
    ) -> expression.Result[T, stores.StoreError]:
        """Resets the backoff if the store responded; extends it otherwise."""
        if result.is_ok() or self.group is None:
            self.next_store_call_at = 0.0
            return result
        pause_s = feed_readers.probe_pause_s(len(self.group.names()))
        pause_s *= self.rng.uniform(0.5, 1.5)
        self.next_store_call_at = self.clock.monotonic() + pause_s
        return result


def create_shared_feed(
    direct: row_feeds.RowFeed, clock: clocks.Clock, rng: random.Random
) -> SharedFeed:
    """Creates a feed that reads from the store until ``group`` is set."""
    return SharedFeed(direct, clock, rng)


def _contains(nodes: tuple[feed_readers.GroupNode, ...], name: str) -> bool:
    return any(node.name == name for node in nodes)


def _decode_reply(body: bytes, own_era: int) -> row_feeds.TableChange | None:
    """Decodes a reader's reply; returns None if it is malformed."""
    try:
        return peer_rows.decode_reply(body, own_era)
    except ValueError:
        return None


def _unavailable() -> expression.Result[
    row_feeds.TableChange, stores.StoreError
]:
    detail = "Neither the store nor the nodes that read it answered."
    return expression.Error(errors.StoreUnavailable(detail))
