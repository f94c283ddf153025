"""Actions on overcommitted workers, whose tasks use more than their capacity.

Sizes are estimates, so a worker can be overcommitted. The cheapest action
comes first: batch tasks are checkpointed, then other tasks are throttled, and
only if memory is still short is a task stopped.
"""

from collections.abc import Iterator, Mapping

from attrs import frozen

from hemlockstand.jobs.records import Allocation
from hemlockstand.jobs.shapes import add_shapes, find_dominant_share, subtract_shape
from hemlockstand.model import Priority
from hemlockstand.platform.interface import Shape, TaskReport, TaskState, WorkerReport

THROTTLE_FRACTION = 0.5
_ACTIVE = (TaskState.RUNNING, TaskState.THROTTLED)
_PRIORITY_ORDER = {Priority.BATCH: 0, Priority.INTERACTIVE: 1, Priority.URGENT: 2}


@frozen
class Checkpoint:
    """Checkpoint a task and place it again later."""

    task: str


@frozen
class Throttle:
    """Limit a task to a fraction of its cores."""

    task: str
    fraction: float


@frozen
class Stop:
    """Stop a task; its run starts again from the beginning."""

    task: str


OvercommitAction = Checkpoint | Throttle | Stop


def plan_overcommit_actions(
    report: WorkerReport, allocations: Mapping[str, Allocation], capacity: Shape
) -> Iterator[OvercommitAction]:
    """Yield actions until the reported usage fits the capacity."""
    active = [task for task in report.tasks if _is_active(task, allocations)]
    excess = subtract_shape(add_shapes(task.usage for task in active), capacity)
    active.sort(key=lambda task: _rank_cost(task, allocations, capacity))
    for task in active:
        if excess.cores <= 0 and excess.memory_mb <= 0:
            return
        action = _choose_action(task, allocations[task.task].priority, excess)
        if action is None:
            continue
        yield action
        excess = subtract_shape(excess, _measure_freed(action, task))


def _is_active(task: TaskReport, allocations: Mapping[str, Allocation]) -> bool:
    held = allocations.get(task.task)
    return held is not None and held.fence == task.fence and task.state in _ACTIVE


def _rank_cost(
    task: TaskReport, allocations: Mapping[str, Allocation], capacity: Shape
) -> tuple[int, float, float]:
    held = allocations[task.task]
    size = find_dominant_share(task.usage, capacity)
    return _PRIORITY_ORDER[held.priority], size, -held.started_at


def _choose_action(
    task: TaskReport, priority: Priority, excess: Shape
) -> OvercommitAction | None:
    if priority is Priority.BATCH:
        return Checkpoint(task.task)
    if excess.cores > 0 and task.state is not TaskState.THROTTLED:
        return Throttle(task.task, THROTTLE_FRACTION)
    if excess.memory_mb > 0:
        return Stop(task.task)
    return None


def _measure_freed(action: OvercommitAction, task: TaskReport) -> Shape:
    match action:
        case Throttle(fraction=fraction):
            return Shape(task.usage.cores * (1 - fraction), 0)
        case _:
            return task.usage
