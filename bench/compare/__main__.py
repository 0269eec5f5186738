"""Compares variants of the code: ``python -m bench.compare FILE``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from bench.compare import differences
from bench.compare import measurements
from bench.compare import plan as plans
from bench.compare import report
from bench.compare import results
from bench.compare import worktrees
from bench.platform import day_player

INVALID_PLAN = 2


class Comparison:
    """Runs the plays of a plan that are not finished yet.

    Attributes:
        waiting: Plays that no job has started.
        unfinished: Plays that failed, with the reason.
    """

    def __init__(self, plan: plans.Plan, finished: results.ResultFile) -> None:
        self.plan = plan
        self.finished = finished
        self.revisions = {
            name: worktrees.revision(variant.revision)
            for name, variant in plan.variants.items()
        }
        self.plays = list(plan.all_plays(self.revisions))
        self.waiting = [p for p in self.plays if p not in finished.by_play]
        self.unfinished: list[tuple[measurements.Play, str]] = []
        self.player = day_player.DayPlayer(
            program=plan.plays.program.resolve(),
            charges_processor=plan.plays.charge_processor,
            collected_journal=pathlib.Path(day_player.JOURNAL).resolve(),
        )

    async def run(self) -> None:
        """Runs the waiting plays in as many jobs as memory allows."""
        jobs = range(job_count(self.plan))
        await asyncio.gather(*(self.run_job(number) for number in jobs))

    async def run_job(self, number: int) -> None:
        """Runs waiting plays one after another in a worktree of its own."""
        worktree = worktrees.prepare(
            self.plan.plays.worktrees / f"job-{number}"
        )
        while self.waiting:
            play = self.waiting.pop(0)
            await self.run_play(worktree, play)
            waiting_count = len(self.waiting)
            print(f"{waiting_count:>5} waiting; {play.label}", file=sys.stderr)

    async def run_play(
        self, worktree: pathlib.Path, play: measurements.Play
    ) -> None:
        """Runs a play and stores its measurement."""
        variant = self.plan.variants[play.variant]
        commit = self.revisions[play.variant]
        worktrees.check_out(worktree, commit, variant.patch)
        try:
            measured = await self.player.play(
                worktree, play, self.plan.plays.why
            )
        except day_player.DayNotPlayed as error:
            self.unfinished.append((play, str(error)))
            return
        self.finished.add(measured)

    def measured(self) -> list[measurements.Measurement]:
        """Returns the measurements of this plan's finished plays."""
        by_play = self.finished.by_play
        return [by_play[play] for play in self.plays if play in by_play]


def job_count(plan: plans.Plan) -> int:
    """Returns the number of plays that run at the same time."""
    largest_gb = max(d.memory_gb for d in plan.deployments.values())
    return max(1, min(plan.plays.jobs, int(plan.plays.memory_gb / largest_gb)))


def main() -> int:
    """Runs the plays, prints the differences and writes them as CSV."""
    parser = argparse.ArgumentParser(prog="bench.compare")
    parser.add_argument("plan", type=pathlib.Path)
    try:
        plan = plans.load(parser.parse_args().plan)
    except plans.PlanInvalid as error:
        print(error, file=sys.stderr)
        return INVALID_PLAN
    finished = results.ResultFile(plan.plays.results)
    finished.load()
    comparison = Comparison(plan, finished)
    asyncio.run(comparison.run())
    measured = comparison.measured()
    found = differences.paired(measured, plan.baseline)
    report.write_csv(plan.plays.results.with_suffix(".csv"), found)
    print(report.table(found))
    print(f"\nfinished {len(measured)} of {len(comparison.plays)} plays")
    for line in report.format_problems(measured):
        print(f"rule broken: {line}")
    for play, reason in comparison.unfinished:
        print(f"not finished: {play.label}: {reason}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
