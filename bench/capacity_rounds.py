"""Cost of the rounds of placement, maintenance and slot moves."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from math import ceil
from pathlib import Path
from tempfile import TemporaryDirectory
from time import process_time
from types import SimpleNamespace

import msgspec
import trio
from attrs import evolve

from bench.capacity_series import (
    REPEATS,
    TARGET,
    Series,
    make_series,
    name_daemons,
    time_async,
    time_calls,
)
from bench.capacity_slopes import make_configuration
from bench.jobs import (
    CAPACITY,
    Fleet,
    make_configuration as make_jobs_configuration,
    make_job,
)
from bench.maintenance import Scenario, make_pools
from hemlockstand.coordination.rendezvous import OwnerIndex
from hemlockstand.jobs.placement import CandidateWorker
from hemlockstand.jobs.service import JobsService
from hemlockstand.maintenance.records import PoolState, decode_pool, encode_pool
from hemlockstand.maintenance.service import MaintenanceService
from hemlockstand.model import Configuration, Pool, PoolKind, Team
from hemlockstand.peers.demands import Demand, DemandRegistry
from hemlockstand.peers.members import Member
from hemlockstand.platform.interface import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Row,
)
from hemlockstand.requests.limits import LimitsService
from test.limit_fakes import Fleet as LimitsFleet


def make_record(pool: str, number: int) -> InstanceRecord:
    """Return a worker of the instance list."""
    return InstanceRecord(
        f"{pool}-worker-{number}",
        InstanceKind.WORKER,
        "region0",
        f"region0-dc{number % 22:02}",
        f"rack-{number // 4}",
        "127.0.0.1:1",
        InstanceState.LIVE,
        pool,
        16.0,
        32768,
        2,
    )


def make_members(count: int) -> list[Member]:
    """Return live daemons."""
    return [
        Member(name, f"{name}-a", f"dc{number % 22}", "127.0.0.1:1", True, False, 7)
        for number, name in enumerate(name_daemons(count))
    ]


class IdlePeers:
    """Peers whose members and demand figures do not change."""

    incarnation = "entry-000-a"

    def __init__(self, daemons: int, teams: int = 0) -> None:
        self._members = make_members(daemons)
        self._registry = DemandRegistry()
        for number in range(daemons if teams else 0):
            # A peer's heartbeats carry 6 figures and arrive about once in ten
            # seconds, so 6 of its teams are known at any time.
            known = (f"team-{(number * 6 + n) % teams:05}" for n in range(6))
            figures = {team: Demand(0, 2, 1) for team in known}
            self._registry.receive(f"entry-{number:03}", figures)

    def members(self) -> list[Member]:
        """Return the daemons as new objects, as the service does."""
        return [evolve(member) for member in self._members]

    def demands(self):
        """Return the demand figures of the peers."""
        return self._registry.list_peers()

    def publish_demand(self, team: str, demand: Demand) -> None:
        """Record a demand figure of this daemon."""
        self._registry.publish(team, demand)


def _make_kernel(**services) -> SimpleNamespace:
    return SimpleNamespace(
        settings=SimpleNamespace(
            daemon=SimpleNamespace(name="entry-000"),
            jobs=SimpleNamespace(writes_per_second=50),
            maintenance=SimpleNamespace(health_wait_seconds=600, max_bad_instances=2),
        ),
        find=lambda name, kind: services[name],
    )


def make_maintenance(
    pools: int, daemons: int
) -> tuple[JobsService, MaintenanceService]:
    """Return the services of a daemon that knows this many pools."""
    names = [f"pool-{number:05}" for number in range(pools)]
    configured = {
        name: Pool(name, PoolKind.WORKERS, ("dc0",), TARGET.workers_per_pool, 2)
        for name in names
    }
    platform = SimpleNamespace(table=None, machines=None, workers=None)
    services = {
        "platform": SimpleNamespace(platform=platform, polled=None),
        "configuration": SimpleNamespace(current=Configuration(pools=configured)),
        "peers": IdlePeers(daemons),
    }
    maintenance = MaintenanceService(_make_kernel(**services))
    for name in names:
        records = [make_record(name, n) for n in range(TARGET.workers_per_pool)]
        maintenance.records.update({record.id: record for record in records})
        members = tuple(record.id for record in records)
        maintenance.pools[name] = PoolState(name, 1, 2, members)
    return JobsService(_make_kernel(**services, maintenance=maintenance)), maintenance


def measure_owners() -> Iterator[Series]:
    """Yield the cost of the steps that look at all pools or all daemons."""
    module = "jobs/service.py, coordination/rendezvous.py"
    owned, selected, capacities = [], [], []
    for size in (30, 60, 120, 239):
        jobs, _ = make_maintenance(size, TARGET.daemons)
        owned.append((size, time_calls(lambda j=jobs: list(j._list_owned()), 10)))
        capacities.append((size, time_calls(jobs._measure_fleet, 2)))
        names = [f"pool-{number:05}" for number in range(size)]
        selected.append((size, time_calls(lambda n=names: _select_owned(n, 66), 2)))
    daemons = []
    for size in (9, 18, 36, 66):
        names = [f"pool-{number:05}" for number in range(TARGET.pools)]
        daemons.append(
            (size, time_calls(lambda n=names, s=size: _select_owned(n, s), 2))
        )
    pools = TARGET.pools
    fleet = "jobs/service.py _measure_fleet"
    yield make_series("owned_pools", module, "pools", "us", pools, owned)
    yield make_series("weigh_owners", module, "pools", "us", pools, selected)
    yield make_series(
        "weigh_owners_daemons", module, "daemons", "us", TARGET.daemons, daemons
    )
    yield make_series("sum_fleet", fleet, "pools", "us", pools, capacities)


def _select_owned(pools: list[str], daemons: int) -> list[str]:
    return list(OwnerIndex().select("entry-000", pools, name_daemons(daemons)))


def measure_pool_rows() -> Iterator[Series]:
    """Yield the length of a pool's row and the cost of reading it."""
    lengths, decodes = [], []
    for size in (6, 12, 24, 48):
        members = tuple(make_record("pool-00001", n).id for n in range(size))
        put = encode_pool(PoolState("pool-00001", 1, 2, members))
        row = Row(put.key, put.value, 1)
        lengths.append((size, len(msgspec.json.encode(put.value))))
        decodes.append(
            (size, time_calls(lambda row=row: decode_pool("pool-00001", row), 100))
        )
    module, size_name = "maintenance/records.py", "members of a pool"
    members = TARGET.workers_per_pool
    yield make_series("pool_row", module, size_name, "B", members, lengths)
    yield make_series("decode_pool", module, size_name, "us", members, decodes)


