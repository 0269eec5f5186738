"""Size of a soak, the addresses of its processes and its configuration."""

from __future__ import annotations

import dataclasses
import os
import re
from typing import Any

from almondshift.adapters import relay_settings
from tests.platform import standin_engines

MODEL_SERVICE = "model"
PLAIN_SERVICE = "plain"
SERVICES = (PLAIN_SERVICE, MODEL_SERVICE)
HOST = "chat.example"
STEADY_ACCOUNT = "dru\u0161tvo \u010dasa"
STEADY_KEY = "key-steady"
ROTATING_ACCOUNT = "rotating"
ZONES = ("za", "zb")

GRACE_S = 8.0
MIN_STOP_S = 3.0
"""Minimum time for which a stopping node continues to serve. The actual time is
the program's default, as in the deployed settings."""

DRAIN_S = 2.0
"""Time after which a leaving engine gets no new work, once the store knows."""

CONFIG_APPLY_S = 2.0
"""Time after the ack within which a configuration is in force everywhere."""

SETTLE_S = 3.0
"""Time without disturbance after which time bounds apply to a node."""

RECOVERY_LIMIT_S = 12.0
"""Time after the last fault within which requests are served again."""

NODE_MEMORY_MB = 300
"""Memory limit of a node on a VM; a node that exceeds it is killed there."""

EVENT_INTERVAL_S = 0.02
"""Interval between the events of a stream, which hold one token each."""

LIMIT_TOLD_S = 3.0
"""Time after which the limit of an engine that has just named it is kept."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""An engine gets at most the factor times what its limit allows in a window,
and the extra requests."""

BACKOFF_S = 3.0
BACKOFF_SLACK_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
"""An engine that asks a node for a backoff gets at most so many requests from
it between the slack and the end of the backoff."""

TIME_SLACK_S = 0.5
MAX_EXCESSIVE_TIMES = 20
MAX_EXCESSIVE_SHARE = 0.2
"""Engines may be handed more time than is left, by more than the slack, in so
many requests, and in that share of these and of all that were sent again later
than the slack."""

MAX_ATTEMPTS = 2
MAX_REQUESTS_OVER_ATTEMPTS = 3
"""At most so many requests run on more engines than their route allows."""

LAYERS = 80
LAYER_MB = 1750.0
ENGINE_MB = 72_000.0
"""Two engines of this size hold the model; a zone of four has a spare copy."""

MAX_NODES = 100
MAX_ENGINES = 150
"""Each process has its own address in one network of 254."""

NODE_PORT = 8227
READY_PORT = 8220
DIRECTORY_PORT = 8224
PEERS_PORT = 8230
METRICS_PORT = 8231
STORE_PORT = 8223
ENGINE_PORT = 9000

MAX_GENERATIONS = 6
"""Number of engines that may follow each other at one place, if each node has
links of its own."""

NODE_VIEW_PORT = 20_000
"""Ports from here on belong to the links of single nodes, a hundred each."""

