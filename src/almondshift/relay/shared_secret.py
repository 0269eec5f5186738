"""The secret that all nodes share, in a row of the store."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import secrets
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Callable

TABLE = "almondshift-keys"
KEY = "peers"
SECRET_BYTES = 24
"""Length of the secret, in bytes."""

RETRY_S = 0.3
"""Interval between attempts to read or create the secret, in seconds."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Secret:
    """A secret and its origin; of two, all nodes take the lesser.

    Attributes:
        era: Era of the store in which the secret was created. One that was
            created in a later era replaced one that the store had lost.
    """

    era: int
    text: str

    def to_value(self) -> dict[str, object]:
        """Returns the JSON object of the row."""
        return {"secret": self.text, "era": self.era}


class SharedSecret:
    """The shared secret, which the first node creates.

    Attributes:
        secret: The secret that this node uses; None until it is known.
        on_changed: Called with another secret that this node must use.
    """

    def __init__(self, store: stores.TableStore) -> None:
        self.store = store
        self.secret: Secret | None = None
        self.on_changed: Callable[[str], None] = lambda text: None

    async def obtain(self) -> str:
        """Returns the secret; creates it if there is none.

        Waits until the store responds, since without the secret a node can
        neither authenticate to peers nor verify them.
        """
        while self.secret is None:
            self.secret = await self._read_or_create()
            if self.secret is None:
                await asyncio.sleep(RETRY_S)
        return self.secret.text

    def is_of_era(self, era: int) -> bool:
        """Returns whether the secret was created in an era of the store.

        Nodes of an earlier era may then have another one.
        """
        return self.secret is not None and self.secret.era == era

    async def reconcile(self) -> bool:
        """Writes a lost secret again, or takes the one of older nodes.

        Returns:
            Whether the store is known to have this node's secret.
        """
        own = self.secret
        if own is None:
            return False
        read = await self.store.read(TABLE, KEY)
        if read.is_error():
            return False
        found = None if read.ok is None else read_row(read.ok)
        if found is not None and found <= own:
            if found.text != own.text:
                self.secret = found
                log_events.emit(logger, log_events.SecretReplaced(found.era))
                self.on_changed(found.text)
            return True
        revision = stores.ABSENT if read.ok is None else read.ok.revision
        era = self.store.era if read.ok is None else read.ok.era
        write = stores.Write(TABLE, KEY, own.to_value(), revision, era)
        return (await self.store.transact([write])).is_ok()

    async def _read_or_create(self) -> Secret | None:
        read = await self.store.read(TABLE, KEY)
        if read.is_error():
            return None
        if read.ok is not None:
            return read_row(read.ok)
        era = self.store.era
        created = Secret(era, secrets.token_hex(SECRET_BYTES))
        write = stores.Write(TABLE, KEY, created.to_value(), stores.ABSENT, era)
        written = await self.store.transact([write])
        return created if written.is_ok() else None


def read_row(row: stores.Row) -> Secret | None:
    """Parses the row, without an era from older releases; None if malformed."""
    era, text = row.value.get("era", 0), row.value.get("secret")
    if not isinstance(era, int) or not isinstance(text, str) or not text:
        return None
    return Secret(era, text)
