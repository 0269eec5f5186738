"""Accepts callers' requests: determines route, client account and service."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.model import routed_requests
from almondshift.model import routing_config
from almondshift.ports import relays
from almondshift.relay import background
from almondshift.relay import endpoint_stream_run
from almondshift.relay import path_run
from almondshift.relay import plain_run
from almondshift.relay import runs
from almondshift.relay import stream_run

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import relayed
    from almondshift.model import routes
    from almondshift.relay import context
    from almondshift.relay import group
    from almondshift.relay import table_watch

DEFAULT_LIMITS = routing_config.CallerLimits(
    header_bytes=65_536,
    body_bytes=16_000_000,
    idle_timeout_s=60.0,
)
"""Limits until a configuration is known; generous, as no request is served
until then."""

MAX_DENIAL_CONFIG_AGE_S = 0.5
"""Maximum age of the configuration, in seconds, for denying a key or route; an
older copy may lack one that was added recently."""

CONFIRM_TIMEOUT_S = 0.4
"""Time-out for confirming the configuration before a denial, in seconds."""

ISOLATED_RETRY_S = 0.5
"""Retry-After of requests that a node can't serve for a peer, in seconds."""

UNUSABLE_RETRY_S = 5.0
"""Retry-After of requests that can be served only after the operators have
changed the configuration, in seconds."""

MAX_PEER_REQUESTS = 100
"""Maximum number of concurrent requests that a node serves for peers; several
times the usual number of its own in a small group."""

STARTING_RETRY_S = 0.5
"""Retry-After of requests that can't be served with the configuration that this
node has, in seconds."""


RUN_CLASSES: dict[tuple[bool, bool], type[runs.Run]] = {
    (True, True): stream_run.StreamRun,
    (True, False): endpoint_stream_run.EndpointStreamRun,
    (False, True): path_run.PathRun,
    (False, False): plain_run.PlainRun,
}
"""How requests run: by whether the route is a stream, and whether the service
has model engines, which form paths."""


class PendingDenial(relays.ActiveRequest):
    """A request whose denial waits until the configuration is confirmed.

    Attributes:
        is_over: Whether the caller disconnected or has been refused.
        run: The run, if the confirmed configuration allows the request.
    """

    def __init__(
        self, refuse: Callable[[errors.AlmondshiftError], None]
    ) -> None:
        self.refuse = refuse
        self.is_over = False
        self.run: relays.ActiveRequest | None = None

    def caller_gone(self) -> None:
        """Marks the caller as gone, and notifies the run if there is one."""
        self.is_over = True
        if self.run is not None:
            self.run.caller_gone()

    def cut(self) -> None:
        """Refuses the request if it has no run and has not ended."""
        self.refuse_without_run(node_leaving_error())

    def shed(self) -> None:
        """Refuses the request, or sheds its run."""
        if self.run is not None:
            self.run.shed()
        self.refuse_without_run(
            errors.Overloaded(runs.BUFFERS_FULL, retry_after_s=STARTING_RETRY_S)
        )

    def refuse_without_run(self, error: errors.AlmondshiftError) -> None:
        """Refuses a request that was not sent to any endpoint."""
        if self.run is None and not self.is_over:
            self.is_over = True
            self.refuse(error)


class RefusedRequest(relays.ActiveRequest):
    """A request that has already been refused."""

    def caller_gone(self) -> None:
        """Does nothing, as there is no work to stop."""

    def cut(self) -> None:
        """Does nothing, as the request has ended."""

    def shed(self) -> None:
        """Does nothing, as the request has ended."""


