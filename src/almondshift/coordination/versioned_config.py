"""A versioned configuration text that all nodes apply.

Versions are accepted by a compare-and-set on one head row. Nodes read the
head about once a second and also receive versions from peers. Each node
applies only higher versions, completely or not at all.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import expression

from almondshift import errors
from almondshift.coordination import config_rows
from almondshift.ports import operations

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks
    from almondshift.ports import stores

T = TypeVar("T")

VersionResult = expression.Result[
    operations.ConfigVersion, errors.AlmondshiftError
]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigSettings:
    """Read intervals and the handling of lost responses.

    Attributes:
        interval_s: Mean seconds between reads of the head.
        jitter: Random share of the interval, 0 to 1, so that nodes that
            started together don't read at the same time.
        max_interval_s: Longest interval while the store is unavailable,
            unless ``interval_s`` is longer. With the jitter and the time-out
            of a call, it adds to the time until a version is active on all
            nodes after an outage.
        max_write_attempts: Attempts for a write of unknown outcome.
        write_backoff_s: Seconds before the next attempt; doubles each time.
    """

    interval_s: float = 1.0
    jitter: float = 0.2
    max_interval_s: float = 3.2
    max_write_attempts: int = 4
    write_backoff_s: float = 0.05


class VersionedConfig(Generic[T]):
    """The newest known version of the text and its parsed value.

    Attributes:
        current: The version active on this node, None before the first.
        value: Parsed value of ``current``.
        rejected: The last version that the store accepted but that this
            node can't parse, e.g. written by newer software; else None.
        store_version: Version of the head at the last read. Lower than that
            of ``current`` if the platform lost accepted versions.
    """

    def __init__(
        self,
        store: stores.TableStore,
        clock: clocks.Clock,
        rng: random.Random,
        validate: Callable[
            [str, int], expression.Result[T, errors.ConfigInvalid]
        ],
        settings: ConfigSettings,
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.validate = validate
        self.settings = settings
        self.current: operations.ConfigVersion | None = None
        self.value: T | None = None
        self.rejected: operations.ConfigVersion | None = None
        self.store_version = 0
        self.subscribers: list[
            Callable[[operations.ConfigVersion, T], None]
        ] = []
        self.read_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts reading the head; does not wait for the first read."""
        self.read_task = asyncio.create_task(self._read_loop())

    async def close(self) -> None:
        """Stops reading."""
        if self.read_task is None:
            return
        self.read_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.read_task
        self.read_task = None

    def subscribe(
        self, callback: Callable[[operations.ConfigVersion, T], None]
    ) -> Callable[[], None]:
        """Registers a callback for each version that becomes active.

        Returns:
            A function that cancels the subscription.
        """
        self.subscribers.append(callback)
        return lambda: self.subscribers.remove(callback)

    async def apply(
        self, text: str, base: int, change_id: str, author: str
    ) -> VersionResult:
        """Proposes a text based on version ``base``, 0 for the first.

        Idempotent by change id: if it was accepted before, returns the
        accepted version.

        Returns:
            The accepted version, or ``ConfigInvalid``, ``ConfigConflict`` or
            ``StoreUnavailable`` if nothing changed, ``StoreOutcomeUnknown``
            if that can't be determined.
        """
        parsed = self.validate(text, base + 1)
        if parsed.is_error():
            return expression.Error(parsed.error)
        proposal = operations.ConfigVersion(
            version=base + 1,
            text=text,
            change_id=change_id,
            author=author,
            accepted_at=self.clock.wall(),
            verified=True,
        )
        result = await self._accept(proposal)
        if result.is_ok():
            self._adopt(result.ok)
        return result

    async def poll(self) -> expression.Result[None, errors.AlmondshiftError]:
        """Reads the head once and applies a higher version."""
        head = await self._head()
        if head.is_error():
            return expression.Error(head.error)
        newest = config_rows.head_version(head.ok)
        self.store_version = newest
        if newest < 1 or not self._needs_read(newest):
            return expression.Ok(None)
        version = await self._read_version(newest)
        if version.is_error():
            return expression.Error(version.error)
        self._adopt(version.ok)
        return expression.Ok(None)

    def offer(self, version: operations.ConfigVersion) -> bool:
        """Applies a higher version from a peer, as unverified.

        Returns:
            Whether it is active on this node now.
        """
        return self._adopt(dataclasses.replace(version, verified=False))

    async def show(self, version: int | None) -> VersionResult:
        """Returns a version, or with None the one active on this node."""
        if version is None or self._is_current(version):
            return self._active_version()
        return await self._read_version(version)

    async def find_change(
        self, change_id: str
    ) -> expression.Result[
        operations.ConfigVersion | None, errors.AlmondshiftError
    ]:
        """Returns the version accepted for a change id, or None."""
        key = config_rows.change_key(change_id)
        row = await self.store.read(config_rows.TABLE, key)
        if row.is_error():
            return expression.Error(row.error)
        if row.ok is None:
            return expression.Ok(None)
        found = await self._read_version(int(row.ok.value["version"]))
        if found.is_error():
            return expression.Error(found.error)
        return expression.Ok(found.ok)

    async def history(
        self, limit: int
    ) -> expression.Result[
        list[operations.ConfigVersion], errors.AlmondshiftError
    ]:
        """Returns up to ``limit`` accepted versions, newest first."""
        rows = await self.store.scan(
            config_rows.TABLE, config_rows.VERSION_PREFIX, limit
        )
        if rows.is_error():
            return expression.Error(rows.error)
        return expression.Ok([config_rows.read_version(row) for row in rows.ok])

    async def _accept(
        self, proposal: operations.ConfigVersion
    ) -> VersionResult:
        head = await self._head()
        if head.is_error():
            return expression.Error(head.error)
        if config_rows.head_version(head.ok) != proposal.version - 1:
            return await self._resolve_conflict(proposal, head.ok)
        revision = config_rows.head_revision(head.ok)
        return await self._write(proposal, revision)

    async def _write(
        self, proposal: operations.ConfigVersion, revision: int
    ) -> VersionResult:
        """Writes until the outcome is known or the attempts are exhausted.

        A response may be lost after the write took effect; the operator would
        then get an error although the text is active. Writing again from the
        same revision of the head is safe: at most one of these writes takes
        effect, and after ``ConditionFailed`` the row of the change id shows
        whether it was one of them.
        """
        wait_s = self.settings.write_backoff_s
        writes = config_rows.change_writes(proposal, revision)
        may_have_written = False
        for _ in range(self.settings.max_write_attempts):
            written = await self.store.transact(writes)
            if written.is_ok():
                return expression.Ok(proposal)
            if isinstance(written.error, errors.ConditionFailed):
                return await self._resolve_condition_failure(
                    proposal, may_have_written
                )
            if isinstance(written.error, errors.StoreOutcomeUnknown):
                may_have_written = True
            elif not may_have_written:
                return expression.Error(written.error)
            await self.clock.sleep(wait_s)
            wait_s *= 2
        return expression.Error(_outcome_unknown(proposal.change_id))

    async def _resolve_condition_failure(
        self, proposal: operations.ConfigVersion, may_have_written: bool
    ) -> VersionResult:
        head = await self._head()
        if head.is_ok():
            return await self._resolve_conflict(
                proposal, head.ok, may_have_written
            )
        if may_have_written:
            return expression.Error(_outcome_unknown(proposal.change_id))
        return expression.Error(_conflict(proposal.version - 1, None))

    async def _resolve_conflict(
        self,
        proposal: operations.ConfigVersion,
        head: stores.Row | None,
        may_have_written: bool = False,
    ) -> VersionResult:
        """Checks whether the head advanced because of this same change."""
        found = await self.find_change(proposal.change_id)
        if found.is_error():
            if may_have_written:
                return expression.Error(_outcome_unknown(proposal.change_id))
            return expression.Error(found.error)
        if found.ok is None:
            newest = config_rows.head_version(head)
            return expression.Error(_conflict(proposal.version - 1, newest))
        if found.ok.text != proposal.text:
            return expression.Error(_change_id_reused(found.ok))
        return expression.Ok(found.ok)

    async def _head(
        self,
    ) -> expression.Result[stores.Row | None, errors.AlmondshiftError]:
        row = await self.store.read(config_rows.TABLE, config_rows.HEAD)
        if row.is_error():
            return expression.Error(row.error)
        return expression.Ok(row.ok)

    async def _read_version(self, version: int) -> VersionResult:
        key = config_rows.version_key(version)
        row = await self.store.read(config_rows.TABLE, key)
        if row.is_error():
            return expression.Error(row.error)
        if row.ok is None:
            return expression.Error(_no_such_version(version))
        return expression.Ok(config_rows.read_version(row.ok))

    def _needs_read(self, newest: int) -> bool:
        if self.current is None or newest > self.current.version:
            return True
        return newest == self.current.version and not self.current.verified

    def _adopt(self, version: operations.ConfigVersion) -> bool:
        """Activates a version if it is higher, completely or not at all.

        A slow read or a late peer may deliver an older version after a newer
        one became active; going back would undo an operator's change. A
        comparison with the current version is enough, since there is no await
        between the check and the change.
        """
        if self._confirms_current(version):
            self.current = version
            return True
        if not self._is_higher(version):
            return False
        parsed = self.validate(version.text, version.version)
        if parsed.is_error():
            self.rejected = version
            return False
        self.current = version
        self.value = parsed.ok
        self.rejected = None
        for callback in list(self.subscribers):
            callback(version, parsed.ok)
        return True

    def _confirms_current(self, version: operations.ConfigVersion) -> bool:
        return (
            self.current is not None
            and version.verified
            and version.version == self.current.version
            and version.text == self.current.text
        )

    def _is_higher(self, version: operations.ConfigVersion) -> bool:
        if self.current is None or version.version > self.current.version:
            return True
        corrects = version.verified and not self.current.verified
        return corrects and version.version == self.current.version

    def _is_current(self, version: int) -> bool:
        return (
            self.current is not None
            and self.current.verified
            and self.current.version == version
        )

    def _active_version(self) -> VersionResult:
        if self.current is None:
            return expression.Error(_no_active_version())
        return expression.Ok(self.current)

    async def _read_loop(self) -> None:
        interval_s = self.settings.interval_s
        while True:
            polled = await self.poll()
            interval_s = self._next_interval(interval_s, polled.is_ok())
            spread = self.settings.jitter * self.rng.uniform(-1.0, 1.0)
            await self.clock.sleep(interval_s * (1.0 + spread))

    def _next_interval(self, interval_s: float, was_read: bool) -> float:
        if was_read:
            return self.settings.interval_s
        longest_s = max(self.settings.interval_s, self.settings.max_interval_s)
        return min(2 * interval_s, longest_s)


