"""Path selection: which engines run a request, and whether it is admitted.

A burst, or the loss of engines, brings more requests than engines have memory
for. Engines then preempt the newest requests and prefill them again, and all
streams stall. A request is admitted only if this node estimates that every
engine of some path has room for it. Otherwise it is refused at once, while its
caller still has time to retry.

Candidate paths are cached between searches, since a search costs more than
the rest of an arrival.

The relay uses this module. For nodes that call each engine of a chain
themselves, see ``chain_choice``.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

from almondshift.model import relayed
from almondshift.policy import capacity_shares
from almondshift.policy import engine_tracker
from almondshift.policy import path_candidates
from almondshift.policy import path_search
from almondshift.policy import pooled_load
from almondshift.policy import zone_paths

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    import random

    from almondshift.model import engine_specs

NEARLY_FULL_SHARE = 0.6
"""Estimated utilisation above which an engine is queried for its actual one."""

REFRESH_S = 0.25
"""Maximum age of cached paths, in seconds."""

REFRESH_S_PER_ENGINE = 0.0008
"""Maximum age of cached paths per engine of a service, in seconds; the longer
of the two applies. The cost of a search grows with the number of engines, and
this bounds its share of a core."""

COST_JITTER = 0.1
"""Maximum relative random increase of a path's cost, so that nodes with equal
views choose different paths."""

LOAD_WEIGHT = 4.0
"""Relative increase of a path's cost from empty to full. Without it the zone
with the fastest accelerators queues requests while slower zones are idle."""


NO_PATH = "no path"
NO_SLOTS = "slots"
NO_MEMORY = "memory"
"""Causes of a request that finds no path."""


@dataclasses.dataclass(slots=True)
class _CachedPaths:
    paths: list[path_search.FoundPath]
    searched_at: float
    version: tuple[int, int]
    avoid: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenPath:
    """A path, and the load to account for it.

    Attributes:
        used: Its engines and their numbers of layers.
        cost_ms: Expected time of a step.
        load: Memory utilisation of its fullest engine. The higher of two
            estimates: that used for admission, with the request, and that as
            if all nodes had this node's requests. May exceed 1.
        zone_changes: How often the path changes the availability zone.
        rooms: Tokens that fit on each part when its engine is empty.
    """

    path: relayed.Path
    used: tuple[engine_tracker.UsedPart, ...]
    zone: str
    cost_ms: float
    load: float
    zone_changes: int
    rooms: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoPath:
    """Why no path can take a request.

    Attributes:
        cause: ``NO_PATH``, ``NO_SLOTS`` or ``NO_MEMORY``.
        instance: The engine that lacks slots or memory on the path that is
            closest to having room; "" if there is no path.
        load: Its estimated use, as a multiple of its capacity.
        from_report: Whether that is based on its own report.
        nodes: Nodes that are assumed to share the engines.
        own_load: Its use if all nodes had the same requests as this one.
    """

    cause: str
    instance: str
    load: float
    from_report: bool
    nodes: int
    own_load: float = 0.0


class PathChooser:
    """Chooses paths.

    Attributes:
        candidates: The engines that paths may use.
        nearly_full: Addresses of engines that seem nearly full, by instance,
            until they are queried.
        cached: Result of the latest search, by service.
        cached_around: The same for the latest one around avoided engines.
        limited: Engines that may not accept another request; paths that
            begin with others are searched too.
    """

    def __init__(
        self, tracker: engine_tracker.EngineTracker, rng: random.Random
    ) -> None:
        self.tracker = tracker
        self.rng = rng
        self.candidates = path_candidates.PathCandidates(tracker, rng)
        self.nearly_full: dict[str, str] = {}
        self.cached: dict[str, _CachedPaths] = {}
        self.cached_around: dict[str, _CachedPaths] = {}
        self.limited: Collection[str] = ()

    @property
    def nodes(self) -> int:
        """Nodes of the group, this one included."""
        return self.candidates.nodes

    @nodes.setter
    def nodes(self, nodes: int) -> None:
        self.candidates.nodes = nodes

    def choose(
        self,
        view: path_candidates.FleetView,
        tokens: float,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> ChosenPath | None:
        """Returns a path with room for a request, or None.

        Args:
            view: The engines.
            tokens: Memory that the request needs, in tokens.
            now: Monotonic seconds.
            avoid: Engines that may not be the first of the path.
        """
        load = self.candidates.load(view, now)
        fitting = self._fitting_around(view, tokens, now, load, avoid)
        if fitting and path_candidates.chooses_by_share(load.nodes, view.spec):
            return self._choose_by_share(fitting, view.spec, tokens, load)
        best: ChosenPath | None = None
        best_rank = (False, 0.0)
        for chosen in fitting:
            score = chosen.cost_ms * (1.0 + LOAD_WEIGHT * chosen.load)
            score *= self.rng.uniform(1.0, 1.0 + COST_JITTER)
            # Ranked last rather than excluded: the estimate may be wrong.
            is_crowded = load.first_requests_if_all_nodes_add_one(
                chosen.path[0].instance
            ) > (view.spec.slots)
            if best is None or (is_crowded, score) < best_rank:
                best, best_rank = chosen, (is_crowded, score)
        return best

    def _fitting_around(
        self,
        view: path_candidates.FleetView,
        tokens: float,
        now: float,
        load: pooled_load.FleetLoad,
        avoid: frozenset[str],
    ) -> list[ChosenPath]:
        """Returns paths with room that begin with no engine of ``avoid``.

        The usual search may find only paths that begin with avoided engines,
        though others could begin them. Paths around engines with a rate limit
        are among its results already.
        """
        paths = self._current_paths(view, now)
        fitting = self._fitting(paths, view.spec, tokens, load)
        allowed = [c for c in fitting if c.path[0].instance not in avoid]
        if allowed or all(c.path[0].instance in self.limited for c in fitting):
            return allowed
        paths = self._current_paths(view, now, avoid)
        return self._fitting(paths, view.spec, tokens, load)

    def _fitting(
        self,
        paths: list[path_search.FoundPath],
        spec: engine_specs.EngineSpec,
        tokens: float,
        load: pooled_load.FleetLoad,
    ) -> list[ChosenPath]:
        """Returns the paths whose engines all have room."""
        return [
            chosen
            for found in paths
            if (chosen := self._choose_if_it_fits(found, spec, tokens, load))
        ]

    def explain(
        self,
        view: path_candidates.FleetView,
        tokens: float,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> NoPath:
        """Returns why ``choose`` returns None for the same arguments."""
        load = self.candidates.load(view, now)
        uses = [
            self._fullest_use(path, view.spec.slots, tokens, load)
            for path in self._current_paths(view, now)
            if path.parts[0].candidate.instance not in avoid
        ]
        if not uses:
            return NoPath(NO_PATH, "", 0.0, False, load.nodes)
        return min(uses, key=lambda use: use.load)

    def _fullest_use(
        self,
        path: path_search.FoundPath,
        slots: int,
        tokens: float,
        load: pooled_load.FleetLoad,
    ) -> NoPath:
        """Returns the use of the slots or memory that a path lacks most."""
        first = path.parts[0].candidate.instance
        used_slots = load.first_requests(first) / slots
        if used_slots >= 1.0:
            return NoPath(NO_SLOTS, first, used_slots, False, load.nodes)
        shares = {
            part.candidate.instance: _memory_share(part, tokens, load)
            for part in path.parts
        }
        fullest = max(shares, key=shares.__getitem__)
        from_report = self.tracker.has_fresh_report(fullest, load.now)
        room = next(
            part.candidate.room
            for part in path.parts
            if part.candidate.instance == fullest
        )
        return NoPath(
            NO_MEMORY,
            fullest,
            shares[fullest],
            from_report,
            load.nodes,
            load.own_share(fullest, max(1.0, room)),
        )

    def _choose_by_share(
        self,
        fitting: list[ChosenPath],
        spec: engine_specs.EngineSpec,
        tokens: float,
        load: pooled_load.FleetLoad,
    ) -> ChosenPath:
        """Draws a path by its share of the requests of all nodes."""
        uses = collections.Counter(
            part.instance for chosen in fitting for part in chosen.path
        )
        options = [
            capacity_shares.PathOption(
                chosen.cost_ms,
                _path_capacity(chosen, spec, tokens, uses),
                load.own_first(chosen.path[0].instance),
            )
            for chosen in fitting
        ]
        own = load.own_requests
        demand = max(load.mean_requests.mean, own + 1.0) * load.nodes
        wanted = capacity_shares.shares(options, demand, LOAD_WEIGHT)
        index = capacity_shares.draw_path(options, wanted, load.nodes, self.rng)
        return fitting[index]

    def find_replacement(
        self,
        view: path_candidates.FleetView,
        path: relayed.Path,
        tokens: float,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> ChosenPath | None:
        """Returns another path with the same first part, or None.

        Args:
            view: The engines.
            path: The current path of the request.
            tokens: Memory that the request needs, in tokens.
            now: Monotonic seconds.
            avoid: Engines that may not be used.
        """
        kept = frozenset(p.instance for p in path)
        for candidates in self.candidates.candidate_sets(view, now, kept):
            usable = [c for c in candidates if c.instance not in avoid]
            found = self._find_with_same_start(view, path, tokens, now, usable)
            if found is not None:
                return found
        return None

    def _find_with_same_start(
        self,
        view: path_candidates.FleetView,
        path: relayed.Path,
        tokens: float,
        now: float,
        candidates: list[path_search.Candidate],
    ) -> ChosenPath | None:
        """Returns a path over candidates with the same first part, or None."""
        first = path[0]
        kept = frozenset(p.instance for p in path)
        start = next(
            (c for c in candidates if c.instance == first.instance), None
        )
        if start is None:
            return None
        part = path_search.FoundPart(start, first.start, first.end)
        fast = [
            c for c in candidates if not self.tracker.is_slow(c.instance, now)
        ]
        for usable in (fast, candidates):
            found = path_search.find_path(
                usable, view.spec.layers, tokens, first=part, kept=kept
            )
            if found is not None:
                return _to_chosen_path(found, 0.0)
        return None

    def _current_paths(
        self,
        view: path_candidates.FleetView,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> list[path_search.FoundPath]:
        """Returns the paths that begin with no engine of ``avoid``."""
        version = (view.version, self.tracker.changes)
        by_service = self.cached_around if avoid else self.cached
        cached = by_service.get(view.service)
        if (
            cached is not None
            and cached.version == version
            and cached.avoid == avoid
            and now - cached.searched_at < refresh_s(len(view.engines))
        ):
            return cached.paths
        paths = self._search(view, now, avoid)
        by_service[view.service] = _CachedPaths(paths, now, version, avoid)
        return paths

    def _search(
        self,
        view: path_candidates.FleetView,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> list[path_search.FoundPath]:
        tokens = view.spec.mean_prompt_tokens + view.spec.mean_answer_tokens
        for found in self.candidates.candidate_sets(view, now):
            candidates = _not_first(found, avoid)
            preferred = [
                c
                for c in candidates
                if not self.tracker.is_slow(c.instance, now)
                and not self.tracker.lacks_first_events(c.instance, now)
            ]
            paths = zone_paths.find_paths(
                candidates, preferred, view.spec.layers, tokens
            )
            if paths:
                return paths + self._paths_around_limited(
                    paths, candidates, preferred, view.spec.layers, tokens
                )
        return []

    def _paths_around_limited(
        self,
        paths: list[path_search.FoundPath],
        candidates: list[path_search.Candidate],
        preferred: list[path_search.Candidate],
        layers: int,
        tokens: float,
    ) -> list[path_search.FoundPath]:
        """Returns paths that begin with engines that are not limited.

        If the best path of a zone begins with a limited engine, its other
        engines would be idle for requests that this engine doesn't accept.
        """
        if not any(
            p.parts[0].candidate.instance in self.limited for p in paths
        ):
            return []
        usable = _not_first(candidates, self.limited)
        fast = _not_first(preferred, self.limited)
        known = {_instances(path) for path in paths}
        return [
            path
            for path in zone_paths.find_paths(usable, fast, layers, tokens)
            if _instances(path) not in known
        ]

    def _choose_if_it_fits(
        self,
        found: path_search.FoundPath,
        spec: engine_specs.EngineSpec,
        tokens: float,
        load: pooled_load.FleetLoad,
    ) -> ChosenPath | None:
        """Returns a found path if all its engines have room, or None.

        Also records engines that seem nearly full in ``nearly_full``.
        """
        fullest = own = estimate_ratio = 0.0
        for part in found.parts:
            candidate = part.candidate
            room = max(1.0, candidate.room)
            share = _memory_share(part, tokens, load)
            fullest = max(fullest, share)
            own = max(own, load.own_share(candidate.instance, room))
            tolerance = self.candidates.tolerance(candidate.instance, load.now)
            estimate_ratio = max(estimate_ratio, share / tolerance)
            if share > NEARLY_FULL_SHARE:
                self.nearly_full[candidate.instance] = candidate.address
        first = found.parts[0].candidate.instance
        if load.first_requests(first) >= spec.slots:
            return None
        if estimate_ratio > path_search.FULL_SHARE:
            return None
        return _to_chosen_path(found, max(fullest, own))


def _memory_share(
    part: path_search.FoundPart, tokens: float, load: pooled_load.FleetLoad
) -> float:
    """Returns the use of an engine's memory if a request is added."""
    candidate = part.candidate
    need = load.used(candidate.instance, candidate.end - candidate.start)
    need += tokens * (part.end - part.start)
    return need / max(1.0, candidate.room)


