"""What the daemon does while it is the scheduler."""

import time
from collections.abc import Callable, Iterable

import trio
from loguru import logger

from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    OutcomeUnknown,
    PlatformUnavailable,
)
from hemlockstand.fleet.advising import Advisor
from hemlockstand.fleet.clients import FleetClients
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.eviction import find_leaving, find_stalled
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.instances import InstanceManager
from hemlockstand.fleet.lease import InstanceOrders, SchedulerLease
from hemlockstand.fleet.ledger import (
    Job,
    Ledger,
    Run,
    RunState,
    StepRun,
    Subtask,
    estimate_chain_seconds,
    find_attempts,
)
from hemlockstand.fleet.metrics import (
    COMMITS,
    ENDS,
    FIRST_START_SECONDS,
    STARTS,
    WAITING,
)
from hemlockstand.fleet.model import (
    EndEntry,
    EndKind,
    ExecutorEntry,
    FleetConfig,
    HoldAnswer,
    JobState,
    Refusal,
    Refused,
    Resources,
    RunEntry,
    Started,
    StartOrder,
    Unanswered,
)
from hemlockstand.fleet.pacing import PaceChange, find_pace_changes
from hemlockstand.fleet.placement import LATE_FACTOR, Placer
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.fleet.storage import (
    EXECUTORS_TABLE,
    JOBS_TABLE,
    SCHEDULER_TABLE,
    STATES_TABLE,
    WaveRecord,
    decode_waves,
    expired_keys,
    group_rows,
    pending_write,
    read_jobs,
    status_write,
    wave_writes,
)
from hemlockstand.platform.decoding import decode_executor
from hemlockstand.platform.rows import (
    HistoryGone,
    RowKey,
    RowStore,
    RowWrite,
    StoredRow,
)

log = logger.bind(module=__name__)

# Leases of executors outlast the scheduler's lease by at most this much, so
# that what runs survives an outage of the store.
GRANT_SECONDS = 4.0
# Usual lease of an executor: a change of the scheduler after a kill takes two
# and a half seconds, and the last renewal may be one second old.
HOLD_LEASE_SECONDS = 3.7
# Part of an executor's longest lease that is used, for clocks that differ.
HOLD_FRACTION = 0.9
GATE_MARGIN_SECONDS = 0.3
FENCES_PER_EPOCH = 1_000_000
RUNS_PER_EPOCH = 1_000
COMMIT_PAUSE_SECONDS = 0.008  # ends within this time share a transaction
PLACE_PAUSE_SECONDS = 0.005
FOLLOW_SECONDS = 1.0
RETRY_SECONDS = 0.2
TICK_SECONDS = 0.1
MAX_STATUS_WRITES = 80  # of the 100 entries that a transaction may have
MAX_EXPIRED = 3  # jobs; each has three rows
CROWDED_SECONDS = 0.25  # pause after an executor had less room than believed
QUARANTINE_SECONDS = 3.0
LONGEST_QUARANTINE_SECONDS = 12.0
QUARANTINE_FAILURES = 2
RESTART_SECONDS = 0.05
STOP_RETRY_SECONDS = 0.3


