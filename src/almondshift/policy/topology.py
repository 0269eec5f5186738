"""Known endpoints, and an index of the layers that they serve.

The fleet changes while requests arrive: engines join, load other layers or
versions, leave and fail. Without a single source for what each endpoint
reported itself, a request could be sent to an engine that the platform's list
still shows but that is leaving, or to a version that was ordered but not
loaded.

Only an endpoint's own report counts, because some endpoints ignore fencing
tokens and the list of VMs lags behind.

The index is only updated by reports that change a holding, so an unchanged
report costs the same with 8 or 820 engines.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import layers

DISPROVED_S = 2.0
"""Seconds for which an engine's report is ignored after it refused to serve
what the report shows."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Target:
    """Model, version and adapter that a chain must hold."""

    model: str
    version: int
    adapter: str


@dataclasses.dataclass(slots=True)
class Endpoint:
    """Known state of one endpoint.

    Attributes:
        reported_at: Measurement time of the last report, in monotonic seconds.
        leaving: Set once it is known to leave; cleared by a new instance.
        served: Targets and layer ranges that it is indexed under.
        disproved_until: Time until which its known report is not believed.
    """

    name: str
    vm: endpoints.Vm | None = None
    description: endpoints.EndpointDescription | None = None
    report: endpoints.LoadReport | None = None
    reported_at: float = float("-inf")
    leaving: bool = False
    left_instance: str = ""
    served: frozenset[tuple[Target, layers.LayerRange]] = frozenset()
    disproved_until: float = float("-inf")

    @property
    def is_disproved(self) -> bool:
        """Whether its known report is not believed."""
        return self.disproved_until > float("-inf")

    @property
    def zone(self) -> str:
        """The availability zone, or ``""`` while it is unknown."""
        return self.vm.zone if self.vm else ""


