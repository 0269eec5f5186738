"""Settings of the platform stand-in."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Configuration of the stand-in.

    Attributes:
        port: Port to listen on; 0 lets the OS choose.
        vm_lag_s: Delay in seconds until the VM list shows a change.
        weights_per_s: Layers of weights sent per second.
        weights_queue_s: Maximum wait for weights in seconds; beyond it,
            requests get 429.
        layer_bytes: Size of the weights of one layer.
        sends_era: Whether responses of the tables name the store's era.
    """

    host: str = "127.0.0.1"
    port: int = 0
    vm_lag_s: float = 0.2
    weights_per_s: float = 200.0
    weights_queue_s: float = 5.0
    layer_bytes: int = 1024
    sends_era: bool = True
