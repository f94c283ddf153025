"""One placement round of one pool, written straight down.

A round reads the rows and the workers' reports, settles what ended, places
what is due, commits both in one transaction and then tells the workers. A
daemon may die after any step: the next owner of the pool finds everything in
the rows and sends the start of a task again with the same fence, which a
worker accepts at most once.
"""

from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from math import inf

import trio
from attrs import define, evolve, field
from loguru import logger

from hemlockstand.errors import HemlockstandError, InvalidInput
from hemlockstand.jobs.accounting import FairOrder, Pending
from hemlockstand.jobs.overcommit import (
    Checkpoint,
    Relief,
    Stop,
    Throttle,
    relieve_worker,
)
from hemlockstand.jobs.placement import (
    CandidateWorker,
    Placement,
    PoolState,
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
GONE_MARGIN_SECONDS = 5.0  # added to the lease before a silent worker's tasks move


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
    def _margin_seconds(self) -> float:
        """Longest gap in the observation of a silent worker.

        A renewal by another daemon within such a gap extends the lease by as
        much, so the same time is added to the lease.
        """
        return max(GONE_MARGIN_SECONDS, self.lease_seconds / 3)

    async def run_round(
        self, configuration: Configuration, max_writes: float = inf
    ) -> RoundOutcome | None:
        """Run one round; ``None`` means that another daemon came first.

        Half of ``max_writes`` is for tasks that ended, so that they do not
        hold up urgent placements. What exceeds it waits for a later round;
        leases are renewed in any case. One change is made even if it takes
        more rows than allowed, unless ``max_writes`` is 0.

        Raises ``PlatformUnavailable`` when the table is down.
        """
        now = self.clock()
        if now - self._round_at > self._margin_seconds:
            # This daemon was paused or without a table, and another one may
            # have renewed the leases meanwhile.
            self._missing_since.clear()
        self._round_at = now
        candidate_workers = self.list_candidates()
        await self._load(configuration, candidate_workers)
        draft = RoundChanges(dict(self.store.works), dict(self.store.workers))
        reports = await self._read_reports(draft, now)
        for name in list(draft.workers):
            before = draft.copy()
            await self._release_orphans(draft, name, now)
            if reports is not None:
                report = reports.get(name, WorkerReport(name, ()))
                await self._settle_worker(
                    draft, configuration, candidate_workers, name, report, now
                )
            if not self._is_allowed(draft, before, max_writes / 2):
                draft = before
            if name in candidate_workers and not candidate_workers[name].open:
                draft.checkpoints.extend(task for _, task in list_tasks(draft, name))
        self._place(draft, configuration, candidate_workers, now, max_writes)
        sent_at = trio.current_time()
        works = draft.works.values()
        if not await self.store.commit(works, draft.workers.values()):
            return None
        for key in draft.ended:
            self._peaks.pop(key, None)
        await self._act(draft, sent_at)
        return RoundOutcome(
            draft.placed, draft.finished, draft.failed, tuple(draft.unplaced)
        )

    def _is_allowed(
        self, draft: RoundChanges, before: RoundChanges, max_writes: float
    ) -> bool:
        changed = draft.count_changed(self.store)
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
        await self.store.load(sorted(holders), sorted(self._find_left(configuration)))

    def _find_left(self, configuration: Configuration) -> set[str]:
        """Return the workers of running tasks, also those that left the list.

        Their tasks would otherwise count as running for ever.
        """
        return {
            task.worker
            for work in self.store.works.values()
            for task in work.running.values()
            if not task.checkpointed
            and task.job in configuration.jobs
            and configuration.jobs[task.job].pool == self.pool
        }

    async def _settle_worker(
        self,
        draft: RoundChanges,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
        name: str,
        report: WorkerReport,
        now: float,
    ) -> None:
        tasks = list(list_tasks(draft, name))
        if not tasks:
            return
        told = {(entry.task, entry.fence): entry for entry in report.tasks}
        for team, task in tasks:
            entry = told.get((task.name, task.fence))
            await self._settle_task(draft, configuration, team, task, entry, now)
        site = candidate_workers.get(name)
        if site is not None:
            allocations = draft.workers[name].allocations
            for relief in relieve_worker(report, allocations, site.capacity):
                await self._relieve(draft, name, relief)

    async def _release_orphans(
        self, draft: RoundChanges, name: str, now: float
    ) -> None:
        """Free what a worker holds for tasks that their team has cancelled."""
        known = {task.name for _, task in list_tasks(draft, name)}
        for task, held in tuple(draft.workers[name].allocations.items()):
            if task not in known and await self._fence_off(name, task, held.fence, now):
                worker = draft.workers[name]
                kept = drop_entry(worker.allocations, task)
                draft.workers[name] = evolve(worker, allocations=kept)

    async def _fence_off(self, worker: str, task: str, fence: int, now: float) -> bool:
        """Return whether the task surely no longer runs on the worker.

        The stop makes the worker refuse a start with this fence that a paused
        daemon may still send. A worker that cannot be reached has stopped the
        task when its lease has run out.
        """
        since = self._missing_since.setdefault((task, fence), now)
        try:
            await self.workers.stop(worker, task, fence)
        except HemlockstandError as error:
            if now - since < self.lease_seconds + self._margin_seconds:
                log.info("task {} may still run: {}", task, error)
                return False
        self._missing_since.pop((task, fence), None)
        return True

    async def _read_reports(
        self, draft: RoundChanges, now: float
    ) -> dict[str, WorkerReport] | None:
        """Return the reports of the busy workers, or None if there is no news.

        One call for each worker in each round took 12% of a core and 93 KB/s
        at 24 workers a pool. Reports lag by seconds, so they are read together
        and no more often than that. A failure of the whole call says nothing
        about any worker.
        """
        if now - self._reported_at < self.report_seconds:
            return None
        busy = [name for name in draft.workers if any(list_tasks(draft, name))]
        if not busy:
            return {}
        try:
            reports = await self.workers.reports(busy)
        except HemlockstandError as error:
            log.info("workers of pool {} give no reports: {}", self.pool, error)
            return None
        if now - self._reported_at > self._margin_seconds:
            self._missing_since.clear()
        self._reported_at = now
        return {report.worker: report for report in reports}

    async def _settle_task(
        self,
        draft: RoundChanges,
        configuration: Configuration,
        team: str,
        task: Task,
        report: TaskReport | None,
        now: float,
    ) -> None:
        if report is None:
            await self._settle_missing(draft, team, task, now)
            return
        self._missing_since.pop((task.name, task.fence), None)
        self._note_peak(task, report.usage)
        match report.state:
            case TaskState.DONE:
                self._finish(draft, team, task, now)
            case TaskState.FAILED:
                self._fail(draft, team, task, report, now)
            case TaskState.CHECKPOINTED:
                suspend_task(draft, team, task)
            case TaskState.STOPPED:
                drop_start(draft, team, task)
            case _:
                await self._keep(draft, configuration, team, task, now)

    def _note_peak(self, task: Task, usage: Shape) -> None:
        key = task.name, task.fence
        peak = self._peaks.get(key, usage)
        self._peaks[key] = Shape(
            max(peak.cores, usage.cores),
            max(peak.memory_mb, usage.memory_mb),
            task.shape.accelerators,
        )

    def _finish(self, draft: RoundChanges, team: str, task: Task, now: float) -> None:
        work, worker = record_success(
            draft.works[team], draft.workers[task.worker], task
        )
        key = task.name, task.fence
        peak = self._peaks.get(key, task.shape)
        draft.ended.append(key)
        size = learn_size(work.sizes.get(task.job), peak, now - task.started_at)
        draft.works[team] = evolve(work, sizes={**work.sizes, task.job: size})
        draft.workers[task.worker] = worker
        draft.finished += 1

    def _fail(
        self, draft: RoundChanges, team: str, task: Task, report: TaskReport, now: float
    ) -> None:
        log.info("task {} failed on {}: {}", task.name, task.worker, report.detail)
        draft.ended.append((task.name, task.fence))
        draft.works[team], draft.workers[task.worker] = record_failure(
            draft.works[team], draft.workers[task.worker], task, now
        )
        draft.failed += 1

    async def _keep(
        self,
        draft: RoundChanges,
        configuration: Configuration,
        team: str,
        task: Task,
        now: float,
    ) -> None:
        """Renew the lease of a running task, or end it if it is unwanted."""
        day = datetime.fromtimestamp(now, UTC).date()
        job = configuration.jobs.get(task.job)
        if not is_wanted(job, team, self.pool, day):
            log.info("task {} is no longer wanted", task.name)
            draft.checkpoints.append(task)
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
            log.info("lease of task {} is not renewed: {}", task.name, error)

    async def _settle_missing(
        self, draft: RoundChanges, team: str, task: Task, now: float
    ) -> None:
        """Decide on a task that its worker does not report.

        Reports lag, so a task that has just been started is sent again with
        the same fence; later it is fenced off and its run is due again.
        """
        since = self._missing_since.setdefault((task.name, task.fence), now)
        if now - since < START_WINDOW_SECONDS:
            draft.starts.append((team, task))
        elif await self._fence_off(task.worker, task.name, task.fence, now):
            drop_start(draft, team, task)

    async def _relieve(self, draft: RoundChanges, worker: str, relief: Relief) -> None:
        held = draft.workers[worker].allocations[relief.task]
        log.info("worker {} is overcommitted: {}", worker, relief)
        try:
            match relief:
                case Checkpoint(task=task):
                    await self.workers.checkpoint(worker, task, held.fence)
                case Throttle(task=task, fraction=fraction):
                    await self.workers.throttle(worker, task, held.fence, fraction)
                case Stop(task=task):
                    await self.workers.stop(worker, task, held.fence)
        except HemlockstandError as error:
            log.info("relief of worker {} failed: {}", worker, error)

    def _place(
        self,
        draft: RoundChanges,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
        now: float,
        max_writes: float,
    ) -> None:
        present = {
            name: site
            for name, site in candidate_workers.items()
            if name in draft.workers
        }
        state = PoolState(present, draft.workers, now)
        usage = {team: work.measure_usage() for team, work in draft.works.items()}
        order = FairOrder(configuration.teams, usage, self.sum_fleet())
        order.add_runs(self._list_pending(draft, configuration, present, now))
        for decision in place_runs(order, state):
            match decision:
                case Placement():
                    rows = 2 + len(
                        {victim.allocation.team for victim in decision.victims}
                    )
                    changed = draft.count_changed(self.store)
                    if changed + rows > max_writes and (changed or not max_writes):
                        return
                    apply_placement(draft, decision, now)
                case Unplaced():
                    draft.unplaced.append(decision)

    def _list_pending(
        self,
        draft: RoundChanges,
        configuration: Configuration,
        candidate_workers: dict[str, CandidateWorker],
        now: float,
    ) -> Iterator[Pending]:
        at = datetime.fromtimestamp(now, UTC)
        jobs = [job for job in configuration.jobs.values() if job.pool == self.pool]
        due = self.unwanted.select_wanted(
            find_due(jobs, at), configuration.teams, draft.works, at
        )
        bounds = SizeBounds(find_largest(candidate_workers.values()))
        for entry in select_unfinished(due, draft.works):
            work = draft.works[entry.job.team]
            yield self._make_pending(
                entry.job, work, entry.name, entry.run, entry.due_at, bounds
            )
        for work in draft.works.values():
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
    ) -> Pending:
        size = work.sizes.get(job.name)
        return Pending(
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

    async def _act(self, draft: RoundChanges, committed_at: float) -> None:
        for task in draft.checkpoints:
            await self._checkpoint(task)
        async with trio.open_nursery() as nursery:
            for team, task in draft.starts:
                nursery.start_soon(self._start, team, task, committed_at)

    async def _checkpoint(self, task: Task) -> None:
        try:
            await self.workers.checkpoint(task.worker, task.name, task.fence)
        except HemlockstandError as error:
            log.info("checkpoint of task {} failed: {}", task.name, error)

    async def _start(self, team: str, task: Task, committed_at: float) -> None:
        """Send a start unless this daemon was paused since the commit."""
        start = TaskStart(
            task.name,
            task.fence,
            self.lease_seconds,
            task.shape,
            task.priority,
            {"job": task.job, "run": task.run, "team": team},
        )
        if trio.current_time() - committed_at > START_WINDOW_SECONDS:
            log.warning("start of task {} is not sent late", task.name)
            return
        try:
            await self.workers.start(task.worker, start)
            self._renewed[task.name, task.fence] = self.clock()
        except InvalidInput as error:
            if error.code != "stale_fence":
                log.warning("worker refuses task {}: {}", task.name, error)
        except HemlockstandError as error:
            log.info("start of task {} failed: {}", task.name, error)
