"""Names on the platform's wire that more than one module here uses."""

from __future__ import annotations

# Header fields, in lower case where they are looked up in what was received.
REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
LAST_EVENT_ID = "last-event-id"
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"
LENGTH_HINT = "x-length-hint"
ACCOUNT = "x-tenant"
EXPECTED_INSTANCE = "x-expect-instance"
EXPECTED_VERSION = "x-expect-version"
ENGINE_PRIORITY = "x-request-priority"
PATH = "x-hop-count"
"""Despite its name not a number: the list of the path's parts."""
NOT_RUN = "x-not-executed"
FAULTY_ADDRESS = "at-server"
SIGNATURE = "x-engine-signature"

# Tables that the platform and its operators write.
OPERATOR_TABLE = "op"
ENGINE_TABLE = "servers"
CONFIG_KEY = "config"

# Calls of the store.
ROWS_WRITE = "/rows-tx"
ROWS_READ = "/rows-get"
ROWS_FEED = "/rows-feed"

# Calls of an engine.
ENGINE_REPORT = "/report"
ENGINE_ORDER = "/order"

# Calls that arrive here.
RESOLVE = "/resolve"
READY = "/readyz"
