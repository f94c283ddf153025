"""Rows that a scheduler cannot decode are left out, and other jobs go on."""

import json

import attrs
import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from emulator.row_store import RowStoreAccess, RowStoreModel, Transaction
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.model import JobSpec, Pool, StartOrder, Wave
from hemlockstand.fleet.storage import (
    JOBS_TABLE,
    OPERATOR_TABLE,
    SCHEDULER_TABLE,
    STATES_TABLE,
    encode_compact,
    group_job_rows,
    job_part,
)
from hemlockstand.platform.rows import RowWrite, StoredRow
from test.fleet_world import LASTING, SMALL, make_step, open_world
from test.test_fleet_frontend import StubKernel

JOB = "00000000000000aa"
SPEC = JobSpec(JOB, "queue", "pool", "team", "payload", (make_step(),))
# Deeper than any decoder follows, once cut short and once well formed.
CUT_NESTING = b"[" * 4_000
NESTING = b'{"a": ' * 4_000 + b"5" + b"}" * 4_000
GARBAGE = (
    b"\xff\x00",
    b"[]",
    b"{}",
    b'{"state": 5, "id": 5}',
    b"",
    CUT_NESTING,
    NESTING,
)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def encode_spec(**values) -> bytes:
    """Return the row of a job with other values of its fields."""
    return json.dumps(json.loads(encode_compact(SPEC)) | values).encode()


def encode_step(**values) -> bytes:
    """Return the row of a job whose step has other values of its fields."""
    body = json.loads(encode_compact(SPEC))
    body["steps"][0] |= values
    return json.dumps(body).encode()


def put(world, table: str, key: str, value: bytes, part: str = "") -> None:
    """Write a row as a faulty program would."""
    world.store.apply(Transaction((RowWrite(table, key, value, part),), (), ()))


async def complete_job(world, seconds: float = 8) -> None:
    """Submit a job and wait until it has completed."""
    job = world.submit(make_step(2), work=SubtaskBehaviour(0.2, size=SMALL))
    await world.wait_for(lambda: world.state(job) == "completed", seconds)


async def check_other_jobs(world, write) -> None:
    """Check that jobs complete beside a row that ``write`` stores.

    It is stored before a scheduler loads the rows, while one leads, and before
    its successor loads them.
    """
    world.add_executor()
    write()
    first = world.start_daemon("a")
    await complete_job(world)
    write()
    await trio.sleep(0.5)
    await complete_job(world)
    world.store.forget_history()
    await trio.sleep(1.5)
    await complete_job(world)
    world.kill(first)
    write()
    world.start_daemon("b")
    await complete_job(world, 20)
    assert world.lease_holder() == "b"
    world.check_runs()


@pytest.mark.parametrize(
    "value",
    [
        *GARBAGE,
        encode_spec(id="00000000000000bb"),
        encode_spec(steps=[]),
        encode_spec(repeats=20_001),
        encode_spec(repeats=1, start_at_ms=10**400),
        encode_step(after=[0]),
        encode_step(after=[-1]),
        encode_step(count=0),
        encode_step(estimate_ms=10**400),
        encode_step(size={"cpu_millis": -5}),
    ],
)
async def test_malformed_row_of_a_job_is_left_out(clock, value):
    """Guards against a job row that ends each scheduler in turn.

    Also a row that can be decoded may hold values that no frontend stores.
    """
    async with open_world() as world:
        await check_other_jobs(
            world, lambda: put(world, JOBS_TABLE, JOB, value, job_part(JOB))
        )
        assert world.count_runs(JOB) == 0


async def test_malformed_key_of_a_job_is_left_out(clock):
    """Guards against a key that is no job id, with and without a kind."""
    async with open_world() as world:

        def write() -> None:
            for key in ("x.y", "/cancel", f"{JOB}/other", "job/"):
                put(world, JOBS_TABLE, key, encode_spec(), "a")

        await check_other_jobs(world, write)


@pytest.mark.parametrize("value", GARBAGE)
async def test_job_with_a_malformed_status_is_not_run_again(clock, value):
    """Guards against a status row that ends schedulers, or is taken for none.

    The job may have ended, so a scheduler that cannot read its status must not
    start it.
    """
    async with open_world() as world:
        put(world, JOBS_TABLE, JOB, encode_spec(), job_part(JOB))
        await check_other_jobs(world, lambda: put(world, STATES_TABLE, JOB, value))
        assert world.count_runs(JOB) == 0


