"""Starts copies of slow subtasks, and counts what they are worth."""

from collections.abc import Callable, Iterable

from attrs import define
from loguru import logger

from hemlockstand.fleet.copy_load import LoadView
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.job_registry import JobRegistry, find_pool
from hemlockstand.fleet.metrics import COPIES_STARTED, COPIES_WON, LOST_CORE_SECONDS
from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.placement import Placer, choose_executor
from hemlockstand.fleet.policy.copies import (
    MIN_QUEUE_RUNS,
    CheckLater,
    Comparison,
    CopyUse,
    RunView,
    Slow,
    SlowBound,
    WaitingWork,
    find_slow_bound,
    judge_run,
    keeps_tolerance,
    may_have_copies,
)
from hemlockstand.fleet.policy.crashes import is_given_up
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.work import Run, RunState, Subtask

log = logger.bind(module=__name__)

# Interval between checks, in seconds. A copy is worth seconds, and each check
# looks at all waiting steps once.
CHECK_SECONDS = 0.2
# Runs to look at in a check, so that it takes a few milliseconds at most.
MAX_CHECKED = 64
# Pause before a slow run without room for a copy is looked at again, in seconds.
NO_ROOM_SECONDS = 0.5


@define(eq=False)
class CopyStarter:
    """Looks for slow runs of speculative steps, and starts copies."""

    state: SchedulerState
    placer: Placer
    start: Callable[[Subtask, Executor], None]
    _checked_at: float = float("-inf")
    _view: LoadView | None = None  # of the present check

    def check(self) -> None:
        """Start copies of the runs that turn out to be slow."""
        now = self.state.clock()
        index = self.state.registry.copies
        if now - self._checked_at < CHECK_SECONDS or not index.has_due(now):
            return
        if not self.state.may_order() or not self.state.configuration.fresh:
            return
        self._checked_at = now
        self._view = None
        for subtask in index.pop_due(now, MAX_CHECKED):
            bound = self._find_bound(subtask)
            match judge_run(self._view_run(subtask, now), bound):
                case CheckLater(seconds):
                    index.watch(subtask, now + seconds)
                case Slow(bound):
                    pause = self._try_start(subtask, bound, now)
                    if pause is not None:
                        index.watch(subtask, now + pause)

    def _find_bound(self, subtask: Subtask) -> SlowBound | None:
        registry = self.state.registry
        step_run = subtask.step_run
        expected = registry.durations.expect(step_run.job.spec, step_run.position)
        if expected.runs < MIN_QUEUE_RUNS:
            expected = registry.copies.expect(subtask)
        runs = Comparison(step_run.finished_seconds, expected)
        return find_slow_bound(runs, self.state.settings.copies.slow_factor)

    def _view_run(self, subtask: Subtask, now: float) -> RunView:
        run, job = subtask.run, subtask.job
        assert run is not None
        age = 0.0 if run.answered_at is None else now - run.answered_at
        attempts = find_terms(job.spec, self.state.config).attempts
        # The occurrences of a timed job have no deadline of their own.
        left = float("inf") if job.spec.timed else job.deadline - now
        return RunView(
            age_seconds=age if run.state is RunState.RUNNING else 0.0,
            remaining_seconds=predict_remaining(run, now),
            failures_left=attempts - len(subtask.failures),
            crashes=subtask.crashes,
            copies=subtask.copies,
            seconds_left=left,
        )

    def _try_start(
        self, subtask: Subtask, bound: SlowBound, now: float
    ) -> float | None:
        """Start a copy if the budgets permit it and there is room for it.

        Returns the pause before the run is looked at again if there is no copy.
        """
        config = self.state.config
        step_run, job = subtask.step_run, subtask.job
        pool = find_pool(job, config)
        if not step_run.unlocked_at or pool not in job.stored_pools:
            return NO_ROOM_SECONDS
        if not step_run.announced or step_run.may_have_unknown_runs(
            self.placer.blocked_pools
        ):
            return NO_ROOM_SECONDS
        index = self.state.registry.copies
        if not index.is_worthwhile(job.spec.queue, now):
            return NO_ROOM_SECONDS
        view = self._view = self._view or self._measure_load(now)
        use = view.find_workspace(job.spec.tenant)
        pool_use = view.find_pool(pool)
        settings = self.state.settings.copies
        if not self._keeps_tolerance(subtask, view):
            return NO_ROOM_SECONDS
        if not use.is_below(settings.workspace_fraction):
            return NO_ROOM_SECONDS
        if not pool_use.is_below(settings.pool_fraction):
            return NO_ROOM_SECONDS
        tenant, size = job.spec.tenant, step_run.step.size
        # The tenant's own work that waits comes first.
        needed = size.add(view.waiting_use.get(tenant, Resources()))
        if not self.placer.may_add(tenant, needed, config):
            return NO_ROOM_SECONDS
        if pool in view.full_pools:
            return CHECK_SECONDS
        executor = self._choose_executor(subtask, view, pool, now)
        if executor is None:
            view.full_pools.add(pool)
            return NO_ROOM_SECONDS
        self._log_start(subtask, executor, bound, use, pool_use, now)
        COPIES_STARTED.labels(pool).inc()
        subtask.copies += 1
        index.mark_started(job.spec.queue, now)
        self.start(subtask, executor)
        view.add_copy(job.spec.tenant, pool, step_run.step.size)
        return None

    def _keeps_tolerance(self, subtask: Subtask, view: LoadView) -> bool:
        """Return whether a maximum tolerates that the next scheduler sees no copy.

        While it may not see those of a previous scheduler, there are no more.
        """
        name = subtask.job.spec.tenant
        tenant = self.state.config.tenants.get(name)
        if tenant is None or tenant.maximum == Resources():
            return True
        if self.placer.blocked_pools:
            return False
        use = view.unseen.get(name, Resources())
        return keeps_tolerance(use.add(subtask.step.size), tenant.maximum)

    def _measure_load(self, now: float) -> LoadView:
        """Return what copies use, what bounds them, and where there is room."""
        config, registry = self.state.config, self.state.registry
        view = LoadView(
            rooms=self.placer.find_rooms(config, now),
            waiting=self._find_waiting(),
            unseen=registry.copies.measure_unseen(),
            waiting_use=self._measure_waiting(),
        )
        for tenant, used in registry.in_use.items():
            view.workspaces[tenant] = CopyUse(0, used.cpu_millis)
        for executor in self.state.executors.values():
            pool = executor.entry.pool
            capacity = executor.entry.capacity.cpu_millis
            view.pools[pool] = view.find_pool(pool).add(0, capacity)
        for subtask in registry.copies.copied.values():
            view.count_copy(
                subtask.job.spec.tenant,
                find_pool(subtask.job, config),
                subtask.step.size.cpu_millis,
            )
        return view

    def _find_waiting(self) -> dict[str, set[WaitingWork]]:
        """Return what waits in each pool; work that is given up does not."""
        waiting: dict[str, set[WaitingWork]] = {}
        config = self.state.config
        for step_run in self.state.registry.ready.values():
            step, job = step_run.step, step_run.job
            if step.lasting and all(map(is_given_up, step_run.waiting.values())):
                continue
            work = WaitingWork(job.spec.tenant, step.label, step.size)
            waiting.setdefault(find_pool(job, config), set()).add(work)
        return waiting

    def _measure_waiting(self) -> dict[str, Resources]:
        """Return what the waiting work of each workspace would use."""
        use: dict[str, Resources] = {}
        for step_run in self.state.registry.ready.values():
            tenant = step_run.job.spec.tenant
            size, count = step_run.step.size, len(step_run.waiting)
            use[tenant] = use.get(tenant, Resources()).add(size, count)
        return use

    def _choose_executor(
        self, subtask: Subtask, view: LoadView, pool: str, now: float
    ) -> Executor | None:
        """Return an executor with room that nobody waits for, if there is one.

        It is in another rack if possible: what makes a run slow may be shared
        by a rack.
        """
        free = list(self.placer.list_copy_executors(subtask, view.list_unwanted(pool)))
        rack = self._find_rack(subtask)
        others = [executor for executor in free if executor.entry.rack != rack]
        # Copies are few, so cold and returning executors are always told apart.
        return choose_executor(subtask, others, now, graded=True) or choose_executor(
            subtask, free, now, graded=True
        )

    def _find_rack(self, subtask: Subtask) -> str | None:
        run = subtask.run
        executor = None if run is None else self.state.executors.get(run.executor)
        return None if executor is None else executor.entry.rack

    def _log_start(
        self,
        subtask: Subtask,
        executor: Executor,
        bound: SlowBound,
        use: CopyUse,
        pool_use: CopyUse,
        now: float,
    ) -> None:
        run = subtask.run
        assert run is not None and run.answered_at is not None
        log.info(
            "copy of a slow run starts",
            job=subtask.job.id,
            subtask=subtask.name,
            executor=executor.id,
            slow_executor=run.executor,
            age_seconds=round(now - run.answered_at, 2),
            percent=run.percent,
            bound_seconds=round(bound.seconds, 2),
            median_seconds=round(bound.median_seconds, 2),
            compared_runs=bound.runs,
            workspace_copies_millis=use.copies,
            workspace_millis=use.total,
            pool_copies_millis=pool_use.copies,
            pool_millis=pool_use.total,
        )


