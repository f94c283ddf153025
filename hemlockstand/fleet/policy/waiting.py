"""Order of the waiting steps of a pool.

Load pattern: a queue's turn, in which more jobs arrive for some seconds than
the pool can run. By deadline alone, the first jobs that wait too long make
all later ones late as well, although the pool runs at its capacity. Jobs that
can still complete within their objective therefore come before those that
cannot, so the pool serves as many in time as it has room for.
"""

from enum import IntEnum
from typing import NamedTuple

from hemlockstand.fleet.model import FleetConfig, JobSpec
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.work import StepRun

LATE_FACTOR = 3.0  # a job is worth nothing after three times its objective
# Predicted durations are uncertain. A job that has this many times its predicted
# chain left will be in time.
AMPLE_FACTOR = 1.3
# A job that has less than this many times its predicted chain left will be late.
SCARCE_FACTOR = 0.8


class Timeliness(IntEnum):
    """Whether a waiting job can still be worth something."""

    IN_TIME = 0
    AT_RISK = 1
    LATE = 2
    WORTHLESS = 3


class Standing(IntEnum):
    """How a waiting step stands to the share of its workspace.

    Late jobs of a workspace count as ``BELOW`` while it uses little of its
    share. With the rest of them it does not go before jobs that can still be
    in time.
    """

    BELOW = 0
    ABOVE = 1
    LATE_BELOW = 2
    LATE_ABOVE = 3


class StepRank(NamedTuple):
    """Sort key of a waiting step, smallest first.

    It is a tuple because each round of placement compares thousands of ranks.

    Lasting subtasks come first: they are small and must run again within
    seconds. Jobs that are worth nothing any more come last. Of the rest, by
    queue priority, those of workspaces below their share come first, where the
    pool lacks room. Then those with ample time come before those that may be
    late, and those that have begun before others, because less is left to do
    for the same worth.
    """

    short_lived: bool
    worthless: bool
    priority: int
    standing: Standing
    timeliness: Timeliness
    not_begun: bool
    deadline: float
    reversed_position: int


def rank_step(step_run: StepRun, config: FleetConfig, now: float) -> StepRank:
    """Return the sort key of a waiting step at a time of the scheduler."""
    job = step_run.job
    lasting = step_run.step.lasting
    timeliness = Timeliness.IN_TIME if lasting else judge_timeliness(step_run, now)
    return StepRank(
        short_lived=not lasting,
        worthless=timeliness is Timeliness.WORTHLESS,
        priority=find_terms(job.spec, config).priority,
        standing=Standing.BELOW,
        timeliness=timeliness,
        not_begun=not (step_run.position or step_run.has_begun),
        deadline=job.deadline,
        reversed_position=-step_run.position,
    )


def judge_timeliness(step_run: StepRun, now: float) -> Timeliness:
    """Return whether a job is in time if the step starts now."""
    job = step_run.job
    due_at = job.accepted_at + job.objective_seconds
    if now + step_run.remaining_seconds * AMPLE_FACTOR <= due_at:
        return Timeliness.IN_TIME
    done_at = now + step_run.remaining_seconds * SCARCE_FACTOR
    if done_at <= due_at:
        return Timeliness.AT_RISK
    return Timeliness.LATE if done_at < job.deadline else Timeliness.WORTHLESS


def measure_chain(spec: JobSpec, position: int, seconds: list[float]) -> float:
    """Return the length of the longest chain of steps from a position on.

    ``seconds`` holds the predicted time of each step.
    """
    longest = [0.0] * len(spec.steps)
    for index in range(len(spec.steps) - 1, position - 1, -1):
        longest[index] += seconds[index]
        for earlier in spec.steps[index].after:
            longest[earlier] = max(longest[earlier], longest[index])
    return longest[position]
