"""Placement at the two-year size, job shares, and starts that fail."""

from collections import Counter
from collections.abc import AsyncIterator, Iterator
from datetime import UTC, date, datetime
from random import Random
from time import process_time

import trio
from attrs import define, field

from bench.figures import Figure, Side
from bench.job_writes import measure_cancels, measure_catch_up
from emulator.local_workers import LocalWorkers
from hemlockstand.errors import HemlockstandError, OutcomeUnknown, PlatformUnavailable
from hemlockstand.jobs.placement import CandidateWorker
from hemlockstand.jobs.records import DemandedRun, decode_work, encode_work
from hemlockstand.jobs.rounds import PoolRounds
from hemlockstand.jobs.store import JobStore
from hemlockstand.model import Configuration, Job, Pool, PoolKind, Priority, Team
from hemlockstand.platform.interface import Shape
from hemlockstand.platform.memory import MemoryTable

NOW = datetime(2026, 12, 4, 6, 0, 1, tzinfo=UTC).timestamp()
CAPACITY = Shape(16, 32_000)
LAST_DAY = date(2027, 12, 31)
WORKERS = 5600
POOLS = 239
TEAMS = 570
RUN_ROUNDS = 30
ROUND_SECONDS = 0.5  # default of the setting jobs.interval_seconds


@define
class Fleet:
    """Worker pools on an in-memory platform, with a simulated clock."""

    candidate_workers: dict[str, dict[str, CandidateWorker]]
    table: MemoryTable = field(factory=MemoryTable)
    now: float = NOW
    workers: LocalWorkers = field(init=False)
    fleet_shape: Shape = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.workers = LocalWorkers(lambda: self.now)
        count = sum(
            len(candidate_workers)
            for candidate_workers in self.candidate_workers.values()
        )
        self.fleet_shape = Shape(
            CAPACITY.cores * count, CAPACITY.memory_mb * count, 4 * count
        )

    def make_rounds(self, pool: str) -> PoolRounds:
        """Return the placement rounds of one daemon for a pool."""
        return PoolRounds(
            pool,
            JobStore(self.table),
            self.workers,
            lease_seconds=30,
            headroom=1.3,
            clock=lambda: self.now,
            list_candidates=lambda: self.candidate_workers[pool],
            sum_fleet=lambda: self.fleet_shape,
        )


def make_candidates(pool: str, count: int) -> dict[str, CandidateWorker]:
    """Return the workers of a pool, four to a rack, in two data centres."""
    return {
        f"{pool}-w{index}": CandidateWorker(
            f"{pool}-w{index}", f"dc{index % 2}", f"r{index // 8}", CAPACITY
        )
        for index in range(count)
    }


def make_job(name: str, team: str, pool: str, cores: float, **changes) -> Job:
    """Return an hourly batch job, unless stated otherwise."""
    values = {"schedule": "every 1h", "priority": Priority.BATCH, **changes}
    return Job(
        name=name,
        team=team,
        pool=pool,
        last_day=LAST_DAY,
        cores=cores,
        memory_mb=int(cores * 1500),
        run_minutes=10,
        **values,
    )


def make_configuration(jobs: list[Job], teams: dict[str, Team]) -> Configuration:
    """Return a configuration with these jobs, their pools and the teams."""
    pools = {
        job.pool: Pool(job.pool, PoolKind.WORKERS, ("dc0", "dc1"), 24, 2)
        for job in jobs
    }
    by_name = {job.name: job for job in jobs}
    return Configuration(1, None, teams, pools, {}, by_name)


async def measure_placement(seed: int = 1) -> AsyncIterator[Figure]:
    """Place four jobs per worker on all pools of the two-year size."""
    random = Random(seed)
    pools = [f"pool-{index}" for index in range(POOLS)]
    sizes = Counter(pools[index % POOLS] for index in range(WORKERS))
    fleet = Fleet({pool: make_candidates(pool, sizes[pool]) for pool in pools})
    names = [f"team-{index}" for index in range(TEAMS)]
    teams = {name: Team(name, name, 1.0, 10) for name in names}
    cpu_seconds = 0.0
    writes = 0
    for pool in pools:
        jobs = [
            make_job(
                f"{pool}-j{index}",
                random.choice(names[:60]),
                pool,
                random.uniform(1, 4),
            )
            for index in range(4 * sizes[pool])
        ]
        configuration = make_configuration(jobs, teams)
        rounds = fleet.make_rounds(pool)
        started = process_time()
        await rounds.run_round(configuration)
        cpu_seconds += process_time() - started
        writes += rounds.store.writes
    placed = len(fleet.workers.started)
    yield Figure(
        "placement_per_second_5600_workers",
        placed / cpu_seconds,
        "placements/s of processor time",
        200,
        Side.AT_LEAST,
    )
    yield Figure("writes_per_placement_full_rounds", writes / placed, "writes", 2)