class Topology:
    """Endpoints, and an index of engines by target and layer range.

    Attributes:
        generation: Counter that grows on index and configuration changes, by
            which caches are invalidated.
        ranges: Engines by target and layer range, in insertion order.
        plain: Endpoints of plain services by service.
        changed: Names whose index entries changed; the consumer clears it.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.fleet: fleets.Fleet | None = None
        self.generation = 0
        self.ranges: dict[Target, dict[layers.LayerRange, dict[str, None]]] = {}
        self.plain: dict[str, dict[str, None]] = {}
        self.changed: set[str] = set()
        self._target_cache: dict[tuple[str, str], Target | None] = {}
        self._target_cache_generation = -1

    def configure(self, fleet: fleets.Fleet) -> None:
        """Applies a configuration, unless it is older than the current one."""
        if self.fleet is not None and fleet.version < self.fleet.version:
            return
        self.fleet = fleet
        self.generation += 1

    def update_vm(
        self,
        vm: endpoints.Vm,
        description: endpoints.EndpointDescription | None,
    ) -> None:
        """Applies a row of the VM list and the endpoint's own description."""
        endpoint = self._get_or_add(vm.name)
        endpoint.vm = vm
        if description is not None:
            endpoint.description = description
            self._discard_stale_report(endpoint, description.instance)
        if vm.state is endpoints.VmState.LEAVING:
            self._set_leaving(endpoint)
        self._index(endpoint)

    def report(self, report: endpoints.LoadReport, at: float) -> bool:
        """Applies a load report, unless it is older than the last one.

        Returns:
            Whether the report was applied.
        """
        endpoint = self._get_or_add(report.endpoint)
        measured_at = at - report.age_s
        if measured_at < endpoint.reported_at and self._same_instance(
            endpoint, report
        ):
            return False
        if endpoint.left_instance and endpoint.left_instance != report.instance:
            endpoint.leaving = False
        changed = endpoint.report is None or _is_significant_change(
            endpoint.report, report
        )
        if endpoint.is_disproved and (
            changed or at >= endpoint.disproved_until
        ):
            endpoint.disproved_until = float("-inf")
            changed = True
        endpoint.report = report
        endpoint.reported_at = measured_at
        if changed:
            if report.leaving:
                self._set_leaving(endpoint)
            self._index(endpoint)
        return True

    def mark_leaving(self, name: str) -> None:
        """Marks an endpoint as leaving."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._set_leaving(endpoint)
            self._index(endpoint)

    def disprove_report(
        self, name: str, target: Target, needed: layers.LayerRange, at: float
    ) -> None:
        """Ignores an engine's report by which it serves layers it refused.

        In large groups the state of an engine reaches other nodes a second or
        more after it has changed, while its counts are updated, so that an
        unchanged report does not confirm it. It is believed again after a
        while, in case that the engine changed back in between.
        """
        if self.serves(name, target, needed):
            endpoint = self.endpoints[name]
            endpoint.disproved_until = at + DISPROVED_S
            self._index(endpoint)

    def remove(self, name: str) -> None:
        """Removes an endpoint."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.leaving = True
            self._index(endpoint)
            self.changed.add(name)

    def serves(
        self, name: str, target: Target, needed: layers.LayerRange
    ) -> bool:
        """Returns whether an engine serves these layers of a target now."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return False
        return any(
            held == target and span.covers(needed)
            for held, span in endpoint.served
        )

    def layer_count(self, model: str) -> int:
        """Returns the number of layers of a model, or 0 if it is unknown."""
        if self.fleet is None or model not in self.fleet.models:
            return 0
        return self.fleet.models[model].layers

    def target_of(self, service: fleets.Service) -> Target | None:
        """Returns the target that requests of a service currently run on.

        This is the configured version once a complete chain of it is ready.
        Until then it is the newest older version with a complete chain, else
        the oldest newer one (after a rollback), so that a version change
        fails no requests.
        """
        if self._target_cache_generation != self.generation:
            self._target_cache.clear()
            self._target_cache_generation = self.generation
        key = (service.model, service.adapter)
        if key not in self._target_cache:
            self._target_cache[key] = self._choose_target(*key)
        return self._target_cache[key]

    def targeted_versions(self) -> set[tuple[str, int]]:
        """Returns the models and versions on which requests start now."""
        services = self.fleet.services.values() if self.fleet else ()
        targets = [
            self.target_of(service)
            for service in services
            if service.kind is fleets.ServiceKind.MODEL
        ]
        return {(target.model, target.version) for target in targets if target}

    def service_ready(self, name: str) -> bool:
        """Returns whether a service and all its dependencies can run."""
        return self._is_ready(name, frozenset())

    def _is_ready(self, name: str, visited: frozenset[str]) -> bool:
        if self.fleet is None or name in visited:
            return False
        service = self.fleet.services.get(name)
        if service is None or not self._is_ready_alone(service):
            return False
        return all(
            self._is_ready(needed, visited | {name})
            for needed in service.depends_on
        )

    def _is_ready_alone(self, service: fleets.Service) -> bool:
        if service.kind is fleets.ServiceKind.PLAIN:
            return bool(self.plain.get(service.name))
        return self.target_of(service) is not None

    def _choose_target(self, model: str, adapter: str) -> Target | None:
        count = self.layer_count(model)
        if self.fleet is None or count == 0:
            return None
        wanted = self.fleet.models[model].version
        complete = [
            target
            for target, spans in self.ranges.items()
            if target.model == model
            and target.adapter == adapter
            and covers_all(spans, count)
        ]
        return min(
            complete,
            key=lambda t: version_rank(t.version, wanted),
            default=None,
        )

    def _get_or_add(self, name: str) -> Endpoint:
        return self.endpoints.setdefault(name, Endpoint(name))

    def _same_instance(
        self, endpoint: Endpoint, report: endpoints.LoadReport
    ) -> bool:
        return (
            endpoint.report is None
            or endpoint.report.instance == report.instance
        )

    def _set_leaving(self, endpoint: Endpoint) -> None:
        endpoint.leaving = True
        if endpoint.report is not None:
            endpoint.left_instance = endpoint.report.instance
        elif endpoint.description is not None:
            endpoint.left_instance = endpoint.description.instance

    def _discard_stale_report(self, endpoint: Endpoint, instance: str) -> None:
        """Discards the report of an engine's earlier instance.

        A restarted engine holds nothing. With the old report, requests would
        be sent to it and refused until its next report.
        """
        if endpoint.report is not None and endpoint.report.instance != instance:
            endpoint.report = None
            endpoint.reported_at = float("-inf")
            endpoint.leaving = False

    def _index(self, endpoint: Endpoint) -> None:
        self._index_plain(endpoint)
        served = _served(endpoint)
        if served == endpoint.served:
            return
        for target, span in endpoint.served - served:
            self._unindex(target, span, endpoint.name)
        for target, span in sorted(served - endpoint.served):
            spans = self.ranges.setdefault(target, {})
            spans.setdefault(span, {})[endpoint.name] = None
        endpoint.served = served
        self.changed.add(endpoint.name)
        self.generation += 1

    def _unindex(
        self, target: Target, span: layers.LayerRange, name: str
    ) -> None:
        spans = self.ranges[target]
        del spans[span][name]
        if not spans[span]:
            del spans[span]
        if not spans:
            del self.ranges[target]

    def _index_plain(self, endpoint: Endpoint) -> None:
        vm = endpoint.vm
        if vm is None or vm.kind is not endpoints.EndpointKind.PLAIN:
            return
        serving = self.plain.setdefault(vm.service, {})
        if endpoint.leaving:
            serving.pop(endpoint.name, None)
        else:
            serving[endpoint.name] = None


def covers_all(spans: Iterable[layers.LayerRange], count: int) -> bool:
    """Returns whether ranges that may overlap cover ``count`` layers."""
    reached = 0
    for span in sorted(spans):
        if span.start > reached:
            break
        reached = max(reached, span.end)
    return reached >= count


def _is_significant_change(
    before: endpoints.LoadReport, after: endpoints.LoadReport
) -> bool:
    """Returns whether a report changes how an engine may be used."""
    return (
        before.holdings != after.holdings
        or before.instance != after.instance
        or before.role is not after.role
        or before.leaving is not after.leaving
    )


def version_rank(version: int, wanted: int) -> tuple[int, int]:
    """Returns a key that is lower for versions that requests start on first.

    The wanted version is first, then older ones, the newest of them first.
    """
    if version == wanted:
        return (0, 0)
    if version < wanted:
        return (1, wanted - version)
    return (2, version - wanted)


def _served(
    endpoint: Endpoint,
) -> frozenset[tuple[Target, layers.LayerRange]]:
    report = endpoint.report
    if (
        endpoint.leaving
        or endpoint.vm is None
        or endpoint.description is None
        or report is None
        or endpoint.is_disproved
        or report.role is endpoints.EndpointRole.DRAINING
    ):
        return frozenset()
    return frozenset(
        (Target(held.model, held.version, held.adapter), held.layers)
        for held in report.holdings
        if held.ready
    )


def create_topology() -> Topology:
    """Returns an empty topology."""
    return Topology()
