"""The jobs service: one task per pool that this daemon places jobs for.

Rendezvous hashing over the live daemons assigns each pool to one of them.
The assignment only avoids conflicts; the conditional writes enforce every
guarantee even when two daemons believe that they own the same pool.
"""

from collections.abc import Callable, Iterable, Iterator
from datetime import UTC, datetime
from math import inf
from random import Random
from time import time

import trio
from attrs import evolve
from loguru import logger

from hemlockstand.configuration.service import ConfigurationService
from hemlockstand.coordination.rendezvous import OwnerIndex
from hemlockstand.errors import (
    HemlockstandError,
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    TableConflict,
)
from hemlockstand.jobs.cancels import CancelBatches
from hemlockstand.jobs.pacing import WritePacer
from hemlockstand.jobs.placement import CandidateWorker, Unplaced
from hemlockstand.jobs.records import (
    WORK_PREFIX,
    WORKER_PREFIX,
    DemandedRun,
    TeamWork,
    WorkerState,
    decode_work,
    decode_worker,
    drop_entry,
    encode_work,
    encode_worker,
    name_task,
)
from hemlockstand.jobs.rounds import PoolRounds, RoundOutcome
from hemlockstand.jobs.schedules import is_wanted, name_demanded_run, name_run
from hemlockstand.jobs.shapes import NO_RESOURCES, add_shapes
from hemlockstand.jobs.statuses import JobStatus, describe_job
from hemlockstand.jobs.store import JobStore
from hemlockstand.jobs.triggers import UnwantedJob, list_unwanted
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.maintenance.service import MaintenanceService
from hemlockstand.model import Configuration, Job, PoolKind
from hemlockstand.peers.service import PeersService
from hemlockstand.platform.interface import InstanceRecord, Put, Shape
from hemlockstand.platform.service import PlatformService

log = logger.bind(module=__name__)

MARKER_PREFIX = "jobs/marker/"  # one row per pool; a write invalidates cached rows
POLL_FRACTION = 0.8  # of an interval; largest age of a polled row that is reused
MAX_BACKOFF_SECONDS = 30.0
REPORT_SECONDS = 2.0  # between reads of reports, whose usage lags by seconds
FLEET_REFRESH_SECONDS = 2.0  # the members of pools are refreshed as often
MAX_ATTEMPTS = 8  # of a conditional write that races with the owner's rounds
CONFLICT_BACKOFF_SECONDS = 0.01  # first pause after a conflict; each later one doubles


