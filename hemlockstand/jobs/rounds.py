"""Placement rounds of a pool.

A round reads the rows and the workers' reports, records the tasks that ended,
places the runs that are due, commits both in one transaction and then sends
the commands to the workers. A daemon may die after any step: the next owner
of the pool finds the whole state in the rows and sends the start of a task
again with the same fence, which a worker accepts at most once.
"""

from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from math import inf

import trio
from attrs import define, evolve, field
from loguru import logger

from hemlockstand.errors import HemlockstandError, InvalidInput
from hemlockstand.jobs.accounting import FairOrder, PendingRun
from hemlockstand.jobs.overcommit import (
    Checkpoint,
    OvercommitAction,
    Stop,
    Throttle,
    plan_overcommit_actions,
)
from hemlockstand.jobs.placement import (
    CandidateWorker,
    Placement,
    PlacementState,
    Unplaced,
    place_runs,
)
from hemlockstand.jobs.quarantine import record_failure, record_success
from hemlockstand.jobs.records import (
    Task,
    TeamWork,
    drop_entry,
)
from hemlockstand.jobs.round_changes import (
    RoundChanges,
    RoundOutcome,
    apply_placement,
    drop_start,
    find_largest,
    list_tasks,
    list_waiting,
    suspend_task,
)
from hemlockstand.jobs.schedules import is_wanted
from hemlockstand.jobs.sizing import SizeBounds, estimate_shape, learn_size
from hemlockstand.jobs.store import JobStore
from hemlockstand.jobs.triggers import UnwantedTriggers, find_due, select_unfinished
from hemlockstand.model import Configuration, Job
from hemlockstand.platform.interface import (
    Shape,
    TaskReport,
    TaskStart,
    TaskState,
    WorkerReport,
    Workers,
)

log = logger.bind(module=__name__)

START_WINDOW_SECONDS = 2.0  # a start is not sent later than this after its commit
# Least time that is added to the lease before a silent worker's tasks move.
MIN_LEASE_MARGIN_SECONDS = 5.0


