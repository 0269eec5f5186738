"""Tracks which endpoints are leaving, from three sources.

The platform's list of VMs lags by ten seconds and more; an endpoint that is
leaving says so when it is queried or refuses work; and a node that learns this
notifies its peers. The fastest source counts: dispatch checks ``is_leaving``
and sends no new work to an endpoint that any source reports as leaving. With
the list alone, leaving endpoints would get new work until the list catches up,
and that work would be lost.

A name may be reused by a new VM. A report applies to one instance, so that a
new instance under the same name is not leaving. The list does not name
instances: its report applies to the instance that was present when the list
first showed the endpoint as leaving. If an instance is replaced before the
list shows the old one as leaving, the new one is therefore skipped until the
list has caught up.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

import pydantic

from almondshift.model import endpoints
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.ports import clocks

    Publish = Callable[[peers.FactKind, str, bytes, float], None]

LEAVING_TTL_S = 300.0
"""How long a report is valid; longer than the lag of any list and the time for
which a VM runs after it was told to stop. The report expires then if no node
sees the VM replaced."""

REPUBLISH_AFTER_S = LEAVING_TTL_S / 2
MAX_FORMER_INSTANCES = 4


class LeavingSource(enum.StrEnum):
    """Source of a report that an endpoint is leaving."""

    VM_LIST = "vm_list"
    ENDPOINT = "endpoint"
    PEER = "peer"


class LeavingValue(pydantic.BaseModel):
    """The value of a LEAVING fact; its key is the endpoint's name.

    Attributes:
        instance: Which instance is leaving; ``""`` if the sender did not know.
    """

    instance: str


@dataclasses.dataclass(slots=True)
class LeavingEndpoint:
    """State of one leaving endpoint.

    Attributes:
        instance: The instance that is leaving; ``""`` if not known.
        first_reported_at: Monotonic time of the first report.
        expires_at: Monotonic time at which the reports expire.
        sources: Sources of the reports.
    """

    instance: str
    first_reported_at: float
    expires_at: float
    sources: set[LeavingSource]


class LeavingEndpoints:
    """The set of endpoints that get no new work.

    Attributes:
        leaving: State of leaving endpoints, by endpoint name.
        instances: The instance that each endpoint last reported.
        former: Instances that it reported before, the latest last.
        listed: Endpoints that the list shows as leaving, with the instance
            that was present when it first did.
        published_at: When peers were last notified of an endpoint.
    """

    def __init__(self, clock: clocks.Clock, publish: Publish) -> None:
        self.clock = clock
        self.publish = publish
        self.leaving: dict[str, LeavingEndpoint] = {}
        self.instances: dict[str, str] = {}
        self.former: dict[str, collections.deque[str]] = {}
        self.listed: dict[str, str] = {}
        self.published_at: dict[str, float] = {}

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint must get no new work."""
        known = self.leaving.get(endpoint)
        if known is None:
            return False
        if self.clock.monotonic() < known.expires_at:
            return True
        self.drop(endpoint)
        return False

    def names(self) -> frozenset[str]:
        """Returns the names of all leaving endpoints."""
        return frozenset(n for n in list(self.leaving) if self.is_leaving(n))

    def source(self, endpoint: str) -> str:
        """Returns the sources that report an endpoint as leaving, for logs."""
        known = self.leaving.get(endpoint)
        return ", ".join(sorted(known.sources)) if known else ""

    def instance_seen(self, endpoint: str, instance: str) -> None:
        """Records the instance that an endpoint reports itself.

        Only a report received directly from the endpoint counts: a load
        report forwarded by a peer may be from the former instance.
        """
        present = self.instances.get(endpoint)
        if present is not None and present != instance:
            former = self.former.setdefault(
                endpoint, collections.deque(maxlen=MAX_FORMER_INSTANCES)
            )
            former.append(present)
        self.instances[endpoint] = instance
        if self.listed.get(endpoint) == "":
            self.listed[endpoint] = instance
        self.assign_instance(endpoint, instance)

    def assign_instance(self, endpoint: str, instance: str) -> None:
        """Assigns a report to the instance, or drops it if it is another's."""
        known = self.leaving.get(endpoint)
        if known is None:
            return
        known.instance = known.instance or instance
        if known.instance != instance:
            self.drop(endpoint)

    def drop(self, endpoint: str) -> None:
        """Drops the reports about an endpoint."""
        self.leaving.pop(endpoint, None)
        self.published_at.pop(endpoint, None)

    def endpoint_gone(self, endpoint: str) -> None:
        """Removes an endpoint whose VM is no longer in any list."""
        self.drop(endpoint)
        self.instances.pop(endpoint, None)
        self.former.pop(endpoint, None)
        self.listed.pop(endpoint, None)

    def endpoint_reported_leaving(
        self, endpoint: str, instance: str = ""
    ) -> None:
        """Records the endpoint's own report and notifies peers.

        Args:
            endpoint: Name of the endpoint.
            instance: The instance that reported it; ``""`` if the response
                did not say, in which case the current one is assumed.
        """
        if instance:
            self.instance_seen(endpoint, instance)
        present = instance or self.instances.get(endpoint, "")
        self.add_report(
            endpoint, present, LeavingSource.ENDPOINT, LEAVING_TTL_S
        )
        self.publish_leaving(endpoint, present)

    def update_vm_list(self, vms: Iterable[endpoints.Vm]) -> None:
        """Updates from the platform's list, which lags.

        A VM that is live in the list does not refute the other sources, since
        the list is older. It only ends the list's own report.
        """
        is_leaving = {
            vm.name: vm.state is endpoints.VmState.LEAVING for vm in vms
        }
        for name in [n for n in self.listed if not is_leaving.get(n, False)]:
            del self.listed[name]
            self.remove_listed_source(name)
        for name in [n for n, leaving in is_leaving.items() if leaving]:
            self.listed_leaving(name)

    def listed_leaving(self, endpoint: str) -> None:
        """Records that the list shows an endpoint as leaving.

        The report applies to the instance that was present when the list first
        did.
        """
        present = self.instances.get(endpoint, "")
        instance = self.listed.setdefault(endpoint, present)
        if instance == present:
            self.add_report(
                endpoint, instance, LeavingSource.VM_LIST, LEAVING_TTL_S
            )

    def remove_listed_source(self, endpoint: str) -> None:
        """Ends the list's own report."""
        known = self.leaving.get(endpoint)
        if known is None:
            return
        known.sources.discard(LeavingSource.VM_LIST)
        if not known.sources:
            self.drop(endpoint)

    def fact_changed(self, endpoint: str, fact: peers.Fact | None) -> None:
        """Records a peer's report; the callback for LEAVING facts.

        A report about an instance that was replaced is ignored. One about an
        instance never seen here is accepted: the peer may know of a newer
        one. If it was an older one, the endpoint's next report ends it.
        """
        if fact is None:
            return
        try:
            value = LeavingValue.model_validate_json(fact.value)
        except pydantic.ValidationError:
            return
        if value.instance in self.former.get(endpoint, ()):
            return
        self.add_report(
            endpoint, value.instance, LeavingSource.PEER, fact.ttl_s
        )

    def add_report(
        self, endpoint: str, instance: str, source: LeavingSource, ttl_s: float
    ) -> None:
        """Adds one source's report about an instance."""
        now = self.clock.monotonic()
        known = self.leaving.get(endpoint)
        is_other = known is not None and "" != known.instance != instance
        if known is None or now >= known.expires_at or (is_other and instance):
            known = LeavingEndpoint(instance, now, now + ttl_s, set())
            self.leaving[endpoint] = known
        known.sources.add(source)
        known.instance = known.instance or instance
        known.expires_at = max(known.expires_at, now + ttl_s)

    def publish_leaving(self, endpoint: str, instance: str) -> None:
        """Notifies peers, but not again on every refusal by the endpoint."""
        now = self.clock.monotonic()
        published_at = self.published_at.get(endpoint)
        if published_at is not None and now - published_at < REPUBLISH_AFTER_S:
            return
        self.published_at[endpoint] = now
        value = LeavingValue(instance=instance).model_dump_json().encode()
        self.publish(peers.FactKind.LEAVING, endpoint, value, LEAVING_TTL_S)


def create_leaving_endpoints(
    clock: clocks.Clock, publish: Publish
) -> LeavingEndpoints:
    """Creates an empty set.

    Args:
        clock: Source of time.
        publish: Publishes a fact; ``Membership.publish``.
    """
    return LeavingEndpoints(clock, publish)
