"""``GET /v1/entries``: the addresses that callers should use."""

from __future__ import annotations

from almondshift.adapters.http_front import base


class EntriesHandler(base.BaseHandler):
    """Returns addresses, best first, and how long to cache them."""

    def get(self) -> None:
        """Needs no key; with one, the result is specific to the account."""
        header = self.request.headers.get("Authorization", "")
        known = None
        if header.startswith(base.BEARER):
            known = self.node.account_of(header[len(base.BEARER) :].strip())
        entries = self.node.entries(known.name if known else "")
        self.finish(
            {
                "entries": [
                    {"address": entry.address, "zone": entry.zone}
                    for entry in entries.addresses
                ],
                "hold_seconds": entries.hold_seconds,
            }
        )
