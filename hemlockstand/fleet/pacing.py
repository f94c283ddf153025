"""Pace of subtasks that only use spare cpu (``fills``).

It is chosen so that the response times of subtasks that serve users on the
same executor stay within their targets.
"""

from collections.abc import Iterator

from attrs import frozen

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.work import RunState, Subtask

# Tail of the response times of a serving subtask, as a part of its target,
# above which filling subtasks on its executor slow down, and below which they
# speed up again.
SLOW_DOWN_RATIO = 0.75
SPEED_UP_RATIO = 0.5
# Above this ratio filling subtasks are paused at once: a target may be missed
# for a few polls only.
PAUSE_RATIO = 1.25
MIN_PERCENT = 10  # a subtask that would get less is paused
SPEED_STEP_PERCENT = 15
FULL_PERCENT = 100


@frozen
class PaceChange:
    """A new pace of a subtask, in percent of its full speed."""

    subtask: Subtask
    percent: int


def find_pace_changes(executor: Executor) -> Iterator[PaceChange]:
    """Yield the changes that follow from the last answer of an executor.

    The pace falls by half or more and rises in small steps: a target that is
    missed for seconds harms users, and a slow filling subtask only costs time.
    """
    latency_ratio = max(
        (
            subtask.run.load / subtask.step.target_ms
            for subtask in executor.runs.values()
            if subtask.step.target_ms and subtask.run is not None
        ),
        default=0.0,
    )
    for subtask in executor.runs.values():
        run = subtask.run
        if not subtask.step.fills or run is None or run.state is not RunState.RUNNING:
            continue
        percent = choose_pace(run.pace, latency_ratio)
        if percent != run.pace:
            yield PaceChange(subtask, percent)


def choose_pace(percent: int, latency_ratio: float) -> int:
    """Return the next pace in percent.

    ``latency_ratio`` is the largest tail of response times by its target.
    """
    if latency_ratio > PAUSE_RATIO:
        return 0
    if latency_ratio > SLOW_DOWN_RATIO:
        slower = percent // 4 if latency_ratio > 1 else percent // 2
        return slower if slower >= MIN_PERCENT else 0
    if latency_ratio < SPEED_UP_RATIO:
        return min(FULL_PERCENT, percent + SPEED_STEP_PERCENT)
    return percent
