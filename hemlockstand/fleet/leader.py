"""The scheduler's tasks while the daemon holds the lease."""

import time
from collections.abc import Callable, Iterable
from functools import partial

import trio
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.clients import FleetClients
from hemlockstand.fleet.commits import Commits
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.copies import CopyStarter
from hemlockstand.fleet.durations import estimate_chain_seconds
from hemlockstand.fleet.durations_row import load_durations
from hemlockstand.fleet.early_cancels import EarlyCancels
from hemlockstand.fleet.evacuations import EvacuationManager
from hemlockstand.fleet.executor_directory import ExecutorDirectory
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.idle_report import IdleReporter
from hemlockstand.fleet.instances import InstanceManager
from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.lapses import Lapses
from hemlockstand.fleet.lease import Release, SchedulerLease, find_orders
from hemlockstand.fleet.load_publisher import LoadPublisher
from hemlockstand.fleet.metrics import WAITING
from hemlockstand.fleet.model import JobState
from hemlockstand.fleet.orders import RUNS_PER_EPOCH, Orders
from hemlockstand.fleet.placement import Placer
from hemlockstand.fleet.policy.waiting import LATE_FACTOR
from hemlockstand.fleet.preemption import Preemptor
from hemlockstand.fleet.queue_terms import find_terms
from hemlockstand.fleet.reports import ExecutorReportHandler
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.fleet.share_report import ShareReporter
from hemlockstand.fleet.split_rows import decode_known_executors, decode_waves
from hemlockstand.fleet.state import SchedulerState, read_current
from hemlockstand.fleet.storage import (
    JOBS_TABLE,
    SCHEDULER_TABLE,
    CancelRecord,
    WaveRecord,
    group_job_rows,
    read_jobs,
)
from hemlockstand.fleet.takeover_barrier import TakeoverBarrier
from hemlockstand.fleet.tickets import TicketCache
from hemlockstand.fleet.work import Job, StepRun
from hemlockstand.platform.rows import HistoryGone, RowStore, StoredRow

log = logger.bind(module=__name__)

FENCES_PER_EPOCH = 1_000_000  # fencing tokens for each scheduler
PLACE_PAUSE_SECONDS = 0.005
FOLLOW_SECONDS = 1.0
RETRY_SECONDS = 0.2
TICK_SECONDS = 0.1
ORDERS_WAIT_SECONDS = 1.0  # longest wait for open orders before a handover
ORDERS_POLL_SECONDS = 0.02


