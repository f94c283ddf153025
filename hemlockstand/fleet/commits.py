"""The scheduler's transactions, which extend its lease."""

import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import islice

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.changes import (
    AttemptsChange,
    Batch,
    Change,
    DurationsChange,
    ExpiryChange,
    KnownExecutorsChange,
    LapseChange,
    LoadChange,
    PendingChange,
    StatusChange,
    WaveChange,
    fits_alone,
    identify,
)
from hemlockstand.fleet.durations_row import encode_durations
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.instances import InstanceManager
from hemlockstand.fleet.lapses import Lapses
from hemlockstand.fleet.lease import Release
from hemlockstand.fleet.load_publisher import LoadPublisher
from hemlockstand.fleet.metrics import COMMITS
from hemlockstand.fleet.model import JobState
from hemlockstand.fleet.split_rows import count_known_executors_rows
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.storage import expired_keys
from hemlockstand.fleet.work import Job
from hemlockstand.platform.rows import MAX_TRANSACTION_ENTRIES, RowsRefused

log = logger.bind(module=__name__)

COMMIT_PAUSE_SECONDS = 0.008  # ends within this time share a transaction
RETRY_SECONDS = 0.2
EXPIRY_RETRY_SECONDS = 1.0
MAX_EXPIRED = 3  # jobs to expire with one transaction
# Finished jobs are kept longer than they have to be shown, by this factor, for
# late callers.
KEEP_FACTOR = 1.5


