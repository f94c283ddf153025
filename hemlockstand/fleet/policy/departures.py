"""Which runs leave an evacuated data centre, and what the others wait for.

Load pattern: a third of the executors may get nothing more, while the others
are nearly full. Stopping everything there would lose what runs have done and
leave lasting work idle. Short work therefore ends where it is. Work with
checkpoints that has long to go moves to room that nobody waits for. Lasting
work moves one subtask of a step at a time, within the step's budget, and only
to room that no other subtask counts on.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Set as AbstractSet
from enum import StrEnum

from attrs import define, field

from hemlockstand.fleet.eviction import (
    AVAILABLE_PERCENT,
    NOTHING,
    is_available,
    is_within_budget,
    may_take,
)
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry, find_pool
from hemlockstand.fleet.model import FleetConfig, Resources, get_reservation
from hemlockstand.fleet.placement import is_restricted, is_usable
from hemlockstand.fleet.policy.crashes import is_given_up
from hemlockstand.fleet.policy.evacuation import find_cold_limit, is_evacuated
from hemlockstand.fleet.work import RunState, StepRun, Subtask

# Work with checkpoints that is expected to end sooner stays. A move takes up to
# two seconds (stop, start, what was done since the last checkpoint), which is a
# fifth of this.
LONG_REMAINING_SECONDS = 10.0


class Obstacle(StrEnum):
    """What a run in an evacuated data centre waits for."""

    NONE = "nothing, it moves next"
    OWN_END = "its own end"
    ANSWER = "an answer of its executor"
    CHANGE = "the outcome of its start or stop"
    TAKEOVER = "the end of the takeover"
    STEP = "another subtask of its step"
    BUDGET = "the availability budget of its step"
    ROOM = "room elsewhere"
    ERROR = "the mending of an error that the log names"


@define(eq=False)
class Room:
    """An executor that may take runs, with what it is promised to.

    ``takes_one`` is set for a cold one whose starts are spread over time.
    """

    executor: Executor
    free_cpu: int
    takes_one: bool = False
    promised: Resources = NOTHING
    promised_runs: Counter[StepRun] = field(factory=Counter)

    def take(self, subtask: Subtask) -> bool:
        """Take room for a subtask; return whether there is enough."""
        step = subtask.step
        # Most executors are full, so this is checked first.
        if self.free_cpu < step.size.cpu_millis and not step.fills:
            return False
        if self.takes_one and self.promised != NOTHING:
            return False
        promised_runs = self.promised_runs[subtask.step_run]
        if not may_take(self.executor, subtask, self.promised, promised_runs):
            return False
        self.promised_runs[subtask.step_run] += 1
        self.promised = self.promised.add(get_reservation(step))
        self.free_cpu -= get_reservation(step).cpu_millis
        return True


@define(eq=False)
class StepCount:
    """The subtasks of a step that hold up its others."""

    moving: set[Subtask]
    unavailable: set[Subtask]


@define(eq=False)
class Departures:
    """Chooses runs to stop, from one view of the executors.

    ``budgets_known`` is false while stops of a previous scheduler may be in
    progress, ``blocked_pools`` names the pools in which its runs may be unseen.
    ``predict_seconds`` returns how long a subtask of a step is expected to take,
    and ``may_run`` whether the policy of its queue is known to allow an
    executor. ``confirmed`` tells whether the known capacities still apply. Steps
    are in ``undecided`` if they lack room, and the policy may allow more.
    Room that is found for one run does not count for the next one. The
    subtasks of a step need the same room, so for each step there is one search
    for it, and its subtasks are counted once.
    """

    registry: JobRegistry
    executors: Mapping[str, Executor]
    config: FleetConfig
    now: float
    budgets_known: bool
    blocked_pools: AbstractSet[str]
    predict_seconds: Callable[[StepRun], float]
    may_run: Callable[[StepRun, Executor], bool]
    confirmed: bool
    undecided: set[StepRun] = field(factory=set)
    _rooms: dict[str, list[Room]] = field(factory=dict)
    _contended: set[str] = field(factory=set)
    _without_room: set[tuple[str, Resources, str, str]] = field(factory=set)
    _held: dict[StepRun, Obstacle] = field(factory=dict)
    _counts: dict[StepRun, StepCount] = field(factory=dict)
    _seconds: dict[StepRun, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Take the room that subtasks will need which wait or are being moved."""
        for executor in self.executors.values():
            if self._may_start(executor):
                limited = find_cold_limit(executor, self.config, self.now) > 0
                rooms = self._rooms.setdefault(executor.entry.pool, [])
                rooms.append(Room(executor, executor.free_cpu(), limited))
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

    def _may_start(self, executor: Executor) -> bool:
        """Return whether placement could start a run on an executor now."""
        pool = self.config.pools.get(executor.entry.pool)
        guarded = pool is not None and pool.admission_check
        return (
            (guarded or self.confirmed)
            and is_usable(executor, self.now)
            and executor.backoff_until <= self.now
            and not is_evacuated(executor, self.config)
        )

    def find_runs(self) -> Iterator[Subtask]:
        """Yield the subtasks that run in an evacuated data centre."""
        for executor in self.executors.values():
            if is_evacuated(executor, self.config):
                yield from list(executor.runs.values())

    def judge(self, subtask: Subtask) -> Obstacle:
        """Return what a run waits for; if nothing, take room for it."""
        run, step = subtask.run, subtask.step
        if run is None or run.state is not RunState.RUNNING:
            return Obstacle.CHANGE
        movable = step.lasting or step.checkpoints
        # A stop would end both runs of a subtask that has a copy.
        if step.gang or subtask.copy is not None or not movable:
            return Obstacle.OWN_END
        if not step.lasting and self._predict_remaining(subtask) < (
            LONG_REMAINING_SECONDS
        ):
            return Obstacle.OWN_END
        # A stop would be sent at an unknown time, when other subtasks of the
        # step may have become unavailable.
        executor = self.executors.get(run.executor)
        if executor is None or not (executor.reachable and executor.reconciled):
            return Obstacle.ANSWER
        held = self._held.get(subtask.step_run)
        if held is not None:
            return held
        obstacle = self._find_obstacle(subtask)
        match obstacle:
            case Obstacle.TAKEOVER | Obstacle.ROOM:
                self._held[subtask.step_run] = obstacle
            case Obstacle.NONE if step.lasting:
                self._held[subtask.step_run] = Obstacle.STEP
            case Obstacle.NONE:
                self._count(subtask.step_run).unavailable.add(subtask)
        return obstacle

    def _predict_remaining(self, subtask: Subtask) -> float:
        """Return the seconds that a run is expected to take yet."""
        step_run = subtask.step_run
        if step_run not in self._seconds:
            self._seconds[step_run] = self.predict_seconds(step_run)
        percent = 0 if subtask.run is None else min(100, subtask.run.percent)
        return self._seconds[step_run] * (100 - percent) / 100

    def _find_obstacle(self, subtask: Subtask) -> Obstacle:
        step, step_run = subtask.step, subtask.step_run
        unseen = step_run.may_have_unknown_runs(self.blocked_pools)
        if unseen or not self.budgets_known:
            return Obstacle.TAKEOVER
        count = self._count(step_run)
        if step.lasting and count.moving - {subtask}:
            return Obstacle.STEP
        if not is_within_budget(subtask, self.executors, count.unavailable):
            return Obstacle.BUDGET
        contended = find_pool(subtask.job, self.config) in self._contended
        if (contended and not step.lasting) or not self._take_room(subtask):
            return Obstacle.ROOM
        return Obstacle.NONE

    def _count(self, step_run: StepRun) -> StepCount:
        if step_run not in self._counts:
            self._counts[step_run] = StepCount(
                {item for item in step_run.subtasks if is_moving(item)},
                {
                    item
                    for item in step_run.subtasks
                    if not is_available(item, self.executors)
                },
            )
        return self._counts[step_run]

    def _take_room(self, subtask: Subtask) -> bool:
        """Take room for a subtask; return whether an executor has it."""
        step, pool = subtask.step, find_pool(subtask.job, self.config)
        # A limit per executor, use of spare cpu and tickets concern one step.
        restricted = is_restricted(subtask.step_run, self.config)
        alone = restricted or step.max_per_executor or step.fills
        name = subtask.step_run.name if alone else ""
        key = (pool, step.size, step.label, name)
        if key in self._without_room:
            return False
        for room in self._rooms.get(pool, ()):
            allowed = not restricted or self.may_run(subtask.step_run, room.executor)
            if allowed and room.take(subtask):
                return True
        if restricted:
            self.undecided.add(subtask.step_run)
        self._without_room.add(key)
        return False


def is_moving(subtask: Subtask) -> bool:
    """Return whether a subtask is not at work yet and holds up its step.

    One that is not started any more does not hold up the others.
    """
    run = subtask.run
    at_work = (
        run is not None
        and run.state is RunState.RUNNING
        and run.percent >= AVAILABLE_PERCENT
    )
    return not at_work and not is_given_up(subtask)