def _not_first(
    candidates: list[path_search.Candidate], instances: Collection[str]
) -> list[path_search.Candidate]:
    """Returns the candidates; those of ``instances`` begin no path."""
    if not instances:
        return candidates
    return [
        dataclasses.replace(c, may_be_first=False)
        if c.instance in instances
        else c
        for c in candidates
    ]


def _instances(path: path_search.FoundPath) -> tuple[str, ...]:
    return tuple(part.candidate.instance for part in path.parts)


def refresh_s(engines: int) -> float:
    """Returns the maximum age of cached paths, in seconds.

    A change of health or of registrations triggers a search at once, and room
    is checked for each request. An old cache therefore only delays the use of
    paths that have become cheaper.
    """
    return max(REFRESH_S, engines * REFRESH_S_PER_ENGINE)


def _path_capacity(
    chosen: ChosenPath,
    spec: engine_specs.EngineSpec,
    tokens: float,
    uses: Mapping[str, int],
) -> float:
    """Returns how many requests of ``tokens`` each a path has room for.

    After engines are lost, the paths of several zones may share engines, whose
    room is then divided between them.
    """
    slots = spec.slots / uses[chosen.path[0].instance]
    rooms = (
        room / tokens / uses[part.instance]
        for part, room in zip(chosen.path, chosen.rooms, strict=True)
    )
    return min(slots, *rooms)


def _to_chosen_path(found: path_search.FoundPath, load: float) -> ChosenPath:
    return ChosenPath(
        path=tuple(
            relayed.PathPart(
                p.candidate.instance, p.candidate.address, p.start, p.end
            )
            for p in found.parts
        ),
        used=tuple(
            engine_tracker.UsedPart(p.candidate.instance, p.end - p.start)
            for p in found.parts
        ),
        zone=found.parts[0].candidate.zone,
        cost_ms=found.cost_ms,
        load=load,
        zone_changes=sum(
            a.candidate.zone != b.candidate.zone
            for a, b in itertools.pairwise(found.parts)
        ),
        rooms=tuple(p.candidate.room / (p.end - p.start) for p in found.parts),
    )


def create_path_chooser(
    tracker: engine_tracker.EngineTracker, rng: random.Random
) -> PathChooser:
    """Creates a chooser that uses the given engine states."""
    return PathChooser(tracker, rng)