NODE_VIEW_PORTS = 100
NODE_VIEW = re.compile(r":2\d\d(\d\d)\b")


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """Size and seed of a soak.

    Attributes:
        seconds: How long faults are injected.
        engines: Engines of both services; a fifth of them are plain.
        clients: Callers, each with one request at a time.
        stalls_per_s: Mean rate of short stalls of all links; see ``stalls``.
        limits: Number of times that an engine names a rate limit for a while.
        cuts: Number of times that nodes lose all engines for a while.
        backoffs: Number of times that an engine asks for a backoff.
        pauses: Number of series in which sound engines fall silent.
        long_pauses: Number of times that many sound engines fall silent for
            seconds.
        plain_clients: Callers that send plain requests only. Their routes then
            end sooner than callers do, as in all deployments.
        lapses: Number of times that many engines stand still until their
            registry entries have expired, and go on.
        erratic: Number of times that an engine responds erratically for a
            while, and that an engine takes over the address of another.
        restores: Number of times that the store returns from an older copy.
        erratic_services: Number of times that all engines of a service respond
            erratically for a while.
        allowance: Repeats of all nodes in a window beyond the ratio.
        endless: Number of times that an engine responds without end for a
            while.
        direct: Whether links have no proxies, and no faults. The harness, which
            runs all proxies, then allows for more processes.
        partitions: Number of times that nodes lose all engines for a while, cut
            outside the node. Each node then has a process for its links.
        partition: Kind of all partitions; empty to draw it.
        partitioned: Number of nodes that each partition cuts; 0 to draw it.
        open_callers: Callers that send first tries at a steady rate.
        is_calm: Whether no other faults are drawn.
        plain_health: Whether the plain service has a health check.
    """

    seed: int
    seconds: float = 30.0
    nodes: int = 4
    engines: int = 10
    clients: int = 16
    stalls_per_s: float = 0.0
    limits: int = 0
    cuts: int = 0
    backoffs: int = 0
    pauses: int = 0
    long_pauses: int = 0
    lapses: int = 0
    plain_clients: int = 0
    restores: int = 0
    erratic: int = 0
    erratic_services: int = 0
    allowance: int = 200
    endless: int = 0
    direct: bool = False
    partitions: int = 0
    partition: str = ""
    partitioned: int = 0
    open_callers: int = 0
    is_calm: bool = False
    plain_health: bool = False

    def repeats(self) -> relay_settings.RepeatsSection:
        """Returns the retry budget of all nodes."""
        return relay_settings.RepeatsSection(
            ratio=0.2, window_s=10.0, allowance=float(self.allowance)
        )

    def create_configuration(self) -> Configuration:
        """Returns the configuration at the start."""
        if not self.plain_clients:
            return Configuration(has_plain_health=self.plain_health)
        return Configuration(
            plain_limits={
                "timeoutMs": SHORT_TIMEOUT_MS,
                "targetLatencyMs": SHORT_OBJECTIVE_MS,
            },
            has_plain_health=self.plain_health,
        )

    def has_pauses(self) -> bool:
        """Returns whether engines fall silent that go on."""
        return any((self.pauses, self.long_pauses, self.lapses))

    def plain_engines(self) -> int:
        """Returns how many endpoints serve plain requests."""
        return max(2, self.engines // 5)

    def model_engines(self) -> int:
        """Returns how many engines hold layers."""
        return self.engines - self.plain_engines()


class Network:
    """Loopback addresses of one soak.

    The process id of the harness selects the network, so concurrent soaks use
    different ones; other tests use addresses below 127.201.
    """

    def __init__(self, pid: int | None = None, prefix: str = "") -> None:
        pid = os.getpid() if pid is None else pid
        self.prefix = prefix or f"127.{201 + pid % 54}.{pid // 54 % 256}"

    def node(self, index: int, port: int) -> str:
        return f"{self.prefix}.{1 + index}:{port}"

    def engine(self, index: int, generation: int) -> str:
        host = f"{self.prefix}.{1 + MAX_NODES + index}"
        return f"{host}:{ENGINE_PORT + generation}"

    def store(self, view: int = 0) -> str:
        """Returns the address of the store.

        Args:
            view: One more than the index of the node that reads there, if it
                has links of its own.
        """
        return f"{self.prefix}.254:{STORE_PORT + view}"


def address_for_node(address: str, node: int) -> str:
    """Returns the address of a node's own link to an engine."""
    host, _, port = address.rpartition(":")
    first = NODE_VIEW_PORT + NODE_VIEW_PORTS * node
    return f"{host}:{first + int(port) - ENGINE_PORT}"


def engine_addresses(text: str) -> str:
    """Replaces addresses of nodes' own links by those of their engines."""
    return NODE_VIEW.sub(lambda found: f":{ENGINE_PORT + int(found[1])}", text)


PLAIN_DEADLINE_S = 4.0
"""Time for which callers wait for plain responses."""

SHORT_TIMEOUT_MS = 2_000
SHORT_OBJECTIVE_MS = 200
"""Limit and objective of plain routes that end sooner than their callers."""

SETTINGS = """
[node]
name = {name}
zone = {zone}
log_lines_per_s = {log_lines}
[entry]
address = {entry}
ready_address = {ready}
directory_address = {directory}
directory_hold_s = 1
[peers]
address = {peers}
[platform]
address = {store}
[metrics]
address = {metrics}
[drain]
grace_s = {grace_s}
[repeats]
ratio = 0.2
window_s = 10
allowance = {allowance}
"""


@dataclasses.dataclass(slots=True)
class Configuration:
    """The operator's configuration, which changes during a soak.

    Attributes:
        extra_routes: Numbers of the added routes that were not removed yet.
        key_number: Number of the rotating account's current key.
        plain_limits: Limit and objective of plain routes, if they have their
            own.
        has_plain_health: Whether the plain service has a health check.
    """

    version: int = 1
    extra_routes: list[int] = dataclasses.field(default_factory=list)
    key_number: int = 0
    routes_made: int = 0
    plain_limits: dict[str, int] = dataclasses.field(default_factory=dict)
    has_plain_health: bool = False

    def rotating_key(self) -> str:
        return f"key-rotating-{self.key_number}"

    def to_wire(self) -> dict[str, Any]:
        """Returns the row value that the operator writes to the store."""
        streams = {"kind": "streaming", "service": MODEL_SERVICE}
        plain = {"service": PLAIN_SERVICE, **self.plain_limits}
        made = [
            route("chat", **streams, canResume=True),
            route("talk", **streams),
            route("once", kind="unsafe", **plain),
            route("look", kind="safe", **plain),
        ]
        for number in self.extra_routes:
            made.append(route(f"extra{number}", kind="safe", **plain))
        return {
            "version": self.version,
            "routes": made,
            "services": [
                model_service(),
                plain_service(self.has_plain_health),
            ],
            "limits": {"maxBodyBytes": 100_000, "idleTimeoutMs": 15_000},
            "tenants": [
                {"name": STEADY_ACCOUNT, "apiKeys": [STEADY_KEY]},
                {"name": ROTATING_ACCOUNT, "apiKeys": [self.rotating_key()]},
            ],
        }


def route(name: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "timeoutMs": 20_000,
        "targetLatencyMs": 500,
        "gapAimMs": 200,
        # Two even for routes whose kind allows only one run: the kind decides
        # what is retried, not this number.
        "maxAttempts": MAX_ATTEMPTS,
        **more,
    }


def plain_service(has_health: bool) -> dict[str, Any]:
    service: dict[str, Any] = {"name": PLAIN_SERVICE, "maxConnections": 200}
    if has_health:
        service["healthPath"] = standin_engines.HEALTH_PATH
    return service


def model_service() -> dict[str, Any]:
    step_ms = EVENT_INTERVAL_S * 1000 / 2
    return {
        "name": MODEL_SERVICE,
        "healthPath": standin_engines.HEALTH_PATH,
        "maxConnections": 400,
        "engine": {
            "slots": 96,
            "kvTokenBytes": 1_836_000,
            "models": [{"name": "m", "loadS": 1.0}],
            "step_ms": step_ms,
            "per_seq_ms": 0.01,
            "context_per_k": 0.01,
            "read_per_s": 100_000.0,
            "usual": {"prompt": 100, "answer": 50},
            "layers": LAYERS,
            "layerMb": LAYER_MB,
            "kinds": [{"name": "big", "mb": ENGINE_MB, "pace": 2.0}],
        },
    }