@define
class PoolRounds:
    """Places the jobs of one pool.

    ``clock`` returns seconds since the epoch, ``list_candidates`` the pool's
    workers, ``sum_fleet`` the capacity of all workers of the fleet. Reports
    are read at most once in ``report_seconds``.
    """

    pool: str
    store: JobStore
    workers: Workers
    lease_seconds: float
    headroom: float
    clock: Callable[[], float]
    list_candidates: Callable[[], dict[str, CandidateWorker]]
    sum_fleet: Callable[[], Shape]
    report_seconds: float = 0.0
    unwanted: UnwantedTriggers = field(factory=UnwantedTriggers)
    _round_at: float = -inf
    _renewed: dict[tuple[str, int], float] = field(factory=dict)
    _missing_since: dict[tuple[str, int], float] = field(factory=dict)
    _peaks: dict[tuple[str, int], Shape] = field(factory=dict)
    _reported_at: float = -inf

    @property
    def _lease_margin_seconds(self) -> float:
        """Longest gap between two observations of a silent worker.

        Another daemon may renew a lease within such a gap, which extends it
        by up to the length of the gap, so that time is added to the lease.
        """
        return max(MIN_LEASE_MARGIN_SECONDS, self.lease_seconds / 3)

    async def run_round(
        self, configuration: Configuration, max_writes: float = inf
    ) -> RoundOutcome | None:
        """Run one round; return ``None`` if its commit did not succeed.

        Another daemon has changed the rows then, or the reply was lost.

        Half of ``max_writes`` is for tasks that ended, so that they do not
        delay urgent placements. Further changes wait for a later round; leases
        are renewed in any case. One change is made even if it takes more rows
        than allowed, unless ``max_writes`` is 0.

        Raises ``PlatformUnavailable`` when the table is down.
        """
        now = self.clock()
        if now - self._round_at > self._lease_margin_seconds:
            # This daemon was paused or could not reach the table, and another
            # one may have renewed the leases meanwhile.
            self._missing_since.clear()
        self._round_at = now
        candidate_workers = self.list_candidates()
        await self._load(configuration, candidate_workers)
        changes = RoundChanges(dict(self.store.works), dict(self.store.workers))
        reports = await self._read_reports(changes, now)
        for name in list(changes.workers):
            before = changes.copy()
            await self._release_orphans(changes, name, now)
            if reports is not None:
                report = reports.get(name, WorkerReport(name, ()))
                await self._process_report(
                    changes, configuration, candidate_workers, name, report, now
                )
            if not self._is_within_writes(changes, before, max_writes / 2):
                changes = before
            if name in candidate_workers and not candidate_workers[name].open:
                changes.checkpoints.extend(
                    task for _, task in list_tasks(changes, name)
                )
        self._place(changes, configuration, candidate_workers, now, max_writes)
        sent_at = trio.current_time()
        works = changes.works.values()
        if not await self.store.commit(works, changes.workers.values()):
            return None
        for key in changes.ended:
            self._peaks.pop(key, None)
        await self._act(changes, sent_at)
        return RoundOutcome(
            changes.placed, changes.finished, changes.failed, tuple(changes.unplaced)
        )

    def _is_within_writes(
        self, changes: RoundChanges, before: RoundChanges, max_writes: float
    ) -> bool:
        changed = changes.count_changed(self.store)
        if changed <= max_writes:
            return True
        earlier = before.count_changed(self.store)
        return changed == earlier or (earlier == 0 and max_writes > 0)

    async def _load(
        self,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
    ) -> None:
        teams = {
            job.team for job in configuration.jobs.values() if job.pool == self.pool
        }
        await self.store.load(sorted(teams), sorted(candidate_workers))
        holders = {
            allocation.team
            for worker in self.store.workers.values()
            for allocation in worker.allocations.values()
        }
        await self.store.load(
            sorted(holders), sorted(self._find_busy_workers(configuration))
        )

    def _find_busy_workers(self, configuration: Configuration) -> set[str]:
        """Return the workers of running tasks, listed or not.

        The tasks of a worker that has left the instance list would otherwise
        count as running for ever.
        """
        return {
            task.worker
            for work in self.store.works.values()
            for task in work.running.values()
            if not task.checkpointed
            and task.job in configuration.jobs
            and configuration.jobs[task.job].pool == self.pool
        }

    async def _process_report(
        self,
        changes: RoundChanges,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
        name: str,
        report: WorkerReport,
        now: float,
    ) -> None:
        tasks = list(list_tasks(changes, name))
        if not tasks:
            return
        reported = {(entry.task, entry.fence): entry for entry in report.tasks}
        for team, task in tasks:
            entry = reported.get((task.name, task.fence))
            await self._process_task(changes, configuration, team, task, entry, now)
        candidate = candidate_workers.get(name)
        if candidate is not None:
            allocations = changes.workers[name].allocations
            for action in plan_overcommit_actions(
                report, allocations, candidate.capacity
            ):
                await self._apply_action(changes, name, action)

    async def _release_orphans(
        self, changes: RoundChanges, name: str, now: float
    ) -> None:
        """Release the worker's allocations for cancelled tasks."""
        known = {task.name for _, task in list_tasks(changes, name)}
        for task, held in tuple(changes.workers[name].allocations.items()):
            if task not in known and await self._fence_task(
                name, task, held.fence, now
            ):
                worker = changes.workers[name]
                kept = drop_entry(worker.allocations, task)
                changes.workers[name] = evolve(worker, allocations=kept)

    async def _fence_task(self, worker: str, task: str, fence: int, now: float) -> bool:
        """Stop a task; return whether it is certain not to run any more.

        After the stop the worker refuses a start with this fence, which a
        paused daemon may still send. A worker that cannot be reached has
        stopped the task by the time that its lease has expired.
        """
        since = self._missing_since.setdefault((task, fence), now)
        try:
            await self.workers.stop(worker, task, fence)
        except HemlockstandError as error:
            if now - since < self.lease_seconds + self._lease_margin_seconds:
                log.info(
                    "stop of task {} failed, it may run until its lease expires: {}",
                    task,
                    error,
                )
                return False
        self._missing_since.pop((task, fence), None)
        return True

    async def _read_reports(
        self, changes: RoundChanges, now: float
    ) -> dict[str, WorkerReport] | None:
        """Return the reports of busy workers, or ``None`` if none are read.

        One call for each worker in each round took 12% of a core and 93 KB/s
        at 24 workers a pool. Reports lag by seconds, so they are read together
        and no more often than that. A failure of the whole call is no evidence
        that any worker is silent.
        """
        if now - self._reported_at < self.report_seconds:
            return None
        busy = [name for name in changes.workers if any(list_tasks(changes, name))]
        if not busy:
            return {}
        try:
            reports = await self.workers.reports(busy)
        except HemlockstandError as error:
            log.info(
                "reading the worker reports of pool {} failed: {}", self.pool, error
            )
            return None
        if now - self._reported_at > self._lease_margin_seconds:
            self._missing_since.clear()
        self._reported_at = now
        return {report.worker: report for report in reports}

    async def _process_task(
        self,
        changes: RoundChanges,
        configuration: Configuration,
        team: str,
        task: Task,
        report: TaskReport | None,
        now: float,
    ) -> None:
        if report is None:
            await self._handle_missing_task(changes, team, task, now)
            return
        self._missing_since.pop((task.name, task.fence), None)
        self._record_peak(task, report.usage)
        match report.state:
            case TaskState.DONE:
                self._finish(changes, team, task, now)
            case TaskState.FAILED:
                self._fail(changes, team, task, report, now)
            case TaskState.CHECKPOINTED:
                suspend_task(changes, team, task)
            case TaskState.STOPPED:
                drop_start(changes, team, task)
            case _:
                await self._renew_or_checkpoint(changes, configuration, team, task, now)

    def _record_peak(self, task: Task, usage: Shape) -> None:
        key = task.name, task.fence
        peak = self._peaks.get(key, usage)
        self._peaks[key] = Shape(
            max(peak.cores, usage.cores),
            max(peak.memory_mb, usage.memory_mb),
            task.shape.accelerators,
        )

    def _finish(self, changes: RoundChanges, team: str, task: Task, now: float) -> None:
        work, worker = record_success(
            changes.works[team], changes.workers[task.worker], task
        )
        key = task.name, task.fence
        peak = self._peaks.get(key, task.shape)
        changes.ended.append(key)
        size = learn_size(work.sizes.get(task.job), peak, now - task.started_at)
        changes.works[team] = evolve(work, sizes={**work.sizes, task.job: size})
        changes.workers[task.worker] = worker
        changes.finished += 1

    def _fail(
        self,
        changes: RoundChanges,
        team: str,
        task: Task,
        report: TaskReport,
        now: float,
    ) -> None:
        log.info(
            "task {} failed on worker {}: {}", task.name, task.worker, report.detail
        )
        changes.ended.append((task.name, task.fence))
        changes.works[team], changes.workers[task.worker] = record_failure(
            changes.works[team], changes.workers[task.worker], task, now
        )
        changes.failed += 1

    async def _renew_or_checkpoint(
        self,
        changes: RoundChanges,
        configuration: Configuration,
        team: str,
        task: Task,
        now: float,
    ) -> None:
        """Renew the lease of a task, or checkpoint it if it is unwanted."""
        day = datetime.fromtimestamp(now, UTC).date()
        job = configuration.jobs.get(task.job)
        if not is_wanted(job, team, self.pool, day):
            log.info(
                "task {} is checkpointed because its job is no longer wanted", task.name
            )
            changes.checkpoints.append(task)
            return
        key = task.name, task.fence
        if now - self._renewed.get(key, -inf) < self.lease_seconds / 3:
            return
        try:
            await self.workers.renew(
                task.worker, task.name, task.fence, self.lease_seconds
            )
            self._renewed[key] = now
        except HemlockstandError as error:
            log.info("renewal of the lease of task {} failed: {}", task.name, error)

    async def _handle_missing_task(
        self, changes: RoundChanges, team: str, task: Task, now: float
    ) -> None:
        """Start a missing task again, or remove it after a while.

        Reports lag, so the start of a task that has just gone missing is sent
        again with the same fence. Later the task is stopped, and its run is
        due again once it is certain not to run any more.
        """
        since = self._missing_since.setdefault((task.name, task.fence), now)
        if now - since < START_WINDOW_SECONDS:
            changes.starts.append((team, task))
        elif await self._fence_task(task.worker, task.name, task.fence, now):
            drop_start(changes, team, task)

    async def _apply_action(
        self, changes: RoundChanges, worker: str, action: OvercommitAction
    ) -> None:
        held = changes.workers[worker].allocations[action.task]
        log.info("worker {} is overcommitted: {}", worker, action)
        try:
            match action:
                case Checkpoint(task=task):
                    await self.workers.checkpoint(worker, task, held.fence)
                case Throttle(task=task, fraction=fraction):
                    await self.workers.throttle(worker, task, held.fence, fraction)
                case Stop(task=task):
                    await self.workers.stop(worker, task, held.fence)
        except HemlockstandError as error:
            log.info("action on overcommitted worker {} failed: {}", worker, error)

    def _place(
        self,
        changes: RoundChanges,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
        now: float,
        max_writes: float,
    ) -> None:
        present = {
            name: candidate
            for name, candidate in candidate_workers.items()
            if name in changes.workers
        }
        state = PlacementState(present, changes.workers, now)
        usage = {team: work.measure_usage() for team, work in changes.works.items()}
        order = FairOrder(configuration.teams, usage, self.sum_fleet())
        order.add_runs(self._list_pending(changes, configuration, present, now))
        for decision in place_runs(order, state):
            match decision:
                case Placement():
                    rows = 2 + len(
                        {victim.allocation.team for victim in decision.victims}
                    )
                    changed = changes.count_changed(self.store)
                    if changed + rows > max_writes and (changed or not max_writes):
                        return
                    apply_placement(changes, decision, now)
                case Unplaced():
                    changes.unplaced.append(decision)

    def _list_pending(
        self,
        changes: RoundChanges,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
        now: float,
    ) -> Iterator[PendingRun]:
        at = datetime.fromtimestamp(now, UTC)
        jobs = [job for job in configuration.jobs.values() if job.pool == self.pool]
        due = self.unwanted.select_wanted(
            find_due(jobs, at), configuration.teams, changes.works, at
        )
        bounds = SizeBounds(find_largest(candidate_workers.values()))
        for entry in select_unfinished(due, changes.works):
            work = changes.works[entry.job.team]
            yield self._make_pending(
                entry.job, work, entry.name, entry.run, entry.due_at, bounds
            )
        for work in changes.works.values():
            for name, job, run, since in list_waiting(work, configuration):
                if is_wanted(job, work.team, self.pool, at.date()):
                    yield self._make_pending(job, work, name, run, since, bounds)

    def _make_pending(
        self,
        job: Job,
        work: TeamWork,
        name: str,
        run: str,
        due_at: float,
        bounds: SizeBounds,
    ) -> PendingRun:
        size = work.sizes.get(job.name)
        return PendingRun(
            name,
            job.team,
            job.name,
            run,
            estimate_shape(job, size, self.headroom, bounds),
            job.priority,
            due_at,
            frozenset(work.failed_on.get(job.name, ())),
            size is not None,
        )

    async def _act(self, changes: RoundChanges, committed_at: float) -> None:
        for task in changes.checkpoints:
            await self._checkpoint(task)
        async with trio.open_nursery() as nursery:
            for team, task in changes.starts:
                nursery.start_soon(self._start, team, task, committed_at)

    async def _checkpoint(self, task: Task) -> None:
        try:
            await self.workers.checkpoint(task.worker, task.name, task.fence)
        except HemlockstandError as error:
            log.info("checkpoint of task {} failed: {}", task.name, error)

    async def _start(self, team: str, task: Task, committed_at: float) -> None:
        """Send a start, unless the commit is too old because of a pause."""
        start = TaskStart(
            task.name,
            task.fence,
            self.lease_seconds,
            task.shape,
            task.priority,
            {"job": task.job, "run": task.run, "team": team},
        )
        if trio.current_time() - committed_at > START_WINDOW_SECONDS:
            log.warning(
                "start of task {} is not sent: its commit is too old", task.name
            )
            return
        try:
            await self.workers.start(task.worker, start)
            self._renewed[task.name, task.fence] = self.clock()
        except InvalidInput as error:
            if error.code != "stale_fence":
                log.warning(
                    "worker {} refused to start task {}: {}",
                    task.worker,
                    task.name,
                    error,
                )
        except HemlockstandError as error:
            log.info("start of task {} failed: {}", task.name, error)
