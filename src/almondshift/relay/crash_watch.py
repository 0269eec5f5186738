"""Refuses, on all nodes, requests that crash every endpoint that runs them.

Nothing reports which request crashed an endpoint: the node sees a broken
connection, then that nobody listens at the endpoint's port, and some seconds
later that its registry entry is gone. Nodes share which requests were in flight
at a crash, since callers retry through any node.
"""

from __future__ import annotations

import collections
import enum
import hashlib
import itertools
import logging
import math
from typing import TYPE_CHECKING

import msgspec

from almondshift import errors
from almondshift import log_events
from almondshift.policy import crash_strikes
from almondshift.policy import engine_tracker
from almondshift.ports import peers
from almondshift.relay import part_watch
from almondshift.relay import port_checks
from almondshift.relay import struck_requests

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import routed_requests
    from almondshift.ports import clocks
    from almondshift.ports import path_engines
    from almondshift.relay import group as relay_group

FINGERPRINT_BYTES = 8
"""Size of a fingerprint. At a million requests a day, two requests of the same
day share a fingerprint once in thirty million days. A collision leads to a
refusal only after three crashes."""

PROMPT_BYTES = 4
"""Size of the digest that tells prompts apart which share a part."""

MAX_PARTS = 64
"""Maximum number of parts of one prompt that are counted."""

MAX_LOGGED = 8
"""Maximum number of prompt parts in a log line."""

FINGERPRINTS_PER_FACT = 50
"""Maximum number of fingerprints in one fact. Each has 16 hex digits, and a
fact is limited to 1,500 bytes."""

MAX_FACTS = 4
"""Maximum number of facts about one crash. If more than 200 requests of this
node were in flight, peers learn of 200, and only this node counts the
others."""

RETRY_AFTER_S = 60.0
"""Retry-After of a refused request, in seconds. Strikes last ten minutes, and
an earlier retry costs no more than another refusal."""

REFUSAL = "Endpoints crashed while they ran this request."
PART_REFUSAL = "Endpoints crashed on prompts with the part {part}."

CRASH = "crash"
CLEARED = "cleared"
"""Topics of facts, the first part of their keys: requests that an endpoint ran
when it crashed, and requests that an endpoint completed successfully."""

MAX_REPORTED = 64
"""Maximum number of crashed endpoints whose requests are kept, to report them
together with those whose connections break later."""

MAX_GONE = 512
"""Maximum number of endpoints without an entry that are remembered."""

MIN_STRIKES_TO_REPORT = 2
"""Strikes from which peers are told that a request was answered; most requests
that met one crash never meet another."""


class Evidence(enum.StrEnum):
    """What showed that an endpoint crashed."""

    PORT_CLOSED = "port closed"
    REPLACED = "replaced"
    REGISTRY = "registry"


STRIKES_TOPIC = "strikes"
"""Topic of a new node's question for the strikes that peers know."""

MAX_ANSWERED_STRIKES = 200
"""Maximum number of requests in the reply to it, those with most strikes."""

LEARN_RETRY_S = 0.3
MAX_LEARN_TRIES = 20
"""Pause between these questions, in seconds, and their maximum number; a node
knows no peer at first, and those of earlier releases don't reply."""

STRIKES_DECODER = msgspec.json.Decoder(dict[str, list[str]])
FINGERPRINTS_DECODER = msgspec.json.Decoder(list[str])

logger = logging.getLogger(__name__)


