"""Jobs and fleets whose rows outgrow a row or a transaction of the store."""

import json

import pytest
import trio
from attrs import evolve

from emulator import row_store
from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from emulator.row_store import MAX_VALUE_BYTES, Transaction
from hemlockstand.fleet import changes
from hemlockstand.fleet.bit_sets import decode_bits, encode_bits, find_bits
from hemlockstand.fleet.changes import (
    Batch,
    ExpiryChange,
    KnownExecutorsChange,
    StatusChange,
    fits_alone,
)
from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.model import JobSpec, JobState, JobStatus, Pool, Resources, Wave
from hemlockstand.fleet.split_rows import (
    decode_known_executors,
    decode_waves,
    known_executors_writes,
    wave_writes,
)
from hemlockstand.fleet.storage import (
    WaveRecord,
    attempts_write,
    group_job_rows,
    job_write,
    status_write,
)
from hemlockstand.platform.rows import RowWrite, make_stored_row
from test.fleet_world import (
    LASTING,
    SMALL,
    make_config,
    make_step,
    open_world,
    read_status,
)

JOB = "00000000000000d2"
TINY = Resources(1, 1)
MAX_SUBTASKS = 20_000
SMALL_ROW_BYTES = 6_000  # a limit that a thousand subtasks reach


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


@pytest.fixture
def small_rows(monkeypatch):
    """A store that accepts small rows only, so that fewer subtasks are needed."""
    monkeypatch.setattr(row_store, "MAX_VALUE_BYTES", SMALL_ROW_BYTES)


async def complete_other_job(world, seconds: float = 8) -> None:
    """Submit a small job and wait until it has completed."""
    job = world.submit(make_step(2), work=SubtaskBehaviour(0.2, size=SMALL))
    await world.wait_for(lambda: world.state(job) == "completed", seconds)


# ---- the rows of one job ----


def add_job(*steps, **values) -> tuple[JobRegistry, JobSpec]:
    """Return a registry with a job."""
    spec = JobSpec(JOB, "queue", "pool", "team", "", steps, **values)
    registry = JobRegistry()
    registry.add(spec, 1, None, 0.0, 1_000_000_000)
    return registry, spec


def list_rows(registry: JobRegistry) -> list[RowWrite]:
    """Return the rows of the job's progress, as the scheduler stores them."""
    job = registry.jobs[JOB]
    blocks = sorted(block for _, block in registry.dirty_blocks)
    return [
        status_write(JOB, job.make_status()),
        *(attempts_write(JOB, block, job.make_attempts(block)) for block in blocks),
    ]


def load_job(spec: JobSpec, rows: list[RowWrite]) -> JobRegistry:
    """Return the registry of a scheduler that reads the rows."""
    stored = [make_stored_row(row, 2) for row in [job_write(spec), *rows]]
    found, unreadable = group_job_rows(stored)
    assert not unreadable
    registry = JobRegistry()
    rows = found[JOB]
    registry.add(spec, 1, rows.status, 0.0, 1_000_000_000, rows.attempts)
    return registry


@pytest.mark.parametrize(
    ("count", "repeats"), [(1, MAX_SUBTASKS), (MAX_SUBTASKS, 0), (4, 5_000)]
)
def test_progress_of_the_largest_job_fits_into_rows(count, repeats):
    """Guards against a row that the store refuses, with the scheduler's lease.

    Every other subtask is done; the rest has failed once and crashed executors.
    """
    registry, spec = add_job(make_step(count), repeats=repeats)
    job = registry.jobs[JOB]
    for step_run in list(job.steps.values()):
        registry.announce(step_run, "pool")
        for subtask in step_run.subtasks:
            if subtask.position % 2:
                registry.set_done(subtask, 1.0, 1)
            else:
                registry.add_failure(subtask, 1_000_001, 3, 1)
                registry.add_crash(subtask)
    rows = list_rows(registry)
    assert max(len(row.value) for row in rows) <= MAX_VALUE_BYTES // 2
    found = load_job(spec, rows).jobs[JOB]
    assert found.done == job.done
    assert found.announced == job.announced
    for subtask in found.subtasks():
        done = bool(subtask.position % 2)
        assert subtask.done == done
        assert subtask.failures == (set() if done else {1_000_001})
        assert subtask.crashes == (0 if done else 1)


