"""Detects parts of prompts that crash each endpoint which begins to answer.

Requests that differ in all else may share a part of their prompts at which
endpoints crash. No such request meets enough crashes to be refused itself, so
that these requests crash one endpoint after another.

A part is suspected at each crash of an endpoint that ran a request with it and
had not begun to answer. It is refused once several crashes had such requests
that were in flight at no earlier one: one request that crashes endpoints by
itself, and its retries, never accuse the other parts of its prompt.

Answered requests prove their parts harmless, as a part that crashes endpoints
is never answered. Most prompts share their first part with many others, whose
responses keep it from being refused. A part is refused at once if it is next
to such a proven one; otherwise, later, as it can't be told from its neighbours.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.policy import crash_strikes

MIN_CRASHES_WITH_NEW_PROMPTS = 3
"""Crashes, each with a prompt that was in flight at no earlier one, from which
a part is refused."""

MIN_CRASHES = 4
MIN_CRASHES_WITH_NEW_PROMPTS_IF_MANY = 2
"""The same for parts with at least ``MIN_CRASHES``. A request that crashes
endpoints by itself is refused after three."""

MIN_CRASHES_IF_PROVEN = 2 * MIN_CRASHES_WITH_NEW_PROMPTS
"""The same for a proven part, all since the latest response."""

UNANSWERED_S = 3.0
"""Time without a response after which a proven part may be refused, in
seconds."""

MIN_OTHER_ANSWERS_IF_PROVEN = 20
MIN_OTHER_ANSWERS_IF_ALONE = 5
"""Answered prompts without the part that are required to refuse it if it is
proven, or has no proven neighbour. While all engines are lost no prompt is
answered, and no part is at fault."""

ALONE_S = 2.0
"""Time after enough crashes for which a part without a proven neighbour is not
refused yet, in seconds; peers may prove it harmless."""

PROVEN_S = 600.0
"""Time for which a response proves a part, in seconds."""

REFUSED_S = 600.0
"""Time for which a part is refused, in seconds."""

STRIKE_S = 600.0
"""Validity of a strike, in seconds."""

MAX_PARTS = 4_096
"""Maximum number of parts that are kept with strikes, and with responses."""

MAX_STRIKES_PER_PART = 16
MAX_PROMPTS_PER_STRIKE = 16
"""Maximum number of the latest crashes that are kept for a part, and of prompts
for each; fewer suffice to refuse it."""

MAX_EXPLAINED = 1_024
"""Maximum number of crashed endpoints that are kept as explained."""


@dataclasses.dataclass(slots=True)
class PartStrike:
    """A crash at which a part was in flight.

    Attributes:
        at: When it was counted; monotonic seconds.
        prompts: The prompts with this part.
    """

    at: float
    prompts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """The latest response to a prompt with a part.

    Attributes:
        at: Monotonic seconds.
        answers: Number of answered prompts until then.
    """

    at: float
    answers: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedPart:
    """A part that is refused from now on, and how often it was seen."""

    part: str
    crashes: int
    prompts: int


class PartStrikes:
    """Counts crashes of endpoints by parts of prompts.

    Attributes:
        strikes: By part and instance of the endpoint, in the order of counting.
        beside_proven: Parts with strikes that were next to a proven part.
        proofs: By part.
        refused: Monotonic time of the refusal, by part.
        explained: Crashed instances that ran a prompt with a refused part.
        answers: Number of answered prompts.
    """

    def __init__(self) -> None:
        self.strikes: dict[str, dict[str, PartStrike]] = {}
        self.beside_proven: set[str] = set()
        self.proofs: dict[str, Proof] = {}
        self.refused: dict[str, float] = {}
        self.explained: dict[str, None] = {}
        self.answers = 0

    def strike(
        self,
        instance: str,
        prompts: Iterable[crash_strikes.UnansweredPrompt],
        now: float,
    ) -> None:
        """Records prompts that a crashed endpoint had not begun to answer."""
        prompts = list(prompts)
        if any(self.find_refused(p.parts, now) for p in prompts):
            self.explain(instance)
        if instance in self.explained:
            return
        for prompt in prompts:
            proven = [p for p in prompt.parts if self.is_proven(p, now)]
            for part in prompt.parts:
                is_beside = any(other != part for other in proven)
                self.add(part, instance, prompt.prompt, is_beside, now)

    def add(
        self,
        part: str,
        instance: str,
        prompt: str,
        is_beside_proven: bool,
        now: float,
    ) -> None:
        """Adds a strike to a part, or a prompt to a strike.

        Args:
            part: The part.
            instance: The crashed endpoint.
            prompt: Identifies the prompt.
            is_beside_proven: Whether another part of it is proven.
            now: Monotonic seconds.
        """
        if instance in self.explained or part in self.refused:
            return
        known = self.strikes.setdefault(part, {})
        strike = known.setdefault(instance, PartStrike(now))
        if len(strike.prompts) < MAX_PROMPTS_PER_STRIKE:
            strike.prompts.add(prompt)
        if len(known) > MAX_STRIKES_PER_PART:
            del known[next(iter(known))]
        if is_beside_proven:
            self.beside_proven.add(part)
        while len(self.strikes) > MAX_PARTS:
            self.clear(next(iter(self.strikes)))

    def review(self, now: float) -> list[RefusedPart]:
        """Refuses the parts that crash endpoints; returns them."""
        found = []
        for part in list(self.strikes):
            known = self.strikes.get(part)
            if known is not None and self.should_refuse(part, now):
                prompts = {p for s in known.values() for p in s.prompts}
                found.append(RefusedPart(part, len(known), len(prompts)))
                self.refuse(part, now)
        return found

    def should_refuse(self, part: str, now: float) -> bool:
        """Returns whether the crashes of a part suffice to refuse it."""
        known = self.strikes[part]
        if len(known) < MIN_CRASHES_WITH_NEW_PROMPTS:
            return False
        strikes = list(known.values())
        if self.is_proven(part, now):
            return (
                count_with_new_prompts(strikes) >= MIN_CRASHES_IF_PROVEN
                and now - self.proofs[part].at >= UNANSWERED_S
                and self.other_answers(part) >= MIN_OTHER_ANSWERS_IF_PROVEN
            )
        reached_at = enough_at(strikes)
        if reached_at is None or part in self.beside_proven:
            return reached_at is not None
        return (
            now - reached_at >= ALONE_S
            and self.other_answers(part) >= MIN_OTHER_ANSWERS_IF_ALONE
        )

    def other_answers(self, part: str) -> int:
        """Returns the answered prompts since the latest with this part."""
        proof = self.proofs.get(part)
        return self.answers - (0 if proof is None else proof.answers)

    def refuse(self, part: str, at: float) -> None:
        """Refuses a part, which explains the crashes that had it in flight."""
        self.refused[part] = at
        crashed = list(self.strikes.get(part, ()))
        self.clear(part)
        for instance in crashed:
            self.explain(instance)

    def explain(self, instance: str) -> None:
        """Drops the strikes of a crash that a refused part has caused."""
        self.explained[instance] = None
        while len(self.explained) > MAX_EXPLAINED:
            del self.explained[next(iter(self.explained))]
        self.withdraw(instance)

    def withdraw(self, instance: str) -> None:
        """Drops the strikes by an endpoint that has not crashed after all."""
        for part, known in list(self.strikes.items()):
            known.pop(instance, None)
            if not known:
                self.clear(part)

    def clear(self, part: str) -> None:
        """Drops the strikes of a part."""
        self.strikes.pop(part, None)
        self.beside_proven.discard(part)

    def note_answered(self, parts: Iterable[str], now: float) -> list[str]:
        """Records a response.

        Returns:
            The parts that had been refused or met several crashes.
        """
        self.answers += 1
        return [part for part in parts if self.prove(part, now)]

    def prove(self, part: str, at: float) -> bool:
        """Records that a prompt with a part was answered.

        Returns:
            Whether it had been refused or met several crashes.
        """
        known = self.proofs.get(part)
        if known is not None and known.at > at:
            return False
        self.proofs.pop(part, None)
        self.proofs[part] = Proof(at, self.answers)
        while len(self.proofs) > MAX_PARTS:
            del self.proofs[next(iter(self.proofs))]
        refused_at = self.refused.get(part)
        is_lifted = refused_at is not None and refused_at <= at
        if is_lifted:
            del self.refused[part]
        crashes = len(self.strikes.get(part, ()))
        self.clear(part)
        return is_lifted or crashes > 1

    def is_proven(self, part: str, now: float) -> bool:
        """Returns whether a prompt with this part was answered lately."""
        return self.proof_age_s(part, now) <= PROVEN_S

    def proof_age_s(self, part: str, now: float) -> float:
        """Returns the age of a part's proof, infinite if there is none."""
        proof = self.proofs.get(part)
        return float("inf") if proof is None else now - proof.at

    def find_refused(self, parts: Iterable[str], now: float) -> str:
        """Returns a refused part; "" if there is none."""
        if not self.refused:
            return ""
        for part in parts:
            at = self.refused.get(part)
            if at is not None and now - at <= REFUSED_S:
                return part
        return ""

    def forget_old(self, now: float) -> None:
        """Drops strikes and refusals that have expired."""
        for part, at in list(self.refused.items()):
            if now - at > REFUSED_S:
                del self.refused[part]
        for part, known in list(self.strikes.items()):
            for instance, strike in list(known.items()):
                if now - strike.at > STRIKE_S:
                    del known[instance]
            if not known:
                self.clear(part)


def count_with_new_prompts(strikes: Iterable[PartStrike]) -> int:
    """Returns the strikes with a prompt that is in none before them."""
    seen: set[str] = set()
    count = 0
    for strike in strikes:
        if not strike.prompts <= seen:
            count += 1
        seen |= strike.prompts
    return count


def enough_at(strikes: list[PartStrike]) -> float | None:
    """Returns when the strikes of an unproven part were enough to refuse it.

    None if they are not.
    """
    for crashes in range(MIN_CRASHES_WITH_NEW_PROMPTS, len(strikes) + 1):
        required = MIN_CRASHES_WITH_NEW_PROMPTS
        if crashes >= MIN_CRASHES:
            required = MIN_CRASHES_WITH_NEW_PROMPTS_IF_MANY
        if count_with_new_prompts(strikes[:crashes]) >= required:
            return strikes[crashes - 1].at
    return None
