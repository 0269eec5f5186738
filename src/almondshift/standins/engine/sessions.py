"""Sessions and their KV state, limited in number."""

from __future__ import annotations

import collections
import dataclasses
import struct
from typing import TYPE_CHECKING

from almondshift.model import layers
from almondshift.model import steps
from almondshift.standins import reference

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class Session:
    """The KV state of one request on one stage.

    Attributes:
        states: KV state of each layer.
        length: Number of positions held.
        next_position: Position that the next arriving item must have; ahead of
            ``length`` by the number of queued positions.
        queued: Number of items that wait or run.
        prefix_digest: Digest of the inputs up to the last complete block.
        prefix_tail: Inputs after the last complete block.
        prefix_cached: Whether all complete blocks so far were cached.
    """

    session: str
    request_id: str
    layers: layers.LayerRange
    model: str
    version: int
    adapter: str
    seed: int
    states: list[int]
    last_used_at: float
    length: int = 0
    next_position: int = 0
    queued: int = 0
    prefix_digest: int = 0
    prefix_tail: list[int] = dataclasses.field(default_factory=list)
    prefix_cached: bool = True

    def serves(self, item: steps.StepItem) -> bool:
        """Returns whether an item belongs to this session."""
        return (
            self.request_id == item.request_id
            and self.layers == item.layers
            and self.model == item.model
            and self.version == item.version
            and self.adapter == item.adapter
        )

    def run(self, inputs: tuple[int, ...]) -> tuple[int, ...]:
        """Runs all layers for each input and returns the activations."""
        outputs = []
        first = self.layers.start
        for value in inputs:
            activation = value
            for index, state in enumerate(self.states):
                activation = reference.activation(
                    self.seed, first + index, self.length, state, activation
                )
                self.states[index] = activation
            self.length += 1
            outputs.append(activation)
        return tuple(outputs)


class SessionTable:
    """Sessions, least recently used first.

    A session that has no queued item and was not used for ``idle_s`` is
    assumed to have ended and may be evicted for a new one.
    """

    def __init__(
        self, limit: int, idle_s: float, on_drop: Callable[[], None]
    ) -> None:
        self.limit = limit
        self.idle_s = idle_s
        self.on_drop = on_drop
        self.sessions: collections.OrderedDict[str, Session] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self.sessions)

    def find(self, session: str) -> Session | None:
        """Returns a session, or None."""
        return self.sessions.get(session)

    def touch(self, session: Session, now: float) -> None:
        """Marks a session as used."""
        session.last_used_at = now
        self.sessions.move_to_end(session.session)

    def open(self, item: steps.StepItem, now: float) -> Session | None:
        """Opens a session for an item, or returns None if all are in use."""
        if not self.make_room(now):
            return None
        session = Session(
            item.session,
            item.request_id,
            item.layers,
            item.model,
            item.version,
            item.adapter,
            reference.model_seed(item.model, item.version, item.adapter),
            [reference.EMPTY_STATE] * item.layers.count,
            now,
        )
        self.sessions[item.session] = session
        return session

    def make_room(self, now: float) -> bool:
        """Returns whether one more session fits, evicting one if needed."""
        if len(self.sessions) < self.limit:
            return True
        for session in self.sessions.values():
            if (
                session.queued == 0
                and now - session.last_used_at >= self.idle_s
            ):
                self.drop(session.session)
                return True
        return False

    def drop(self, session: str) -> None:
        """Drops a session if it exists."""
        if self.sessions.pop(session, None) is not None:
            self.on_drop()

    def drop_all(self) -> None:
        """Drops every session, as if the engine's memory were lost."""
        self.sessions.clear()
        self.on_drop()

    def export(self, session: str) -> steps.KvSnapshot | None:
        """Returns a snapshot of an idle session, or None."""
        found = self.sessions.get(session)
        if found is None or found.queued:
            return None
        return steps.KvSnapshot(
            found.session,
            found.request_id,
            found.layers,
            found.model,
            found.version,
            found.adapter,
            found.length,
            struct.pack(f"<{len(found.states)}Q", *found.states),
        )

    def import_snapshot(self, snapshot: steps.KvSnapshot, now: float) -> bool:
        """Opens a session from a snapshot; returns whether there was room.

        Raises:
            struct.error: If the KV state does not match the layers.
        """
        count = snapshot.layers.count
        states = list(struct.unpack(f"<{count}Q", snapshot.state))
        if not self.make_room(now):
            return False
        self.sessions[snapshot.session] = Session(
            snapshot.session,
            snapshot.request_id,
            snapshot.layers,
            snapshot.model,
            snapshot.version,
            snapshot.adapter,
            reference.model_seed(
                snapshot.model, snapshot.version, snapshot.adapter
            ),
            states,
            now,
            length=snapshot.length,
            next_position=snapshot.length,
            prefix_cached=False,
        )
        return True