class CrashWatch:
    """Counts strikes against requests, and exchanges them with peers.

    Attributes:
        parts: Counts strikes against parts of prompts.
        struck_requests: Tells peers of requests with several strikes.
        group: The other nodes; None before this node has joined them.
        reported: Requests that peers were told of, by crashed instance.
        gone: Endpoints whose entries went without notice, the oldest first.
        is_leaving: Returns whether an endpoint was expected to end.
        on_ended: Called with an endpoint that has ended, and what shows it.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        strikes: crash_strikes.CrashStrikes,
        ports: port_checks.PortChecks,
        parts: part_watch.PartWatch,
    ) -> None:
        self.clock = clock
        self.strikes = strikes
        self.parts = parts
        self.strikes.explained = parts.strikes.explained
        self.struck_requests = struck_requests.StruckRequests(strikes)
        self.ports = ports
        self.ports.on_closed = self.port_closed
        self.group: relay_group.Group | None = None
        self.reported: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )
        self.gone: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.is_leaving: Callable[[str], bool] = lambda instance: False
        self.on_ended: Callable[[str, engine_tracker.End], None] = (
            lambda instance, end: None
        )

    def tick(self) -> None:
        """Does periodic work."""
        self.strikes.forget_old(self.clock.monotonic())
        self.struck_requests.forget_old()
        self.parts.tick()

    async def close(self) -> None:
        """Cancels checks of endpoints."""
        await self.ports.close()

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to exchange facts about crashes with peers."""
        self.group = node_group
        node_group.subscribe_facts(peers.FactKind.QUARANTINE, self.handle_fact)
        node_group.register_handler(STRIKES_TOPIC, self.reply_to_peer)
        node_group.treat_as_reports(peers.FactKind.QUARANTINE, CRASH)
        self.struck_requests.join(node_group)
        self.parts.join(node_group)

    async def learn(self) -> None:
        """Learns from peers which requests crashed endpoints before.

        Old facts reach a new node of a large group only after many seconds.
        """
        if self.group is None:
            return
        started_at = self.clock.monotonic()
        tries = 0
        replies: list[bytes] = []
        while not replies and tries < MAX_LEARN_TRIES:
            if tries:
                await self.clock.sleep(LEARN_RETRY_S)
            replies = await self.group.ask(STRIKES_TOPIC, b"{}")
            tries += 1
        learned_parts = await self.parts.learn()
        now = self.clock.monotonic()
        learned = set()
        for reply in replies:
            for fingerprint, instances in STRIKES_DECODER.decode(reply).items():
                learned.add(fingerprint)
                for instance in instances:
                    self.strikes.strike(fingerprint, instance, now)
        log_events.emit(
            logger,
            log_events.CrashesLearned(
                replies=len(replies),
                tries=tries,
                requests=len(learned),
                prompt_parts=learned_parts,
                age_s=round(now - started_at, 3),
            ),
        )

    async def reply_to_peer(self, sender: str, body: bytes) -> bytes:
        """Replies to a new node with the requests that have most strikes."""
        del sender, body
        return msgspec.json.encode(
            self.strikes.most_struck(MAX_ANSWERED_STRIKES)
        )

    def check(self, routed: routed_requests.RoutedRequest) -> None:
        """Checks that a request is not refused.

        Raises:
            errors.CrashesEndpoints: It crashed too many endpoints.
        """
        if not self.is_refused(routed):
            return
        log_events.emit(
            logger,
            log_events.QuarantineRefused(
                request_id=routed.request.request_id,
                account=routed.account,
                service=routed.service,
                fingerprint=fingerprint_of(routed),
                part=self.parts.find_refused(routed),
            ),
        )
        raise self.refusal(routed)

    def is_refused(self, routed: routed_requests.RoutedRequest) -> bool:
        """Returns whether a request must not be sent to any endpoint."""
        if self.parts.find_refused(routed):
            return True
        if not self.strikes.strikes:
            return False
        now = self.clock.monotonic()
        return self.strikes.is_refused(fingerprint_of(routed), now)

    def refusal(
        self, routed: routed_requests.RoutedRequest
    ) -> errors.CrashesEndpoints:
        """Returns the error of a refused request."""
        part = self.parts.find_refused(routed)
        detail = PART_REFUSAL.format(part=part) if part else REFUSAL
        return errors.CrashesEndpoints(detail, retry_after_s=RETRY_AFTER_S)

    def note_broken(
        self,
        routed: routed_requests.RoutedRequest,
        sends: int,
        instance: str,
        address: str,
        has_data: bool = False,
    ) -> None:
        """Records that an endpoint broke the connection of a request.

        Args:
            routed: The request.
            sends: Number of times it has been sent, including this one.
            instance: The endpoint.
            address: Its ``host:port``.
            has_data: Whether the endpoint had answered a part of it.
        """
        self.note_unanswered(routed, sends, instance, has_data)
        if not self.is_leaving(instance):
            self.ports.start(instance, address)

    def note_unanswered(
        self,
        routed: routed_requests.RoutedRequest,
        sends: int,
        instance: str,
        has_data: bool = False,
    ) -> None:
        """Records that an endpoint did not answer a request in time.

        An endpoint whose VM lost power breaks no connection.
        """
        now = self.clock.monotonic()
        attempt = f"{routed.request.request_id}/{sends}"
        fingerprint = fingerprint_of(routed)
        unanswered = None
        if routed.request.shared_parts and not has_data:
            unanswered = unanswered_prompt(routed, fingerprint)
        self.strikes.note_broken_attempt(
            fingerprint, attempt, instance, now, unanswered
        )

    def note_answered(self, routed: routed_requests.RoutedRequest) -> None:
        """Records that an endpoint completed a request."""
        self.parts.note_answered(routed)
        now = self.clock.monotonic()
        fingerprint = fingerprint_of(routed)
        cleared = self.strikes.note_answered(fingerprint, now)
        if cleared >= MIN_STRIKES_TO_REPORT:
            self.publish_fingerprints(CLEARED, fingerprint, (fingerprint,))

    def port_closed(self, instance: str) -> None:
        """Adds strikes if an endpoint closed its port without notice."""
        if not self.is_leaving(instance):
            self.on_ended(instance, engine_tracker.End.PORT_CLOSED)
            self.record_crash(instance, Evidence.PORT_CLOSED)

    def endpoint_replaced(self, instance: str) -> None:
        """Adds strikes, as another endpoint has the address of this one."""
        if not self.is_leaving(instance):
            self.on_ended(instance, engine_tracker.End.REPLACED)
            self.record_crash(instance, Evidence.REPLACED)

    def endpoint_gone(self, instance: str, was_leaving: bool) -> None:
        """Adds strikes to the requests that an endpoint ran when it crashed.

        These are the ones whose connection broke before the endpoint was gone.
        An endpoint that had announced its shutdown did not crash.
        """
        if was_leaving:
            self.strikes.broken_attempts.pop(instance, None)
            return
        self.gone[instance] = None
        if len(self.gone) > MAX_GONE:
            self.gone.popitem(last=False)
        self.record_crash(instance, Evidence.REGISTRY)

    def endpoint_back(self, instance: str) -> None:
        """Withdraws strikes, as the entry of an endpoint that was gone is back.

        The same start was suspended or cut off until its entry expired.
        """
        if instance not in self.gone:
            return
        del self.gone[instance]
        self.withdraw_reports(instance)
        self.parts.strikes.withdraw(instance)
        requests = self.strikes.withdraw(instance)
        self.struck_requests.withdraw_endpoint(instance)
        if requests:
            log_events.emit(
                logger, log_events.CrashWithdrawn(instance, requests)
            )

    def withdraw_reports(self, instance: str) -> None:
        """Withdraws what peers were told of an endpoint's crash."""
        reported = self.reported.pop(instance, ())
        if self.group is None:
            return
        for index in range(math.ceil(len(reported) / FINGERPRINTS_PER_FACT)):
            self.group.withdraw_fact(
                peers.FactKind.QUARANTINE,
                f"{CRASH}/{instance}/{self.group.name}/{index}",
            )

    def record_crash(self, instance: str, evidence: Evidence) -> None:
        """Adds strikes to the requests that an endpoint ran; tells peers."""
        crash = self.strikes.crashed(instance, self.clock.monotonic())
        if not crash.fingerprints:
            return
        log_events.emit(
            logger,
            log_events.EndpointCrashed(
                endpoint=instance,
                evidence=evidence.value,
                requests=len(crash.fingerprints),
                without_data=len(crash.unanswered),
                prompt_parts=format_frequent_parts(crash.unanswered),
                answered_before=crash.answered_before,
                quarantined=len(crash.convicted),
                age_s=round(crash.age_s, 3),
            ),
        )
        self.log_convicted(crash.convicted)
        known = self.reported.pop(instance, ()) + crash.fingerprints
        self.reported[instance] = known[: FINGERPRINTS_PER_FACT * MAX_FACTS]
        if len(self.reported) > MAX_REPORTED:
            self.reported.popitem(last=False)
        self.struck_requests.tell(crash.fingerprints)
        self.publish_fingerprints(CRASH, instance, self.reported[instance])
        self.parts.crashed(instance, crash.unanswered)

    def publish_fingerprints(
        self, topic: str, instance: str, fingerprints: tuple[str, ...]
    ) -> None:
        """Publishes fingerprints to peers, split over several facts."""
        if self.group is None:
            return
        for index, start in enumerate(
            itertools.islice(
                range(0, len(fingerprints), FINGERPRINTS_PER_FACT), MAX_FACTS
            )
        ):
            chunk = list(fingerprints[start : start + FINGERPRINTS_PER_FACT])
            self.group.publish_fact(
                peers.FactKind.QUARANTINE,
                f"{topic}/{instance}/{self.group.name}/{index}",
                msgspec.json.encode(chunk),
                crash_strikes.STRIKE_S,
            )

    def handle_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Handles a peer's fact about a crash or about completed requests."""
        if fact is None or self.group is None:
            return
        if fact.origin == self.group.name:
            return
        # Keys have the form topic/instance/node/index.
        topic, _, rest = key.partition("/")
        if topic == struck_requests.TOPIC:
            self.add_struck_request(rest.partition("/")[0], fact)
        if topic not in (CRASH, CLEARED):
            return
        instance = rest.partition("/")[0]
        fingerprints = tuple(FINGERPRINTS_DECODER.decode(fact.value))
        now = self.clock.monotonic()
        if topic == CLEARED:
            for fingerprint in fingerprints:
                self.strikes.note_answered(fingerprint, now)
            return
        convicted = tuple(
            f for f in fingerprints if self.strikes.strike(f, instance, now)
        )
        completed = self.strikes.known_good(fingerprints, now)
        log_events.emit(
            logger,
            log_events.CrashReported(
                endpoint=instance,
                peer=fact.origin,
                requests=len(fingerprints),
                answered_before=len(completed),
                quarantined=len(convicted),
            ),
        )
        self.log_convicted(convicted)
        if completed:
            self.publish_fingerprints(CLEARED, instance, completed)

    def add_struck_request(self, fingerprint: str, fact: peers.Fact) -> None:
        """Adds the strikes of a request of which a peer tells by itself."""
        now = self.clock.monotonic()
        convicted = self.struck_requests.add_from_peer(
            fingerprint, fact.value, now
        )
        log_events.emit(
            logger,
            log_events.StruckRequestReported(
                fingerprint=fingerprint,
                peer=fact.origin,
                crashes=len(self.strikes.strikes.get(fingerprint, {})),
                quarantined=len(convicted),
            ),
        )
        self.log_convicted(tuple(convicted))
        completed = self.strikes.known_good((fingerprint,), now)
        if completed:
            self.publish_fingerprints(CLEARED, fingerprint, completed)

    def log_convicted(self, fingerprints: tuple[str, ...]) -> None:
        """Logs requests that are refused from now on."""
        for fingerprint in fingerprints:
            log_events.emit(
                logger,
                log_events.RequestQuarantined(
                    request_id="",
                    fingerprint=fingerprint,
                    expires_s=crash_strikes.STRIKE_S,
                ),
            )


