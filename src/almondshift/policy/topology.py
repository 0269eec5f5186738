"""What a node knows of endpoints, and which layers can be served where.

Load pattern: a fleet that changes while requests come in: engines join,
load other layers or versions, leave and fail. Without one place that keeps
what each endpoint itself reported, a dispatch could use an engine that the
platform's list still shows but that is leaving, or a version that was
ordered but not loaded. Grounds: only an endpoint's own report counts, since
some endpoints ignore fencing numbers and the list of VMs lags.

The index by what is served is changed only by reports that change a
holding, so that a steady report costs the same with 8 or 820 engines.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import layers


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Target:
    """What a chain must hold: a model, its version and an adapter."""

    model: str
    version: int
    adapter: str


@dataclasses.dataclass(slots=True)
class Endpoint:
    """What is known of one endpoint.

    Attributes:
        reported_at: When the last report was true, in monotonic seconds.
        leaving: Set once it is known to leave; cleared by a new instance.
        served: What it is indexed under.
    """

    name: str
    vm: endpoints.Vm | None = None
    description: endpoints.EndpointDescription | None = None
    report: endpoints.LoadReport | None = None
    reported_at: float = float("-inf")
    leaving: bool = False
    left_instance: str = ""
    served: frozenset[tuple[Target, layers.LayerRange]] = frozenset()

    @property
    def zone(self) -> str:
        """The availability zone, or ``""`` while it is unknown."""
        return self.vm.zone if self.vm else ""


class Topology:
    """Endpoints, and an index of engines by target and layer range.

    Attributes:
        generation: Grows when any index changes; caches compare it.
        ranges: Engines by target and range, each in order of arrival.
        plain: Endpoints of plain services by service.
        changed: Names whose index entries changed; readers clear it.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.fleet: fleets.Fleet | None = None
        self.generation = 0
        self.ranges: dict[Target, dict[layers.LayerRange, dict[str, None]]] = {}
        self.plain: dict[str, dict[str, None]] = {}
        self.changed: set[str] = set()
        self._chosen: dict[tuple[str, str], Target | None] = {}
        self._chosen_generation = -1

    def configure(self, fleet: fleets.Fleet) -> None:
        """Takes a newer configuration; an older one is ignored."""
        if self.fleet is not None and fleet.version < self.fleet.version:
            return
        self.fleet = fleet
        self.generation += 1

    def see(
        self,
        vm: endpoints.Vm,
        description: endpoints.EndpointDescription | None,
    ) -> None:
        """Takes a row of the VM list and what the endpoint says of itself."""
        known = self._known(vm.name)
        known.vm = vm
        if description is not None:
            known.description = description
            self._forget_other_instance(known, description.instance)
        if vm.state is endpoints.VmState.LEAVING:
            self._mark_leaving(known)
        self._index(known)

    def report(self, report: endpoints.LoadReport, at: float) -> bool:
        """Takes a load report; one older than the last is ignored.

        Returns:
            Whether the report was taken.
        """
        known = self._known(report.endpoint)
        true_at = at - report.age_s
        if true_at < known.reported_at and self._same_instance(known, report):
            return False
        if known.left_instance and known.left_instance != report.instance:
            known.leaving = False
        changed = known.report is None or _differ(known.report, report)
        known.report = report
        known.reported_at = true_at
        if changed:
            if report.leaving:
                self._mark_leaving(known)
            self._index(known)
        return True

    def leave(self, name: str) -> None:
        """Notes that an endpoint is leaving."""
        known = self.endpoints.get(name)
        if known is not None:
            self._mark_leaving(known)
            self._index(known)

    def remove(self, name: str) -> None:
        """Forgets an endpoint."""
        known = self.endpoints.pop(name, None)
        if known is not None:
            known.leaving = True
            self._index(known)
            self.changed.add(name)

    def serves(
        self, name: str, target: Target, needed: layers.LayerRange
    ) -> bool:
        """Returns whether an engine can run these layers of a target now."""
        known = self.endpoints.get(name)
        if known is None:
            return False
        return any(
            held == target and span.covers(needed)
            for held, span in known.served
        )

    def layer_count(self, model: str) -> int:
        """Returns the number of layers of a model, 0 if it is unknown."""
        if self.fleet is None or model not in self.fleet.models:
            return 0
        return self.fleet.models[model].layers

    def target_of(self, service: fleets.Service) -> Target | None:
        """Returns what requests of a service run on now.

        The version in force, once a whole chain of it is ready; until then
        the newest older one with a whole chain, then the oldest newer one
        (a change back), so that a change of version fails no request.
        """
        if self._chosen_generation != self.generation:
            self._chosen.clear()
            self._chosen_generation = self.generation
        key = (service.model, service.adapter)
        if key not in self._chosen:
            self._chosen[key] = self._choose_target(*key)
        return self._chosen[key]

    def service_ready(self, name: str) -> bool:
        """Returns whether a service and all that it depends on can run."""
        return self._ready(name, frozenset())

    def _ready(self, name: str, above: frozenset[str]) -> bool:
        if self.fleet is None or name in above:
            return False
        service = self.fleet.services.get(name)
        if service is None or not self._itself_ready(service):
            return False
        return all(
            self._ready(needed, above | {name}) for needed in service.depends_on
        )

    def _itself_ready(self, service: fleets.Service) -> bool:
        if service.kind is fleets.ServiceKind.PLAIN:
            return bool(self.plain.get(service.name))
        return self.target_of(service) is not None

    def _choose_target(self, model: str, adapter: str) -> Target | None:
        count = self.layer_count(model)
        if self.fleet is None or count == 0:
            return None
        wanted = self.fleet.models[model].version
        whole = [
            target
            for target, spans in self.ranges.items()
            if target.model == model
            and target.adapter == adapter
            and covers_all(spans, count)
        ]
        return min(
            whole, key=lambda t: _version_rank(t.version, wanted), default=None
        )

    def _known(self, name: str) -> Endpoint:
        return self.endpoints.setdefault(name, Endpoint(name))

    def _same_instance(
        self, known: Endpoint, report: endpoints.LoadReport
    ) -> bool:
        return known.report is None or known.report.instance == report.instance

    def _mark_leaving(self, known: Endpoint) -> None:
        known.leaving = True
        if known.report is not None:
            known.left_instance = known.report.instance
        elif known.description is not None:
            known.left_instance = known.description.instance

    def _forget_other_instance(self, known: Endpoint, instance: str) -> None:
        """Drops the report of an engine's earlier life.

        A restarted engine holds nothing; with the old report a dispatch
        would be refused by it until the next report.
        """
        if known.report is not None and known.report.instance != instance:
            known.report = None
            known.reported_at = float("-inf")
            known.leaving = False

    def _index(self, known: Endpoint) -> None:
        self._index_plain(known)
        served = _served(known)
        if served == known.served:
            return
        for target, span in known.served - served:
            self._drop(target, span, known.name)
        for target, span in sorted(served - known.served):
            spans = self.ranges.setdefault(target, {})
            spans.setdefault(span, {})[known.name] = None
        known.served = served
        self.changed.add(known.name)
        self.generation += 1

    def _drop(self, target: Target, span: layers.LayerRange, name: str) -> None:
        spans = self.ranges[target]
        del spans[span][name]
        if not spans[span]:
            del spans[span]
        if not spans:
            del self.ranges[target]

    def _index_plain(self, known: Endpoint) -> None:
        vm = known.vm
        if vm is None or vm.kind is not endpoints.EndpointKind.PLAIN:
            return
        serving = self.plain.setdefault(vm.service, {})
        if known.leaving:
            serving.pop(known.name, None)
        else:
            serving[known.name] = None


