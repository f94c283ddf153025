"""Which runs leave an evacuated data centre, without a network or a clock."""

import attrs
import pytest

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.model import ExecutorEntry, JobSpec, Resources, Step
from hemlockstand.fleet.policy.crashes import GIVEN_UP_CRASHES
from hemlockstand.fleet.policy.departures import Departures, Obstacle
from hemlockstand.fleet.work import Job, Run, RunState, StepRun, Subtask
from test.fleet_world import make_config

CONFIG = attrs.evolve(make_config(), evacuated=frozenset({"dc1"}))
LASTING = Step(2, Resources(9000), lasting=True, max_unavailable=1)
SAVED = Step(2, Resources(9000), 60_000, checkpoints=True)


def make_executor(name: str, data_centre: str) -> Executor:
    """Return an executor that answers and has room for one large subtask."""
    size = Resources(16_000, 32_768)
    entry = ExecutorEntry(name, "pool", "a:1", data_centre, False, None, 1, size, ())
    return Executor(
        entry, None, 1, lambda: 0.0, None, 0.8, reconciled=True, recorded=True
    )


class Scene:
    """Executors ``i-0`` and ``i-1`` in the evacuated data centre, ``i-2`` not."""

    def __init__(self) -> None:
        centres = ("dc1", "dc1", "dc2")
        self.executors = {
            f"i-{index}": make_executor(f"i-{index}", data_centre)
            for index, data_centre in enumerate(centres)
        }
        self.registry = JobRegistry(run_base=0)
        self._jobs = 0

    def add_step(self, step: Step, *placed: str) -> list[Subtask]:
        """Add a step; subtasks beyond those placed on executors wait."""
        self._jobs += 1
        spec = JobSpec(f"{self._jobs:016x}", "queue", "pool", "", "", (step,))
        step_run = StepRun(Job(spec, 1), 0, 0, step)
        for index in range(step.count):
            subtask = Subtask(step_run, index, f"{step_run.name}.{index}")
            step_run.subtasks.append(subtask)
            if index < len(placed):
                subtask.run = Run(1, placed[index], 1, 0.0, RunState.RUNNING, 0.0)
                subtask.run.percent = 100 if step.lasting else 10
                self.executors[placed[index]].add_run(subtask)
            else:
                step_run.waiting[index] = subtask
        if step_run.waiting:
            self.registry.ready[step_run.name] = step_run
        return step_run.subtasks

    def judge(self, *subtasks: Subtask, **values) -> Obstacle:
        """Return what the last of some runs waits for, in one view."""
        view = {
            "budgets_known": True,
            "blocked_pools": set(),
            "may_run": lambda step_run, executor: True,
            "confirmed": True,
        } | values
        departures = Departures(
            self.registry,
            self.executors,
            CONFIG,
            0.0,
            view["budgets_known"],
            view["blocked_pools"],
            lambda step_run: 50.0,
            view["may_run"],
            view["confirmed"],
        )
        return [departures.judge(subtask) for subtask in subtasks][-1]


@pytest.mark.parametrize("step", [LASTING, SAVED])
def test_run_leaves_if_nothing_holds_it(step):
    """Guards against cases below that hold for other reasons than theirs."""
    scene = Scene()
    (subtask, _) = scene.add_step(step, "i-0", "i-1")
    assert scene.judge(subtask) is Obstacle.NONE


@pytest.mark.parametrize("step", [LASTING, SAVED])
def test_stops_of_a_previous_scheduler_may_be_in_progress(step):
    """Guards against two schedulers that each stop a subtask of a step."""
    scene = Scene()
    (subtask, _) = scene.add_step(step, "i-0", "i-1")
    assert scene.judge(subtask, budgets_known=False) is Obstacle.TAKEOVER
    subtask.step_run.inherited = True
    assert scene.judge(subtask, blocked_pools={"pool"}) is Obstacle.TAKEOVER
    assert scene.judge(subtask, blocked_pools={"other"}) is Obstacle.NONE


def test_budget_counts_executors_that_do_not_answer():
    """Guards against a step that loses more than its budget."""
    scene = Scene()
    (subtask, _) = scene.add_step(LASTING, "i-0", "i-1")
    scene.executors["i-1"].failing_since = 0.0
    assert scene.judge(subtask) is Obstacle.BUDGET