def measure_placement() -> Iterator[Series]:
    """Yield the cost of rounds of one pool: idle ones and placing ones."""
    yield from trio.run(_collect_placement)


async def _collect_placement() -> list[Series]:
    by_workers, by_jobs, placements = [], [], []
    for size in (6, 12, 24, 48):
        micros, first = await _measure_round(size, size, 0)
        by_workers.append((size, micros))
        placements.append((size, first))
    for size in (700, 1400, 2850, 5700):
        micros, _ = await _measure_round(6, 24, size - 24)
        by_jobs.append((size, micros))
    module = "jobs/rounds.py"
    return [
        make_series(
            "round_workers",
            module,
            "workers of a pool, 1 task each",
            "us",
            TARGET.workers_per_pool,
            by_workers,
        ),
        make_series("round_jobs", module, "jobs of all pools", "us", 5700, by_jobs),
        make_series(
            "place_tasks", module, "tasks placed in a round", "us", 24, placements
        ),
    ]


async def _measure_round(workers: int, tasks: int, others: int) -> tuple[float, float]:
    """Return the microseconds of an idle round and of the first round.

    The first round places all tasks.
    """
    runs = [await _run_rounds(workers, tasks, others) for _ in range(REPEATS)]
    return min(idle for idle, _ in runs), min(first for _, first in runs)


async def _run_rounds(workers: int, tasks: int, others: int) -> tuple[float, float]:
    fleet = Fleet({"p": make_candidates("p", workers)})
    teams = {f"team-{n}": Team(f"team-{n}", "house", 1.0, 10) for n in range(10)}
    jobs = [make_job(f"j{n}", f"team-{n % 10}", "p", 1.0) for n in range(tasks)]
    jobs += [make_job(f"o{n}", f"team-{n % 10}", "q", 1.0) for n in range(others)]
    configuration = make_jobs_configuration(jobs, teams)
    rounds = fleet.make_rounds("p")

    async def run_round() -> None:
        await rounds.run_round(configuration)

    first = await _time_call(run_round)
    await run_round()
    return await time_async(run_round, 4), first


