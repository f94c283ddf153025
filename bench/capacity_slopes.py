"""Cost of mechanisms that run inside one process, at several sizes."""

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from datetime import UTC, date, datetime
from functools import partial

import trio

from bench.capacity_series import (
    TARGET,
    Series,
    make_series,
    measure_points,
    name_daemons,
    name_data_centres,
    time_async,
    time_calls,
)
from bench.spread import Simulation
from hemlockstand.configuration.changes import (
    Change,
    PutEntity,
    apply_change,
    decode_change,
    encode_change,
    new_change_id,
    pack_change,
    pack_configuration,
    unpack_configuration,
)
from hemlockstand.coordination.escrow import ELASTIC, Escrow, split_limit
from hemlockstand.coordination.lease import HolderLease, HolderWatch, LeaseTerms
from hemlockstand.jobs.triggers import find_due
from hemlockstand.model import (
    Access,
    Configuration,
    Job,
    Key,
    Pool,
    PoolKind,
    Priority,
    Queue,
    Team,
)
from hemlockstand.peers.demands import Demand, DemandRegistry
from hemlockstand.platform.interface import InstanceKind, InstanceRecord, InstanceState
from hemlockstand.platform.memory import MemoryTable
from hemlockstand.sheet.checks import check_sheet
from hemlockstand.sheet.plan import plan_sheet

NOW = datetime(2026, 12, 4, 6, 0, 1, tzinfo=UTC)
LAST_DAY = date(2028, 12, 31)


def make_configuration(teams: int) -> Configuration:
    """Return a configuration with the target's proportions.

    Each team has two queues, two keys and ten jobs; there are fewer pools.
    """
    pools = max(1, round(teams * TARGET.pools / TARGET.teams))
    return Configuration(
        version=9_000_000,
        sheet_day=NOW.date(),
        teams={
            n: Team(n, f"house-{n[-1]}", 1.0, 400) for n in _make_names("team", teams)
        },
        pools={n: _make_pool(n) for n in _make_names("pool", pools)},
        queues={
            n: _make_queue(n, teams, pools) for n in _make_names("queue", 2 * teams)
        },
        jobs={n: make_job(n, teams, pools) for n in _make_names("job", 10 * teams)},
        keys={n: _make_key(n, teams) for n in _make_names("key", 2 * teams)},
    )


def _make_names(kind: str, count: int) -> list[str]:
    return [f"{kind}-{number:05}" for number in range(count)]


def _parse_number(name: str) -> int:
    return int(name.rpartition("-")[2])


def _make_pool(name: str) -> Pool:
    centres = name_data_centres(3)
    return Pool(name, PoolKind.WORKERS, centres, TARGET.workers_per_pool, 2)


def _make_queue(name: str, teams: int, pools: int) -> Queue:
    team = f"team-{_parse_number(name) % teams:05}"
    pool = f"pool-{_parse_number(name) % pools:05}"
    return Queue(name, team, Access.KEYED, False, Priority.INTERACTIVE, 10, pool)


def make_job(name: str, teams: int, pools: int) -> Job:
    """Return an hourly job of some team in some pool."""
    return Job(
        name,
        f"team-{_parse_number(name) % teams:05}",
        f"pool-{_parse_number(name) % pools:05}",
        "every 1h",
        LAST_DAY,
        Priority.BATCH,
        2.0,
        4000,
        20.0,
    )


def _make_key(name: str, teams: int) -> Key:
    team = f"team-{_parse_number(name) % teams:05}"
    return Key(name, team, "0123456789abcdef", "0" * 64)


