"""Lasting subtasks that have to start again, and the places that they need."""

from collections.abc import Iterator

from attrs import define, field

from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.placement import (
    accepts_runs,
    is_restricted,
    is_within_maximum,
)
from hemlockstand.fleet.policy.crashes import is_given_up
from hemlockstand.fleet.policy.evacuation import is_evacuated
from hemlockstand.fleet.policy.rooms import (
    Room,
    find_place,
    may_place_all,
    measure_room,
)
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import RunState, StepRun, Subtask


def list_restarting(state: SchedulerState) -> Iterator[Subtask]:
    """Yield the lasting subtasks that wait for room or are being stopped.

    Those that wait for other reasons may do so for long and count on no room:
    the maximum of their tenant, the policy of their queue.
    """
    registry, config = state.registry, state.config
    for step_run in registry.ready.values():
        if not step_run.step.lasting or is_restricted(step_run, config):
            continue
        tenant = step_run.job.spec.tenant
        used = registry.in_use.get(tenant)
        size = step_run.step.size
        if step_run.step.gang:
            size = size.scale(len(step_run.subtasks))
        if not is_within_maximum(
            config.tenants.get(tenant), size if used is None else used.add(size)
        ):
            continue
        for subtask in step_run.waiting.values():
            if not is_given_up(subtask):
                yield subtask
    for executor in state.executors.values():
        for subtask in executor.runs.values():
            # Few runs are being stopped, so this is checked first, without a call.
            run = subtask.run
            if run is None or run.state is not RunState.STOPPING:
                continue
            if is_to_last(subtask):
                yield subtask


def is_to_last(subtask: Subtask) -> bool:
    """Return whether a subtask starts again after its run has ended."""
    job = subtask.job
    return subtask.step.lasting and not job.cancelled and not job.state.final


@define(eq=False)
class RestartRooms:
    """Rooms for runs that are to be stopped, from one view of the executors.

    What waits or is being stopped already has its places taken.
    """

    state: SchedulerState
    _rooms: dict[str, list[Room]] = field(factory=dict)
    _without_place: set[StepRun] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Measure the rooms and take those that are needed already."""
        now, config = self.state.clock(), self.state.config
        for executor in self.state.executors.values():
            if accepts_runs(executor, now) and not is_evacuated(executor, config):
                rooms = self._rooms.setdefault(executor.entry.pool, [])
                rooms.append(measure_room(executor))
        gangs: dict[StepRun, list[Subtask]] = {}
        for subtask in list_restarting(self.state):
            if subtask.step.gang:
                gangs.setdefault(subtask.step_run, []).append(subtask)
            else:
                self.take(subtask)
        # Places for some members of a gang are of no use to it.
        for step_run, members in gangs.items():
            pool = find_pool(step_run.job, config)
            may_place_all(self._rooms.get(pool, ()), members)

    def take(self, subtask: Subtask) -> bool:
        """Take a place for a subtask; return whether there is one."""
        if subtask.step_run in self._without_place:
            return False
        pool = find_pool(subtask.job, self.state.config)
        if find_place(self._rooms.get(pool, ()), subtask) is None:
            self._without_place.add(subtask.step_run)
            return False
        return True
