"""Builds a node from its ports and starts its parts in order."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING
from typing import Any

from almondshift import log_events
from almondshift.adapters import fleet_text
from almondshift.adapters import keys
from almondshift.coordination import claims
from almondshift.coordination import lease as leases
from almondshift.coordination import membership as memberships
from almondshift.coordination import versioned_config
from almondshift.node import at_most_once
from almondshift.node import completions
from almondshift.node import config_spread
from almondshift.node import directory
from almondshift.node import entries
from almondshift.node import gateway
from almondshift.node import kept_inputs
from almondshift.node import load_exchange
from almondshift.node import objectives
from almondshift.node import operations
from almondshift.node import plain_calls
from almondshift.node import reconciler
from almondshift.node import router_driver
from almondshift.node import seeds
from almondshift.node import stage_calls
from almondshift.policy import events
from almondshift.policy import step_timeouts

if TYPE_CHECKING:
    import random

    from almondshift.adapters import settings as node_settings
    from almondshift.model import fleet
    from almondshift.policy import placements
    from almondshift.policy import routers
    from almondshift.ports import clocks
    from almondshift.ports import engines
    from almondshift.ports import operations as operation_ports
    from almondshift.ports import peers
    from almondshift.ports import plain_services
    from almondshift.ports import stores
    from almondshift.ports import vm_lists

CONTROL_LEASE = "control"

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class NodePorts:
    """What a node reaches the outside through."""

    clock: clocks.Clock
    table: stores.TableStore
    objects: stores.ObjectStore
    vm_list: vm_lists.VmList
    engines: engines.EngineFactory
    plain: plain_services.PlainService
    link: peers.PeerLink


@dataclasses.dataclass(frozen=True, slots=True)
class NodeChoices:
    """What may be exchanged against a baseline."""

    router: routers.Router
    planner: placements.Planner
    completions: completions.CompletionSettings = dataclasses.field(
        default_factory=completions.CompletionSettings
    )
    directory: directory.DirectorySettings = dataclasses.field(
        default_factory=directory.DirectorySettings
    )


class LeaseGuard(reconciler.OrderGuard):
    """Allows orders while the control lease is held."""

    def __init__(self, lease: leases.Lease) -> None:
        self.lease = lease

    def fencing(self) -> int | None:
        """Returns the fencing number of a grant that holds now."""
        grant = self.lease.grant()
        return grant.fencing if grant else None


class Node:
    """One node of the system.

    Attributes:
        gateway: Where the HTTP front sends callers.
        operations: Where the HTTP front sends operators.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        ports: NodePorts,
        choices: NodeChoices,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.entry_address = settings.entry_advertise
        clock = ports.clock
        self.driver = router_driver.create_router_driver(choices.router, clock)
        timeouts = step_timeouts.create_step_timeouts()
        self.directory = directory.Directory(
            ports.vm_list,
            ports.engines,
            self.driver,
            timeouts,
            clock,
            rng,
            choices.directory,
        )
        self.config = versioned_config.create_versioned_config(
            ports.table,
            clock,
            rng,
            fleet_text.parse,
            versioned_config.ConfigSettings(interval_s=settings.poll_s),
        )
        self.lease = leases.create_lease(
            ports.table,
            clock,
            rng,
            CONTROL_LEASE,
            settings.name,
            _lease_settings(settings.lease_s),
        )
        self.seeds = seeds.create_seed_rows(
            ports.table, clock, rng, settings.name, settings.peer_seeds
        )
        self.membership = memberships.create_membership(
            ports.link,
            clock,
            rng,
            memberships.NodeIdentity(
                settings.name, settings.peer_advertise, "", settings.zone
            ),
            self.seeds.addresses,
        )
        self.load_exchange = load_exchange.create_load_exchange(
            self.membership,
            self.directory,
            self.driver,
            self.driver.usage,
            clock,
            rng,
        )
        self.directory.watches = self.load_exchange.watches
        questions = at_most_once.ClaimQuestions(self.membership)
        self.claims = claims.create_claims(
            ports.table, ports.objects, clock, rng, settings.name, questions.ask
        )
        questions.use(self.claims)
        self.spread = config_spread.create_config_spread(
            self.config, self.membership, clock, rng
        )
        self.reconciler = reconciler.Reconciler(
            LeaseGuard(self.lease),
            self.directory,
            lambda: self.config.value,
            choices.planner,
            clock,
            rng,
            reconciler.ReconcilerSettings(),
        )
        self.budget = kept_inputs.create_kept_inputs(settings.kept_inputs_bytes)
        self.counts = objectives.create_objective_counts(clock)
        self.entries = entries.EntryList(
            self.membership,
            self.load_exchange,
            lambda: self.config.value,
            lambda: self.entry_address,
            clock,
            rng,
        )
        self.gateway = gateway.NodeGateway(
            completions.CompletionService(
                stage_calls.NodeStageCalls(self.directory, self.driver),
                self.driver,
                self.budget,
                clock,
                choices.completions,
            ),
            plain_calls.PlainCalls(
                ports.plain, self.directory, self.driver, clock
            ),
            at_most_once.AtMostOnce(self.claims),
            self.entries.answer,
            lambda: self.config.value is not None,
        )
        self.operations = operations.NodeOperations(
            self.config, self.status, self.counts.snapshot
        )
        self.config.subscribe(self._apply)

    async def start(self, entry_address: str) -> None:
        """Starts all parts; callers may come as soon as it returns.

        Args:
            entry_address: ``host:port`` on which callers are served.
        """
        self.entry_address = self.settings.entry_advertise or entry_address
        self.membership.node = dataclasses.replace(
            self.membership.node, entry_address=self.entry_address
        )
        await self.driver.start()
        await self.membership.start()
        await self.seeds.start(self.membership.node.peer_address)
        await self.spread.start()
        await self.config.start()
        await self.directory.start()
        await self.load_exchange.start()
        await self.lease.start()
        await self.claims.start()
        await self.reconciler.start()

    async def close(self) -> None:
        """Closes all parts, those that others rely on last."""
        await self.reconciler.close()
        await self.load_exchange.close()
        await self.lease.close()
        await self.claims.close()
        await self.spread.close()
        await self.config.close()
        await self.seeds.close()
        await self.membership.close()
        await self.driver.close()
        await self.directory.close()

    def status(self) -> dict[str, Any]:
        """Returns this node's state as a JSON object."""
        current = self.config.current
        grant = self.lease.grant()
        return {
            "node": self.settings.name,
            "zone": self.settings.zone,
            "config": {
                "version": current.version if current else 0,
                "verified": current.verified if current else False,
            },
            "lease": {
                "holder": self.settings.name if grant else None,
                "fencing": grant.fencing if grant else None,
            },
            "nodes": [self._own_row(), *self._peer_rows()],
            "endpoints": self._endpoint_rows(),
            "services": self._service_rows(),
            "quarantine": [],
        }

    def _own_row(self) -> dict[str, Any]:
        return {
            "name": self.settings.name,
            "entry": self.entry_address,
            "zone": self.settings.zone,
            "state": "alive",
        }

    def _peer_rows(self) -> list[dict[str, Any]]:
        return [
            {
                "name": peer.name,
                "entry": peer.entry_address,
                "zone": peer.zone,
                "state": peer.state.value,
            }
            for peer in self.membership.peers()
        ]

    def _endpoint_rows(self) -> list[dict[str, Any]]:
        rows = []
        for name, known in sorted(self.directory.endpoints.items()):
            report = known.report
            holdings = report.holdings if report else ()
            rows.append(
                {
                    "name": name,
                    "kind": known.vm.kind.value,
                    "zone": known.vm.zone,
                    "leaving": known.leaving,
                    "holdings": [_describe_holding(h) for h in holdings],
                }
            )
        return rows

    def _service_rows(self) -> list[dict[str, Any]]:
        value = self.config.value
        services = value.services if value else {}
        return [
            {"name": name, "ready": self.driver.router.service_ready(name)}
            for name in sorted(services)
        ]

    def _apply(
        self, version: operation_ports.ConfigVersion, value: fleet.Fleet
    ) -> None:
        previous = self.gateway.current
        self.gateway.current = value
        self.gateway.key_table = keys.create_key_table(value.accounts)
        self.counts.use(value)
        self.driver.tell(
            events.FleetChanged(self.ports.clock.monotonic(), value)
        )
        log_events.emit(
            logger,
            log_events.ConfigApplied(
                version=version.version,
                previous=previous.version if previous else 0,
                verified=version.verified,
            ),
        )


def _describe_holding(held: Any) -> dict[str, Any]:
    return {
        "model": held.model,
        "version": held.version,
        "adapter": held.adapter,
        "layers": f"{held.layers.start}-{held.layers.end}",
        "ready": held.ready,
    }


def _lease_settings(duration_s: float) -> leases.LeaseSettings:
    return leases.LeaseSettings(
        duration_s=duration_s,
        renew_s=duration_s / 4,
        watch_s=duration_s / 3,
    )


def create_node(
    settings: node_settings.NodeSettings,
    ports: NodePorts,
    choices: NodeChoices,
    rng: random.Random,
) -> Node:
    """Builds a node; not started yet."""
    return Node(settings, ports, choices, rng)
