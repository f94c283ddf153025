"""Pace of subtasks that fill, so that those that serve stay in their target."""

from collections.abc import Iterator

from attrs import frozen

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.work import RunState, Subtask

# Part of its target up to which a serving subtask's tail may rise before what
# fills beside it is slowed down, and below which that may speed up again.
SLOW_DOWN_RATIO = 0.75
SPEED_UP_RATIO = 0.5
# Above its target by this factor, what fills beside it is paused at once: a
# target may be missed for a few looks only.
PAUSE_RATIO = 1.25
MIN_PERCENT = 10  # below this a subtask is better paused
SPEED_STEP_PERCENT = 15
FULL_PERCENT = 100


@frozen
class PaceChange:
    """A subtask and the share of its speed at which it is to work."""

    subtask: Subtask
    percent: int


def find_pace_changes(executor: Executor) -> Iterator[PaceChange]:
    """Yield the changes that the last readings of an executor ask for.

    Pace falls by half at once and rises in small steps, because a target that
    is passed for seconds harms users, and slow filling only costs time.
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
    """Return the next pace; ``strain`` is the worst tail by its target."""
    if latency_ratio > PAUSE_RATIO:
        return 0
    if latency_ratio > SLOW_DOWN_RATIO:
        slower = percent // 4 if latency_ratio > 1 else percent // 2
        return slower if slower >= MIN_PERCENT else 0
    if latency_ratio < SPEED_UP_RATIO:
        return min(FULL_PERCENT, percent + SPEED_STEP_PERCENT)
    return percent
