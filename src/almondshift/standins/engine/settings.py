"""Settings of the engine stand-in."""

from __future__ import annotations

import dataclasses
import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class EngineSettings:
    """Configuration of the stand-in; times in seconds.

    Attributes:
        models: Number of layers of each model that can be loaded. The last
            layer of a model samples tokens.
        platform: ``host:port`` of the platform, ``""`` for none.
        load_lag_s: Minimum age of the load reports; 0 for the current load.
        load_layer_s: Time to load one layer, besides fetching its weights.
        drain_s: How long an order that needs memory waits for the sessions
            of the old holding to end before it drops them.
        session_idle_s: A session unused for this long may be evicted.
        checks_fencing: Whether an order with a stale fencing token is refused.
        prefix_blocks: Capacity of the prefix cache in blocks.
        cache_event_delay_s: Delay until cache events are published.
        cache_event_loss: Fraction of cache events that are dropped, 0 to 1.
        link_latency_s: One-way latency added to each step call.
        link_bytes_per_s: Bandwidth of the link; 0 for unlimited.
        activation_bytes: Size of one activation on the link.
        kv_bytes: Size of the KV cache of one position in one layer; determines
            the transfer time of exports and imports.
        advertise: ``host:port`` to register, such as that of a proxy in front;
            ``""`` for the address it listens on.
        ledger_limit: Maximum number of rows kept; the oldest are dropped first.
        ledger_file: File to which rows are appended, ``""`` for none.
        grace_s: How long running sessions are served after SIGTERM.
        exit_process: Ends the process when a crash is emulated.
    """

    name: str = "engine"
    zone: str = "zone"
    accelerator: str = "fast"
    host: str = "127.0.0.1"
    port: int = 0
    platform: str = ""
    models: dict[str, int] = dataclasses.field(default_factory=dict)
    layer_capacity: int = 8
    fixed_s: float = 0.005
    per_layer_token_s: float = 0.0002
    max_batch: int = 32
    max_sessions: int = 64
    session_idle_s: float = 30.0
    load_lag_s: float = 0.0
    load_layer_s: float = 0.0
    adapter_load_s: float = 0.0
    drain_s: float = 30.0
    checks_fencing: bool = True
    prefix_blocks: int = 4096
    cache_event_delay_s: float = 0.0
    cache_event_loss: float = 0.0
    link_latency_s: float = 0.0
    link_bytes_per_s: float = 0.0
    activation_bytes: int = 8192
    kv_bytes: int = 4096
    advertise: str = ""
    ledger_limit: int = 100_000
    ledger_file: str = ""
    grace_s: float = 10.0
    seed: int = 0
    exit_process: Callable[[int], None] = os._exit