def covers_all(spans: Iterable[layers.LayerRange], count: int) -> bool:
    """Returns whether ranges, which may overlap, cover ``count`` layers."""
    reached = 0
    for span in sorted(spans):
        if span.start > reached:
            break
        reached = max(reached, span.end)
    return reached >= count


def _differ(before: endpoints.LoadReport, after: endpoints.LoadReport) -> bool:
    """Returns whether a report changes what an engine may be used for."""
    return (
        before.holdings != after.holdings
        or before.instance != after.instance
        or before.role is not after.role
        or before.leaving is not after.leaving
    )


def _version_rank(version: int, wanted: int) -> tuple[int, int]:
    if version == wanted:
        return (0, 0)
    if version < wanted:
        return (1, wanted - version)
    return (2, version - wanted)


def _served(
    known: Endpoint,
) -> frozenset[tuple[Target, layers.LayerRange]]:
    report = known.report
    if (
        known.leaving
        or known.vm is None
        or known.description is None
        or report is None
        or report.role is endpoints.EndpointRole.DRAINING
    ):
        return frozenset()
    return frozenset(
        (Target(held.model, held.version, held.adapter), held.layers)
        for held in report.holdings
        if held.ready
    )


def create_topology() -> Topology:
    """Returns a topology that knows no endpoint."""
    return Topology()