def predict_remaining(run: Run, now: float) -> float | None:
    """Return the seconds that a run has left by its progress, if that is known.

    The progress of a run that began from a checkpoint, or that this scheduler has
    not seen from its start, does not tell its speed.
    """
    if run.answered_at is None or run.partial or not run.percent:
        return None
    seconds = run.percent_at - run.answered_at
    return seconds * (100 - run.percent) / run.percent - (now - run.percent_at)


def is_ahead(subtask: Subtask, run: Run, now: float) -> bool:
    """Return whether a run is known to end before the one beside it."""
    other = subtask.find_other_run(run)
    if other is None:
        return False
    left, other_left = predict_remaining(run, now), predict_remaining(other, now)
    return left is not None and other_left is not None and left < other_left


def has_place_for_run(subtask: Subtask, executor: Executor) -> bool:
    """Return whether a run that an executor lists may be adopted."""
    if subtask.run is None:
        return True
    second = subtask.copy is None and subtask.find_run(executor.id) is None
    return second and may_have_copies(subtask.step)


def mark_copy(subtask: Subtask) -> None:
    """Mark the later of two adopted runs as the copy."""
    if subtask.run is not None and subtask.copy is not None:
        both: Iterable[Run] = (subtask.run, subtask.copy)
        max(both, key=lambda run: run.number).is_copy = True


