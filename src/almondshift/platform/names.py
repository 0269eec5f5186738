"""Wire names of the platform that several modules of this package use."""

from __future__ import annotations

# Header fields, in lower case, as received fields are looked up.
REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
LAST_EVENT_ID = "last-event-id"
MODEL = "x-model"
TOKEN_USAGE = "x-token-usage"
LENGTH_HINT = "x-length-hint"
PROMPT_PARTS = "x-prompt-prefix"
ACCOUNT = "x-tenant"
EXPECTED_INSTANCE = "x-expect-instance"
EXPECTED_VERSION = "x-expect-version"
ENGINE_PRIORITY = "x-request-priority"
PATH = "x-hop-count"
"""Despite its name, this holds a path (engines and layers), not a number."""
NOT_RUN = "x-not-executed"
FAULTY_ADDRESS = "at-server"
SIGNATURE = "x-engine-signature"
PEER_MARK = "x-almondshift-peer"
"""Marks a request that another node passes on."""
RUN_LIMIT = "x-almondshift-runs"
"""How often a peer may run a request, and whether it may repeat it."""
RETRY_AFTER = "retry-after"
LEAVING = "server-leaving"
"""Value 1 in each response of an engine that is shutting down."""
RATE_LIMIT = "server-limit"
"""Requests per second that an engine takes from all nodes together."""
STORE_ERA = "store-era"
"""In each response of the store; rises when it returns from an older copy."""

# Tables and keys that the platform and its operators write.
OPERATOR_TABLE = "op"
ENGINE_TABLE = "servers"
CONFIG_KEY = "config"

# URL paths of the store.
ROWS_WRITE = "/rows-tx"
ROWS_READ = "/rows-get"
ROWS_FEED = "/rows-feed"

# URL paths of an engine.
ENGINE_REPORT = "/report"
ENGINE_ORDER = "/order"

# URL paths that this node serves.
RESOLVE = "/resolve"
READY = "/readyz"
