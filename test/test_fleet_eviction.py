"""Rules for which lasting subtasks may be stopped."""

import attrs
import pytest

from hemlockstand.fleet.eviction import find_movable, find_stoppable, may_stop
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.model import ExecutorEntry, JobSpec, Resources, Step
from hemlockstand.fleet.work import Job, Run, RunState, StepRun, Subtask
from test.fleet_world import make_config


def make_executor(name: str, draining: bool = False, pool: str = "pool") -> Executor:
    """Return an executor that is reachable."""
    size = Resources(16_000, 32_768)
    entry = ExecutorEntry(name, pool, "a:1", "dc1", draining, None, 1, size, ())
    return Executor(entry, None, 1, lambda: 0.0, None, 0.8, reconciled=True)


def make_subtasks(percents: list[int | None]) -> list[Subtask]:
    """Return the subtasks of a lasting step on ``i-0``, given their progress.

    A subtask with ``None`` instead of a percentage has no run.
    """
    step = Step(len(percents), Resources(1000), lasting=True, max_unavailable=1)
    job = Job(JobSpec("00000000000000c1", "queue", "pool", "", "", (step,)), 1)
    step_run = StepRun(job, 0, 0, step)
    for index, percent in enumerate(percents):
        subtask = Subtask(step_run, index, f"{step_run.name}.{index}")
        if percent is not None:
            run = Run(1, "i-0", 1, 0.0, RunState.RUNNING, percent=percent)
            subtask.run = run
        step_run.subtasks.append(subtask)
    return step_run.subtasks


@pytest.mark.parametrize(
    ("percents", "allowed"),
    [
        ([100, 100, 100], True),
        ([100, 100, None], False),
        ([100, 100, 50], False),
        ([50, 100, 100], True),
        ([50, 100, None], False),
    ],
)
def test_budget_of_a_step(percents, allowed):
    """Guards against stopping a subtask that counted as still starting up.

    It may have begun to work since its executor last answered. After a change
    of the scheduler, such old readings let work be moved twice.
    """
    executors = {"i-0": make_executor("i-0")}
    assert may_stop(make_subtasks(percents)[0], executors) is allowed


def test_draining_executor_is_cleared():
    """Guards against work that the step's budget keeps on a draining executor.

    It would end together with the executor.
    """
    executors = {"i-0": make_executor("i-0", draining=True)}
    assert may_stop(make_subtasks([100, None])[0], executors)


@pytest.mark.parametrize(("pool", "movable"), [("pool", False), ("other", True)])
@pytest.mark.parametrize("draining", [False, True])
def test_subtask_is_stopped_for_room_in_the_pool_of_its_queue(pool, movable, draining):
    """Guards against stops by the room in a pool that the queue has left.

    The subtask starts again in the queue's present pool. Without room there it
    would be idle; with room there it need not hold up maintenance.
    """
    config = make_config()
    queue = attrs.evolve(config.queues[0], pool="other")
    config = attrs.evolve(config, queues=(queue,))
    running = make_executor("i-0", draining)
    for subtask in make_subtasks([100, 100]):
        running.add_run(subtask)
    executors = {"i-0": running, "i-1": make_executor("i-1", pool=pool)}
    stoppable = list(find_stoppable(running, executors, 0.0, True, config))
    assert bool(stoppable) is movable
    assert bool(list(find_movable(running, executors, 0.0, config))) is movable