async def measure_single_starts() -> AsyncIterator[Figure]:
    """Count writes when runs become due one at a time, the costliest case."""
    fleet = Fleet({"p": make_candidates("p", 24)})
    teams = {"frame": Team("frame", "frame", 1.0, 10)}
    rounds = fleet.make_rounds("p")
    jobs: list[Job] = []
    for index in range(20):
        jobs.append(make_job(f"j{index}", "frame", "p", 1))
        await rounds.run_round(make_configuration(jobs, teams))
        fleet.now += 1
    placed = len(fleet.workers.started)
    yield Figure("writes_per_placement", rounds.store.writes / placed, "writes", 2)


async def measure_urgent(seed: int = 2) -> AsyncIterator[Figure]:
    """Measure the time from the request of an urgent run to its start.

    The pool is full. The rounds run in real time at the default interval; the
    requests arrive at random times.
    """
    random = Random(seed)
    fleet = Fleet({"p": make_candidates("p", 8)})
    teams = {name: Team(name, name, 1.0, 10) for name in ("frame", "hinge")}
    jobs = [make_job(f"j{index}", "frame", "p", 8.0) for index in range(16)]
    urgent = [
        make_job(
            f"u{i}", "hinge", "p", 4.0, priority=Priority.URGENT, schedule="on demand"
        )
        for i in range(8)
    ]
    configuration = make_configuration(jobs + urgent, teams)
    rounds = fleet.make_rounds("p")
    await rounds.run_round(configuration)
    fleet.now += 60
    requested_at: dict[str, float] = {}
    begun_at: dict[str, float] = {}

    async def run_rounds() -> None:
        while len(begun_at) < len(urgent):
            rounds.store.works.pop("hinge", None)
            await rounds.run_round(configuration)
            for _, task, _ in fleet.workers.started:
                if task in requested_at:
                    begun_at.setdefault(task, trio.current_time())
            await trio.sleep(ROUND_SECONDS)
            fleet.now += ROUND_SECONDS

    async def request_runs() -> None:
        for job in urgent:
            await trio.sleep(random.uniform(0.1, 0.8))
            row = await fleet.table.read("work/hinge")
            work = decode_work("hinge", row)
            task = f"{job.name}:now"
            requested_at[task] = trio.current_time()
            run = DemandedRun(job.name, "now", fleet.now)
            changed = {**work.demanded, task: run}
            await fleet.table.transact([encode_work(work.with_demanded(changed))])

    with trio.move_on_after(30):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_rounds)
            nursery.start_soon(request_runs)
    waits = [begun_at[task] - requested_at[task] for task in begun_at]
    missing = len(urgent) - len(begun_at)
    yield Figure("urgent_start_seconds", max(waits) if not missing else 30.0, "s", 1.5)


async def measure_share(seed: int = 3) -> AsyncIterator[Figure]:
    """Compare each team's fraction of a full pool with its share."""
    random = Random(seed)
    fleet = Fleet({"p": make_candidates("p", 16)})
    shares = {"hinge": 1.0, "clamp": 1.0, "frame": 2.0, "ledger": 4.0}
    teams = {name: Team(name, name, share, 10) for name, share in shares.items()}
    jobs = [
        make_job(
            f"{team}-{index}",
            team,
            "p",
            random.choice((1.0, 2.0, 4.0)),
            schedule="every 15s",
        )
        for team in shares
        for index in range(300)
    ]
    configuration = make_configuration(jobs, teams)
    rounds = fleet.make_rounds("p")
    used_cores: Counter[str] = Counter()
    for step in range(60):
        await rounds.run_round(configuration)
        _finish_random_tasks(fleet, random)
        fleet.now += 15
        if step >= 10:
            for name, work in rounds.store.works.items():
                used_cores[name] += work.measure_usage().cores
    total_cores = sum(used_cores.values())
    total_share = sum(shares.values())
    error = max(
        abs(used_cores[name] / total_cores - shares[name] / total_share)
        for name in shares
    )
    yield Figure("job_share_error", error, "of the pool", 0.05)


