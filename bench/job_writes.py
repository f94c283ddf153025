"""Table writes of simultaneous cancellations and of catching up."""

from bisect import bisect_left
from collections.abc import AsyncIterator, Iterable
from random import Random
from types import SimpleNamespace

import trio
from attrs import define, field

from bench.figures import Figure
from emulator.local_workers import LocalWorkers
from hemlockstand.errors import HemlockstandError, PlatformUnavailable
from hemlockstand.jobs.pacing import WritePacer
from hemlockstand.jobs.placement import CandidateWorker
from hemlockstand.jobs.records import Task, TeamWork, encode_work, name_task
from hemlockstand.jobs.rounds import PoolRounds
from hemlockstand.jobs.service import JobsService
from hemlockstand.jobs.store import JobStore
from hemlockstand.model import Configuration, Job, Priority, Team
from hemlockstand.platform.interface import Operation, Shape
from hemlockstand.platform.memory import MemoryTable

WRITES_PER_SECOND = 50  # default of the setting jobs.writes_per_second
CANCELS = 500
TABLE_SECONDS = 0.005
RUN_TIME = "20261204T060000Z"
OUTAGE_SECONDS = 600
ROUND_SECONDS = 0.5
RUN_SECONDS = 30
POOLS = 10
WORKERS = 24
JOBS = 48  # per pool; all are due when the outage ends
CATCH_UP_SECONDS = 120
STEADY_SECONDS = 120  # long enough for each job to run once


@define
class CountedTable(MemoryTable):
    """Records the time of each row write; ``down`` fails all transactions."""

    clock: object = None
    delay_seconds: float = 0.0
    down: bool = False
    write_times: list[float] = field(factory=list)

    async def transact(self, operations: Iterable[Operation]) -> tuple[int, ...]:
        """Apply the operations after the delay of a write."""
        if self.down:
            raise PlatformUnavailable("table is down")
        if self.delay_seconds:
            await trio.sleep(self.delay_seconds)
        versions = await MemoryTable.transact(self, operations)
        self.write_times.extend([self.clock()] * len(operations))
        return versions


def find_peak_rate(times: list[float]) -> int:
    """Return the largest number of times that fall within one second.

    ``times`` must be sorted.
    """
    return max(
        (bisect_left(times, time + 1) - index for index, time in enumerate(times)),
        default=0,
    )


async def measure_cancels(make_job, make_configuration) -> AsyncIterator[Figure]:
    """Cancel 500 running jobs of one team at the same time."""
    table = CountedTable(clock=trio.current_time, delay_seconds=TABLE_SECONDS)
    jobs = [make_job(f"j{n}", "frame", "p", 1.0) for n in range(CANCELS)]
    running = {task.name: task for task in map(_make_task, jobs)}
    await table.transact([encode_work(TeamWork("frame", running=running))])
    table.write_times.clear()
    teams = {"frame": Team("frame", "frame", 1.0, 10)}
    service = _make_service(table, make_configuration(jobs, teams))
    refused = 0

    async def cancel(job: str) -> None:
        nonlocal refused
        try:
            await service.cancel(job)
        except HemlockstandError:
            refused += 1

    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(cancel, job.name)
    writes = len(table.write_times)
    yield Figure("cancel_writes_per_job", writes / CANCELS, "writes", 0.1)
    yield Figure(
        "cancel_writes_per_second",
        find_peak_rate(table.write_times),
        "writes in the busiest second",
        WRITES_PER_SECOND,
    )
    yield Figure("cancels_refused", refused, "jobs", 0)


def _make_task(job: Job) -> Task:
    shape = Shape(1, 1500)
    name = name_task(job.name, RUN_TIME)
    return Task(name, job.name, RUN_TIME, "w1", 1, shape, Priority.BATCH, 0.0)