class Leader:
    """Jobs, executors and placement of the scheduler."""

    def __init__(
        self,
        settings: FleetSettings,
        rows: RowStore,
        configuration: FleetConfigurationService,
        lease: SchedulerLease,
        clock: Callable[[], float],
        clients: FleetClients,
    ) -> None:
        self._settings = settings
        self._clients = clients
        self._rows = rows
        self._configuration = configuration
        self._lease = lease
        self._clock = clock
        longest = settings.bounds.longest_hold_ms / 1000 * HOLD_FRACTION
        self._grant_seconds = min(GRANT_SECONDS, longest - lease.lease_seconds)
        epoch = lease.record.epoch
        self._fence = epoch * FENCES_PER_EPOCH
        self.ledger = Ledger(run_base=(epoch - 1) * RUNS_PER_EPOCH)
        self.executors: dict[str, Executor] = {}
        self._advisor = Advisor(self, clients.advice, clock)
        self._placer = Placer(self.ledger, self.executors, may_run=self._may_run)
        self._took_over_at = clock()
        self._place_wanted = trio.Event()
        self._commit_wanted = trio.Event()
        self._leaving = trio.Event()
        self._orders = 0
        self._store_failing = False
        self._pending: dict[str, int] = {}
        self._instances = InstanceManager(
            host=self,
            client=clients.instances,
            holder=settings.daemon.name,
            fence=epoch,
            clock=clock,
            turn_seconds=settings.bounds.order_turn_ms / 1000,
        )
        self._wave_records: dict[int, WaveRecord] = {}
        self._nursery: trio.Nursery

    # Lease

    def may_order(self) -> bool:
        """Return whether orders may be given."""
        return self._lease.valid

    def last_grant_end(self) -> float:
        """Return until when leases of executors may be granted at the most."""
        return self._lease.valid_until + self._grant_seconds

    def grant_end(self) -> float:
        """Return until when to grant leases to executors.

        As short as a change of the scheduler allows, because lost executors
        delay their work for as long; as long as possible while the store
        does not answer, because then no scheduler can take over.
        """
        if self._store_failing:
            return self.last_grant_end()
        return min(self._clock() + HOLD_LEASE_SECONDS, self.last_grant_end())

    @property
    def config(self) -> FleetConfig:
        """The configuration in force."""
        config = self._configuration.current
        assert config is not None
        return config

    def want_place(self) -> None:
        """Have waiting subtasks placed."""
        self._place_wanted.set()

    def want_commit(self) -> None:
        """Have changes stored."""
        self._commit_wanted.set()

    # Life

    def leave(self) -> None:
        """Stop placing and release the lease."""
        self._leaving.set()

    async def run(self, fresh: bool) -> None:
        """Lead until the lease is lost or released.

        ``fresh`` says that nobody has led before, so that nothing can run.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            version = await self._load_jobs()
            servers = await self._load_executors()
            await self._load_waves()
            if not fresh:
                self._close_gates()
                record = self._lease.record
                orders = InstanceOrders(record.ordered, record.turned)
                self._instances.block(orders, self._lease.lease_seconds)
            nursery.start_soon(self._follow_jobs, version)
            nursery.start_soon(self._follow_executors, servers)
            nursery.start_soon(self._place_forever)
            nursery.start_soon(self._tick_forever)
            nursery.start_soon(self._instances.run)
            nursery.start_soon(self._advisor.run)
            await self._commit_until_leaving()
            nursery.cancel_scope.cancel()

    async def _load_jobs(self) -> int:
        while True:
            try:
                page = await read_jobs(self._rows)
                break
            except PlatformUnavailable as error:
                await self._wait_for_store(error)
        self._apply_job_rows(page.rows)
        log.info("jobs loaded", jobs=len(self.ledger.jobs), version=page.version)
        return page.version

    async def _load_executors(self) -> int:
        while True:
            try:
                page = await self._rows.read_all(EXECUTORS_TABLE)
                break
            except PlatformUnavailable as error:
                await self._wait_for_store(error)
        self._apply_executor_rows(page.rows)
        for executor, (pool, address) in self._lease.record.executors.items():
            if executor not in self.executors:
                entry = ExecutorEntry(
                    executor, pool, address, "", False, None, None, Resources(), ()
                )
                self._add_executor(entry).present = False
        return page.version

    async def _load_waves(self) -> None:
        while True:
            try:
                page = await self._rows.read_all(SCHEDULER_TABLE)
                break
            except PlatformUnavailable as error:
                await self._wait_for_store(error)
        self._wave_records = decode_waves(page.rows)
        self._add_waves()

    def _add_waves(self) -> None:
        for number, wave in self._configuration.waves.items():
            self._instances.add_wave(wave, self._wave_records.get(number))

    async def _wait_for_store(self, error: HemlockstandError) -> None:
        """Wait before another try; ends the leadership with the lease."""
        log.warning("store does not answer", detail=str(error))
        if not self._lease.valid:
            await self._lease.commit()
        await trio.sleep(RETRY_SECONDS)

    def _close_gates(self) -> None:
        self._placer.gated = {
            executor.entry.pool for executor in self.executors.values()
        }

    def _open_gates(self) -> None:
        """Open the pools in which no unseen run can exist any more."""
        if not self._placer.gated:
            return
        waited = self._clock() - self._took_over_at
        if waited > self._grant_seconds + GATE_MARGIN_SECONDS:
            still_gated: set[str] = set()
        else:
            still_gated = {
                executor.entry.pool
                for executor in self.executors.values()
                if not executor.settled
            }
        opened = self._placer.gated - still_gated
        if opened:
            self._placer.gated -= opened
            log.info("pools open", pools=len(opened), seconds=round(waited, 3))
            self._place_wanted.set()

    # Jobs

    async def _follow_jobs(self, version: int) -> None:
        while True:
            try:
                page = await self._rows.follow(JOBS_TABLE, version, FOLLOW_SECONDS)
            except HistoryGone:
                version = await self._load_jobs()
                continue
            except PlatformUnavailable as error:
                log.debug("jobs not followed: {}", error)
                await trio.sleep(RETRY_SECONDS)
                continue
            version = page.version
            self._apply_job_rows(page.rows)

    def _apply_job_rows(self, rows: Iterable[StoredRow]) -> None:
        now = self._clock()
        now_ms = int(time.time() * 1000)
        for job_id, found in group_rows(rows).items():
            if found.spec is not None:
                job = self.ledger.add(
                    found.spec, found.version, found.status, now, now_ms
                )
                if job is not None:
                    self._set_deadline(job)
            if found.cancelled:
                self._cancel(job_id, now_ms)
        if self.ledger.dirty:
            self._commit_wanted.set()

    def _set_deadline(self, job: Job) -> None:
        queue = self.config.queues_by_name.get(job.spec.queue)
        factor = 1.0 if queue is None else queue.slack_factor
        objective = 0.0 if queue is None else queue.objective_ms / 1000
        chain = estimate_chain_seconds(job.spec, self.ledger.durations)
        job.objective_seconds = factor * chain + objective
        job.deadline = job.accepted_at + LATE_FACTOR * job.objective_seconds

    def _cancel(self, job_id: str, now_ms: int) -> None:
        job = self.ledger.jobs.get(job_id)
        if job is None or job.state.final:
            return
        job.cancelled = True
        self.ledger.finish(job, JobState.CANCELLED, now_ms)
        self._stop_runs(job)
        self._commit_wanted.set()

    def _stop_runs(self, job: Job) -> None:
        for subtask in list(job.runs()):
            self.stop_run(subtask)

    # Executors

    async def _follow_executors(self, version: int) -> None:
        while True:
            try:
                page = await self._rows.follow(EXECUTORS_TABLE, version, FOLLOW_SECONDS)
            except HistoryGone:
                version = await self._reload_executors()
                continue
            except PlatformUnavailable as error:
                log.debug("executors not followed: {}", error)
                await trio.sleep(RETRY_SECONDS)
                continue
            version = page.version
            self._apply_executor_rows(page.rows)

    async def _reload_executors(self) -> int:
        version = await self._load_executors()
        return version

    def _apply_executor_rows(self, rows: Iterable[StoredRow]) -> None:
        for row in rows:
            if row.value is None:
                self._remove_entry(row.key)
                continue
            try:
                entry = decode_executor(row.key, row.value)
            except InvalidInput as error:
                log.warning("entry of an executor is not used: {}", error)
                self._remove_entry(row.key)
                continue
            self._apply_entry(entry)
        self._place_wanted.set()

    def _remove_entry(self, executor_id: str) -> None:
        executor = self.executors.get(executor_id)
        if executor is not None and executor.present:
            log.info("executor {} is gone from the store", executor_id)
            executor.present = False

    def _apply_entry(self, entry: ExecutorEntry) -> None:
        executor = self.executors.get(entry.id)
        if executor is None:
            self._add_executor(entry)
            return
        if executor.entry.address != entry.address:
            executor.client = self._clients.connect_executor(entry.id, entry.address)
        if entry.draining and not executor.entry.draining:
            log.info("executor {} is draining", entry.id, left_ms=entry.remaining_ms)
        executor.update_entry(entry)

    def _add_executor(self, entry: ExecutorEntry) -> Executor:
        client = self._clients.connect_executor(entry.id, entry.address)
        executor = Executor(
            entry,
            client,
            self._fence,
            self._clock,
            self,
            self._settings.scheduler.hold_seconds,
        )
        self.executors[entry.id] = executor
        self._nursery.start_soon(executor.run)
        self._commit_wanted.set()
        return executor

    def _forget_executors(self) -> None:
        """Drop executors that are gone and can run nothing any more."""
        now = self._clock()
        for executor in list(self.executors.values()):
            if executor.present or executor.runs:
                continue
            if now > max(executor.lapses_at, self._took_over_at + self._grant_seconds):
                executor.close()
                del self.executors[executor.id]
                log.info("executor {} is forgotten", executor.id)

    # Placement

    async def _place_forever(self) -> None:
        while True:
            await self._place_wanted.wait()
            self._place_wanted = trio.Event()
            if not self._leaving.is_set():
                self._place()
            WAITING.set(sum(len(step.waiting) for step in self.ledger.ready.values()))
            await trio.sleep(PLACE_PAUSE_SECONDS)

    def _place(self) -> None:
        now = self._clock()
        if self.ledger.release_due(now):
            self._commit_wanted.set()
        if not self.may_order() or not self._configuration.fresh:
            return
        for placement in self._placer.place(self.config, now):
            self._start(placement.subtask, placement.executor)

    def _may_run(self, step_run: StepRun, executor: Executor) -> bool:
        """Return whether the policy of the step's queue allows an executor."""
        if not self._advisor.needs_ticket(step_run, self.config):
            return True
        return bool(self._advisor.find_ticket(step_run, executor))

    def _start(self, subtask: Subtask, executor: Executor) -> None:
        run = Run(subtask.runs + 1, executor.id, executor.fence, self._clock())
        run.checkpoint = subtask.checkpoint
        self.ledger.attach(subtask, run)
        executor.add_run(subtask)
        self._nursery.start_soon(self._order_start, subtask, run, executor)

    async def _order_start(
        self, subtask: Subtask, run: Run, executor: Executor
    ) -> None:
        due_ms = executor.make_due()
        if due_ms is None or not self.may_order():
            self._give_back(subtask, run, executor, 0.0)
            return
        job = subtask.job
        order = StartOrder(
            subtask.name,
            run.number,
            job.spec.payload,
            due_ms,
            run.fence,
            run.checkpoint,
            self._advisor.find_ticket(subtask.step_run, executor) or "",
        )
        self._orders += 1
        try:
            outcome = await executor.client.start(order)
        finally:
            self._orders -= 1
        STARTS.labels(type(outcome).__name__).inc()
        log.info(
            "start",
            job=job.id,
            subtask=subtask.name,
            run=run.number,
            executor=executor.id,
            fence=run.fence,
            outcome=repr(outcome),
        )
        match outcome:
            case Started(clock_ms):
                executor.note_clock(clock_ms)
                self._note_started(subtask, run)
            case Refused(reason, clock_ms):
                executor.note_clock(clock_ms)
                self._note_refused(subtask, run, executor, reason)
            case Unanswered():
                if subtask.run is run and run.state is RunState.STARTING:
                    run.state = RunState.UNSURE
                if subtask.run is run:
                    executor.raise_fence()

    def _note_started(self, subtask: Subtask, run: Run) -> None:
        if subtask.run is not run:
            return
        run.answered_at = self._clock()
        run.percent_at = run.answered_at
        if run.state is RunState.STARTING:
            run.state = RunState.RUNNING
        job = subtask.job
        if not job.started:
            FIRST_START_SECONDS.observe(run.answered_at - job.accepted_at)
        self.ledger.set_started(job)
        if job.state.final:
            self.stop_run(subtask)

    def _note_refused(
        self, subtask: Subtask, run: Run, executor: Executor, reason: Refusal
    ) -> None:
        now = self._clock()
        match reason:
            case Refusal.ROOM:
                executor.crowded_until = now + CROWDED_SECONDS
            case Refusal.UNHEALTHY | Refusal.OTHER_LIFETIME:
                executor.crowded_until = now + CROWDED_SECONDS
                subtask.avoid.add(executor.id)
            case Refusal.OLD:
                # The executor has seen a higher number of an earlier scheduler.
                subtask.runs += RUNS_PER_EPOCH // 10
            case Refusal.TICKET:
                self._advisor.drop_ticket(subtask.step_run, executor)
            case Refusal.INVALID:
                log.error("executor {} refuses {}", executor.id, subtask.name)
                subtask.not_before = now + 1.0
        self._give_back(subtask, run, executor, RESTART_SECONDS)

    def _give_back(
        self, subtask: Subtask, run: Run, executor: Executor, delay: float
    ) -> None:
        """Let a subtask wait again whose run has certainly not begun."""
        if subtask.run is not run:
            return
        executor.remove_run(subtask)
        self._release(subtask, delay)

    def _release(self, subtask: Subtask, delay: float) -> None:
        if subtask.run is not None:
            subtask.checkpoint = subtask.run.checkpoint or subtask.checkpoint
        self.ledger.detach(subtask)
        if subtask.done or subtask.job.state.final:
            return
        subtask.not_before = max(subtask.not_before, self._clock() + delay)
        self.ledger.set_waiting(subtask)
        self._place_wanted.set()

    # Stops

    def stop_run(self, subtask: Subtask) -> None:
        """Stop the run of a subtask; its end arrives with the lists."""
        run = subtask.run
        if run is None or run.state is RunState.STOPPING:
            return
        executor = self.executors.get(run.executor)
        if executor is None:
            return
        if run.state is not RunState.UNSURE:
            run.state = RunState.STOPPING
        self._nursery.start_soon(self._order_stop, executor, subtask.name, run.number)

    async def _order_stop(self, executor: Executor, name: str, number: int) -> None:
        """Repeat a stop until the executor has taken it or the run is over."""
        while True:
            if not self.may_order():
                return
            try:
                await executor.client.stop(name, number, executor.fence)
            except HemlockstandError as error:
                log.info("stop failed", subtask=name, run=number, detail=str(error))
            else:
                log.info("stop", subtask=name, run=number, executor=executor.id)
                executor.wake()
                return
            await trio.sleep(STOP_RETRY_SECONDS)
            subtask = executor.runs.get(name)
            if subtask is None or subtask.run is None or subtask.run.number != number:
                return

    # What executors report

    def note_ended(
        self, executor: Executor, subtask: Subtask | None, end: EndEntry
    ) -> None:
        """Note an end that an executor lists."""
        ENDS.labels(end.kind.value).inc()
        log.info(
            "end",
            subtask=end.subtask,
            run=end.run,
            executor=executor.id,
            number=end.number,
            outcome=end.kind.value,
        )
        self._commit_wanted.set()
        self._place_wanted.set()
        if subtask is None:
            subtask = self.ledger.find(end.subtask)
        if subtask is None:
            return
        run = subtask.run
        current = (
            run is not None and run.executor == executor.id and run.number == end.run
        )
        subtask.runs = max(subtask.runs, end.run)
        now = self._clock()
        now_ms = int(time.time() * 1000)
        if end.kind is EndKind.DONE:
            executor.failed_in_row = 0
            if current:
                self._note_duration(subtask, now)
                self.ledger.detach(subtask)
            self.ledger.set_started(subtask.job)
            self.ledger.set_done(subtask, now, now_ms)
            # Another run may go on where this one was believed to be lost.
            self.stop_run(subtask)
            return
        if end.checkpoint:
            subtask.checkpoint = end.checkpoint
        if end.kind is EndKind.FAILED:
            self._note_failed(executor, subtask, end.run, now_ms)
        if current:
            self._release(subtask, RESTART_SECONDS)

    def _note_duration(self, subtask: Subtask, now: float) -> None:
        run = subtask.run
        if run is None or run.checkpoint or not subtask.step.estimate_ms:
            return
        estimate = subtask.step.estimate_ms / 1000
        seconds = now - run.ordered_at
        self.ledger.durations.note(subtask.job.spec.queue, seconds, estimate)

    def _note_failed(
        self, executor: Executor, subtask: Subtask, run: int, now_ms: int
    ) -> None:
        subtask.avoid.add(executor.id)
        self._set_aside(executor)
        job = subtask.job
        attempts = find_attempts(job, self.config)
        self.ledger.add_failure(subtask, run, attempts, now_ms)
        if job.state.final:
            self._stop_runs(job)

    def _set_aside(self, executor: Executor) -> None:
        """Count a failure, and leave the executor alone after several."""
        executor.failed_in_row += 1
        excess = executor.failed_in_row - QUARANTINE_FAILURES
        if excess < 0:
            return
        seconds = min(
            LONGEST_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2 ** (excess // 2)
        )
        executor.quarantined_until = self._clock() + seconds
        log.warning(
            "executor {} is set aside",
            executor.id,
            failures=executor.failed_in_row,
            seconds=seconds,
        )

    def note_lost(self, executor: Executor, subtask: Subtask, reason: str) -> None:
        """Note that a run is over without an end in the executor's list."""
        run = subtask.run
        if run is None or run.executor != executor.id:
            return
        log.info(
            "run lost",
            subtask=subtask.name,
            run=run.number,
            executor=executor.id,
            detail=reason,
        )
        if run.state is RunState.STARTING:
            # Its own order is still in flight and decides.
            run.state = RunState.UNSURE
        self._release(subtask, RESTART_SECONDS)

    def note_running(self, executor: Executor, answer: HoldAnswer) -> None:
        """Take over runs that this scheduler has not started, or stop them."""
        for entry in answer.running:
            if entry.subtask in executor.runs:
                continue
            subtask = self.ledger.find(entry.subtask)
            if subtask is None or subtask.run is not None:
                log.info("run not wanted", subtask=entry.subtask, executor=executor.id)
                self._nursery.start_soon(
                    self._order_stop, executor, entry.subtask, entry.run
                )
                continue
            self._adopt(executor, subtask, entry)
        self._adjust(executor)
        self._open_gates()

    def _adopt(self, executor: Executor, subtask: Subtask, entry: RunEntry) -> None:
        """Take over a run; what is not wanted counts until it has stopped."""
        now = self._clock()
        run = Run(entry.run, executor.id, executor.fence, now)
        run.state = RunState.RUNNING
        run.answered_at = now
        run.percent = entry.percent
        run.percent_at = now
        run.checkpoint = entry.checkpoint
        self.ledger.attach(subtask, run)
        executor.add_run(subtask)
        log.info("run adopted", subtask=subtask.name, executor=executor.id)
        if subtask.done or subtask.job.state.final:
            self.stop_run(subtask)
        else:
            self.ledger.set_started(subtask.job)

    def _adjust(self, executor: Executor) -> None:
        """Act on what the lists show: runs to stop, and other paces."""
        now = self._clock()
        for subtask in find_stalled(executor, now):
            log.info("run stands still", subtask=subtask.name, executor=executor.id)
            subtask.avoid.add(executor.id)
            self._set_aside(executor)
            self.stop_run(subtask)
        if executor.entry.draining:
            for subtask in find_leaving(executor, self.executors, now):
                self.stop_run(subtask)
        for change in list(find_pace_changes(executor)):
            self._nursery.start_soon(self._order_pace, executor, change)

    async def _order_pace(self, executor: Executor, change: PaceChange) -> None:
        run = change.subtask.run
        if run is None or not self.may_order():
            return
        before = run.pace
        run.pace = change.percent
        name = change.subtask.name
        try:
            await executor.client.pace(name, run.number, change.percent, executor.fence)
        except HemlockstandError as error:
            run.pace = before
            log.info("pace not set", subtask=name, detail=str(error))
            return
        log.info("pace", subtask=name, percent=change.percent, executor=executor.id)

    # Commits

    async def _commit_until_leaving(self) -> None:
        while not self._leaving.is_set():
            with trio.move_on_after(self._settings.scheduler.renew_seconds):
                await self._commit_wanted.wait()
                await trio.sleep(COMMIT_PAUSE_SECONDS)
            self._commit_wanted = trio.Event()
            await self._try_commit()
        await self._finish()

    async def _finish(self) -> None:
        """Wait for the orders in flight, then release the lease."""
        with trio.move_on_after(1.0):
            while self._orders:
                await trio.sleep(0.02)
        try:
            await self._commit(release=True)
        except PlatformUnavailable as error:
            log.warning("lease not released", detail=str(error))

    async def _try_commit(self) -> None:
        try:
            await self._commit()
            self._store_failing = False
            COMMITS.labels("applied").inc()
        except PlatformUnavailable as error:
            self._store_failing = True
            COMMITS.labels("unavailable").inc()
            log.warning("commit failed", detail=str(error))
            await trio.sleep(RETRY_SECONDS)

    async def _commit(self, release: bool = False) -> None:
        """Store what has changed; then the ends may be forgotten."""
        dirty = list(self.ledger.dirty)[:MAX_STATUS_WRITES]
        statuses = [self.ledger.jobs[job_id].make_status() for job_id in dirty]
        writes: list[RowWrite] = [
            status_write(job_id, status)
            for job_id, status in zip(dirty, statuses, strict=True)
        ]
        all_dirty = len(dirty) == len(self.ledger.dirty)
        self.ledger.dirty.difference_update(dirty)
        pending = self.ledger.count_pending()
        if pending != self._pending:
            writes.append(pending_write(pending))
        waves = [
            (progress, progress.make_record(), progress.completed)
            for progress in self._instances.waves.values()
            if not progress.stored
        ]
        for progress, record, completed in waves:
            writes.extend(wave_writes(progress.wave.number, record, completed))
        noted = {executor: executor.noted for executor in self.executors.values()}
        lifetimes = {executor: executor.born_ms for executor in noted}
        expired = self._expire_jobs()
        removed = [RowKey(STATES_TABLE, job_id) for job_id in expired]
        for job_id in expired:
            self._nursery.start_soon(self._remove_job, job_id)
        listed = {
            executor.id: (executor.entry.pool, executor.entry.address)
            for executor in self.executors.values()
        }
        try:
            orders = self._instances.find_orders()
            await self._lease.commit(writes, removed, listed, orders, release)
        except BaseException:
            self.ledger.dirty.update(dirty)
            raise
        self._pending = pending
        self._instances.note_stored(orders)
        if dirty:
            self.ledger.note_stored(dirty, statuses)
            self._place_wanted.set()
        for progress, record, completed in waves:
            current = progress.make_record(), progress.completed
            progress.stored = current == (record, completed)
        self._note_committed(noted, lifetimes, all_dirty)
        if not all_dirty:
            self._commit_wanted.set()

    async def _remove_job(self, job_id: str) -> None:
        """Remove a job that ended long ago; what fails stays as a dead row."""
        try:
            await self._rows.write(removed=expired_keys(job_id))
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.info("rows not removed", job=job_id, detail=str(error))

    def _expire_jobs(self) -> list[str]:
        before_ms = int((time.time() - self._settings.bounds.status_s * 1.5) * 1000)
        return self.ledger.expire(before_ms, MAX_EXPIRED)

    def _note_committed(
        self,
        noted: dict[Executor, int],
        lifetimes: dict[Executor, int | None],
        all_dirty: bool,
    ) -> None:
        for executor, number in noted.items():
            if not executor.listed:
                executor.listed = True
                self._place_wanted.set()
            if all_dirty and executor.born_ms == lifetimes[executor]:
                if number > executor.acked:
                    executor.acked = number
                    executor.wake()

    # Time

    async def _tick_forever(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self._open_gates()
            self._forget_executors()
            self._add_waves()
            if self.ledger.ready or self.ledger.next_due() is not None:
                self._place_wanted.set()
