"""Evacuations of data centres while the daemon is the scheduler.

The operator's set is part of the configuration, which every daemon follows, so
a new scheduler goes on without any state of its own. ``EvacuationManager``
stops the runs that leave and reports what stays and why.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from attrs import define, field
from loguru import logger

from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import find_pool
from hemlockstand.fleet.metrics import (
    EVACUATION_ERRORS,
    EVACUATION_MOVES,
    EVACUATION_RUNS,
)
from hemlockstand.fleet.placement import is_usable
from hemlockstand.fleet.plans import InstancePlans
from hemlockstand.fleet.policy.departures import Departures, Obstacle
from hemlockstand.fleet.policy.evacuation import is_evacuated, mark_returning
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import StepRun, Subtask

log = logger.bind(module=__name__)

# Interval between choices of runs to move. A stopped subtask is at work again
# after about as long, before which its step's next one cannot move.
ROUND_SECONDS = 0.5
# Interval between reports of runs that find no room.
REPORT_SECONDS = 5.0
MILLIS_PER_CORE = 1000


@define(eq=False)
class Evacuation:
    """An evacuation as this scheduler has seen it.

    ``empty`` is set once nothing is known to run in the data centre and all
    lists of its executors have been read.
    """

    data_centre: str
    since: float
    empty: bool = False


@define(eq=False)
class EvacuationManager:
    """Moves runs out of evacuated data centres, and reports on them."""

    state: SchedulerState
    plans: InstancePlans
    blocked_pools: set[str]
    stop_run: Callable[[Subtask], None]
    may_run: Callable[[StepRun, Executor], bool]
    request_tickets: Callable[[StepRun], None]
    is_confirmed: Callable[[], bool]
    current: dict[str, Evacuation] = field(factory=dict)
    _checked_at: float = float("-inf")
    _reported_at: float = float("-inf")

    def check(self) -> None:
        """Move runs, at most twice a second."""
        now = self.state.clock()
        self.update()
        if not self.current or now - self._checked_at < ROUND_SECONDS:
            return
        self._checked_at = now
        if self.state.may_order() and self.state.configuration.recently_confirmed:
            obstacles = self._move_runs(now)
            self._report(obstacles, now)
        self._count_runs(now)

    def update(self) -> None:
        """Apply changes of the set, before anything is placed by it."""
        evacuated, now = self.state.config.evacuated, self.state.clock()
        if evacuated == self.current.keys():
            return
        for name in evacuated - self.current.keys():
            self.current[name] = Evacuation(name, now)
            self._log_begin(name)
        for name in self.current.keys() - evacuated:
            evacuation = self.current.pop(name)
            executors = self.state.executors.values()
            found = mark_returning(executors, name, now)
            log.info(
                "evacuation of a data centre is revoked",
                data_centre=name,
                seconds=round(now - evacuation.since, 1),
                executors=len(found),
                runs=sum(len(executor.runs) for executor in found),
            )
        if not self.current:
            EVACUATION_RUNS.set(0)

    def _log_begin(self, name: str) -> None:
        """Log what is in a data centre at the beginning.

        One of which nothing is known may be misspelt, or the instances may not
        have been listed yet. It is evacuated all the same, in case executors of
        it appear later.
        """
        found = self._find_executors(name)
        instances = self._count_instances(name)
        runs = [subtask for executor in found for subtask in executor.runs.values()]
        values = {
            "data_centre": name,
            "executors": len(found),
            "instances": instances,
            "runs": len(runs),
            "lasting": sum(1 for subtask in runs if subtask.step.lasting),
            "cores": sum(item.used.cpu_millis for item in found) / MILLIS_PER_CORE,
        }
        if found or instances:
            log.info("data centre is evacuated", **values)
        else:
            log.warning("no machine of an evacuated data centre is known", **values)

    def _count_instances(self, data_centre: str) -> int:
        return sum(
            1
            for instance in self.plans.instances.values()
            if instance.data_centre == data_centre
        )

    def _find_executors(self, data_centre: str) -> list[Executor]:
        return [
            executor
            for executor in self.state.executors.values()
            if executor.entry.data_centre == data_centre
        ]

    def _is_all_read(self, executors: list[Executor]) -> bool:
        """Return whether no run on executors can be unknown.

        A previous scheduler may have started runs in pools that are blocked.
        """
        return not self.blocked_pools and all(map(is_read, executors))

    def describe(self) -> list[dict[str, Any]]:
        """Return the evacuated data centres with what is in them."""
        now = self.state.clock()
        found = []
        for name, evacuation in sorted(self.current.items()):
            executors = self._find_executors(name)
            values = {
                "data_centre": name,
                "seconds": round(now - evacuation.since, 1),
                "executors": len(executors),
                "unread_executors": sum(not is_read(item) for item in executors),
                "instances": self._count_instances(name),
                "runs": sum(len(executor.runs) for executor in executors),
            }
            found.append(values)
        return found

    def find_obstacles(self) -> dict[Subtask, Obstacle]:
        """Return what each run in an evacuated data centre waits for."""
        departures = self._view_departures()
        return {item: self._judge(departures, item) for item in departures.find_runs()}

    def _judge(self, departures: Departures, subtask: Subtask) -> Obstacle:
        """Return what a run waits for; an error concerns this run alone."""
        try:
            return departures.judge(subtask)
        except Exception:
            EVACUATION_ERRORS.inc()
            log.exception("run in an evacuated data centre stays", run=subtask.name)
            return Obstacle.ERROR

    def _view_departures(self) -> Departures:
        """Return the choice of runs to move, from the present state."""
        now = self.state.clock()
        return Departures(
            self.state.registry,
            self.state.executors,
            self.state.config,
            now,
            now > self.state.previous_stops_end,
            self.blocked_pools,
            self._predict_seconds,
            self.may_run,
            self.is_confirmed(),
        )

    def _predict_seconds(self, step_run: StepRun) -> float:
        """Return how long a subtask of a step is expected to take.

        The median, because a run that stays too long costs about as much as
        one that is moved although it would have ended.
        """
        durations = self.state.registry.durations
        return durations.expect(step_run.job.spec, step_run.position).median_seconds

    def _move_runs(self, now: float) -> dict[Subtask, Obstacle]:
        """Stop the runs that leave; return what the others wait for."""
        departures = self._view_departures()
        obstacles: dict[Subtask, Obstacle] = {}
        for subtask in departures.find_runs():
            obstacle = self._judge(departures, subtask)
            if obstacle is not Obstacle.NONE or subtask.run is None:
                obstacles[subtask] = obstacle
                continue
            kind = "lasting" if subtask.step.lasting else "checkpoints"
            EVACUATION_MOVES.labels(kind).inc()
            log.info(
                "run is moved out of an evacuated data centre",
                subtask=subtask.name,
                run=subtask.run.number,
                executor=subtask.run.executor,
                kind=kind,
                percent=subtask.run.percent,
            )
            self.stop_run(subtask)
        for step_run in departures.undecided:
            self.request_tickets(step_run)
        return obstacles

    def _count_runs(self, now: float) -> None:
        """Update the metric; log each data centre once it is empty."""
        total = 0
        for evacuation in self.current.values():
            executors = self._find_executors(evacuation.data_centre)
            runs = sum(len(executor.runs) for executor in executors)
            total += runs
            if runs:
                evacuation.empty = False
            elif not evacuation.empty and self._is_all_read(executors):
                evacuation.empty = True
                log.info(
                    "nothing runs in an evacuated data centre any more",
                    data_centre=evacuation.data_centre,
                    seconds=round(now - evacuation.since, 1),
                    executors=len(executors),
                )
        EVACUATION_RUNS.set(total)

    def _report(self, obstacles: dict[Subtask, Obstacle], now: float) -> None:
        """Log the pools that lack room, with the cores that are missing."""
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        names = sorted(self.current)
        for pool, missing in self.measure_shortages(obstacles):
            log.warning(
                "too little room outside of evacuated data centres",
                evacuated=names,
                pool=pool,
                missing_cores=missing.missing,
                waiting_cores=missing.waiting,
                staying_cores=missing.staying,
                free_cores=missing.free,
            )

    def measure_shortages(
        self, obstacles: dict[Subtask, Obstacle]
    ) -> Iterator[tuple[str, "Shortage"]]:
        """Yield the pools that lack room because of the evacuations."""
        config, now = self.state.config, self.state.clock()
        waiting: Counter[str] = Counter()
        for step_run in self.state.registry.ready.values():
            cpu = step_run.step.size.cpu_millis * len(step_run.waiting)
            waiting[find_pool(step_run.job, config)] += cpu
        staying: Counter[str] = Counter()
        for subtask, obstacle in obstacles.items():
            if obstacle is Obstacle.ROOM:
                staying[find_pool(subtask.job, config)] += subtask.step.size.cpu_millis
        free: Counter[str] = Counter()
        affected: set[str] = set()
        for executor in self.state.executors.values():
            if is_evacuated(executor, config):
                affected.add(executor.entry.pool)
            elif is_usable(executor, now):
                free[executor.entry.pool] += executor.free_cpu()
        for pool in sorted(affected):
            shortage = Shortage(
                waiting[pool] / MILLIS_PER_CORE,
                staying[pool] / MILLIS_PER_CORE,
                free[pool] / MILLIS_PER_CORE,
            )
            if shortage.missing > 0:
                yield pool, shortage


def is_read(executor: Executor) -> bool:
    """Return whether all runs of an executor are known."""
    return executor.reconciled and executor.reachable and not executor.unknown_runs


@define
class Shortage:
    """Cores of work that waits, or stays for lack of room, and free ones."""

    waiting: float
    staying: float
    free: float

    @property
    def missing(self) -> float:
        """Cores that are missing, at least, as free ones may not fit.

        What stays has been found to fit nowhere.
        """
        return self.staying + max(0.0, self.waiting - self.free)