async def test_cancel_counts_whatever_its_row_holds(clock):
    """Guards against a cancel that is lost because its row is malformed."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        job = world.submit(make_step(), work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: world.find_running(job), 5)
        put(world, JOBS_TABLE, f"{job}/cancel", b"\xff", job_part(job))
        await world.wait_for(lambda: not world.find_running(job), 5)
        assert world.state(job) == "cancelled"


def test_value_that_the_store_returns_broken_is_unreadable():
    """Guards against a status that counts as absent, so that its job runs again."""
    spec = StoredRow(JOBS_TABLE, "a", JOB, encode_compact(SPEC), 3)
    broken = StoredRow(STATES_TABLE, "", JOB, None, 4)
    removed = StoredRow(STATES_TABLE, "", JOB, None, 4, dropped=True)
    readable, unreadable = group_job_rows([spec, broken])
    assert (list(readable), list(unreadable)) == ([], [JOB])
    readable, unreadable = group_job_rows([spec, removed])
    assert (list(readable), list(unreadable)) == ([JOB], [])


@pytest.mark.parametrize("value", [*GARBAGE, b'{"i-1": 5}'])
async def test_malformed_row_of_known_executors_is_left_out(clock, value):
    """Guards against a row of executors that ends each scheduler in turn."""
    async with open_world() as world:

        def write() -> None:
            for pool in ("pool", "gone"):
                put(world, SCHEDULER_TABLE, f"roster/{pool}", value)

        await check_other_jobs(world, write)


async def test_unreadable_known_executors_count_as_lost(clock):
    """Guards against a second run on an executor that the row names.

    The next scheduler cannot reach it, and does not know that it exists.
    """
    async with open_world() as world:
        lost = world.add_executor()
        first = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        await trio.sleep(1)
        world.kill(first)
        world.store.remove("servers", lost.id)
        put(world, SCHEDULER_TABLE, "roster/pool", b"[]")
        world.add_executor()
        world.start_daemon("b")
        await world.wait_for(lambda: world.count_runs(job) == 2, 12)
        world.check_runs()


@pytest.mark.parametrize("key", ["wave/1", "wave/one", "wave/"])
@pytest.mark.parametrize("value", GARBAGE)
async def test_malformed_row_of_a_wave_is_left_out(clock, key, value):
    """Guards against a row of a wave's progress that ends schedulers.

    The wave is not planned: how many of its instances are down is not known.
    """
    async with open_world() as world:
        world.add_instances("pool", 4)
        names = tuple(world.instances.instances)
        if key == "wave/1":
            world.configuration.waves[1] = Wave(1, names, 60.0, 1)
        put(world, SCHEDULER_TABLE, key, value)
        await check_other_jobs(world, lambda: put(world, SCHEDULER_TABLE, key, value))
        states = {entry.state for entry in world.instances.instances.values()}
        assert states == {"up"}


@pytest.mark.parametrize("name", ["", "x", "x.0.0.0", "{}.0.0.99", "{}.9.9.9", "{}.a"])
async def test_run_of_no_subtask_is_stopped(clock, name):
    """Guards against an executor's list that ends each scheduler in turn.

    It holds a run and an end with a name that is no known subtask.
    """
    async with open_world() as world:
        executor = world.add_executor()
        world.start_daemon("a")
        await complete_job(world)
        job = world.submit(make_step(lasting=True))
        report_run(executor, name.format(job))
        await trio.sleep(1)
        await complete_job(world)


async def test_run_with_a_negative_index_is_stopped(clock):
    """Guards against an index that counts from the end, or beyond it."""
    async with open_world() as world:
        executor = world.add_executor()
        world.start_daemon("a")
        await complete_job(world)
        job = world.submit(make_step(lasting=True))
        report_run(executor, f"{job}.0.0.-99")
        await trio.sleep(1)
        await complete_job(world)


def report_run(executor, name: str) -> None:
    """Let an executor list a run and an end with a name."""
    executor.begin(StartOrder(name, 1, "", executor.clock_ms + 60_000, executor.fence))
    executor.begin(
        StartOrder(name + "0", 1, "", executor.clock_ms + 60_000, executor.fence)
    )
    executor.stop(name + "0", 1)


def encode_entry(**values) -> bytes:
    """Return an executor's row with other values of its fields."""
    entry = {"Backend": "pool", "Address": "i-faulty:1", "State": "ready"}
    return json.dumps(entry | values).encode()