def _make_service(table: MemoryTable, configuration: Configuration) -> JobsService:
    platform = SimpleNamespace(table=table, workers=LocalWorkers(trio.current_time))
    services = {
        "platform": SimpleNamespace(platform=platform, polled=None),
        "configuration": SimpleNamespace(current=configuration),
        "peers": SimpleNamespace(members=list),
        "maintenance": None,
    }
    settings = SimpleNamespace(
        daemon=SimpleNamespace(name="entry-1"),
        jobs=SimpleNamespace(writes_per_second=WRITES_PER_SECOND),
    )
    kernel = SimpleNamespace(settings=settings, find=lambda name, kind: services[name])
    return JobsService(kernel)


@define
class CatchUpSimulation:
    """Simulates a daemon that owns several pools, on a simulated clock."""

    configuration: Configuration
    candidate_workers: dict[str, dict[str, CandidateWorker]]
    now: float
    table: CountedTable = field(init=False)
    workers: LocalWorkers = field(init=False)
    pacer: WritePacer = field(init=False)
    pool_rounds: list[PoolRounds] = field(init=False)
    random: Random = field(factory=lambda: Random(6))

    def __attrs_post_init__(self) -> None:
        self.table = CountedTable(clock=lambda: self.now)
        self.workers = LocalWorkers(lambda: self.now)
        self.pacer = WritePacer(WRITES_PER_SECOND, lambda: self.now)
        self.pool_rounds = [self._make_rounds(pool) for pool in self.candidate_workers]

    def _make_rounds(self, pool: str) -> PoolRounds:
        count = len(self.candidate_workers) * WORKERS
        return PoolRounds(
            pool,
            JobStore(self.table),
            self.workers,
            lease_seconds=30,
            headroom=1.3,
            clock=lambda: self.now,
            list_candidates=lambda: self.candidate_workers[pool],
            sum_fleet=lambda: Shape(16.0 * count, 32_000 * count, count),
        )

    async def run(self, seconds: float) -> None:
        """Run the rounds of all pools, spread evenly over each interval."""
        end = self.now + seconds
        began: dict[str, float] = {}
        while self.now < end:
            for rounds in self.pool_rounds:
                try:
                    await self.pacer.run_round(rounds, self.configuration)
                except PlatformUnavailable:
                    pass
                self.now += ROUND_SECONDS / len(self.pool_rounds)
            for task in list(self.workers.list_running()):
                if self.now - began.setdefault(task, self.now) >= RUN_SECONDS:
                    self.workers.finish(task)

    def count_done(self) -> int:
        """Return the number of jobs that have a recorded last run."""
        return sum(
            len(rounds.store.works[f"team-{number}"].last_run)
            for number, rounds in enumerate(self.pool_rounds)
        )


async def measure_catch_up(
    make_candidates, make_job, make_configuration, now: float
) -> AsyncIterator[Figure]:
    """Count writes after a ten-minute outage in which all jobs became due."""
    pools = [f"p{number}" for number in range(POOLS)]
    jobs = [
        make_job(f"{pool}-j{n}", f"team-{number}", pool, 4.0, schedule="every 10m")
        for number, pool in enumerate(pools)
        for n in range(JOBS)
    ]
    names = [f"team-{number}" for number in range(POOLS)]
    teams = {name: Team(name, name, 1.0, 10) for name in names}
    candidate_workers = {pool: make_candidates(pool, WORKERS) for pool in pools}
    simulation = CatchUpSimulation(
        make_configuration(jobs, teams), candidate_workers, now
    )
    await simulation.run(STEADY_SECONDS)
    simulation.table.down = True
    simulation.now += OUTAGE_SECONDS
    await simulation.run(5)
    simulation.table.down = False
    simulation.table.write_times.clear()
    started_before = len(simulation.workers.started)
    await simulation.run(CATCH_UP_SECONDS)
    yield Figure(
        "catch_up_writes_per_second",
        find_peak_rate(simulation.table.write_times),
        "writes in the busiest second after an outage",
        WRITES_PER_SECOND,
    )
    started = len(simulation.workers.started) - started_before
    yield Figure("catch_up_runs_left", len(jobs) - started, "runs", 0)