def _outcome_unknown(change_id: str) -> errors.StoreOutcomeUnknown:
    return errors.StoreOutcomeUnknown(
        f"It is unknown whether change {change_id} was accepted.",
        remedy=(
            f"Apply the same text again with change id {change_id}; "
            "it can't be accepted twice."
        ),
    )


def _conflict(base: int, newest: int | None) -> errors.ConfigConflict:
    if newest is None:
        return errors.ConfigConflict(f"Version {base} is not the newest.")
    return errors.ConfigConflict(
        f"The change is based on version {base}, the newest is {newest}.",
        remedy=(
            "Run 'almondshift config show', merge your change into version "
            f"{newest} and apply again with --base {newest}."
        ),
    )


def _change_id_reused(
    version: operations.ConfigVersion,
) -> errors.ConfigConflict:
    return errors.ConfigConflict(
        f"Change id {version.change_id} was already used for a different "
        f"text, accepted as version {version.version}.",
        remedy="Apply again with a new change id.",
    )


def _no_such_version(version: int) -> errors.AlmondshiftError:
    return errors.MalformedRequest(
        f"There is no version {version}.",
        remedy="Run 'almondshift config history' to list the versions.",
    )


def _no_active_version() -> errors.AlmondshiftError:
    return errors.ServiceNotReady(
        "No configuration is active on this node yet.",
        remedy="Run 'almondshift config apply' with a first text.",
    )


def create_versioned_config(
    store: stores.TableStore,
    clock: clocks.Clock,
    rng: random.Random,
    validate: Callable[[str, int], expression.Result[T, errors.ConfigInvalid]],
    settings: ConfigSettings | None = None,
) -> VersionedConfig[T]:
    """Creates a configuration without a version; ``start`` reads the store.

    Args:
        store: Stores the versions.
        clock: Time for the read loop.
        rng: Jitters the reads of the nodes.
        validate: Parses the text of a version; must not have side effects.
        settings: None for the defaults.
    """
    return VersionedConfig(
        store, clock, rng, validate, settings or ConfigSettings()
    )
