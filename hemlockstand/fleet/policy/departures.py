"""Which runs leave an evacuated data centre, and what the others wait for.

Load pattern: a third of the executors may get nothing more, while the others
are nearly full. Stopping everything there would lose what runs have done and
leave lasting work idle. Short work therefore ends where it is. Work with
checkpoints that has long to go moves to room that nobody waits for. Lasting
work moves one subtask of a step at a time, within the step's budget, and only
to room that no other subtask counts on.
"""

from collections.abc import Callable, Iterator, Mapping, Set as AbstractSet
from enum import StrEnum

from attrs import define, field

from hemlockstand.fleet.eviction import (
    AVAILABLE_PERCENT,
    find_room_elsewhere,
    may_stop,
)
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry, find_pool
from hemlockstand.fleet.model import FleetConfig, Resources, get_reservation
from hemlockstand.fleet.policy.crashes import is_given_up
from hemlockstand.fleet.policy.evacuation import is_evacuated
from hemlockstand.fleet.work import RunState, Subtask

# Work with checkpoints that is expected to end sooner stays. A move takes up to
# two seconds (stop, start, what was done since the last checkpoint), which is a
# fifth of this.
LONG_REMAINING_SECONDS = 10.0


class Obstacle(StrEnum):
    """What a run in an evacuated data centre waits for."""

    NONE = "nothing, it moves next"
    OWN_END = "its own end"
    CHANGE = "the outcome of its start or stop"
    TAKEOVER = "the end of the takeover"
    STEP = "another subtask of its step"
    BUDGET = "the availability budget of its step"
    ROOM = "room elsewhere"


@define(eq=False)
class Departures:
    """Chooses runs to stop, from one view of the executors.

    ``budgets_known`` is false while stops of a previous scheduler may be in
    progress, ``blocked_pools`` names the pools in which its runs may be unseen.
    ``predict_remaining`` returns how many seconds a run is expected to take yet.
    Room that is found for one run does not count for the next one.
    """

    registry: JobRegistry
    executors: Mapping[str, Executor]
    config: FleetConfig
    now: float
    budgets_known: bool
    blocked_pools: AbstractSet[str]
    predict_remaining: Callable[[Subtask], float]
    _taken: dict[str, Resources] = field(factory=dict)
    _contended: set[str] = field(factory=set)
    _without_room: set[tuple[str, Resources, str, bool]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Take the room that subtasks will need which wait or are being moved."""
        for step_run in self.registry.ready.values():
            if step_run.step.lasting:
                for subtask in step_run.waiting.values():
                    if not is_given_up(subtask):
                        self._take_room(subtask)
            elif step_run.waiting:
                self._contended.add(find_pool(step_run.job, self.config))
        for executor in self.executors.values():
            for subtask in executor.runs.values():
                if subtask.run is None or subtask.run.state is not RunState.STOPPING:
                    continue
                restarts = subtask.step.lasting or subtask.step.checkpoints
                if restarts and not subtask.job.state.final:
                    self._take_room(subtask)

    def find_runs(self) -> Iterator[Subtask]:
        """Yield the subtasks that run in an evacuated data centre."""
        for executor in self.executors.values():
            if is_evacuated(executor, self.config):
                yield from list(executor.runs.values())

    def judge(self, subtask: Subtask) -> Obstacle:
        """Return what a run waits for; if nothing, take room for it.

        The caller must stop the run before it asks about the next one, since
        the steps' budgets count what has been stopped.
        """
        run, step = subtask.run, subtask.step
        if run is None or run.state is not RunState.RUNNING:
            return Obstacle.CHANGE
        if step.gang or not (step.lasting or step.checkpoints):
            return Obstacle.OWN_END
        remaining = float("inf") if step.lasting else self.predict_remaining(subtask)
        if remaining < LONG_REMAINING_SECONDS:
            return Obstacle.OWN_END
        if not self.budgets_known or subtask.step_run.may_have_unknown_runs(
            self.blocked_pools
        ):
            return Obstacle.TAKEOVER
        if step.lasting and is_another_moving(subtask):
            return Obstacle.STEP
        if not may_stop(subtask, self.executors):
            return Obstacle.BUDGET
        contended = find_pool(subtask.job, self.config) in self._contended
        if (contended and not step.lasting) or not self._take_room(subtask):
            return Obstacle.ROOM
        return Obstacle.NONE

    def _take_room(self, subtask: Subtask) -> bool:
        """Take room for a subtask; return whether an executor has it."""
        step = subtask.step
        key = (find_pool(subtask.job, self.config), step.size, step.label, step.fills)
        if key in self._without_room:
            return False
        for executor in find_room_elsewhere(
            subtask, self.executors, self.now, self.config
        ):
            taken = self._taken.get(executor.id, Resources())
            if executor.has_room(step.size.add(taken), step.fills):
                self._taken[executor.id] = taken.add(get_reservation(step))
                return True
        # A limit per executor concerns one step alone.
        if not step.max_per_executor:
            self._without_room.add(key)
        return False


def is_another_moving(subtask: Subtask) -> bool:
    """Return whether another subtask of the step is not at work yet.

    One that is not started any more does not hold up the others.
    """
    return any(
        other.run is None
        or other.run.state is not RunState.RUNNING
        or other.run.percent < AVAILABLE_PERCENT
        for other in subtask.step_run.subtasks
        if other is not subtask and not is_given_up(other)
    )