class Leader:
    """Connects the parts of the scheduler, and follows the jobs.

    An object is used for one term as the scheduler; its tasks run in the given
    nursery, which it cancels at the end.
    """

    def __init__(
        self,
        settings: FleetSettings,
        rows: RowStore,
        configuration: FleetConfigurationService,
        lease: SchedulerLease,
        clock: Callable[[], float],
        clients: FleetClients,
        nursery: trio.Nursery,
    ) -> None:
        epoch = lease.record.epoch
        registry = JobRegistry(run_base=(epoch - 1) * RUNS_PER_EPOCH)
        registry.copies.enabled = settings.copies.enabled
        self.state = SchedulerState(
            settings, rows, configuration, lease, clock, nursery, registry
        )
        self._ticket_cache = TicketCache(self.state, clients.advice)
        self._orders = Orders(self.state, self._ticket_cache)
        self._lapses = Lapses(self.state)
        self._barrier = TakeoverBarrier(self.state, self._lapses)
        self._report_handler = ExecutorReportHandler(
            self.state, self._orders, self._barrier
        )
        self._executor_directory = ExecutorDirectory(
            self.state,
            clients.connect_executor,
            self._report_handler,
            epoch * FENCES_PER_EPOCH,
            self._lapses,
        )
        self._instances = InstanceManager(
            self.state, clients.instances, epoch, self._orders.stop_run
        )
        self._commits = Commits(
            self.state,
            self._instances,
            self._orders.stop_runs,
            LoadPublisher(
                self.state, self._instances.plans, self._barrier.blocked_pools
            ),
            self._lapses,
        )
        self._placer = Placer(
            registry,
            self.state.executors,
            self._barrier.blocked_pools,
            self._may_run,
            self._executor_directory.is_confirmed,
        )
        self._copy_starter = CopyStarter(self.state, self._placer, self._orders.start)
        self.idle_reporter = IdleReporter(
            self.state, self._barrier.blocked_pools, self._may_run
        )
        self.evacuations = EvacuationManager(
            self.state,
            self._instances.plans,
            self._barrier.blocked_pools,
            self._orders.stop_run,
            self._may_run,
            self._ticket_cache.request_ahead,
            self._executor_directory.is_confirmed,
        )
        self._preemptor = Preemptor(self.state, self._orders, self._placer)
        self._share_reporter = ShareReporter(self._placer.shares)
        self._early_cancels = EarlyCancels(rows)
        self._wave_records: dict[int, WaveRecord | None] = {}
        self._unreadable_jobs: set[str] = set()
        self._leaving = trio.Event()
        self._slow = False
        self.follows_slow = lease.record.follows_slow

    def leave(self, slow: bool = False) -> None:
        """Stop placing and release the lease; ``slow`` tells why."""
        self._slow = slow
        self._leaving.set()

    async def run(self, fresh: bool) -> None:
        """Lead until the lease is lost or released.

        ``fresh`` means that there was no scheduler before, so that no runs can
        exist.
        """
        start_soon = self.state.nursery.start_soon
        loaded = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.keep_lease, loaded)
            version = await self._load_jobs()
            entries = await self._executor_directory.load()
            await self._load_own_rows()
            loaded.set()
        if not fresh:
            self._barrier.block_pools()
            orders = find_orders(self.state.lease.record)
            waited = self.state.clock() - self.state.lease.previous_renewed_at
            self._instances.block(orders, waited)
        start_soon(self._follow_jobs, version)
        start_soon(self._executor_directory.follow, entries)
        start_soon(self._place_forever)
        start_soon(self._tick_forever)
        start_soon(self._share_reporter.run, self.state.clock)
        start_soon(self._instances.run)
        start_soon(self._early_cancels.run)
        start_soon(self._ticket_cache.run)
        await self._commits.run(self._leaving)
        await self._finish()
        self.state.nursery.cancel_scope.cancel()

    async def _finish(self) -> None:
        """Wait for the start orders in flight, then release the lease."""
        self.idle_reporter.report_all()
        with trio.move_on_after(ORDERS_WAIT_SECONDS):
            while self._orders.open_starts:
                await trio.sleep(ORDERS_POLL_SECONDS)
        try:
            reason = Release.SLOW if self._slow else Release.STOPPED
            await self._commits.release(reason, self._orders.close_stops())
        except PlatformUnavailable as error:
            log.warning("scheduler lease not released", detail=str(error))

    async def _load_jobs(self) -> int:
        page = await read_current(self.state, partial(read_jobs, self.state.rows))
        self._unreadable_jobs.clear()
        self._apply_job_rows(page.rows)
        log.info(
            "jobs loaded", jobs=len(self.state.registry.jobs), version=page.version
        )
        return page.version

    async def _load_own_rows(self) -> None:
        """Read what a previous scheduler has stored for its successor."""
        read = partial(self.state.rows.read_all, SCHEDULER_TABLE)
        page = await read_current(self.state, read)
        found = decode_known_executors(page.rows)
        self._lapses.load(page.rows, found)
        self._commits.known_executors = {
            pool: addresses or {} for pool, addresses in found.items()
        }
        self._executor_directory.add_known(self._commits.known_executors)
        self._wave_records = decode_waves(page.rows)
        load_durations(
            page.rows, self.state.registry.durations, int(time.time() * 1000)
        )
        self._predict_again()
        self._add_waves()

    def _predict_again(self) -> None:
        """Predict times of the loaded jobs by durations that were read since."""
        for job in self.state.registry.jobs.values():
            if job.state.final:
                continue
            self._set_deadline(job)
            for step_run in job.steps.values():
                if step_run.unlocked:
                    self.state.registry.predict_remaining(step_run)

    def _add_waves(self) -> None:
        for number, wave in self.state.configuration.waves.items():
            record = self._wave_records.get(number)
            # If a wave's row is unreadable, it is not known how many of its
            # instances are out of service.
            if record is not None or number not in self._wave_records:
                self._instances.waves.add(wave, record)

    async def _follow_jobs(self, version: int) -> None:
        while True:
            try:
                page = await self.state.rows.follow(JOBS_TABLE, version, FOLLOW_SECONDS)
            except HistoryGone:
                version = await self._load_jobs()
                continue
            except PlatformUnavailable as error:
                log.debug("changes of the jobs could not be read: {}", error)
                await trio.sleep(RETRY_SECONDS)
                continue
            version = page.version
            self._apply_job_rows(page.rows)

    def _apply_job_rows(self, rows: Iterable[StoredRow]) -> None:
        now = self.state.clock()
        now_ms = int(time.time() * 1000)
        jobs, unreadable = group_job_rows(rows)
        for job_id, reason in unreadable.items():
            log.error("rows of job {} cannot be read: {}", job_id, reason)
        # The changes that are followed lack the status of such a job, so it
        # waits until all rows are read again.
        self._unreadable_jobs.update(unreadable)
        for job_id, found in jobs.items():
            if self._is_unreadable(job_id):
                continue
            if found.spec is not None:
                job = self.state.registry.add(
                    found.spec, found.version, found.status, now, now_ms, found.attempts
                )
                if job is not None:
                    self._set_deadline(job)
            elif found.status is not None and job_id not in self.state.registry.jobs:
                # Its job has expired under a previous scheduler.
                self._commits.removable.add(job_id)
            elif job_id not in self.state.registry.jobs:
                self.state.registry.dirty_blocks.update(
                    (job_id, block) for block in found.attempts
                )
            cancel = found.cancel or self._early_cancels.find(job_id)
            if cancel is not None:
                self._cancel(job_id, cancel, now_ms)
        if self.state.registry.dirty or self.state.registry.dirty_blocks:
            self.state.request_commit()

    def _is_unreadable(self, job_id: str) -> bool:
        known = self.state.registry.jobs
        return job_id in self._unreadable_jobs and job_id not in known

    def _set_deadline(self, job: Job) -> None:
        terms = find_terms(job.spec, self.state.config)
        chain = estimate_chain_seconds(job.spec, self.state.registry.durations)
        job.objective_seconds = terms.slack_factor * chain + terms.objective_ms / 1000
        job.deadline = job.accepted_at + LATE_FACTOR * job.objective_seconds

    def _cancel(self, job_id: str, cancel: CancelRecord, now_ms: int) -> None:
        job = self.state.registry.jobs.get(job_id)
        if job is None:
            self._early_cancels.add(job_id, cancel)
            return
        self._early_cancels.discard(job_id)
        if job.state.final or not cancel.applies_to(job.spec):
            return
        job.cancelled = True
        self.state.registry.finish(job, JobState.CANCELLED, now_ms)
        self._orders.stop_runs(job)
        self.state.request_commit()

    async def _place_forever(self) -> None:
        while True:
            await self.state.wait_for_placement_request()
            if not self._leaving.is_set():
                self._place()
            waiting = (len(step.waiting) for step in self.state.registry.ready.values())
            WAITING.set(sum(waiting))
            await trio.sleep(PLACE_PAUSE_SECONDS)

    def _place(self) -> None:
        now = self.state.clock()
        # A revocation has to rank the executors before they get runs again.
        self.evacuations.update()
        if self.state.registry.release_due(now):
            self.state.request_commit()
        if not self.state.may_order() or not self.state.configuration.fresh:
            return
        for placement in self._placer.place(self.state.config, now):
            self._orders.start(placement.subtask, placement.executor)
        if self.state.registry.dirty:
            self.state.request_commit()

    def _may_run(self, step_run: StepRun, executor: Executor) -> bool:
        """Return whether the step may use an executor.

        Its queue's policy may rule it out, or room that is held for others.
        """
        if not self._preemptor.may_use(step_run, executor):
            return False
        if not self._ticket_cache.needs_ticket(step_run, self.state.config):
            return True
        return bool(self._ticket_cache.find_ticket(step_run, executor))

    async def _tick_forever(self) -> None:
        """Do the work that depends on time alone."""
        while True:
            await trio.sleep(TICK_SECONDS)
            self._barrier.unblock_pools()
            self._barrier.report_blocked()
            if self._barrier.blocked_pools:
                self._lapses.check()
            self._executor_directory.add_configured()
            self.state.registry.withdraw_old_crashes(self.state.clock())
            self._executor_directory.remove_gone()
            self._add_waves()
            self.idle_reporter.check()
            self.evacuations.check()
            if not self._leaving.is_set():
                self._preemptor.check()
                self._copy_starter.check()
            registry = self.state.registry
            if registry.ready or registry.next_due() is not None:
                self.state.request_placement()
