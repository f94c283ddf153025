"""The scheduler's transactions, which extend its lease."""

import time
from itertools import islice

import trio
from attrs import define, field
from loguru import logger

from hemlockstand.errors import OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.executors import Executor
from hemlockstand.fleet.instances import InstanceManager
from hemlockstand.fleet.lease import Release
from hemlockstand.fleet.metrics import COMMITS
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.storage import (
    STATES_TABLE,
    expired_keys,
    known_executors_write,
    pending_write,
    status_write,
    wave_writes,
)
from hemlockstand.platform.rows import RowKey, RowWrite

log = logger.bind(module=__name__)

COMMIT_PAUSE_SECONDS = 0.008  # ends within this time share a transaction
RETRY_SECONDS = 0.2
EXPIRY_RETRY_SECONDS = 1.0
MAX_STATUS_WRITES = 80  # a transaction may have 100 entries
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
    """

    state: SchedulerState
    instances: InstanceManager
    _pending: dict[str, int] = field(factory=dict)
    known_executors: dict[str, dict[str, str]] = field(factory=dict)
    removable: set[str] = field(factory=set)

    async def run(self, leaving: trio.Event) -> None:
        """Store changes and extend the lease until the scheduler leaves."""
        renew_seconds = self.state.settings.scheduler.renew_seconds
        while not leaving.is_set():
            await self.state.wait_for_commit_request(
                renew_seconds, COMMIT_PAUSE_SECONDS
            )
            await self._try_commit()

    async def _try_commit(self) -> None:
        try:
            await self.commit()
            self.state.store_failing = False
            COMMITS.labels("applied").inc()
        except PlatformUnavailable as error:
            self.state.store_failing = True
            COMMITS.labels("unavailable").inc()
            log.warning(
                "commit of the scheduler failed; repeating it", detail=str(error)
            )
            await trio.sleep(RETRY_SECONDS)

    async def commit(self, release: Release | None = None) -> None:
        """Store changes; executors may then forget the ends in them.

        ``release`` is the reason for which the lease is given up with them.
        """
        dirty = list(self.state.registry.dirty)[:MAX_STATUS_WRITES]
        statuses = [self.state.registry.jobs[job_id].make_status() for job_id in dirty]
        writes: list[RowWrite] = [
            status_write(job_id, status)
            for job_id, status in zip(dirty, statuses, strict=True)
        ]
        all_dirty = len(dirty) == len(self.state.registry.dirty)
        self.state.registry.dirty.difference_update(dirty)
        pending = self.state.registry.count_pending()
        if pending != self._pending:
            writes.append(pending_write(pending))
        waves = [
            (progress, progress.make_record(), progress.completed)
            for progress in self.instances.waves.waves.values()
            if not progress.stored
        ]
        for progress, record, completed in waves:
            writes.extend(wave_writes(progress.wave.number, record, completed))
        last_handled = {
            executor: executor.last_handled
            for executor in self.state.executors.values()
        }
        lifetimes = {executor: executor.born_ms for executor in last_handled}
        for job_id in self._expire_jobs():
            self.state.nursery.start_soon(self._remove_job, job_id)
        expired = self._choose_removable()
        removed = [RowKey(STATES_TABLE, job_id) for job_id in expired]
        known_executors = self._list_executors()
        for pool, addresses in known_executors.items():
            if addresses != self.known_executors.get(pool):
                writes.append(known_executors_write(pool, addresses))
        try:
            orders = self.instances.find_orders()
            await self.state.lease.commit(writes, removed, orders, release)
        except BaseException:
            self.state.registry.dirty.update(dirty)
            raise
        self.removable.difference_update(expired)
        self._pending = pending
        self.known_executors = known_executors
        self.instances.mark_stored(orders)
        if dirty:
            self.state.registry.mark_stored(dirty, statuses)
            self.state.request_placement()
        for progress, record, completed in waves:
            current = progress.make_record(), progress.completed
            progress.stored = current == (record, completed)
        self._acknowledge_ends(last_handled, lifetimes, all_dirty)
        if not all_dirty:
            self.state.request_commit()

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
        """Return the executors' addresses by pool, including empty pools."""
        known_executors: dict[str, dict[str, str]] = {
            pool: {} for pool in self.known_executors
        }
        for executor in self.state.executors.values():
            addresses = known_executors.setdefault(executor.entry.pool, {})
            addresses[executor.id] = executor.entry.address
        return known_executors

    def _expire_jobs(self) -> list[str]:
        before_ms = int(
            (time.time() - self.state.settings.bounds.status_s * KEEP_FACTOR) * 1000
        )
        return self.state.registry.expire(before_ms, MAX_EXPIRED)

    def _acknowledge_ends(
        self,
        last_handled: dict[Executor, int],
        lifetimes: dict[Executor, int | None],
        all_dirty: bool,
    ) -> None:
        for executor, number in last_handled.items():
            if not executor.recorded:
                executor.recorded = True
                self.state.request_placement()
            if all_dirty and executor.born_ms == lifetimes[executor]:
                if number > executor.acked:
                    executor.acked = number
                    executor.wake()
