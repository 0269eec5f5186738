"""``GET /v1/entries``: which addresses to use."""

from __future__ import annotations

from almondshift.adapters.http_front import base


class EntriesHandler(base.BaseHandler):
    """Answers with addresses, the best first, and how long to keep them."""

    def get(self) -> None:
        """Needs no key; with one, the answer is the account's own."""
        header = self.request.headers.get("Authorization", "")
        known = None
        if header.startswith(base.BEARER):
            known = self.node.account_of(header[len(base.BEARER) :].strip())
        answer = self.node.entries(known.name if known else "")
        self.finish(
            {
                "entries": [
                    {"address": entry.address, "zone": entry.zone}
                    for entry in answer.addresses
                ],
                "hold_seconds": answer.hold_seconds,
            }
        )