@define(eq=False)
class Commits:
    """Stores changes in one transaction after another.

    ``known_executors`` holds the stored addresses of the executors that may
    have runs, by pool and id. ``removable`` holds the expired jobs of which
    only the status row is left. It goes last: without it, the row of a
    finished job would be loaded as a job that has not started.

    The lease is in each transaction, so a change that the store does not accept
    must not stay in them. A refused transaction is divided until the change is
    found, which is then given up; ``_given_up`` holds the last such change of
    each row that is not a job's. A job whose rows are not accepted fails.
    """

    state: SchedulerState
    instances: InstanceManager
    stop_runs: Callable[[Job], None]
    load: LoadPublisher
    lapses: Lapses
    _pending: dict[str, int] = field(factory=dict)
    known_executors: dict[str, dict[str, str]] = field(factory=dict)
    removable: set[str] = field(factory=set)
    _max_changes: int = MAX_TRANSACTION_ENTRIES
    _given_up: dict[tuple, Change] = field(factory=dict)

    async def run(self, leaving: trio.Event) -> None:
        """Store changes and extend the lease until the scheduler leaves."""
        renew_seconds = self.state.settings.scheduler.renew_seconds
        while not leaving.is_set():
            await self.state.wait_for_commit_request(
                renew_seconds, COMMIT_PAUSE_SECONDS
            )
            await self._try_commit()

    async def _try_commit(self) -> None:
        batch, complete = self._collect()
        try:
            try:
                await self._store(batch, complete)
                COMMITS.labels("applied").inc()
            except RowsRefused as error:
                COMMITS.labels("refused").inc()
                await self._divide(batch, error)
            self.state.store_failing = False
        except PlatformUnavailable as error:
            self.state.store_failing = True
            COMMITS.labels("unavailable").inc()
            log.warning(
                "commit of the scheduler failed; repeating it", detail=str(error)
            )
            await trio.sleep(RETRY_SECONDS)

    async def release(self, reason: Release, stops_end: float | None) -> None:
        """Store changes and give up the lease; raises ``PlatformUnavailable``.

        ``stops_end`` is the time by which all stopped runs have ended, if known.
        """
        batch, complete = self._collect()
        try:
            await self._store(batch, complete, reason, stops_end)
        except RowsRefused as error:
            log.error(
                "the store refuses the last changes of the scheduler",
                changes=len(batch.changes),
                detail=str(error),
            )
            await self._store(Batch(), False, reason, stops_end)

    def _collect(self) -> tuple[Batch, bool]:
        """Return the next changes, and whether none is left out."""
        batch = Batch(self._max_changes)
        complete = True
        for change in self._list_changes():
            if self._given_up.get(identify(change)) == change or batch.add(change):
                continue
            complete = False
            if fits_alone(change):
                break
            self._give_up(change, "it is over the limits of the store")
        if complete:
            self._add_durations(batch)
        return batch, complete

    def _add_durations(self, batch: Batch) -> None:
        """Add what was learned of durations, if the transaction has room.

        Nothing waits for it, and it causes no transaction of its own.
        """
        durations, now = self.state.registry.durations, self.state.clock()
        if not durations.is_unstored(now) or (DurationsChange,) in self._given_up:
            return
        durations.stored_at = now
        document = encode_durations(durations.model, int(time.time() * 1000))
        batch.add(DurationsChange(durations.model.runs, document))

    def _list_changes(self) -> Iterator[Change]:
        """Yield what is not stored yet; what others rely on comes first.

        Failures come before the status: an earlier version has stored them there.
        """
        registry = self.state.registry
        record = self.lapses.find_change()
        if record is not None:
            yield LapseChange(record)
        unknown_pools = self.lapses.find_unknown_pools()
        for pool, addresses in self._list_executors().items():
            stored = self.known_executors.get(pool)
            if addresses != stored and pool not in unknown_pools:
                rows = count_known_executors_rows(stored or {})
                yield KnownExecutorsChange(pool, addresses, rows)
        for progress in self.instances.waves.waves.values():
            if not progress.stored:
                yield WaveChange(progress, progress.make_record(), progress.completed)
        pending = registry.count_pending()
        if pending != self._pending:
            yield PendingChange(pending)
        view = self.load.find_view()
        if view is not None:
            yield LoadChange(view)
        for job_id, block in list(registry.dirty_blocks):
            job = registry.jobs.get(job_id)
            ended = job is None or job.state.final
            yield AttemptsChange(
                job_id, block, None if ended else job.make_attempts(block)
            )
        for job_id in list(registry.dirty):
            job = registry.jobs[job_id]
            yield StatusChange(job_id, job.make_status(), job.announced)
        for job_id in self._expire_jobs():
            self.state.nursery.start_soon(self._remove_job, job_id)
        for job_id in self._choose_removable():
            yield ExpiryChange(job_id)

    async def _store(
        self,
        batch: Batch,
        complete: bool,
        release: Release | None = None,
        stops_end: float | None = None,
    ) -> None:
        """Store changes; executors may then forget the ends in them.

        ``release`` is the reason for which the lease is given up with them, and
        ``stops_end`` is stored with it.
        """
        registry = self.state.registry
        jobs, blocks = batch.list_jobs(), batch.list_blocks()
        # What changes during the transaction is stored by the next one.
        registry.dirty.difference_update(jobs)
        registry.dirty_blocks.difference_update(blocks)
        last_handled = {
            executor: executor.last_handled
            for executor in self.state.executors.values()
        }
        lifetimes = {executor: executor.born_ms for executor in last_handled}
        try:
            orders = self.instances.find_orders()
            await self.state.lease.commit(
                batch.writes,
                batch.removed,
                orders,
                release,
                stops_end,
                batch.find_lapses(),
            )
        except BaseException:
            registry.dirty.update(jobs)
            registry.dirty_blocks.update(blocks)
            self.lapses.mark_unstored()
            raise
        self._max_changes = min(2 * self._max_changes, MAX_TRANSACTION_ENTRIES)
        self.instances.mark_stored(orders)
        self.lapses.mark_committed()
        for change in batch.changes:
            self._mark_stored(change)
        if batch.changes:
            self.state.request_placement()
        self._mark_recorded(last_handled)
        if complete:
            self._acknowledge_ends(last_handled, lifetimes)
        else:
            self.state.request_commit()

    def _mark_stored(self, change: Change) -> None:
        registry = self.state.registry
        match change:
            case KnownExecutorsChange(pool, addresses):
                self.known_executors[pool] = dict(addresses)
            case LapseChange(record):
                self.lapses.mark_stored(record)
            case WaveChange(progress, record, completed):
                current = progress.make_record(), progress.completed
                progress.stored = current == (record, completed)
            case PendingChange(counts):
                self._pending = dict(counts)
            case DurationsChange(runs):
                registry.durations.runs_stored = runs
            case LoadChange(view):
                self.load.mark_stored(view)
            case AttemptsChange(job, block, attempts):
                registry.mark_block_stored(job, block, attempts is not None)
            case StatusChange(job, status, announced):
                registry.mark_stored(job, status.other_pools, announced)
            case ExpiryChange(job):
                self.removable.discard(job)

    async def _divide(self, batch: Batch, error: RowsRefused) -> None:
        """Renew the lease alone; take fewer changes, or give up the only one."""
        log.error(
            "the store refuses a transaction of the scheduler",
            changes=len(batch.changes),
            entries=len(batch.writes) + len(batch.removed),
            detail=str(error),
        )
        await self.state.lease.renew()
        if len(batch.changes) == 1:
            self._give_up(batch.changes[0], str(error))
        self._max_changes = max(1, len(batch.changes) // 2)
        self.state.request_commit()

    def _give_up(self, change: Change, reason: str) -> None:
        """Leave a change out from now on; a job whose rows it has fails."""
        log.error(
            "a change cannot be stored and is given up",
            kind=type(change).__name__,
            change=str(change)[:200],
            detail=reason,
        )
        registry = self.state.registry
        match change:
            case StatusChange(job_id) | AttemptsChange(job_id):
                job = registry.jobs.get(job_id)
                registry.dirty.discard(job_id)
                registry.dirty_blocks = {
                    entry for entry in registry.dirty_blocks if entry[0] != job_id
                }
                if job is not None and not job.state.final:
                    detail = "its status cannot be stored"
                    now_ms = int(time.time() * 1000)
                    registry.finish(job, JobState.FAILED, now_ms, detail)
                    self.stop_runs(job)
            case LapseChange():
                self.lapses.give_up()
            case _:
                self._given_up[identify(change)] = change

    async def _remove_job(self, job_id: str) -> None:
        """Remove the rows of a job that ended long ago, but its status row."""
        while True:
            try:
                await self.state.rows.write(removed=expired_keys(job_id))
            except (PlatformUnavailable, OutcomeUnknown) as error:
                log.info(
                    "rows of an expired job not removed; repeating it",
                    job=job_id,
                    detail=str(error),
                )
                await trio.sleep(EXPIRY_RETRY_SECONDS)
                continue
            self.removable.add(job_id)
            self.state.request_commit()
            return

    def _choose_removable(self) -> list[str]:
        """Return the jobs whose status rows the next transaction removes.

        A job that was submitted again keeps its row, which is written anew.
        """
        for job_id in self.removable & self.state.registry.jobs.keys():
            self.removable.discard(job_id)
            self.state.registry.dirty.add(job_id)
        return list(islice(self.removable, MAX_EXPIRED))

    def _list_executors(self) -> dict[str, dict[str, str]]:
        """Return the addresses of the executors that may have or get runs.

        They are by pool, including empty pools.
        """
        known_executors: dict[str, dict[str, str]] = {
            pool: {} for pool in self.known_executors
        }
        for executor in self.state.executors.values():
            addresses = known_executors.setdefault(executor.entry.pool, {})
            if executor.needs_record:
                addresses[executor.id] = executor.entry.address
            else:
                executor.recorded = False
        return known_executors

    def _expire_jobs(self) -> list[str]:
        before_ms = int(
            (time.time() - self.state.settings.bounds.status_s * KEEP_FACTOR) * 1000
        )
        return self.state.registry.expire(before_ms, MAX_EXPIRED)

    def _mark_recorded(self, executors: Iterable[Executor]) -> None:
        """Let executors get runs whose names the next scheduler can read."""
        for executor in executors:
            stored = self.known_executors.get(executor.entry.pool, {})
            if not executor.recorded and executor.id in stored:
                executor.recorded = True
                self.state.request_placement()

    def _acknowledge_ends(
        self,
        last_handled: Mapping[Executor, int],
        lifetimes: Mapping[Executor, int | None],
    ) -> None:
        for executor, number in last_handled.items():
            if executor.born_ms == lifetimes[executor] and number > executor.acked:
                executor.acked = number
                executor.wake()