@pytest.mark.parametrize(
    "value",
    [
        *GARBAGE,
        b'{"Address": "10.0.0.1"}',
        encode_entry(Address="i-faulty:70000"),
        encode_entry(Address="a" * 60_000 + ":1"),
        encode_entry(Backend="service " * 30),
        encode_entry(born=10**400),
        encode_entry(Capacity={"Cpu": 10**400}),
        encode_entry(State="?").replace(b'"?"', b"[" * 900 + b"]" * 900),
    ],
)
async def test_malformed_row_of_an_executor_is_left_out(clock, value):
    """Guards against an executor's row that ends each scheduler in turn.

    It may be nested so deeply that it cannot be decoded, or be decoded but not
    be written to the log.
    """
    async with open_world() as world:
        await check_other_jobs(world, lambda: put(world, "servers", "i-faulty", value))


async def test_executors_of_unknown_services_are_left_out(clock):
    """Guards against entries whose services do not fit into a transaction.

    The scheduler stores the executors that may have runs with its lease, in a
    row for each service, and the store refuses transactions of many rows.
    """
    async with open_world() as world:

        def write() -> None:
            for number in range(120):
                entry = encode_entry(Backend=f"other {number}")
                put(world, "servers", f"i-other-{number}", entry)

        await check_other_jobs(world, write)
        rows = world.store.select("scheduler", "roster/", "roster0", "")
        assert [row.key for row in rows] == ["roster/pool"]


async def test_executor_of_a_later_service_takes_work(clock):
    """Guards against an executor that stays unused once its service is known."""
    async with open_world() as world:
        config = world.configuration.current
        world.configuration.current = attrs.evolve(
            config, version=1, pools={"standby": config.pools["standby"]}
        )
        world.add_executor()
        world.start_daemon("a")
        job = world.submit(make_step(), work=SubtaskBehaviour(0.2, size=SMALL))
        await trio.sleep(3)
        assert world.state(job) == "queued"
        world.configuration.current = attrs.evolve(config, version=2)
        await world.wait_for(lambda: world.state(job) == "completed", 3)


async def test_runs_of_a_dropped_service_are_kept_over_a_takeover(clock):
    """Guards against a second run beside one of a service that was dropped.

    Its executor is not used for new work, but its runs go on.
    """
    async with open_world() as world:
        world.add_executor("old")
        world.add_executor()
        config = world.configuration.current
        pools = config.pools | {"old": Pool("old", True, False)}
        queues = (attrs.evolve(config.queues[0], pool="old"),)
        world.configuration.current = attrs.evolve(config, pools=pools, queues=queues)
        first = world.start_daemon("a")
        job = world.submit(
            make_step(3, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 3, 5)
        world.configuration.current = attrs.evolve(config, version=2)
        await trio.sleep(1)
        world.kill(first)
        world.start_daemon("b")
        await trio.sleep(15)
        assert {run.executor for run in world.find_running(job)} == {"i-1"}
        assert world.count_runs(job) == 3
        world.check_runs()


@pytest.mark.parametrize("key", ["config", "wave/1", "wave/", "other"])
@pytest.mark.parametrize(
    "value",
    [
        *GARBAGE,
        b'{"Wave": -1, "ConfigVersion": "x"}',
        b'{"Wave": 1, "DurationS": 1' + b"0" * 400 + b"}",
    ],
)
async def test_malformed_row_of_the_operator_is_left_out(clock, key, value):
    """Guards against a row of the operator that ends every daemon."""
    model = RowStoreModel()
    model.put(OPERATOR_TABLE, key, value)
    kernel = StubKernel(RowStoreAccess(model))
    service = FleetConfigurationService(kernel)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.run)
        await trio.sleep(0.5)
        model.put(OPERATOR_TABLE, key, value)
        await trio.sleep(0.5)
        model.put(OPERATOR_TABLE, "config", b'{"ConfigVersion": 3}')
        model.put(
            OPERATOR_TABLE,
            "wave/2",
            b'{"Wave": 2, "Machines": ["m-1"], "DurationS": 9, "Maximum": 1}',
        )
        await trio.sleep(1)
        assert service.current.version == 3
        assert list(service.waves) == [2]
        nursery.cancel_scope.cancel()