def measure_memory(make: Callable[[], object]) -> float:
    """Return the megabytes that the object returned by ``make`` occupies."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size / 1e6


def measure_configuration() -> Iterator[Series]:
    """Yield the cost of applying, storing and holding a configuration."""
    module = "configuration/changes.py"
    sizes = (72, 143, 285, 570)
    configurations = {size: make_configuration(size) for size in sizes}
    packed = {size: pack_configuration(configurations[size]) for size in sizes}
    change = Change(
        new_change_id(),
        "planner@example",
        "2026-12-04T06:00:00Z",
        (PutEntity(make_job("job-00001", 570, 239)),),
    )
    points = measure_points(
        sizes,
        lambda size: time_calls(lambda: apply_change(configurations[size], change), 50),
    )
    yield make_series("apply_change", module, "teams", "us", TARGET.teams, points)
    points = [(size, len(packed[size]) / 1e3) for size in sizes]
    yield make_series("snapshot", module, "teams", "KB", TARGET.teams, points)
    points = measure_points(
        sizes,
        lambda size: time_calls(lambda: unpack_configuration(packed[size]), 1) / 1e3,
    )
    yield make_series("load_snapshot", module, "teams", "ms", TARGET.teams, points)
    points = measure_points(
        sizes, lambda size: measure_memory(partial(unpack_configuration, packed[size]))
    )
    yield make_series("configuration_memory", module, "teams", "MB", 570, points)
    yield from _measure_changes()


def _measure_changes() -> Iterator[Series]:
    module = "configuration/changes.py, store.py"
    bytes_points, cpu_points = [], []
    for size in (1, 2, 4, 8):
        edits = tuple(
            PutEntity(make_job(f"job-{number:05}", 570, 239)) for number in range(size)
        )
        change = Change(new_change_id(), "planner@example", "2026-12-04T06:00Z", edits)
        data = encode_change(change)
        bytes_points.append((size, len(pack_change(change))))
        cpu_points.append((size, time_calls(lambda data=data: decode_change(data), 50)))
    yield make_series("change_bytes", module, "edits", "B", 1, bytes_points)
    yield make_series("decode_change", module, "edits", "us", 1, cpu_points)


def measure_slots() -> Iterator[Series]:
    """Yield the cost of limit rows, holder rows and demand figures."""
    yield from trio.run(_collect_slots)


async def _collect_slots() -> list[Series]:
    sizes = (9, 18, 36, 66)
    row_lengths, move_times, watch_times = [], [], []
    for size in sizes:
        length, micros = await _measure_limit_row(size)
        row_lengths.append((size, length))
        move_times.append((size, micros))
        watch_times.append((size, await _measure_watch(size)))
    daemons = TARGET.daemons
    escrow, lease = "coordination/escrow.py", "coordination/lease.py HolderWatch"
    series = [
        make_series("limit_row", escrow, "holders", "B", daemons, row_lengths),
        make_series("take_slots", escrow, "holders", "us", daemons, move_times),
        make_series("watch_holders", lease, "daemons", "us", daemons, watch_times),
    ]
    return [*series, *_measure_demands()]


async def _measure_limit_row(holders: int) -> tuple[float, float]:
    table = MemoryTable()
    split = split_limit(4000, 0.5, name_data_centres(TARGET.data_centres), 7)
    for number, name in enumerate(name_daemons(holders)):
        escrow = Escrow(table, "limit/team", f"{name}/{name}-0123456789ab.1")
        centre = name_data_centres(TARGET.data_centres)[number % TARGET.data_centres]
        await escrow.take({ELASTIC: 10, centre: 10}, split)
    length = len(repr(table.rows["limit/team"].value))

    async def move() -> None:
        await escrow.take({ELASTIC: 1}, split)
        await escrow.shrink({ELASTIC: 10, centre: 10}, split)

    return length, await time_async(move, 50) / 2


async def _measure_watch(daemons: int) -> float:
    table = MemoryTable()
    terms = LeaseTerms(10, 30, 4)
    for name in name_daemons(daemons):
        await HolderLease(table, name, "s1", "dc1", terms, trio.current_time).renew()
    watch = HolderWatch(table, 1.0, trio.current_time)
    return await time_async(watch.observe, 50)


def _measure_demands() -> Iterator[Series]:
    points = []
    for size in (90, 180, 360, 720):
        registry = DemandRegistry()
        for number in range(size // 6):
            demands = {f"team-{n:03}": Demand(1, 2, 3) for n in range(6)}
            registry.receive(f"entry-{number}", demands)
        points.append((size, time_calls(registry.list_peers, 20)))
    # Six heartbeats a second with 6 figures each are kept for ten seconds.
    yield make_series(
        "list_demands",
        "peers/demands.py",
        "figures kept",
        "us",
        360,
        points,
    )


def measure_spread() -> Iterator[Series]:
    """Yield how fast peers learn of changes and of an ended daemon.

    The exchanges are simulated with three daemons per data centre.
    """
    changes, ages, ends, suspected = [], [], [], []
    for size in (4, 8, 16, 22):
        spread = Simulation(3 * size, size).run()
        changes.append((size, spread.change_seconds))
        ages.append((size, max(spread.stamp_ages)))
        ends.append((size, spread.end_seen_seconds))
        suspected.append((size, 100 * (1 - spread.alive_fraction)))
    target, name = TARGET.data_centres, "data centres"
    members = "coordination/membership.py, peers/heartbeats.py"
    stamps = "coordination/freshness.py stamps"
    yield make_series("spread_change", members, name, "s", target, changes)
    yield make_series("outage_proof_age", stamps, name, "s", target, ages)
    yield make_series("end_seen", members, name, "s", target, ends)
    yield make_series("wrongly_suspected", members, name, "%", target, suspected)


def measure_schedules() -> Iterator[Series]:
    """Yield the cost of finding due runs among all jobs of a pool."""
    points = []
    for size in (25, 50, 100, 200):
        jobs = [make_job(f"job-{number:05}", 570, 239) for number in range(size)]
        points.append(
            (size, time_calls(lambda jobs=jobs: list(find_due(jobs, NOW)), 5))
        )
    yield make_series(
        "find_due",
        "jobs/triggers.py",
        "jobs of a pool",
        "us",
        TARGET.jobs / TARGET.pools,
        points,
    )


def measure_sheet() -> Iterator[Series]:
    """Yield the cost of checking and planning a sheet by number of rows."""
    points = []
    for size in (200, 400, 800, 1600):
        data = _make_sheet(size)

        def check_and_plan(data: bytes = data) -> None:
            sheet = check_sheet(data, "sheet.csv")
            plan_sheet(sheet, Configuration(), NOW.date())

        points.append((size, time_calls(check_and_plan, 1) / 1e3))
    rows = TARGET.teams + TARGET.pools + TARGET.queues + TARGET.jobs
    yield make_series(
        "check_sheet", "sheet/checks.py, plan.py", "rows of a sheet", "ms", rows, points
    )


def _make_sheet(rows: int) -> bytes:
    """Return a sheet of one team, one pool and jobs."""
    columns = (
        "kind,name,day,house,share,request_limit,pool_kind,data_centres,size,budget,"
        "team,pool,schedule,last_day,priority,cores,memory_mb,run_minutes"
    )
    lines = [columns, "sheet,,2026-12-04" + "," * 15]
    lines.append("team,hinge,,sakda,1,400" + "," * 12)
    lines.append("pool,hinge,,,,,workers,dc1 dc2,24,2" + "," * 8)
    for number in range(rows):
        lines.append(
            f"job,job-{number:05},,,,,,,,,hinge,hinge,every 1h,2026-12-31,"
            "batch,2,4000,20"
        )
    return ("\n".join(lines) + "\n").encode()


def measure_records() -> Iterator[Series]:
    """Yield the memory of the instance list as a daemon holds it."""
    points = []
    for size in (700, 1400, 2800, 5600):
        points.append((size, measure_memory(lambda size=size: _make_records(size))))
    yield make_series(
        "list_memory",
        "platform/interface.py InstanceRecord",
        "instances listed",
        "MB",
        TARGET.instances,
        points,
    )


def _make_records(count: int) -> list[InstanceRecord]:
    return [
        InstanceRecord(
            f"pool{number // 24:03}-worker-{number}",
            InstanceKind.WORKER,
            "region" + str(number % 6),
            f"region{number % 6}-dc{number % 22:02}",
            f"region{number % 6}-rack-{number // 4}",
            f"10.1.{number // 250}.{number % 250}:7000",
            InstanceState.LIVE,
            f"pool{number // 24:03}",
            16.0,
            32768,
            2,
        )
        for number in range(count)
    ]
