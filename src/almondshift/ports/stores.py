"""The platform's table and object store."""

from __future__ import annotations

import abc
import dataclasses
from typing import Any

import expression

from almondshift import errors

StoreError = (
    errors.StoreUnavailable
    | errors.StoreOutcomeUnknown
    | errors.ConditionFailed
)

ABSENT = 0
"""Expected revision of a row that must not exist before a write."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes:
        value: JSON object.
        revision: Positive; increases with every write of the row within an
            era of the store.
        era: Era of the store in which the row was read; 0 if it has none. The
            same revision may name another content in another era.
    """

    table: str
    key: str
    value: dict[str, Any]
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One write of a transaction.

    Attributes:
        value: The new value, or None to delete the row.
        if_revision: Revision that the row must have, ``ABSENT`` if it must
            not exist, None for an unconditional write.
        if_era: Era in which ``if_revision`` was read; None for any. In a
            later era the row may have this revision with another content.
    """

    table: str
    key: str
    value: dict[str, Any] | None
    if_revision: int | None
    if_era: int | None = None


class TableStore(abc.ABC):
    """A transactional table.

    It is meant for several hundred writes and 2,000 reads per second.
    """

    @property
    def era(self) -> int:
        """The newest era of the store that a response named.

        It rises when the store returns from an older copy, without the writes
        since that copy; 0 for a store that never does.
        """
        return 0

    @abc.abstractmethod
    async def read(
        self, table: str, key: str
    ) -> expression.Result[Row | None, StoreError]:
        """Reads one row; None if it does not exist."""

    @abc.abstractmethod
    async def scan(
        self, table: str, prefix: str, limit: int
    ) -> expression.Result[list[Row], StoreError]:
        """Reads up to ``limit`` rows whose key starts with a prefix, by key."""

    @abc.abstractmethod
    async def transact(
        self, writes: list[Write]
    ) -> expression.Result[list[int], StoreError]:
        """Applies all writes or none.

        Returns:
            The new revisions (0 for a delete), or ``ConditionFailed`` if
            nothing was written, ``StoreUnavailable`` if the request was not
            sent or was refused, ``StoreOutcomeUnknown`` if no response was
            received, or if the writes were applied in a later era than one
            of their conditions.
        """


class ObjectStore(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def get(
        self, key: str
    ) -> expression.Result[bytes | None, StoreError]:
        """Reads an object; None if it does not exist."""

    @abc.abstractmethod
    async def put(
        self, key: str, content: bytes
    ) -> expression.Result[None, StoreError]:
        """Writes a complete object."""


def outdated_condition(
    writes: list[Write], era: int
) -> errors.ConditionFailed | None:
    """Returns the error for a condition from an era before ``era``, if any.

    Such writes must not be sent, as their conditions may hold by chance.
    """
    if all(write.if_era is None or write.if_era >= era for write in writes):
        return None
    return errors.ConditionFailed("The store has returned from an older copy.")


def confirmed_in_era(
    writes: list[Write], revisions: list[int], era: int
) -> expression.Result[list[int], StoreError]:
    """Returns the result of writes that were applied in ``era``.

    If the store was restored while they were on their way, their conditions
    may have held by chance, and the row read before may have been another.
    """
    if outdated_condition(writes, era) is None:
        return expression.Ok(revisions)
    return expression.Error(
        errors.StoreOutcomeUnknown(
            "The store returned from an older copy during the write."
        )
    )
