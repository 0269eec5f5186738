"""Table rows that store versions of the configuration.

Each change writes three rows in one transaction: the head points to the
newest version, a version row holds the text, and a change row maps the change
id to its version. If the response to a write was lost, the change row shows
whether it took effect.
"""

from __future__ import annotations

from almondshift.ports import operations
from almondshift.ports import stores

TABLE = "config"
HEAD = "head"
VERSION_PREFIX = "version/"
CHANGE_PREFIX = "change/"
HIGHEST_VERSION = 10**12
"""Keys count down from here, so that a scan returns the newest first."""


def version_key(version: int) -> str:
    """Returns the key of a version; newer versions sort first."""
    return f"{VERSION_PREFIX}{HIGHEST_VERSION - version:013d}"


def change_key(change_id: str) -> str:
    """Returns the key of a change."""
    return f"{CHANGE_PREFIX}{change_id}"


def head_version(head: stores.Row | None) -> int:
    """Returns the version that the head points to; 0 without a head."""
    return 0 if head is None else int(head.value["version"])


def head_revision(head: stores.Row | None) -> int:
    """Returns the revision on which a write of the head is conditional."""
    return stores.ABSENT if head is None else head.revision


def change_writes(
    change: operations.ConfigVersion, revision: int
) -> list[stores.Write]:
    """Returns the writes of the transaction that accepts a change.

    Args:
        change: The version to store.
        revision: Revision of the head that the change is based on.
    """
    text_value = {
        "version": change.version,
        "text": change.text,
        "change_id": change.change_id,
        "author": change.author,
        "accepted_at": change.accepted_at,
    }
    head_value = {"version": change.version, "change_id": change.change_id}
    return [
        stores.Write(TABLE, HEAD, head_value, revision),
        stores.Write(
            TABLE, version_key(change.version), text_value, stores.ABSENT
        ),
        stores.Write(
            TABLE,
            change_key(change.change_id),
            {"version": change.version},
            stores.ABSENT,
        ),
    ]


def read_version(row: stores.Row) -> operations.ConfigVersion:
    """Parses a version row."""
    return operations.ConfigVersion(
        version=int(row.value["version"]),
        text=str(row.value["text"]),
        change_id=str(row.value["change_id"]),
        author=str(row.value["author"]),
        accepted_at=float(row.value["accepted_at"]),
        verified=True,
    )
