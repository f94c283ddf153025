"""Which runs to stop: to clear an executor, or because they stand still.

A step that lasts is never left with more of its subtasks away than it may
miss.
"""

from collections.abc import Iterator, Mapping

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.placement import accepts_runs, is_below_cap
from hemlockstand.fleet.work import RunState, Subtask

AVAILABLE_PERCENT = 100  # of a lasting subtask; less while it starts up
# A run whose percent did not change over this time and several looks stands
# still; one of a minute shows a percent more twice as fast, even on an
# executor that is slow.
STALL_SECONDS = 1.5
STALL_POLLS = 3
MAX_WATCHED_ESTIMATE_MS = 60_000


def find_stoppable(
    executor: Executor, executors: Mapping[str, Executor], now: float
) -> Iterator[Subtask]:
    """Yield the lasting subtasks of an executor that may be stopped now.

    Subtasks of the same step are yielded one after the other, so that the
    caller must stop one before it asks for the next.
    """
    for subtask in list(executor.runs.values()):
        if not subtask.step.lasting or subtask.run is None:
            continue
        if subtask.run.state is not RunState.RUNNING:
            continue
        if may_stop(subtask, executors) and has_place(subtask, executors, now):
            yield subtask


def may_stop(subtask: Subtask, executors: Mapping[str, Executor]) -> bool:
    """Return whether the step can miss the subtask for a while.

    One that was still starting up when the executor last answered counts as
    at work: it may have begun since.
    """
    budget = subtask.step.max_unavailable
    if not budget or subtask.run is None:
        return True
    executor = executors.get(subtask.run.executor)
    if executor is not None and executor.entry.draining:
        return True
    unavailable = sum(
        1
        for other in subtask.step_run.subtasks
        if other is not subtask and not is_available(other, executors)
    )
    return unavailable < budget


def is_available(subtask: Subtask, executors: Mapping[str, Executor]) -> bool:
    """Return whether a subtask is known to work on a sound executor."""
    run = subtask.run
    if run is None or run.state is not RunState.RUNNING:
        return False
    executor = executors.get(run.executor)
    if executor is None or not executor.reachable or executor.entry.draining:
        return False
    return run.percent >= AVAILABLE_PERCENT and run.pace == AVAILABLE_PERCENT


def has_place(subtask: Subtask, executors: Mapping[str, Executor], now: float) -> bool:
    """Return whether another executor could take the subtask at once."""
    step = subtask.step
    pool = executors[subtask.run.executor].entry.pool if subtask.run else ""
    for executor in executors.values():
        if executor.entry.pool != pool or not accepts_runs(executor, now):
            continue
        if step.label and step.label not in executor.entry.labels:
            continue
        if not executor.has_room(step.size, step.fills):
            continue
        if is_below_cap(subtask.step_run, executor):
            return True
    return False


def find_stalled(executor: Executor, now: float) -> Iterator[Subtask]:
    """Yield the runs of an executor that make no progress."""
    for subtask in list(executor.runs.values()):
        run = subtask.run
        if run is None or run.state is not RunState.RUNNING or run.pace < 100:
            continue
        step = subtask.step
        if step.lasting or step.gang or step.estimate_ms > MAX_WATCHED_ESTIMATE_MS:
            continue
        if run.unchanged_polls >= STALL_POLLS and now - run.percent_at > STALL_SECONDS:
            yield subtask


def find_movable(
    executor: Executor, executors: Mapping[str, Executor], now: float
) -> Iterator[Subtask]:
    """Yield the runs of a draining executor that are better off elsewhere.

    Lasting work would end with the executor. Short work ends before, and
    what keeps its progress loses none by a stop.
    """
    for subtask in list(executor.runs.values()):
        run = subtask.run
        if run is None or run.state is not RunState.RUNNING or subtask.step.gang:
            continue
        movable = subtask.step.lasting or subtask.step.checkpoints
        if movable and has_place(subtask, executors, now):
            yield subtask