def fingerprint_of(routed: routed_requests.RoutedRequest) -> str:
    """Returns a digest that is the same for a request and its retries."""
    request = routed.request
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (routed.account, request.host, request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def unanswered_prompt(
    routed: routed_requests.RoutedRequest, fingerprint: str
) -> crash_strikes.UnansweredPrompt:
    """Returns the prompt of a request that an endpoint did not answer."""
    request = routed.request
    digest = hashlib.blake2b(digest_size=PROMPT_BYTES)
    for text in (fingerprint, request.prompt_parts[-1]):
        digest.update(text.encode())
    return crash_strikes.UnansweredPrompt(
        digest.hexdigest(), request.shared_parts[:MAX_PARTS]
    )


def format_frequent_parts(
    prompts: tuple[crash_strikes.UnansweredPrompt, ...],
) -> str:
    """Formats the parts that most prompts share, with their counts."""
    counts = collections.Counter(
        part for prompt in prompts for part in prompt.parts
    )
    return ",".join(
        f"{part}:{count}" for part, count in counts.most_common(MAX_LOGGED)
    )


def create_crash_watch(
    clock: clocks.Clock, engines: path_engines.PathEngines
) -> CrashWatch:
    """Creates a watch without recorded crashes."""
    return CrashWatch(
        clock,
        crash_strikes.CrashStrikes(),
        port_checks.create_port_checks(engines),
        part_watch.create_part_watch(clock),
    )