def test_high_positions_of_a_large_step_are_stored():
    """Guards against a set of positions that is too long as a decimal number."""
    registry, spec = add_job(make_step(MAX_SUBTASKS))
    last = next(iter(registry.jobs[JOB].steps.values())).subtasks[-1]
    registry.set_done(last, 1.0, 1)
    found = load_job(spec, list_rows(registry)).jobs[JOB]
    assert [task.position for task in found.subtasks() if task.done] == [last.position]


@pytest.mark.parametrize("positions", [[], [0], [7, 8], [0, 19_999]])
def test_set_of_positions_round_trip(positions):
    """Guards against positions that are lost or added when a set is stored."""
    bits = sum(1 << position for position in positions)
    assert decode_bits(encode_bits(bits)) == bits
    assert list(find_bits(bits)) == positions


@pytest.mark.parametrize("field", ["done_bits", "announced_bits"])
@pytest.mark.parametrize("text", ["?", "A", "é"])
def test_malformed_set_of_positions_makes_a_job_unreadable(field, text):
    """Guards against a status that ends each scheduler in turn."""
    spec = JobSpec(JOB, "queue", "pool", "team", "", (make_step(MAX_SUBTASKS),))
    value = json.dumps({"state": "running", field: text}).encode()
    rows = [job_write(spec), RowWrite("states", JOB, value)]
    found, unreadable = group_job_rows(make_stored_row(row) for row in rows)
    assert (list(found), list(unreadable)) == ([], [JOB])


@pytest.mark.parametrize("count", [3, 700])
def test_status_of_an_earlier_version_is_read(count):
    """Guards against subtasks that run again after an upgrade.

    An earlier version stored a key for each step, and all failures with the
    status.
    """
    registry, spec = add_job(make_step(count))
    status = JobStatus(
        JobState.RUNNING,
        {"0.0": 0b11},
        {f"0.0.{count - 1}": (7,)},
        ("0.0",),
        crashes={"0.0.2": 1},
    )
    loaded = load_job(spec, [status_write(JOB, status)])
    subtasks = list(loaded.jobs[JOB].subtasks())
    assert [task.index for task in subtasks if task.done] == [0, 1]
    assert subtasks[-1].failures == {7}
    assert subtasks[2].crashes == 1
    assert loaded.jobs[JOB].steps[0, 0].inherited
    again = load_job(spec, list_rows(loaded))
    subtasks = list(again.jobs[JOB].subtasks())
    assert [task.index for task in subtasks if task.done] == [0, 1]
    assert subtasks[-1].failures == {7}


# ---- the scheduler beside a store with limits ----


async def test_long_schedule_stops_no_other_job(clock, small_rows):
    """Guards against a job that repeats until the scheduler loses its lease."""
    count = 1_000
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(1, 0.05, size=TINY),
            work=SubtaskBehaviour(0.05, size=TINY),
            repeats=count,
            interval_ms=5,
        )
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        assert world.count_runs(job) == count
        await complete_other_job(world)
        world.check_runs()


async def test_large_job_goes_on_after_a_takeover(clock, small_rows):
    """Guards against subtasks that run again, or are forgotten, by a takeover."""
    count = 900
    async with open_world() as world:
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(count, 0.5, size=Resources(20, 20)),
            work=SubtaskBehaviour(0.5, size=Resources(20, 20)),
        )
        done = "done_bits"
        await world.wait_for(
            lambda: len(read_job_status(world, job).get(done, "")) > 20, 10
        )
        world.kill(first)
        world.start_daemon("b")
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        assert world.count_runs(job) == count
        world.check_runs()


