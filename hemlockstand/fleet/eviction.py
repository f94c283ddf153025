"""Chooses runs to stop, to empty an executor or because they do not progress.

Stops leave at most ``max_unavailable`` subtasks of a lasting step unavailable,
except on a draining executor. A step without ``max_unavailable`` has no such
budget.
"""

from collections.abc import Iterator, Mapping, Set as AbstractSet

from hemlockstand.fleet.copies import is_ahead
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.model import FleetConfig, Resources
from hemlockstand.fleet.placement import accepts_runs, is_below_cap
from hemlockstand.fleet.policy.evacuation import is_evacuated
from hemlockstand.fleet.work import RunState, Subtask

NOTHING = Resources()
AVAILABLE_PERCENT = 100  # a lasting subtask has less while it starts up
# A run whose percent did not change over this time and several polls makes no
# progress. The percent of a run of one minute rises twice as fast as that,
# even on a slow executor.
STALL_SECONDS = 1.5
STALL_POLLS = 3
MAX_WATCHED_ESTIMATE_MS = 60_000


def find_stoppable(
    executor: Executor,
    executors: Mapping[str, Executor],
    now: float,
    budgets_known: bool,
    config: FleetConfig,
) -> Iterator[Subtask]:
    """Yield the lasting subtasks of an executor that may be stopped now.

    The caller must stop each before it asks for the next, since the budget of
    their step counts those that are stopped. While stops of a previous
    scheduler may be in progress, ``budgets_known`` is false, and subtasks of
    steps with a budget go on.
    """
    for subtask in list(executor.runs.values()):
        if not subtask.step.lasting or subtask.run is None:
            continue
        if subtask.step.max_unavailable and not budgets_known:
            continue
        if subtask.run.state is not RunState.RUNNING:
            continue
        if may_stop(subtask, executors) and has_room_elsewhere(
            subtask, executors, now, config
        ):
            yield subtask


def may_stop(subtask: Subtask, executors: Mapping[str, Executor]) -> bool:
    """Return whether the step's budget permits stopping the subtask.

    The subtask itself counts as available even if it was still starting up
    when the executor last answered: it may have become available since. Any
    subtask of a draining executor or of a step without a budget may be
    stopped.
    """
    if not subtask.step.max_unavailable:
        return True
    unavailable = {
        other
        for other in subtask.step_run.subtasks
        if not is_available(other, executors)
    }
    return is_within_budget(subtask, executors, unavailable)


def is_within_budget(
    subtask: Subtask,
    executors: Mapping[str, Executor],
    unavailable: AbstractSet[Subtask],
) -> bool:
    """Return whether a subtask may be stopped beside those unavailable."""
    budget = subtask.step.max_unavailable
    if not budget or subtask.run is None:
        return True
    executor = executors.get(subtask.run.executor)
    if executor is not None and executor.entry.draining:
        return True
    return len(unavailable - {subtask}) < budget


def is_available(subtask: Subtask, executors: Mapping[str, Executor]) -> bool:
    """Return whether a subtask is known to run at full speed.

    Its executor has to answer and must not be draining, and its last list has to
    show the stops of previous schedulers.
    """
    run = subtask.run
    if run is None or run.state is not RunState.RUNNING:
        return False
    executor = executors.get(run.executor)
    if executor is None or not executor.reachable or executor.entry.draining:
        return False
    if not executor.shows_stops:
        return False
    return run.percent >= AVAILABLE_PERCENT and run.pace == AVAILABLE_PERCENT


def has_room_elsewhere(
    subtask: Subtask,
    executors: Mapping[str, Executor],
    now: float,
    config: FleetConfig,
) -> bool:
    """Return whether another executor has room for the subtask now.

    It starts again in the pool of its queue, which may not be that of its run.
    """
    pool = find_pool(subtask.job, config)
    return any(
        executor.entry.pool == pool
        and accepts_runs(executor, now)
        and not is_evacuated(executor, config)
        and may_take(executor, subtask)
        for executor in executors.values()
    )


def may_take(
    executor: Executor,
    subtask: Subtask,
    promised: Resources = NOTHING,
    promised_runs: int = 0,
) -> bool:
    """Return whether an executor has room for a subtask, and for ``promised``.

    ``promised_runs`` of the subtask's step are among what is promised.
    """
    step = subtask.step
    if step.label and step.label not in executor.entry.labels:
        return False
    if not executor.has_room(step.size.add(promised), step.fills):
        return False
    return is_below_cap(subtask.step_run, executor, promised_runs)


def find_stalled(executor: Executor, now: float) -> Iterator[Subtask]:
    """Yield the runs of an executor that make no progress."""
    for subtask in list(executor.runs.values()):
        run = subtask.find_run(executor.id)
        if run is None or run.state is not RunState.RUNNING or run.pace < 100:
            continue
        step = subtask.step
        if step.lasting or step.gang or step.estimate_ms > MAX_WATCHED_ESTIMATE_MS:
            continue
        if run.unchanged_polls >= STALL_POLLS and now - run.percent_at > STALL_SECONDS:
            yield subtask


def find_movable(
    executor: Executor,
    executors: Mapping[str, Executor],
    now: float,
    config: FleetConfig,
) -> Iterator[Subtask]:
    """Yield the runs of a draining executor that can move to another one.

    Lasting subtasks would end with the executor, and those with checkpoints
    lose no progress by a stop. Other short ones can end where they are, and so
    can a run that is nearer its end than its copy.
    """
    for subtask in list(executor.runs.values()):
        run = subtask.find_run(executor.id)
        if run is None or run.state is not RunState.RUNNING or subtask.step.gang:
            continue
        if is_ahead(subtask, run, now):
            continue
        movable = subtask.step.lasting or subtask.step.checkpoints
        if movable and has_room_elsewhere(subtask, executors, now, config):
            yield subtask