def test_promised_places_count_for_the_limit_per_executor():
    """Guards against two runs that leave for the only place of their step."""
    scene = Scene()
    step = Step(2, Resources(1000), 60_000, checkpoints=True, max_per_executor=1)
    first, second = scene.add_step(step, "i-0", "i-1")
    assert scene.judge(second) is Obstacle.NONE
    assert scene.judge(first, second) is Obstacle.ROOM
    scene.executors["i-3"] = make_executor("i-3", "dc2")
    assert scene.judge(first, second) is Obstacle.NONE


def test_second_subtask_of_a_step_waits_in_the_same_view():
    """Guards against a view that shows moves which the round will not make."""
    scene = Scene()
    scene.executors["i-3"] = make_executor("i-3", "dc2")
    first, second = scene.add_step(LASTING, "i-0", "i-1")
    assert scene.judge(first, second) is Obstacle.STEP
    first, second = scene.add_step(SAVED, "i-0", "i-1")
    assert scene.judge(first, second) is Obstacle.NONE


def test_subtask_that_is_given_up_holds_up_no_other():
    """Guards against a step that never leaves the data centre."""
    scene = Scene()
    step = attrs.evolve(LASTING, max_unavailable=2)
    (subtask, other) = scene.add_step(step, "i-0")
    other.crashes = GIVEN_UP_CRASHES
    assert scene.judge(subtask) is Obstacle.NONE
    other.crashes = 0
    assert scene.judge(subtask) is Obstacle.STEP


def test_room_that_waiting_work_needs():
    """Guards against runs that are stopped for room which others get first."""
    scene = Scene()
    (lasting, _) = scene.add_step(LASTING, "i-0", "i-1")
    (saved, _) = scene.add_step(SAVED, "i-0", "i-1")
    scene.add_step(Step(1, Resources(1000)))
    assert scene.judge(saved) is Obstacle.ROOM
    assert scene.judge(lasting) is Obstacle.NONE
    scene.add_step(Step(1, Resources(9000), lasting=True))
    assert scene.judge(lasting) is Obstacle.ROOM


def test_room_of_a_run_that_is_being_moved():
    """Guards against two runs that are stopped for the same room."""
    scene = Scene()
    (moved, _) = scene.add_step(LASTING, "i-0", "i-1")
    (subtask, _) = scene.add_step(LASTING, "i-0", "i-1")
    moved.run.state = RunState.STOPPING
    assert scene.judge(subtask) is Obstacle.ROOM
    assert scene.judge(moved) is Obstacle.CHANGE


def test_room_in_evacuated_data_centres_does_not_count():
    """Guards against moves from one evacuated executor to another."""
    scene = Scene()
    (subtask, _) = scene.add_step(LASTING, "i-0", "i-1")
    scene.executors["i-3"] = make_executor("i-3", "dc1")
    scene.executors["i-2"].entry = attrs.evolve(
        scene.executors["i-2"].entry, draining=True
    )
    assert scene.judge(subtask) is Obstacle.ROOM


@pytest.mark.parametrize(
    "step", [Step(1, Resources(1000), 60_000), attrs.evolve(SAVED, gang=True)]
)
def test_work_without_checkpoints_ends_where_it_is(step):
    """Guards against stops that lose what a run or a gang has done."""
    scene = Scene()
    (subtask, *_) = scene.add_step(step, "i-0", "i-1")
    assert scene.judge(subtask) is Obstacle.OWN_END


def test_run_of_an_executor_that_does_not_answer():
    """Guards against stops that reach an executor at an unknown later time."""
    scene = Scene()
    (subtask, _) = scene.add_step(LASTING, "i-0", "i-1")
    scene.executors["i-0"].failing_since = 0.0
    assert scene.judge(subtask) is Obstacle.ANSWER
    scene.executors["i-0"].failing_since = None
    scene.executors["i-0"].reconciled = False
    assert scene.judge(subtask) is Obstacle.ANSWER


def test_subtasks_of_a_step_have_obstacles_of_their_own():
    """Guards against a step that stays because of the one that may leave.

    The budget permits no stop but that of the subtask still starting up.
    """
    scene = Scene()
    first, second = scene.add_step(LASTING, "i-0", "i-1")
    second.run.percent = 50
    assert scene.judge(first) is Obstacle.STEP
    assert scene.judge(first, second) is Obstacle.NONE