async def test_failures_of_a_large_job_count_over_a_takeover(clock, small_rows):
    """Guards against attempts beyond the limit, and rows that nothing removes."""
    count, failing = 300, 250
    async with open_world() as world:
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        size = Resources(20, 20)
        job = world.submit(
            make_step(count, size=size), work=SubtaskBehaviour(LASTING, size=size)
        )
        name = f"{job}.0.0.{failing}"
        world.work[name] = SubtaskBehaviour(0.3, fails=True, size=size)
        await world.wait_for(lambda: list_attempts(world), 5)
        world.kill(first)
        world.start_daemon("b")
        await world.wait_for(lambda: world.state(job) == "failed", 10)
        assert world.count_runs(name) == 2
        await world.wait_for(lambda: not list_attempts(world), 3)


async def test_attempts_of_an_ended_job_are_removed(clock):
    """Guards against rows that stay when a scheduler ends before it removes them."""
    async with open_world() as world:
        world.add_executor()
        value = b'{"failures":{"0.0.200":[1]}}'
        ended = world.submit(make_step(300))
        status = status_write(ended, JobStatus(JobState.COMPLETED, ended_ms=2**50))
        orphans = [
            RowWrite("attempts", f"{job}/1", value)
            for job in (ended, "00000000000000aa")
        ]
        world.store.apply(Transaction((status, *orphans), (), ()))
        world.start_daemon("a")
        await world.wait_for(lambda: not list_attempts(world), 5)
        assert world.state(ended) == "completed"