def record_done(registry: JobRegistry, subtask: Subtask, run: Run, now: float) -> None:
    """Record a run that is done, before its subtask is marked as done."""
    if subtask.done:
        count_loss(subtask, run, now)
        return
    registry.copies.add_unneeded(subtask)
    other = subtask.run
    raced = other is not None and other.answered_at is not None
    won = other is not None and run.number > other.number
    if raced and run.answered_at is not None:
        registry.copies.add_race(subtask.job.spec.queue, won)
    if won:
        COPIES_WON.inc()
        log.info(
            "copy was done first",
            job=subtask.job.id,
            subtask=subtask.name,
            run=run.number,
            executor=run.executor,
        )
    if may_have_copies(subtask.step) and run.answered_at and not run.partial:
        registry.copies.add_finished(subtask, now - run.answered_at)


def count_loss(subtask: Subtask, run: Run, now: float) -> None:
    """Count the work of a run that is over without use beside another one."""
    if run.answered_at is None or not may_have_copies(subtask.step):
        return
    if subtask.done or (run.is_copy and subtask.run is not None):
        kind = "copy" if run.is_copy else "first"
        cores = subtask.step.size.cpu_millis / 1000
        LOST_CORE_SECONDS.labels(kind).inc(cores * (now - run.answered_at))