async def _time_call(function: Callable[[], Awaitable]) -> float:
    began = process_time()
    await function()
    return (process_time() - began) * 1e6


def make_candidates(pool: str, count: int) -> dict[str, CandidateWorker]:
    """Return the workers of a pool."""
    return {
        f"{pool}-w{index}": CandidateWorker(
            f"{pool}-w{index}", f"dc{index % 2}", f"r{index // 8}", CAPACITY
        )
        for index in range(count)
    }


def measure_maintenance() -> Iterator[Series]:
    """Yield the cost and the table calls of steps of one pool."""
    yield from trio.run(_collect_maintenance)


async def _collect_maintenance() -> list[Series]:
    micros, reads, listed, writes = [], [], [], []
    for size in (6, 12, 24, 48):
        idle, calls = await _measure_idle_step(size)
        micros.append((size, idle))
        reads.append((size, calls))
        writes.append((size, await _count_wave_writes(size)))
    for size in (700, 1400, 2800, 5600):
        listed.append((size, await _measure_listed_step(size)))
    module = "maintenance/rounds.py, steps.py"
    members = TARGET.workers_per_pool
    return [
        make_series("step_pool", module, "members of a pool", "us", members, micros),
        make_series(
            "step_pool_reads", module, "members of a pool", "reads", members, reads
        ),
        make_series("step_pool_list", module, "instances listed", "us", 5600, listed),
        make_series(
            "wave_writes", module, "members of a pool", "row writes", members, writes
        ),
    ]


async def _measure_idle_step(members: int) -> tuple[float, float]:
    scenario = Scenario(make_pools(1, members, 2))
    rounds = scenario.make_rounds()
    await scenario.adopt(rounds)
    records = scenario.machines.list_records()
    rounds.list_records = lambda: records
    pool = scenario.pools[0]

    async def step() -> None:
        await rounds.step_pool(pool, [])

    before = scenario.table.reads
    await step()
    reads = scenario.table.reads - before
    return await time_async(step, 20), reads


async def _measure_listed_step(listed: int) -> float:
    scenario = Scenario(make_pools(1, 24, 2))
    rounds = scenario.make_rounds()
    await scenario.adopt(rounds)
    records = scenario.machines.list_records()
    others = ceil((listed - 24) / 24)
    for pool in range(others):
        for number in range(24):
            record = make_record(f"other-{pool}", number)
            records[record.id] = record
    rounds.list_records = lambda: records
    return await time_async(lambda: rounds.step_pool(scenario.pools[0], []), 5)


async def _count_wave_writes(members: int) -> float:
    """Return the row writes of a wave over one pool, without faults."""
    scenario = Scenario(make_pools(1, members, 2))
    rounds = scenario.make_rounds()
    await scenario.adopt(rounds)
    wave = await scenario.start_wave()
    before = scenario.table.writes
    for _ in range(members * 100):
        await rounds.step_pool(scenario.pools[0], [wave])
        scenario.now += 30
        if len(set(scenario.machines.reboots)) == members:
            break
    for _ in range(30):
        await rounds.step_pool(scenario.pools[0], [wave])
        scenario.now += 30
    return scenario.table.writes - before


def measure_moves() -> Iterator[Series]:
    """Yield the cost of one rebalancing round of a daemon."""
    with _temporary_directory() as directory:
        yield from trio.run(_collect_moves, directory)


@contextmanager
def _temporary_directory():
    with TemporaryDirectory(prefix="hemlockstand-capacity-") as name:
        yield Path(name)


async def _collect_moves(directory: Path) -> list[Series]:
    points = []
    for size in (71, 142, 285, 570):
        points.append((size, await _measure_moves(directory, size)))
    module = "requests/limits.py _move_forever"
    return [
        make_series(
            "rebalance_round", module, "active teams", "us", TARGET.teams, points
        )
    ]


async def _measure_moves(directory: Path, teams: int) -> float:
    """Return the microseconds of a round in which no slots need to move."""
    fleet = LimitsFleet(directory)
    kernel = fleet.add("entry-000")
    kernel.services["peers"] = IdlePeers(TARGET.daemons, TARGET.teams)
    fleet.configuration.current = make_configuration(teams)
    service = LimitsService(kernel)
    await service.start()
    for name in fleet.configuration.current.teams:
        service.take(name, trio.current_time() + 5, False)
    return await time_async(service.move_all, 2)
