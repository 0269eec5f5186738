"""A relay node: its components, their start-up and graceful shutdown."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.coordination import lease as coordination_lease
from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.policy import answer_times
from almondshift.policy import buffer_budget
from almondshift.policy import endpoint_choice
from almondshift.policy import engine_tracker
from almondshift.policy import feed_readers
from almondshift.policy import first_event_wait
from almondshift.policy import group_size
from almondshift.policy import isolation
from almondshift.policy import path_choice
from almondshift.policy import pooled_load
from almondshift.policy import repeat_budget
from almondshift.policy import unproven_runs
from almondshift.relay import background
from almondshift.relay import catalogue
from almondshift.relay import context
from almondshift.relay import crash_watch
from almondshift.relay import drain
from almondshift.relay import endpoint_calls
from almondshift.relay import endpoint_limits
from almondshift.relay import engine_reach
from almondshift.relay import exchange_metrics
from almondshift.relay import first_read
from almondshift.relay import gateway
from almondshift.relay import group
from almondshift.relay import layer_keeper
from almondshift.relay import lost_engines
from almondshift.relay import observer
from almondshift.relay import peer_paths
from almondshift.relay import refusing_engines
from almondshift.relay import restored_rows
from almondshift.relay import runs
from almondshift.relay import shared_feed
from almondshift.relay import shared_secret
from almondshift.relay import silence_watch
from almondshift.relay import table_watch

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.adapters import relay_settings
    from almondshift.model import registered_engines
    from almondshift.ports import clocks
    from almondshift.ports import path_engines
    from almondshift.ports import peer_entries
    from almondshift.ports import peers
    from almondshift.ports import row_feeds
    from almondshift.ports import stores

LEASE_NAME = "layers"
LEASE_SETTINGS = coordination_lease.LeaseSettings(
    duration_s=3.0, renew_s=1.0, watch_s=0.8, idle_watch_s=3.0
)
"""Contenders read the lease row every ``idle_watch_s`` while peers see its
holder alive, and every ``watch_s`` otherwise."""

MEMBERSHIP_SETTINGS = peer_types.MembershipSettings(
    interval_s=1.0,
    call_timeout_s=0.4,
    suspect_after_heartbeats=2,
    propagation_s=1.0,
    seed_interval_s=1.0,
    startup_s=2.0,
    heartbeats_per_s=40.0,
    bytes_per_s=20_000.0,
)
"""Addresses outside the group are tried every second, so that nodes that
started during a store outage, or lost contact, find each other in seconds."""

TICK_S = 0.25

ENGINE_CHANGE_PAUSE_S = 0.2
"""Pause after engine changes, in seconds. Changes come in groups; without the
pause every engine that starts costs each reader a call to the store."""

FIRST_READ_PAUSE_S = 0.8
"""Pause after the first read, in seconds; limits calls to the store, which
nodes that have not yet found each other all poll themselves."""

SETTLE_S = 3.0
"""Time after joining in which a node may not know all of its peers, in seconds;
until then the rows in the store decide which nodes contend for the lease."""

MAX_CONTENDERS = 6
"""Number of nodes that contend for the lease; enough that a partial store
outage rarely affects all of them."""

MAX_TICK_DELAY_S = 1.0
"""Delay of the periodic tick above which the process counts as suspended, in
seconds."""

STOP_MARGIN_S = 0.3
"""Time before the end of the grace period at which unfinished responses are
cut, in seconds; leaves a slow VM time to send the final bytes."""

STOP_TICK_S = 0.05
MS_PER_S = 1000.0

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPorts:
    """External dependencies of a node.

    Attributes:
        config_table: Table with the operators' configuration.
        config_key: Key of the configuration row.
        engine_table: Table with the engine registry.
        create_link: Creates the link to peers from the shared secret.
    """

    clock: clocks.Clock
    rng: random.Random
    table: stores.TableStore
    feed: row_feeds.RowFeed
    engines: path_engines.PathEngines
    peer_entries: peer_entries.PeerEntries
    decoders: catalogue.Decoders
    config_table: str
    config_key: str
    engine_table: str
    create_link: Callable[[str], peers.PeerLink]


class RelayNode:
    """The application of a relay node.

    Attributes:
        gateway: Accepts callers' requests.
        shared: Components that all requests use.
        is_front_idle: Returns whether no caller is in the middle of sending or
            receiving a message; shutdown waits for that.
    """

    def __init__(
        self, settings: relay_settings.RelaySettings, ports: RelayPorts
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.catalogue = catalogue.Catalogue(ports.decoders, ports.config_key)
        self.tracker = engine_tracker.EngineTracker()
        self.feed = shared_feed.create_shared_feed(
            ports.feed, ports.clock, ports.rng
        )
        self.first_read = first_read.create_first_read(ports.rng)
        self.config_watch = self._watch(ports.config_table)
        self.config_watch.order = ports.decoders.config_order
        self.engine_watch = self._watch(ports.engine_table)
        self.engine_watch.order = ports.decoders.engine_order
        for watch in (self.config_watch, self.engine_watch):
            watch.pause_s = FIRST_READ_PAUSE_S
            watch.ask_at_start = self.first_read.ask
        repeats = settings.repeats
        relay_observer = observer.create_relay_observer()
        self.exchange_metrics = exchange_metrics.ExchangeMetrics(
            relay_observer.registry
        )
        endpoints = endpoint_choice.EndpointChooser(ports.rng)
        links = isolation.ServiceLinks()
        lost = lost_engines.create_lost_engines(
            ports.clock, self.catalogue, self.tracker, relay_observer
        )
        self.shared = context.RelayContext(
            zone=settings.node.zone,
            clock=ports.clock,
            rng=ports.rng,
            catalogue=self.catalogue,
            engines=ports.engines,
            tracker=self.tracker,
            paths=path_choice.create_path_chooser(self.tracker, ports.rng),
            endpoints=endpoints,
            budget=repeat_budget.RepeatBudget(
                repeat_budget.RepeatLimits(
                    repeats.ratio, repeats.window_s, repeats.allowance
                ),
                ports.clock.monotonic(),
            ),
            unproven_runs=unproven_runs.UnprovenRuns(
                lambda: self.shared.budget.nodes,
                lambda: self.rows.position(),
                self.tracker.is_known_ended,
            ),
            limits=endpoint_limits.create_endpoint_limits(
                ports.clock, ports.rng, self.catalogue, relay_observer
            ),
            peer_paths=peer_paths.PeerPaths(
                ports.clock,
                ports.rng,
                self.catalogue,
                self.tracker,
                endpoints,
                links,
                ports.peer_entries,
            ),
            links=links,
            crash_watch=crash_watch.create_crash_watch(
                ports.clock, ports.engines
            ),
            lost_engines=lost,
            refusing_engines=refusing_engines.create_refusing_engines(
                ports.clock, self.catalogue, self.tracker, ports.engines, lost
            ),
            observer=relay_observer,
            response_times=answer_times.create_answer_times(),
            first_event_waits=first_event_wait.create_first_event_wait(),
            drain=drain.NodeDrain(ports.clock),
            buffers=buffer_budget.create_buffer_budget(
                settings.memory.buffer_bytes, call_soon
            ),
            registry_age_s=self.engine_watch.age_s,
            engine_notice_s=settings.engines.notice_ms / MS_PER_S,
        )
        self.shared.buffers.on_given_up.append(relay_observer.buffer_given_up)
        limits = self.shared.limits
        limits.known_nodes = lambda: self.shared.budget.nodes
        limits.is_leaving = lambda: self.shared.drain.is_begun
        self.shared.paths.limited = limits.known
        self.shared.paths.candidates.isolated_nodes = (
            self.shared.peer_paths.isolated_nodes
        )
        ports.engines.observer = endpoint_calls.EndpointCalls(
            limits,
            self.catalogue,
            self.tracker,
            self.shared.refusing_engines,
            links,
            relay_observer,
            ports.clock,
        )
        self.reach = engine_reach.EngineReach(self.shared)
        lost.is_isolated = links.is_isolated
        self.shared.crash_watch.is_leaving = self.is_leaving
        self.shared.crash_watch.on_ended = self.tracker.note_ended
        self.shared.crash_watch.parts.on_refused = self.end_refused_runs
        self.reach.on_isolated = self.leave_endpoints
        self.reach.on_restored = self.restore_endpoints
        self.gateway = gateway.Gateway(
            self.shared, self.config_watch, settings.entry.address
        )
        self.silence = silence_watch.SilenceWatch(self.shared)
        self.keeper = layer_keeper.create_layer_keeper(
            self.shared,
            coordination_lease.create_lease(
                ports.table,
                ports.clock,
                ports.rng,
                LEASE_NAME,
                settings.node.name,
                LEASE_SETTINGS,
            ),
        )
        self.rows = group.NodeRows(ports.table, ports.clock)
        self.secret = shared_secret.SharedSecret(ports.table)
        self.restored_rows = restored_rows.RestoredRows(
            self.rows, self.secret, ports.clock, ports.rng
        )
        self.keeper.lease.may_contend = self.may_contend
        self.keeper.lease.may_hold = self.may_hold_lease
        self.keeper.lease.may_take_absent = lambda: self.secret.is_of_era(
            ports.table.era
        )
        self.keeper.is_cut_off = self.shared.peer_paths.is_cut_off
        self.group: group.Group | None = None
        self.size = group_size.GroupSize(ports.clock.monotonic())
        self.joined_at = math.inf
        self.work = background.Background()
        self.last_tick_at = ports.clock.monotonic()
        self.is_front_idle: Callable[[], bool] = lambda: True
        self.connect_callbacks()

    def connect_callbacks(self) -> None:
        """Connects the callbacks of the components."""
        self.config_watch.on_rows = self.apply_config
        self.config_watch.on_full_read = lambda rows: self.apply_config(
            list(rows), True
        )
        self.ports.feed.on_era.append(self.note_era)
        self.engine_watch.on_rows = self.apply_engines
        self.engine_watch.on_full_read = self.apply_registry
        self.catalogue.on_leaving.append(self.engine_leaving)
        self.catalogue.on_gone.append(self.engine_gone)
        self.catalogue.on_restarted.append(self.engine_restarted)
        self.catalogue.on_engine.append(self.engine_changed)

    async def start(self) -> None:
        """Starts all components; joins the group once the store responds."""
        await self.config_watch.start()
        await self.engine_watch.start()
        await self.silence.start()
        await self.reach.start()
        await self.keeper.start()
        self.work.run(self.join())
        self.work.repeat(TICK_S, self.tick, "the node's periodic work failed")
        log_events.emit(
            logger,
            log_events.NodeStarted(
                self.settings.node.zone,
                self.settings.entry.address,
                self.settings.peers.address,
                "0.1.0",
            ),
        )

    async def close(self) -> None:
        """Stops all components."""
        await self.work.close()
        await self.gateway.close()
        await self.keeper.close()
        await self.reach.close()
        await self.silence.close()
        await self.shared.refusing_engines.close()
        await self.shared.limits.close()
        await self.shared.crash_watch.close()
        if self.group is not None:
            await self.group.close()
        await self.engine_watch.close()
        await self.config_watch.close()

    async def join(self) -> None:
        """Joins the group of nodes."""
        secret = await self.secret.obtain()
        name = self.settings.node.name
        self.restored_rows.begin(self.ports.table.era)
        while not await self.rows.announce(name, self.settings.peers.address):
            await asyncio.sleep(group.RETRY_S)
        members = membership.create_membership(
            self.ports.create_link(secret),
            self.ports.clock,
            self.ports.rng,
            peer_types.NodeIdentity(
                name,
                self.settings.peers.address,
                self.settings.entry.address,
                self.settings.node.zone,
            ),
            self.rows.peer_addresses,
            MEMBERSHIP_SETTINGS,
            self.exchange_metrics,
        )
        node_group = group.Group(members)
        self.secret.on_changed = lambda text: self.replace_secret(
            members.link, text
        )
        for watch in (self.config_watch, self.engine_watch):
            node_group.register_handler(
                watch.table, peer_request_handler(watch)
            )
            watch.ask_peers = node_group.ask
        self.feed.group = node_group
        self.shared.crash_watch.join(node_group)
        self.shared.lost_engines.join(node_group)
        self.shared.refusing_engines.join(node_group)
        self.shared.limits.join(node_group)
        self.ports.peer_entries.secret = secret
        self.shared.peer_paths.join(node_group)
        # Read before the first gossip exchange, which takes longer: callers
        # reconnect at once, and sharing their load requires the node count.
        await self.rows.peer_addresses()
        await node_group.start()
        self.first_read.join(members, self.rows.addresses)
        self.work.run(self.shared.crash_watch.learn())
        self.group = node_group
        self.joined_at = self.ports.clock.monotonic()
        if self.shared.drain.is_begun:
            # Shutdown began before the node had peers to notify. Without this
            # announcement peers would keep sending callers to it.
            await members.announce_leaving()
        self.update_node_counts(node_group)
        self.gateway.group = node_group
        self.work.run(self.sweep_rows(node_group))
        self.rows.is_alone = lambda: not node_group.serving()
        self.restored_rows.nodes = lambda: 1 + len(node_group.serving())
        self.restored_rows.checks_secret = lambda: node_group.is_among_first(
            MAX_CONTENDERS
        )
        self.work.run(self.restored_rows.check_new_secret(self.ports.table.era))
        self.keeper.lease.is_holder_alive = node_group.is_alive

    def replace_secret(self, link: peers.PeerLink, text: str) -> None:
        """Uses another secret, and finds the nodes that share it."""
        link.secret = text
        self.ports.peer_entries.secret = text
        self.rows.next_read_at = 0.0

    def note_store_era(self) -> None:
        """Writes this node's rows again if the store lost newer writes."""
        era = max(self.ports.table.era, self.feed.era)
        if self.restored_rows.note_era(era):
            self.keeper.pause_after_restore()
            self.work.run(self.restored_rows.write())

    def may_contend(self) -> bool:
        """Returns whether this node currently contends for the lease.

        If all nodes that start together did, each would poll the lease row
        until it knows its peers.
        """
        settled_at = self.joined_at + SETTLE_S
        if self.group is None or self.ports.clock.monotonic() < settled_at:
            return self.rows.is_among_first(MAX_CONTENDERS)
        return self.group.is_among_first(MAX_CONTENDERS)

    def may_hold_lease(self) -> bool:
        """Returns whether this node reaches the engines that it may order.

        Otherwise it would take all engines for dead, and move layers to the
        few that it still reaches.
        """
        return not any(
            self.shared.peer_paths.is_cut_off(service)
            for service in self.shared.links.by_service
            if self.catalogue.view(service) is not None
        )

    async def sweep_rows(self, node_group: group.Group) -> None:
        """Removes rows of nodes that are gone while this node has the lease.

        Only the lease holder does this, so that not every node has to read the
        rows of all others.
        """
        while True:
            await asyncio.sleep(group.SWEEP_INTERVAL_S)
            if self.keeper.lease.grant() is None:
                continue
            for name in await self.rows.sweep(node_group.names()):
                log_events.emit(logger, log_events.NodeRowRemoved(name))

    def tick(self) -> None:
        """Does periodic work.

        Detects that the process was suspended, drops what has expired, logs
        changes of peers, and updates node counts and poll times.
        """
        now = self.ports.clock.monotonic()
        suspended_s = now - self.last_tick_at - TICK_S
        self.last_tick_at = now
        if suspended_s > MAX_TICK_DELAY_S:
            log_events.emit(
                logger, log_events.NodeResumed(round(suspended_s, 2))
            )
        self.shared.buffers.recount()
        self.shared.observer.buffered_bytes.set(self.shared.buffers.held_bytes)
        if self.group is not None:
            self.exchange_metrics.update_pending(self.group.members)
        self.note_store_era()
        if self.catalogue.has_due_removals(now):
            self.work.run(self.expire_removals())
        self.shared.crash_watch.tick()
        self.shared.peer_paths.announce()
        if self.group is not None:
            self.group.log_changes()
            nodes = self.update_node_counts(self.group)
            wait_s = table_watch.WAIT_S
            if nodes > feed_readers.FEW_NODES:
                wait_s = feed_readers.READER_WAIT_S
            for watch in (self.config_watch, self.engine_watch):
                watch.wait_s = wait_s
            self.config_watch.pause_s = 0.0
            self.engine_watch.pause_s = ENGINE_CHANGE_PAUSE_S

    async def expire_removals(self) -> None:
        """Drops engines whose removal is no longer held back.

        Asks the store first: they are kept while it is unavailable, and if it
        began another era meanwhile, since their entries can't be back yet.
        """
        if await self.engine_watch.confirm(TICK_S):
            self.catalogue.expire_removals(self.ports.clock.monotonic())

    def update_node_counts(self, node_group: group.Group) -> int:
        """Updates the node counts of load sharing and of the retry budget.

        Returns:
            Number of live nodes, this one included.
        """
        now = self.ports.clock.monotonic()
        serving_peers = len(node_group.serving())
        registered_nodes = len(self.rows.addresses)
        self.shared.paths.nodes = self.size.nodes(
            serving_peers, registered_nodes, now
        )
        self.tracker.query_factor = pooled_load.query_interval_factor(
            1 + serving_peers
        )
        # Before the rows were read, this node may know none of many peers.
        if self.rows.names:
            self.shared.budget.note_nodes(
                max(1 + serving_peers, registered_nodes), now
            )
        return 1 + serving_peers

    def note_era(self, previous: int, era: int) -> None:
        """Makes all tables be read again in a new era of the store."""
        del previous
        self.feed.note_era(era)
        for watch in (self.config_watch, self.engine_watch):
            watch.note_era(era)
        self.note_store_era()

    def apply_config(
        self, rows: list[row_feeds.FeedRow], verified: bool
    ) -> None:
        """Applies rows of the operators' configuration table."""
        for row in rows:
            self.catalogue.apply_config_row(row, verified)

    def apply_engines(
        self, rows: list[row_feeds.FeedRow], verified: bool
    ) -> None:
        """Applies changed entries of the engine registry."""
        del verified
        now = self.ports.clock.monotonic()
        for row in rows:
            self.catalogue.apply_engine_row(
                row, now, self.engine_watch.outage_ended_at
            )

    def apply_registry(self, rows: tuple[row_feeds.FeedRow, ...]) -> None:
        """Applies a full read of the engine registry."""
        self.note_store_era()
        now = self.ports.clock.monotonic()
        self.catalogue.apply_whole_registry(
            rows, now, self.engine_watch.outage_ended_at
        )

    def leave_endpoints(self, service: str) -> None:
        """Moves a service's requests to peers, as it can't be reached."""
        self.shared.peer_paths.announce()
        if self.shared.peer_paths.choose(service, frozenset()) is None:
            return
        for run in list(self.shared.running):
            if isinstance(run, runs.Run) and run.routed.service == service:
                run.leave_endpoint()

    def restore_endpoints(self, service: str) -> None:
        """Queries all suspect engines, as a service can be reached again."""
        del service
        self.shared.peer_paths.announce()
        self.tracker.query_all_suspects(self.ports.clock.monotonic())

    def end_refused_runs(self) -> None:
        """Ends requests with a refused part, which may yet crash endpoints."""
        for run in list(self.shared.running):
            if (
                isinstance(run, runs.Run)
                and not run.responder.head_sent
                and self.shared.crash_watch.parts.find_refused(run.routed)
            ):
                run.refuse_crashing()

    def is_leaving(self, instance: str) -> bool:
        """Returns whether an engine was expected to end.

        It announced its shutdown, its health check showed that it drains, or
        its entry left the registry, which some do to shut down.
        """
        engine = self.catalogue.engines.get(instance)
        if engine is None or engine.leaving:
            return True
        is_draining = engine_tracker.Suspicion.DRAINING
        state = self.tracker.states.get(instance)
        return state is not None and state.reason is is_draining

    def engine_changed(
        self, engine: registered_engines.RegisteredEngine
    ) -> None:
        """Uses an engine again that refused because of its former layers.

        Also records crashes of engines whose address another one took over, and
        the return of engines whose entries had expired.
        """
        self.tracker.note_entry(engine.instance)
        self.shared.lost_engines.clear_refusal(engine.instance)
        watch = self.shared.crash_watch
        if not self.tracker.is_known_ended(engine.instance):
            watch.endpoint_back(engine.instance)
        for instance in list(watch.strikes.broken_attempts):
            former = self.catalogue.engines.get(instance)
            if (
                former is not None
                and instance != engine.instance
                and former.address == engine.address
            ):
                watch.endpoint_replaced(instance)

    def engine_leaving(
        self, engine: registered_engines.RegisteredEngine
    ) -> None:
        """Starts moving streams off an engine that is shutting down."""
        self.silence.moves.on_engine_leaving(engine.instance)

    def engine_restarted(
        self, engine: registered_engines.RegisteredEngine
    ) -> None:
        """Moves all work off the previous instance of a restarted engine.

        Pooled connections to it are dead even if no reset has arrived yet. A
        request sent on one of them is lost, and must not be retried if it is
        not idempotent.
        """
        log_events.emit(
            logger, log_events.EndpointRestarted(engine.instance, "registry")
        )
        self.silence.moves.on_engine_lost(
            engine.instance,
            engine_tracker.Suspicion.GONE,
            engine_tracker.Evidence.REGISTRY,
        )
        self.ports.engines.forget(engine.address)
        self.shared.limits.forget(engine.instance)

    def engine_gone(self, engine: registered_engines.RegisteredEngine) -> None:
        """Forgets an engine and its connections, as its address is reused.

        Some engines do not announce that they shut down; only their entry is
        removed. They keep serving for as long as those that announce it, so
        their streams are moved off in the same way.
        """
        self.silence.moves.on_engine_leaving(engine.instance)
        self.silence.forget(engine.instance)
        self.shared.refusing_engines.forget(engine.instance)
        self.shared.crash_watch.endpoint_gone(engine.instance, engine.leaving)
        self.tracker.forget(engine.instance)
        self.shared.endpoints.forget(engine.instance)
        self.shared.limits.forget(engine.instance)
        if self.catalogue.by_address(engine.address) is None:
            self.ports.engines.forget(engine.address)

    async def stop_gracefully(self) -> None:
        """Drains the node: requests in flight finish, new ones go elsewhere."""
        node_drain = self.shared.drain
        settings = self.settings.drain
        node_drain.begin(settings.hold_s, settings.grace_s - STOP_MARGIN_S)
        log_events.emit(
            logger,
            log_events.NodeDraining(
                settings.hold_s, settings.grace_s, len(self.shared.running)
            ),
        )
        # The lease is released now so that another node can place layers
        # during the drain. If it were released at the end and the store did
        # not respond for a second, the node would be killed before it closed.
        self.work.run(self.keeper.close())
        if self.group is not None:
            await self.group.members.announce_leaving()
        while node_drain.left_s() > 0:
            if node_drain.refuses_new() and self.is_idle():
                break
            await asyncio.sleep(STOP_TICK_S)
        unfinished = list(self.shared.running)
        for run in unfinished:
            run.cut()
        log_events.emit(
            logger,
            log_events.NodeStopped(
                round(node_drain.since_s(), 3), len(unfinished)
            ),
        )

    def is_idle(self) -> bool:
        """Returns whether no caller is waiting for a response of this node."""
        return not self.shared.running and self.is_front_idle()

    def _watch(self, table: str) -> table_watch.TableWatch:
        return table_watch.create_table_watch(
            self.feed, table, self.ports.clock, self.ports.rng
        )


def call_soon(callback: Callable[[], None]) -> None:
    """Calls a function after the current callback of the event loop."""
    asyncio.get_running_loop().call_soon(callback)


def peer_request_handler(
    watch: table_watch.TableWatch,
) -> membership.Handler:
    """Returns the handler of peers' requests for newer rows of a table."""

    async def handle(sender: str, body: bytes) -> bytes:
        del sender
        return await watch.reply_to_peer(body)

    return handle


def create_relay_node(
    settings: relay_settings.RelaySettings, ports: RelayPorts
) -> RelayNode:
    """Creates a node without starting it."""
    return RelayNode(settings, ports)