def _finish_random_tasks(fleet: Fleet, random: Random) -> None:
    running = list(fleet.workers.list_running())
    for task in random.sample(running, len(running) // 6):
        fleet.workers.finish(task)


async def measure_failing_starts(seed: int = 4) -> AsyncIterator[Figure]:
    """Count the starts of jobs, and on workers, that fail every start."""
    random = Random(seed)
    fleet = Fleet({"p": make_candidates("p", 24)})
    fleet.workers.broken = {f"p-w{index}" for index in range(3)}
    teams = {name: Team(name, name, 1.0, 10) for name in ("frame", "hinge")}
    jobs = [
        make_job(f"j{i}", random.choice(tuple(teams)), "p", 1.0, schedule="every 5m")
        for i in range(150)
    ]
    fleet.workers.broken_jobs = {f"j{index}" for index in range(6)}
    configuration = make_configuration(jobs, teams)
    rounds = fleet.make_rounds("p")
    for _ in range(300):
        await rounds.run_round(configuration)
        _finish_random_tasks(fleet, random)
        fleet.now += 5
    by_job = Counter(task.split(":")[0] for _, task, _ in fleet.workers.started)
    by_worker = Counter(worker for worker, _, _ in fleet.workers.started)
    worst_job = max(by_job[name] for name in fleet.workers.broken_jobs)
    worst_worker = max(by_worker[name] for name in fleet.workers.broken)
    yield Figure("bad_job_starts", worst_job, "starts", 5)
    yield Figure("bad_worker_starts", worst_worker, "starts", 5)
    parked = {name for work in rounds.store.works.values() for name in work.parked}
    wrongly_parked = len(parked - fleet.workers.broken_jobs)
    yield Figure("good_jobs_parked", wrongly_parked, "jobs", 0)


async def measure_double_starts(seed: int = 5, rounds_count: int = 400) -> Figure:
    """Run two daemons on one pool with faults; count tasks that run twice."""
    random = Random(seed)
    fleet = Fleet({"p": make_candidates("p", 8)})
    teams = {name: Team(name, name, 1.0, 10) for name in ("frame", "hinge")}
    jobs = [
        make_job(f"j{i}", random.choice(tuple(teams)), "p", 2.0, schedule="every 1m")
        for i in range(40)
    ]
    configuration = make_configuration(jobs, teams)
    daemons = [fleet.make_rounds("p"), fleet.make_rounds("p")]
    doubles = 0
    for _ in range(rounds_count):
        _inject_fault(fleet, random)
        for daemon in random.sample(daemons, random.randint(1, 2)):
            try:
                await daemon.run_round(configuration)
            except HemlockstandError:
                daemon.store.forget()
        _finish_random_tasks(fleet, random)
        fleet.now += random.choice((0.5, 1, 5, 45))
        running = Counter(fleet.workers.list_running())
        doubles += sum(count > 1 for count in running.values())
    return Figure("double_starts", doubles, "tasks", 0)


def _inject_fault(fleet: Fleet, random: Random) -> None:
    match random.randrange(6):
        case 0:
            fleet.table.fail_next(PlatformUnavailable("table is down"))
        case 1:
            fleet.table.fail_next(OutcomeUnknown("reply lost"), applied=True)
        case 2:
            name = f"p-w{random.randrange(8)}"
            fleet.workers.unreachable ^= {name}
        case _:
            pass


async def _collect() -> list[Figure]:
    figures: list[Figure] = []
    for measure in (
        measure_placement,
        measure_single_starts,
        measure_urgent,
        measure_share,
        measure_failing_starts,
    ):
        async for figure in measure():
            figures.append(figure)
    figures.append(await measure_double_starts())
    async for figure in measure_cancels(make_job, make_configuration):
        figures.append(figure)
    async for figure in measure_catch_up(
        make_candidates, make_job, make_configuration, NOW
    ):
        figures.append(figure)
    return figures


def measure_figures() -> Iterator[Figure]:
    """Yield the figures of placement."""
    yield from trio.run(_collect)
