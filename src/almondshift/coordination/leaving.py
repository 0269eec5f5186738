"""Which endpoints are leaving, from three sources, for each dispatch.

The platform's list of VMs lags by ten seconds and more; an endpoint that is
leaving says so itself when it is asked or refuses; and a peer that heard so
tells the others. Whoever knows first counts: a dispatch asks ``is_leaving``,
and sends nothing new to an endpoint that any source calls leaving. With the
list alone, endpoints would get new work for as long as it lags, and lose it.

A name may come back on a new VM. What was learnt belongs to one instance,
so that a new instance under the same name is not leaving. The list names no
instances: its word belongs to the instance that was present when the list
began to say so. An instance that is replaced faster than the list notices
the old one leaving is therefore passed over until the list has caught up.
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
"""How long a word stands; longer than any list lags, and than a VM lives on
after it was asked to go. It ends by itself if nobody sees the VM replaced."""

TELL_AGAIN_S = LEAVING_TTL_S / 2
FORMER_INSTANCES = 4


class LeavingSource(enum.StrEnum):
    """Who said that an endpoint is leaving."""

    VM_LIST = "vm_list"
    ENDPOINT = "endpoint"
    PEER = "peer"


class LeavingValue(pydantic.BaseModel):
    """The value of a LEAVING fact; its key is the endpoint's name.

    Attributes:
        instance: Which instance is leaving; ``""`` if the teller had none.
    """

    instance: str


@dataclasses.dataclass(slots=True)
class LeavingEndpoint:
    """What is known of one leaving endpoint.

    Attributes:
        instance: The instance that is leaving; ``""`` if not known.
        since: Monotonic time of the first word.
        until: Monotonic time at which the word ends.
        sources: Who said so.
    """

    instance: str
    since: float
    until: float
    sources: set[LeavingSource]


class LeavingEndpoints:
    """The set of endpoints that get no new work.

    Attributes:
        leaving: What is known, by name of the endpoint.
        instances: The instance that each endpoint last reported.
        former: Instances that it reported before, the latest last.
        listed: Endpoints that the list calls leaving, with the instance
            that was present when it began to.
        told_at: When peers were told of an endpoint.
    """

    def __init__(self, clock: clocks.Clock, publish: Publish) -> None:
        self.clock = clock
        self.publish = publish
        self.leaving: dict[str, LeavingEndpoint] = {}
        self.instances: dict[str, str] = {}
        self.former: dict[str, collections.deque[str]] = {}
        self.listed: dict[str, str] = {}
        self.told_at: dict[str, float] = {}

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint may get no new work."""
        known = self.leaving.get(endpoint)
        if known is None:
            return False
        if self.clock.monotonic() < known.until:
            return True
        self.drop(endpoint)
        return False

    def names(self) -> frozenset[str]:
        """Returns the names of all leaving endpoints."""
        return frozenset(n for n in list(self.leaving) if self.is_leaving(n))

    def source(self, endpoint: str) -> str:
        """Returns who calls an endpoint leaving, for logs."""
        known = self.leaving.get(endpoint)
        return ", ".join(sorted(known.sources)) if known else ""

    def instance_seen(self, endpoint: str, instance: str) -> None:
        """Notes the instance that an endpoint reports of itself.

        Only what the endpoint says itself, here and now, counts: a load
        report that came by a peer may be of the former instance.
        """
        present = self.instances.get(endpoint)
        if present is not None and present != instance:
            former = self.former.setdefault(
                endpoint, collections.deque(maxlen=FORMER_INSTANCES)
            )
            former.append(present)
        self.instances[endpoint] = instance
        if self.listed.get(endpoint) == "":
            self.listed[endpoint] = instance
        self.bind(endpoint, instance)

    def bind(self, endpoint: str, instance: str) -> None:
        """Ties a word to the present instance, or drops it as another's."""
        known = self.leaving.get(endpoint)
        if known is None:
            return
        known.instance = known.instance or instance
        if known.instance != instance:
            self.drop(endpoint)

    def drop(self, endpoint: str) -> None:
        """Ends the word about an endpoint."""
        self.leaving.pop(endpoint, None)
        self.told_at.pop(endpoint, None)

    def endpoint_gone(self, endpoint: str) -> None:
        """Forgets an endpoint whose VM is gone from every list."""
        self.drop(endpoint)
        self.instances.pop(endpoint, None)
        self.former.pop(endpoint, None)
        self.listed.pop(endpoint, None)

    def endpoint_said(self, endpoint: str, instance: str = "") -> None:
        """Takes the endpoint's own word, and tells peers of it.

        Args:
            endpoint: Name of the endpoint.
            instance: The instance that said so; ``""`` if its answer did
                not tell, then it is taken for the present one.
        """
        if instance:
            self.instance_seen(endpoint, instance)
        present = instance or self.instances.get(endpoint, "")
        self.note(endpoint, present, LeavingSource.ENDPOINT, LEAVING_TTL_S)
        self.tell(endpoint, present)

    def vms_listed(self, vms: Iterable[endpoints.Vm]) -> None:
        """Takes the platform's list, which lags.

        That it calls a VM live is no proof against another word: the list
        is older. It ends only the list's own word.
        """
        is_leaving = {
            vm.name: vm.state is endpoints.VmState.LEAVING for vm in vms
        }
        for name in [n for n in self.listed if not is_leaving.get(n, False)]:
            del self.listed[name]
            self.unlist(name)
        for name in [n for n, leaving in is_leaving.items() if leaving]:
            self.listed_leaving(name)

    def listed_leaving(self, endpoint: str) -> None:
        """Takes the list's word, for the instance that it began with."""
        present = self.instances.get(endpoint, "")
        instance = self.listed.setdefault(endpoint, present)
        if instance == present:
            self.note(endpoint, instance, LeavingSource.VM_LIST, LEAVING_TTL_S)

    def unlist(self, endpoint: str) -> None:
        """Ends the list's own word."""
        known = self.leaving.get(endpoint)
        if known is None:
            return
        known.sources.discard(LeavingSource.VM_LIST)
        if not known.sources:
            self.drop(endpoint)

    def fact_changed(self, endpoint: str, fact: peers.Fact | None) -> None:
        """Takes a peer's word; the callback for LEAVING facts.

        A word about an instance that was replaced is passed over. One about
        an instance never seen here is taken: the peer may be ahead. If it
        was behind, the endpoint's next report ends it.
        """
        if fact is None:
            return
        try:
            value = LeavingValue.model_validate_json(fact.value)
        except pydantic.ValidationError:
            return
        if value.instance in self.former.get(endpoint, ()):
            return
        self.note(endpoint, value.instance, LeavingSource.PEER, fact.ttl_s)

    def note(
        self, endpoint: str, instance: str, source: LeavingSource, for_s: float
    ) -> None:
        """Adds one source's word about an instance."""
        now = self.clock.monotonic()
        known = self.leaving.get(endpoint)
        is_other = known is not None and "" != known.instance != instance
        if known is None or now >= known.until or (is_other and instance):
            known = LeavingEndpoint(instance, now, now + for_s, set())
            self.leaving[endpoint] = known
        known.sources.add(source)
        known.instance = known.instance or instance
        known.until = max(known.until, now + for_s)

    def tell(self, endpoint: str, instance: str) -> None:
        """Tells peers of a leaving endpoint, not at each refusal."""
        now = self.clock.monotonic()
        told_at = self.told_at.get(endpoint)
        if told_at is not None and now - told_at < TELL_AGAIN_S:
            return
        self.told_at[endpoint] = now
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
