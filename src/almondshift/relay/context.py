"""Components that all requests of a node share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import isolation
from almondshift.relay import link_activity

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.policy import answer_times
    from almondshift.policy import buffer_budget
    from almondshift.policy import endpoint_choice
    from almondshift.policy import engine_tracker
    from almondshift.policy import first_event_wait
    from almondshift.policy import path_choice
    from almondshift.policy import repeat_budget
    from almondshift.policy import unproven_runs
    from almondshift.ports import clocks
    from almondshift.ports import path_engines
    from almondshift.ports import relays
    from almondshift.relay import catalogue
    from almondshift.relay import crash_watch
    from almondshift.relay import drain
    from almondshift.relay import endpoint_limits
    from almondshift.relay import lost_engines
    from almondshift.relay import observer
    from almondshift.relay import peer_paths
    from almondshift.relay import refusing_engines


@dataclasses.dataclass(slots=True)
class RelayContext:
    """Components that requests use.

    Attributes:
        zone: This node's availability zone.
        registry_age_s: Returns the age of this node's copy of the engine
            registry, in seconds.
        engine_notice_s: Minimum time for which an engine keeps serving after it
            was registered as leaving, in seconds.
        running: Requests that have not ended.
        link: Data that this node receives from engines.
        links: States of this node's links to endpoints.
        buffers: Bytes of all messages in transfer.
        peer_paths: Peers that serve requests which this node can't.
    """

    zone: str
    clock: clocks.Clock
    rng: random.Random
    catalogue: catalogue.Catalogue
    engines: path_engines.PathEngines
    tracker: engine_tracker.EngineTracker
    paths: path_choice.PathChooser
    endpoints: endpoint_choice.EndpointChooser
    budget: repeat_budget.RepeatBudget
    unproven_runs: unproven_runs.UnprovenRuns
    limits: endpoint_limits.EndpointLimits
    peer_paths: peer_paths.PeerPaths
    crash_watch: crash_watch.CrashWatch
    lost_engines: lost_engines.LostEngines
    refusing_engines: refusing_engines.RefusingEngines
    observer: observer.RelayObserver
    response_times: answer_times.AnswerTimes
    first_event_waits: first_event_wait.FirstEventWait
    drain: drain.NodeDrain
    buffers: buffer_budget.BufferBudget
    registry_age_s: Callable[[], float]
    engine_notice_s: float
    running: set[relays.ActiveRequest] = dataclasses.field(default_factory=set)
    link: link_activity.LinkActivity = dataclasses.field(
        default_factory=link_activity.LinkActivity
    )
    links: isolation.ServiceLinks = dataclasses.field(
        default_factory=isolation.ServiceLinks
    )