@register
class JobsService(Service):
    """Places, watches and cancels jobs."""

    name = "jobs"
    needs = ("platform", "configuration", "peers", "maintenance")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        service = kernel.find("platform", PlatformService)
        self.platform, self.polled = service.platform, service.polled
        self.configuration = kernel.find("configuration", ConfigurationService)
        self.peers = kernel.find("peers", PeersService)
        self.maintenance = kernel.find("maintenance", MaintenanceService)
        self.rounds: dict[str, PoolRounds] = {}
        self.outcomes: dict[str, RoundOutcome] = {}
        self.pacer = WritePacer(self.settings.jobs.writes_per_second)
        self._random = Random(self.settings.daemon.name)
        self._tasks: dict[str, trio.CancelScope] = {}
        self._owners = OwnerIndex()
        self._cancels = CancelBatches(self._change_paced)
        self._fleet = NO_RESOURCES
        self._fleet_at = -inf

    async def run(self) -> None:
        """Start and end the tasks of the pools as ownership changes."""
        if not self.settings.jobs.enabled:
            return
        async with trio.open_nursery() as nursery:
            while True:
                owned = set(self._list_owned())
                for pool in owned - self._tasks.keys():
                    scope = trio.CancelScope()
                    self._tasks[pool] = scope
                    nursery.start_soon(self._serve_pool, pool, scope)
                for pool in self._tasks.keys() - owned:
                    self._tasks.pop(pool).cancel()
                await trio.sleep(self.settings.jobs.interval_seconds)

    def _list_owned(self) -> Iterable[str]:
        members = [
            member.name
            for member in self.peers.members()
            if member.alive and not member.leaving
        ]
        if self.settings.daemon.name not in members:
            members.append(self.settings.daemon.name)
        own = self.settings.daemon.name
        return self._owners.select(own, self._list_worker_pools(), members)

    def _list_worker_pools(self) -> list[str]:
        pools = self.configuration.current.pools.values()
        return [pool.name for pool in pools if pool.kind is PoolKind.WORKERS]

    async def _serve_pool(self, pool: str, scope: trio.CancelScope) -> None:
        section = self.settings.jobs
        placer = PoolRounds(
            pool,
            JobStore(self.platform.table),
            self.platform.workers,
            section.lease_seconds,
            section.headroom,
            time,
            lambda: self._list_candidates(pool),
            self._sum_fleet,
            REPORT_SECONDS,
        )
        self.rounds[pool] = placer
        with scope:
            try:
                await self._repeat_rounds(placer)
            finally:
                # The pool may have been assigned again and have new rounds.
                if self.rounds.get(pool) is placer:
                    del self.rounds[pool]

    async def _repeat_rounds(self, placer: PoolRounds) -> None:
        pool = placer.pool
        section = self.settings.jobs
        backoff = section.interval_seconds
        seen = 0
        while True:
            try:
                marker = await self.polled.read(
                    MARKER_PREFIX + pool, section.interval_seconds * POLL_FRACTION
                )
                if marker.version != seen:
                    placer.store.forget()
                    seen = marker.version
                outcome = await self.pacer.run_round(placer, self.configuration.current)
                if outcome is not None:
                    self.outcomes[pool] = outcome
                backoff = pause = section.interval_seconds
            except HemlockstandError as error:
                # Exponential backoff with jitter, so that the pools of all
                # daemons do not retry at once when the table recovers.
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                pause = backoff * self._random.uniform(0.5, 1.0)
                log.info("placement round of pool {} failed: {}", pool, error)
            await trio.sleep(pause)

    def _list_candidates(self, pool: str) -> dict[str, CandidateWorker]:
        schedulable = {
            record.id for record in self.maintenance.list_schedulable([pool])
        }
        return {
            record.id: CandidateWorker(
                record.id,
                record.data_centre,
                record.rack,
                _get_capacity(record),
                record.id in schedulable,
            )
            for record in self.maintenance.members(pool)
        }

    def _sum_fleet(self) -> Shape:
        """Return the capacity of all open workers, as of some seconds ago.

        The sum is cached because each round of each pool needs it. It is only
        the denominator of shares, so its age hardly matters.
        """
        now = trio.current_time()
        if now - self._fleet_at >= FLEET_REFRESH_SECONDS:
            self._fleet = self._measure_fleet()
            self._fleet_at = now
        return self._fleet

    def _measure_fleet(self) -> Shape:
        pools = self._list_worker_pools()
        return add_shapes(map(_get_capacity, self.maintenance.list_schedulable(pools)))

    async def submit(self, job: str, team: str) -> str:
        """Request a run of a job now; return the name of its task.

        Raises ``InvalidInput`` with code ``not_wanted`` if the configuration
        does not want the job for the team today, and ``PlatformUnavailable``.
        """
        configuration = self.configuration.current
        wanted = configuration.jobs.get(job)
        now = datetime.now(UTC)
        pool = wanted.pool if wanted is not None else ""
        if not is_wanted(wanted, team, pool, now.date()):
            raise InvalidInput(
                f"job {job!r} of team {team!r} is not wanted today", code="not_wanted"
            )
        run = name_demanded_run(now)
        asked = DemandedRun(job, run, now.timestamp())
        task = name_task(job, run)

        tried = False

        def add(work: TeamWork) -> TeamWork:
            nonlocal tried
            # After a lost reply the run may have started or ended already.
            known = task in work.running or work.last_run.get(job) == run
            if tried and known:
                return work
            tried = True
            return work.with_demanded({**work.demanded, task: asked})

        await self._change_work(team, {pool}, add)
        return task

    async def cancel(self, job: str) -> list[str]:
        """Cancel the running and due runs of a job; return the task names.

        Raises ``NotFound`` and ``PlatformUnavailable``.
        """
        found = self.find_job(job)
        run = name_run(datetime.now(UTC))
        tasks = await self._cancels.cancel(found.team, job, found.pool, run)
        for task in tasks:
            try:
                await self.platform.workers.stop(task.worker, task.name, task.fence)
            except HemlockstandError as error:
                log.info("stop of cancelled task {} failed: {}", task.name, error)
        return [task.name for task in tasks]

    async def unpark(self, job: str) -> None:
        """Return a parked job to placement.

        Raises ``NotFound`` and ``PlatformUnavailable``.
        """

        def clear(work: TeamWork) -> TeamWork:
            return evolve(
                work,
                parked=drop_entry(work.parked, job),
                failed_on=drop_entry(work.failed_on, job),
                starts=drop_entry(work.starts, job),
            )

        found = self.find_job(job)
        await self._change_work(found.team, {found.pool}, clear)

    async def release_worker(self, worker: str) -> None:
        """End a worker's quarantine and reset its failures.

        Raises ``NotFound`` if it is not in quarantine,
        ``PlatformUnavailable``, and ``OutcomeUnknown`` if the row keeps
        changing.
        """
        for _ in range(MAX_ATTEMPTS):
            state = await self.show_worker(worker)
            if state.quarantine is None:
                raise NotFound(f"worker {worker!r} is not in quarantine")
            released = evolve(state, quarantine=None, failed_jobs=(), failed_starts=0)
            try:
                operations = [encode_worker(released), *self._list_pool_markers(worker)]
                await self.platform.table.transact(operations)
                return
            except TableConflict as error:
                log.info("row of worker {} is read again after {}", worker, error.code)
        raise OutcomeUnknown(f"the row of worker {worker!r} keeps changing")

    def _list_pool_markers(self, worker: str) -> Iterator[Put]:
        """Yield the write that makes the pool's owner read its rows again."""
        for name, pool in self.maintenance.pools.items():
            if worker in pool.members:
                yield Put(MARKER_PREFIX + name, {"worker": worker}, None)

    async def _change_paced(
        self, team: str, pools: set[str], change: Callable[[TeamWork], TeamWork]
    ) -> None:
        """Apply a change within the write rate of the daemon."""
        await self.pacer.wait(1 + len(pools))
        await self._change_work(team, pools, change, counted=True)

    async def _change_work(
        self,
        team: str,
        pools: set[str],
        change: Callable[[TeamWork], TeamWork],
        counted: bool = False,
    ) -> None:
        """Apply a change to a team's row.

        After a conflict or a lost reply the row is read and changed again.
        The markers tell the pools' owners to read their cached rows again.
        ``counted`` means that the pacer has already counted the first attempt.
        """
        for attempt in range(MAX_ATTEMPTS):
            row = await self.platform.table.read(WORK_PREFIX + team)
            changed = change(decode_work(team, row))
            operation = encode_work(changed)
            if operation.value == row.value:
                return
            markers = [
                Put(MARKER_PREFIX + pool, {"team": team}, None) for pool in pools
            ]
            if attempt or not counted:
                self.pacer.spend(1 + len(markers))
            try:
                await self.platform.table.transact([operation, *markers])
                return
            except (TableConflict, OutcomeUnknown) as error:
                log.info("row of team {} is read again after {}", team, error.code)
            # The random pause keeps writers of one row from colliding again.
            longest = CONFLICT_BACKOFF_SECONDS * 2**attempt
            await trio.sleep(self._random.uniform(0, longest))
        raise PlatformUnavailable(f"the row of team {team!r} keeps changing")

    def find_job(self, job: str) -> Job:
        """Return a job of the configuration in force; raises ``NotFound``."""
        found = self.configuration.current.jobs.get(job)
        if found is None:
            raise NotFound(f"job {job!r} does not exist")
        return found

    async def list_jobs(self) -> list[JobStatus]:
        """Return all jobs with their state; raises ``PlatformUnavailable``."""
        configuration = self.configuration.current
        works = await self._read_works(configuration)
        today = datetime.now(UTC).date()
        return [
            describe_job(job, works[job.team], today)
            for job in configuration.jobs.values()
        ]

    async def list_unwanted(self) -> list[UnwantedJob]:
        """Return the retired jobs that are still triggered, with their cost.

        Raises ``PlatformUnavailable``.
        """
        configuration = self.configuration.current
        works = await self._read_works(configuration)
        jobs, teams = configuration.jobs.values(), configuration.teams
        return list(list_unwanted(jobs, teams, works, datetime.now(UTC)))

    async def _read_works(self, configuration: Configuration) -> dict[str, TeamWork]:
        teams = sorted({job.team for job in configuration.jobs.values()})
        rows = await self.platform.table.read_many([WORK_PREFIX + t for t in teams])
        return {
            team: decode_work(team, row) for team, row in zip(teams, rows, strict=True)
        }

    async def show_worker(self, worker: str) -> WorkerState:
        """Return a worker's allocations and quarantine."""
        row = await self.platform.table.read(WORKER_PREFIX + worker)
        return decode_worker(worker, row)

    def list_unplaced(self) -> list[Unplaced]:
        """Return the runs of this daemon's pools that found no worker."""
        return [
            entry for outcome in self.outcomes.values() for entry in outcome.unplaced
        ]


def _get_capacity(record: InstanceRecord) -> Shape:
    return Shape(record.cores, record.memory_mb, record.accelerators)