async def test_job_whose_status_is_refused_fails_alone(clock):
    """Guards against a row that the store refuses for any reason.

    The lease is in the same transaction, so every scheduler would lose it.
    """
    async with open_world() as world:
        world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(3, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        daemon.rows.refuses = lambda write: (
            write.key == job and b"announced" in (write.value)
        )
        others = [world.submit(make_step(2)) for _ in range(5)]
        for other in others:
            await world.wait_for(
                lambda other=other: world.state(other) == "completed", 8
            )
        await world.wait_for(lambda: world.state(job) == "failed", 5)
        await trio.sleep(3)
        assert world.lease_holder() == "a"
        assert not world.find_running()


async def test_ends_wait_for_what_replaces_a_given_up_change(clock, monkeypatch):
    """Guards against ends that are forgotten before their job is stored as failed."""
    async with open_world() as world:
        world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        registry = daemon.leader.state.registry
        registry.dirty.add(job)
        monkeypatch.setattr(changes, "MAX_ROW_BYTES", 30)
        batch, complete = daemon.leader._commits._collect()
        assert not batch.list_jobs()
        assert not complete
        assert job in registry.dirty
        monkeypatch.undo()
        await world.wait_for(lambda: world.state(job) == "failed", 5)
        await world.wait_for(lambda: not world.find_running(job), 5)


async def test_lease_is_released_beside_a_refused_row(clock):
    """Guards against a stop after which other daemons wait for the lease."""
    async with open_world() as world:
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        first.rows.refuses = lambda write: write.table == "states"
        world.submit(make_step(3))
        await trio.sleep(0.3)
        world.stop(first)
        await world.wait_for(lambda: world.lease_holder() == "", 2)


# ---- the fleet beside a store with limits ----


async def test_many_pools_fit_into_transactions(clock):
    """Guards against a first transaction with a row for each of many pools."""
    count = 150
    async with open_world() as world:
        pools = {
            f"p{number}": Pool(f"p{number}", True, False) for number in range(count)
        }
        config = make_config()
        config.pools.update(pools)
        world.configuration.current = config
        for pool in pools:
            world.add_executor(pool)
        world.add_executor()
        world.start_daemon("a")
        await complete_other_job(world)
        stored = world.store.select("scheduler", "roster/", "roster0", "")
        assert len(stored) == count + 1


def add_distant_executors(world, count: int) -> list[ExecutorModel]:
    """Add executors at long addresses."""
    models = [world.add_executor() for _ in range(count)]
    for model in models:
        entry = json.loads(model.entry()) | {"Address": f"{'a' * 200}:1"}
        world.store.put("servers", model.id, json.dumps(entry).encode())
    return models


async def test_executors_of_a_large_pool_are_stored(clock):
    """Guards against executors that do not fit into a row, or stay in one."""
    count = 400
    async with open_world() as world:
        lost = add_distant_executors(world, count)
        first = world.start_daemon("a")
        await trio.sleep(3)
        world.add_executor()
        await complete_other_job(world)
        found = decode_known_executors(list_scheduler_rows(world))
        assert len(found["pool"]) == count + 1
        world.kill(first)
        for model in lost:
            model.unresponsive = True
            world.store.remove("servers", model.id)
        world.start_daemon("b")
        await trio.sleep(15)
        await complete_other_job(world)
        found = decode_known_executors(list_scheduler_rows(world))
        assert len(found["pool"]) == 1


def test_pool_with_an_unreadable_row_is_unknown():
    """Guards against executors that are forgotten with one of several rows."""
    addresses = {f"i-{number}": "a" * 200 for number in range(400)}
    rows = [make_stored_row(row) for row in known_executors_writes("p/1", addresses)]
    assert len(rows) > 1
    assert decode_known_executors(rows) == {"p/1": addresses}
    for broken in range(len(rows)):
        changed = list(rows)
        changed[broken] = evolve(rows[broken], value=b"[]")
        assert decode_known_executors(changed) == {"p/1": None}


NAMES = tuple(f"m-{number:04}-{'n' * 32}" for number in range(1_500))


async def test_large_wave_completes(clock):
    """Guards against a wave whose progress does not fit into a row."""
    async with open_world() as world:
        world.add_executor()
        world.configuration.waves[1] = Wave(1, NAMES, 60.0, 4)
        world.start_daemon("a")
        await world.wait_for(lambda: "completed" in read_status(world), 10)
        await complete_other_job(world)
        assert decode_waves(list_scheduler_rows(world))[1].returned == NAMES


def test_progress_of_a_large_wave_round_trip():
    """Guards against instances that are maintained again after a takeover."""
    wave = Wave(7, NAMES, 60.0, 4)
    record = WaveRecord(5, NAMES[:1_400], NAMES[:1_000], NAMES[:700])
    writes = wave_writes(wave, record, False)
    rows = [make_stored_row(row) for row in writes if row.table == "scheduler"]
    assert max(len(row.value) for row in rows) <= MAX_VALUE_BYTES
    assert decode_waves(rows) == {7: record}
    for broken in range(len(rows)):
        changed = list(rows)
        changed[broken] = evolve(rows[broken], value=b"[]")
        assert decode_waves(changed) == {7: None}


def list_scheduler_rows(world) -> list:
    """Return the rows of the scheduler's table."""
    return world.store.select("scheduler", "", "", "")


def read_job_status(world, job: str) -> dict:
    """Return the status row of a job."""
    row = world.store.find("states", job)
    return {} if row is None else json.loads(row.value)


def list_attempts(world) -> list[str]:
    """Return the keys of the rows with failures and crashes."""
    return [row.key for row in world.store.select("attempts", "", "", "")]


def test_batch_keeps_the_limits_of_the_store():
    """Guards against a transaction that is refused for its size."""
    status = JobStatus(JobState.RUNNING, {str(key): 1 for key in range(3_000)})
    batch = Batch()
    number = 0
    while batch.add(StatusChange(f"{number:016x}", status, 0)):
        number += 1
    assert 10 < number < 40
    assert not Transaction(tuple(batch.writes), (), ()).find_excess()
    batch = Batch()
    number = 0
    while batch.add(ExpiryChange(f"{number:016x}")):
        number += 1
    assert number == 98
    large = JobStatus(JobState.RUNNING, {str(key): 1 for key in range(9_000)})
    assert not fits_alone(StatusChange(JOB, large, 0))
    assert not fits_alone(KnownExecutorsChange("p" * 200, {}, 1))
    assert fits_alone(KnownExecutorsChange("p" * 190, {}, 1))
