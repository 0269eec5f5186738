"""JSON bodies of the platform's HTTP API."""

from __future__ import annotations

from typing import Any

import msgspec

from almondshift.model import endpoints


class RowBody(msgspec.Struct, forbid_unknown_fields=True):
    """A row of the table."""

    key: str
    value: dict[str, Any]
    revision: int


class RowsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Rows in key order."""

    rows: list[RowBody]


class WriteBody(msgspec.Struct, forbid_unknown_fields=True):
    """One write.

    Attributes:
        value: The new value; null deletes the row.
        if_revision: The revision that the row must have; null for any.
    """

    table: str
    key: str
    value: dict[str, Any] | None
    if_revision: int | None


class TransactionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Writes that take effect together or not at all."""

    writes: list[WriteBody]


class RevisionsBody(msgspec.Struct, forbid_unknown_fields=True):
    """New revisions, one per write; 0 for a delete."""

    revisions: list[int]


class ProblemBody(msgspec.Struct):
    """A refusal.

    Attributes:
        kind: ``unavailable``, ``rate_limited``, ``condition_failed``,
            ``not_found`` or ``malformed``.
        applied: False if the platform states that nothing took effect.
    """

    kind: str
    applied: bool
    detail: str = ""


class VmBody(msgspec.Struct, forbid_unknown_fields=True):
    """A VM in the list."""

    name: str
    address: str
    zone: str
    kind: endpoints.EndpointKind
    service: str = ""
    state: endpoints.VmState = endpoints.VmState.LIVE


class VmsBody(msgspec.Struct, forbid_unknown_fields=True):
    """The list of VMs."""

    vms: list[VmBody]
