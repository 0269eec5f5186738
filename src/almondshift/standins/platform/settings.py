"""Settings of the platform stand-in."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the stand-in is told when it is created.

    Attributes:
        port: 0 lets the operating system choose.
        vm_lag_s: Seconds until the VM list shows a change.
        weights_per_s: Layers of weights handed out in a second.
        weights_queue_s: Longest wait for weights; beyond it, 429.
        layer_bytes: Bytes of one layer of weights.
    """

    host: str = "127.0.0.1"
    port: int = 0
    vm_lag_s: float = 0.2
    weights_per_s: float = 200.0
    weights_queue_s: float = 5.0
    layer_bytes: int = 1024
