"""Builds a node from its ports and starts its components in order."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.adapters import fleet_text
from almondshift.adapters import keys
from almondshift.coordination import claim_sweep
from almondshift.coordination import claims
from almondshift.coordination import drain as drains
from almondshift.coordination import grouped_writes
from almondshift.coordination import lease as leases
from almondshift.coordination import leaving
from almondshift.coordination import membership as memberships
from almondshift.coordination import peer_types
from almondshift.coordination import quarantine as quarantines
from almondshift.coordination import versioned_config
from almondshift.node import at_most_once
from almondshift.node import completions
from almondshift.node import config_spread
from almondshift.node import crash_guard
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
from almondshift.node import shared_vm_list
from almondshift.node import stage_calls
from almondshift.node import status
from almondshift.node import sweeper
from almondshift.policy import answer_times
from almondshift.policy import events
from almondshift.policy import step_timeouts
from almondshift.ports import peers

if TYPE_CHECKING:
    import random

    from almondshift.adapters import settings as node_settings
    from almondshift.model import fleet
    from almondshift.policy import planners
    from almondshift.policy import router_interface
    from almondshift.ports import clocks
    from almondshift.ports import engines
    from almondshift.ports import operations as operation_ports
    from almondshift.ports import plain_services
    from almondshift.ports import stores
    from almondshift.ports import vm_lists

CONTROL_LEASE = "control"
DISPATCH_SETTLE_TIMEOUT_S = 5.0

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class NodePorts:
    """The ports through which a node reaches external systems."""

    clock: clocks.Clock
    table: stores.TableStore
    objects: stores.ObjectStore
    vm_list: vm_lists.VmList
    engines: engines.EngineFactory
    plain: plain_services.PlainService
    link: peers.PeerLink


@dataclasses.dataclass(frozen=True, slots=True)
class NodeChoices:
    """Components that can be replaced by a baseline for comparison."""

    router: router_interface.Router
    planner: planners.Planner
    completions: completions.CompletionSettings = dataclasses.field(
        default_factory=completions.CompletionSettings
    )
    directory: directory.DirectorySettings = dataclasses.field(
        default_factory=directory.DirectorySettings
    )


class LeaseGuard(reconciler.OrderGuard):
    """Permits orders while this node holds the control lease."""

    def __init__(self, lease: leases.Lease) -> None:
        self.lease = lease

    def fencing(self) -> int | None:
        """Returns the fencing token of the current grant, else None."""
        grant = self.lease.grant()
        return grant.fencing if grant else None


class Node:
    """One node of the system.

    Attributes:
        gateway: Serves the callers' requests of the HTTP front.
        operations: Serves the operators' requests of the HTTP front.
        answer_times: Recent response times, recorded by the HTTP front.
        entry_address: Address under which callers reach this node.
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
        self.rng = rng
        self.entry_address = settings.entry_advertise
        self.driver = router_driver.create_router_driver(
            choices.router, ports.clock
        )
        self._build_coordination()
        self._build_endpoints(choices)
        self._build_request_handling(choices)
        self.counts = objectives.create_objective_counts(ports.clock)
        self.operations = operations.NodeOperations(
            self.config, lambda: status.describe(self), self.counts.snapshot
        )
        self.config.subscribe(self._apply)

    def _build_coordination(self) -> None:
        settings, ports, rng = self.settings, self.ports, self.rng
        self.config = versioned_config.create_versioned_config(
            ports.table,
            ports.clock,
            rng,
            fleet_text.parse,
            versioned_config.ConfigSettings(interval_s=settings.poll_s),
        )
        self.lease = leases.create_lease(
            ports.table,
            ports.clock,
            rng,
            CONTROL_LEASE,
            settings.name,
            _lease_settings(settings.lease_s),
        )
        self.seeds = seeds.create_seed_rows(
            ports.table, ports.clock, rng, settings.name, settings.peer_seeds
        )
        self.membership = memberships.create_membership(
            ports.link,
            ports.clock,
            rng,
            peer_types.NodeIdentity(
                settings.name, settings.peer_advertise, "", settings.zone
            ),
            self.seeds.addresses,
        )
        self.config_syncer = config_spread.create_config_sync(
            self.config, self.membership, ports.clock, rng
        )
        claim_queries = at_most_once.ClaimQueries(self.membership)
        self.grouped = grouped_writes.create_grouped_store(ports.table)
        self.claims = claims.create_claims(
            self.grouped,
            ports.objects,
            ports.clock,
            rng,
            settings.name,
            claim_queries.ask,
            peers=claim_queries,
        )
        claim_queries.attach(self.claims)
        self.sweeper = sweeper.create_sweeper(
            claim_sweep.create_claim_sweep(
                ports.table,
                ports.clock,
                claims.ClaimSettings().unfinished_retention_s,
            ),
            LeaseGuard(self.lease),
            ports.clock,
            rng,
        )

    def _build_endpoints(self, choices: NodeChoices) -> None:
        ports, rng = self.ports, self.rng
        self.leaving = leaving.create_leaving_endpoints(
            ports.clock, self.membership.publish
        )
        self.directory = directory.Directory(
            shared_vm_list.create_shared_vm_list(
                ports.vm_list, self.membership, rng
            ),
            ports.engines,
            self.driver,
            step_timeouts.create_step_timeouts(),
            self.leaving,
            ports.clock,
            rng,
            choices.directory,
        )
        self.load_exchange = load_exchange.create_load_exchange(
            self.membership,
            self.directory,
            self.driver,
            self.driver.usage,
            ports.clock,
            rng,
        )
        self.quarantine = quarantines.create_quarantine(
            ports.clock,
            self.settings.name,
            self.membership.publish,
            self.membership.withdraw,
        )
        self.guard = crash_guard.create_crash_guard(
            self.quarantine,
            self.directory,
            self.load_exchange.rank,
            ports.clock,
        )
        self.directory.watches = self.load_exchange.watches
        self.directory.node_count = lambda: 1 + len(self.membership.peers())
        order_guard = LeaseGuard(self.lease)
        self.directory.plans_placement = lambda: (
            order_guard.fencing() is not None
        )
        self.reconciler = reconciler.Reconciler(
            order_guard,
            self.directory,
            lambda: self.config.value,
            choices.planner,
            ports.clock,
            rng,
            reconciler.ReconcilerSettings(),
        )
        versions = self.load_exchange.versions
        versions.own_versions = choices.router.versions_in_use
        versions.on_change = self.reconciler.wake.set
        self.reconciler.versions_in_use = versions.in_use

    def _build_request_handling(self, choices: NodeChoices) -> None:
        settings, ports = self.settings, self.ports
        self.budget = kept_inputs.create_kept_inputs_budget(
            settings.kept_inputs_bytes
        )
        self.entries = entries.EntryList(
            self.membership,
            self.load_exchange,
            lambda: self.config.value,
            lambda: self.entry_address,
            ports.clock,
            self.rng,
        )
        self.at_most_once = at_most_once.AtMostOnce(self.claims)
        self.answer_times = answer_times.create_answer_times()
        self.drain = drains.create_drain(
            ports.clock,
            drains.DrainSettings(
                hold_s=settings.drain_hold_s,
                margin_s=0.0,
                grace_s=settings.drain_hold_s + settings.drain_grace_s,
            ),
            self._announce_leaving,
            lambda request_id, error: self.gateway.cut(request_id, error),
        )
        self.gateway = gateway.NodeGateway(
            completions.CompletionService(
                stage_calls.NodeStageCalls(
                    self.directory, self.driver, self.guard
                ),
                self.driver,
                self.guard,
                self.budget,
                ports.clock,
                choices.completions,
            ),
            plain_calls.PlainCalls(
                ports.plain,
                self.directory,
                self.driver,
                self.guard,
                ports.clock,
            ),
            self.at_most_once,
            self.entries,
            self.drain,
            self.answer_times.expected_s,
        )

    async def start(self, entry_address: str) -> None:
        """Starts all components; requests may arrive once it returns.

        Args:
            entry_address: ``host:port`` on which callers are served.
        """
        self.entry_address = self.settings.entry_advertise or entry_address
        self.membership.node = dataclasses.replace(
            self.membership.node, entry_address=self.entry_address
        )
        self.membership.subscribe(peers.FactKind.LEAVING, self._on_leaving_fact)
        self.membership.subscribe(
            peers.FactKind.QUARANTINE, self.quarantine.merge
        )
        await self.driver.start()
        await self.membership.start()
        await self.seeds.start(self.membership.node.peer_address)
        await self.config_syncer.start()
        await self.config.start()
        await self.directory.start()
        await self.load_exchange.start()
        await self.lease.start()
        await self.claims.start()
        await self.reconciler.start()
        await self.sweeper.start()

    async def stop_gracefully(self) -> drains.DrainReport:
        """Withdraws this node from the entry lists and drains it.

        The control lease is released at once, so that another node can send
        orders while this one drains. The drain doesn't wait for the release:
        if the store hangs, peers would keep listing this node, and its grace
        period would start later than the platform's.
        """
        await self.reconciler.close()
        lease_release = asyncio.ensure_future(self.lease.close())
        report = await self.drain.run()
        if self.at_most_once.running:
            await asyncio.wait(
                self.at_most_once.running, timeout=DISPATCH_SETTLE_TIMEOUT_S
            )
        await lease_release
        return report

    async def close(self) -> None:
        """Closes all components, each one after those that depend on it."""
        await self.sweeper.close()
        await self.reconciler.close()
        await self.load_exchange.close()
        await self.lease.close()
        await self.claims.close()
        await self.grouped.close()
        await self.config_syncer.close()
        await self.config.close()
        await self.seeds.close()
        await self.membership.close()
        await self.driver.close()
        await self.directory.close()

    async def _announce_leaving(self) -> None:
        self.entries.leaving = True
        await self.membership.announce_leaving()

    def _on_leaving_fact(self, key: str, fact: peers.Fact | None) -> None:
        self.leaving.fact_changed(key, fact)
        self.directory.notify_router_of_leaving()

    def _apply(
        self, version: operation_ports.ConfigVersion, value: fleet.Fleet
    ) -> None:
        previous = self.gateway.current
        self.gateway.current = value
        self.gateway.key_table = keys.create_key_table(value.accounts)
        self.counts.use(value)
        self.driver.notify(
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
    """Builds a node without starting it."""
    return Node(settings, ports, choices, rng)