class Gateway(relays.Relay):
    """Serves requests according to the current configuration.

    Attributes:
        group: The other nodes; None before this node has joined them.
    """

    def __init__(
        self,
        shared: context.RelayContext,
        config_watch: table_watch.TableWatch,
        entry_address: str,
    ) -> None:
        self.shared = shared
        self.config_watch = config_watch
        self.entry_address = entry_address
        self.group: group.Group | None = None
        self.work = background.Background()

    async def close(self) -> None:
        """Cancels pending confirmations."""
        await self.work.close()

    @property
    def leaving(self) -> bool:
        """Whether this node is shutting down."""
        return self.shared.drain.is_begun

    def limits(self) -> routing_config.CallerLimits:
        """Returns the limits of callers' requests."""
        config = self.shared.catalogue.config
        return DEFAULT_LIMITS if config is None else config.limits

    def is_ready(self) -> bool:
        """Returns whether callers should be directed to this node."""
        return not self.leaving and self.shared.catalogue.config is not None

    def addresses(self, zone: str) -> list[str]:
        """Returns the addresses that callers may connect to, in random order.

        This node's own address is among them if it is ready.
        """
        del zone
        found = [self.entry_address] if self.is_ready() else []
        if self.group is not None:
            found += [peer.entry_address for peer in self.group.advertised()]
        self.shared.rng.shuffle(found)
        return found

    def accept(
        self, request: relayed.RelayedRequest, responder: relays.Responder
    ) -> relays.ActiveRequest:
        """Serves or refuses a request."""
        if self.leaving:
            self.log_late_request(request)
        try:
            return self.serve(request, responder)
        except (errors.MissingKey, errors.WrongKey, errors.UnknownService):
            denial = PendingDenial(functools.partial(self.refuse, responder))
            self.shared.running.add(denial)
            self.work.run(self.confirm_denial(request, responder, denial))
            return denial
        except errors.AlmondshiftError as error:
            self.refuse(responder, error)
            return RefusedRequest()
        except Exception as error:
            self.refuse_after_exception(request, responder, error)
            return RefusedRequest()

    def refuse_after_exception(
        self,
        request: relayed.RelayedRequest,
        responder: relays.Responder,
        error: Exception,
    ) -> None:
        """Refuses a request that has no run; nothing was sent."""
        runs.emit_unforeseen(self.shared, request, error)
        refusal = errors.ServiceNotReady(
            runs.FAILED_HERE, retry_after_s=STARTING_RETRY_S
        )
        self.refuse(responder, refusal)

    def log_late_request(self, request: relayed.RelayedRequest) -> None:
        """Logs a request that arrived while this node is shutting down."""
        drain = self.shared.drain
        self.shared.observer.emit(
            log_events.RequestWhileDraining(
                request_id=request.request_id,
                draining_s=round(drain.since_s(), 3),
                connection_s=round(request.connection_s, 3),
                left_s=round(drain.left_s(), 3),
            )
        )

    async def confirm_denial(
        self,
        request: relayed.RelayedRequest,
        responder: relays.Responder,
        denial: PendingDenial,
    ) -> None:
        """Denies a request only if the configuration is confirmed as current.

        A node that has not received a new key or route yet would otherwise
        deny a valid request, and callers treat a denial as final.
        """
        is_current = False
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                is_current = await self.config_watch.confirm(
                    MAX_DENIAL_CONFIG_AGE_S
                )
        except TimeoutError:
            is_current = False
        finally:
            self.shared.running.discard(denial)
        if denial.is_over:
            return
        try:
            denial.run = self.serve(request, responder)
        except errors.AlmondshiftError as error:
            self.refuse(
                responder, error if is_current else outdated_config_error()
            )
        except Exception as error:
            self.refuse_after_exception(request, responder, error)

    def refuse(
        self, responder: relays.Responder, error: errors.AlmondshiftError
    ) -> None:
        """Responds with an error, and counts it by its kind."""
        self.shared.observer.ended.labels(error.kind).inc()
        responder.fail(error)

    def serve(
        self, request: relayed.RelayedRequest, responder: relays.Responder
    ) -> relays.ActiveRequest:
        """Starts a run for a request.

        Raises:
            errors.AlmondshiftError: The request is refused.
        """
        routed = self.route(request)
        self.shared.crash_watch.check(routed)
        if routed.from_peer:
            self.check_peer_request(routed)
        else:
            # The peer counted a request that it passed on.
            self.shared.budget.note_request(
                routed.service, self.shared.clock.monotonic()
            )
        has_path = self.shared.catalogue.view(routed.service) is not None
        run_class = RUN_CLASSES[routed.route.is_stream, has_path]
        run = run_class(routed, responder, self.shared)
        run.begin()
        return run

    def check_peer_request(self, routed: routed_requests.RoutedRequest) -> None:
        """Checks that this node can serve a request of a peer.

        Raises:
            errors.AlmondshiftError: It can't.
        """
        if self.shared.links.is_isolated(routed.service):
            raise errors.ServiceNotReady(
                "This node reaches no endpoint of the service.",
                retry_after_s=ISOLATED_RETRY_S,
            )
        from_peers = sum(
            isinstance(run, runs.Run) and run.routed.from_peer
            for run in self.shared.running
        )
        if from_peers >= MAX_PEER_REQUESTS:
            raise errors.Overloaded(
                "This node serves as many requests of peers as it can.",
                retry_after_s=ISOLATED_RETRY_S,
            )

    def route(
        self, request: relayed.RelayedRequest
    ) -> routed_requests.RoutedRequest:
        """Determines route, account and service.

        Raises:
            errors.AlmondshiftError: The request is refused.
        """
        config = self.shared.catalogue.config
        if config is None:
            raise errors.ServiceNotReady(
                "This node has no configuration yet.",
                retry_after_s=STARTING_RETRY_S,
            )
        if self.shared.drain.refuses_new():
            raise node_leaving_error()
        route = config.table.find(request.host, request.path)
        if route is None:
            raise errors.UnknownService("No route matches the host and path.")
        account = self.find_account(config, route, request.key)
        if account is not None and not account.is_usable:
            raise errors.UnusableAccount(
                "Endpoints can't be told the name of the client account.",
                retry_after_s=UNUSABLE_RETRY_S,
            )
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        possible_runs = None
        if request.peer_mark:
            entries = self.shared.peer_paths.entries
            possible_runs = entries.possible_runs(request)
            if possible_runs is not None:
                limit = entries.run_limit(request)
                if limit is not None:
                    route, possible_runs = route.limited(limit), 0
            self.log_request_from_peer(request, route, possible_runs)
        return routed_requests.RoutedRequest(
            request=request,
            route=route,
            service=self.choose_service(route),
            account=account.name if account is not None else "",
            priority=priority,
            config_version=config.version,
            from_peer=possible_runs is not None,
            possible_runs=possible_runs or 0,
        )

    def log_request_from_peer(
        self,
        request: relayed.RelayedRequest,
        route: routes.Route,
        possible_runs: int | None,
    ) -> None:
        """Logs what a peer asks for; None for a mark that is not known."""
        config = self.shared.catalogue.config
        self.shared.observer.emit(
            log_events.RequestFromPeer(
                request_id=request.request_id,
                service=",".join(share.service for share in route.shares),
                is_known=possible_runs is not None,
                may_repeat=route.may_repeat,
                possible_runs=possible_runs or 0,
                max_attempts=route.max_attempts,
                config_version=0 if config is None else config.version,
            )
        )

    def find_account(
        self,
        config: routing_config.RoutingConfig,
        route: routes.Route,
        key: str,
    ) -> routing_config.KeyedAccount | None:
        """Returns the account of a key; None if none is required.

        Raises:
            errors.MissingKey: A key is required and missing.
            errors.WrongKey: The key is unknown.
        """
        if not config.accounts:
            return None
        found = config.account_by_key.get(key) if key else None
        if found is not None or route.public:
            return found
        if not key:
            raise errors.MissingKey("The request has no bearer key.")
        raise errors.WrongKey("The bearer key belongs to no account.")

    def choose_service(self, route: routes.Route) -> str:
        """Picks a service at random, weighted by the route's shares.

        Raises:
            errors.ServiceNotReady: No service has a share.
        """
        shares = [share for share in route.shares if share.weight > 0]
        if not shares:
            raise errors.ServiceNotReady(
                "The route has no service with a share.",
                retry_after_s=STARTING_RETRY_S,
            )
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self.shared.rng.choices(shares, weights)[0].service


def node_leaving_error() -> errors.AlmondshiftError:
    """Returns the error of a node that is shutting down."""
    return errors.NodeLeaving(
        "This node is shutting down.", retry_after_s=runs.LEAVING_RETRY_S
    )


def outdated_config_error() -> errors.AlmondshiftError:
    """Returns the error of a node whose configuration may be out of date."""
    return errors.ServiceNotReady(
        "The configuration of this node may be out of date.",
        retry_after_s=STARTING_RETRY_S,
    )
