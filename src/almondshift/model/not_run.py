"""Evidence that a request did not run."""

from __future__ import annotations

import enum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a response promises that the request did not and will not
run."""


class NotRun(enum.StrEnum):
    """A fact by which a request that was sent did not and will not run.

    Without such a fact, a request that was sent may have run.

    Attributes:
        NO_CONNECTION: No connection was made, so no byte was sent.
        STATED: The endpoint's response says that it did not run it.
        OTHER_ENDPOINT: Another endpoint than the expected one responded.
        PEER: A peer refused it.
    """

    NO_CONNECTION = "no connection"
    STATED = "stated by the endpoint"
    OTHER_ENDPOINT = "another endpoint"
    PEER = "refused by the peer"
