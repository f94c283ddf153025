"""What a new scheduler reads from the store, and the lease meanwhile."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from emulator.row_store import Transaction
from hemlockstand.fleet.commits import KEEP_FACTOR
from hemlockstand.fleet.lease import InstanceOrders
from hemlockstand.fleet.model import JobState, JobStatus
from hemlockstand.fleet.storage import expired_keys, read_lease, status_write
from test.fleet_world import SMALL, make_settings, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def read_epoch(world) -> int:
    """Return how many schedulers there have been."""
    row = world.store.find("scheduler", "lease")
    return read_lease(row).epoch


@pytest.mark.parametrize(("failing", "slow_seconds"), [(True, 0.0), (False, 3.0)])
async def test_loading_scheduler_keeps_its_lease(clock, failing, slow_seconds):
    """Guards against schedulers that replace each other while they load.

    Loading took longer than the lease, so each new scheduler lost it and the
    next one started to load.
    """
    async with open_world() as world:
        world.add_executor()
        job = world.submit(make_step(2))
        for name in ("a", "b", "c"):
            rows = world.start_daemon(name).rows
            rows.slow_tables["jobs"] = slow_seconds
            if failing:
                rows.failing_tables.add("jobs")
        await trio.sleep(8)
        assert read_epoch(world) == 1
        for daemon in world.daemons.values():
            daemon.rows.failing_tables.clear()
        await world.wait_for(lambda: world.state(job) == "completed", 4)


async def test_renewal_keeps_the_orders_of_the_previous_scheduler(clock):
    """Guards against orders of two holders for an instance at the same time.

    A renewal while loading removed the open orders from the lease row.
    """
    async with open_world() as world:
        world.start_daemon("a")
        await trio.sleep(1)
        lease = world.daemons["a"].leader.state.lease
        orders = InstanceOrders(("m-1",), ("m-2",))
        await lease.commit(orders=orders)
        await lease.renew()
        record = read_lease(world.store.find("scheduler", "lease"))
        assert (record.ordered, record.turned) == (("m-1",), ("m-2",))


async def test_expired_job_never_runs_again(clock, monkeypatch):
    """Guards against a finished job that is loaded as one not started.

    Its status row went first, and the job's row stayed when the store failed
    before the second removal.
    """
    monkeypatch.setattr("time.time", trio.current_time)
    keep_seconds = make_settings("a").bounds.status_s * KEEP_FACTOR
    async with open_world() as world:
        world.add_executor()
        first = world.start_daemon("a")
        job = world.submit(make_step(1), work=SubtaskBehaviour(0.5, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        first.rows.failing_removals = True
        await trio.sleep(keep_seconds + 5)
        world.kill(first)
        world.start_daemon("b")
        await trio.sleep(10)
        assert world.count_runs(job) == 1
        assert world.store.find("states", job) is None
        assert not world.store.select("jobs", job, "", job[-1])


async def test_status_row_without_a_job_is_removed(clock):
    """Guards against rows that no scheduler ever removes."""
    job = "00000000000000c1"
    async with open_world() as world:
        world.add_executor()
        status = status_write(job, JobStatus(JobState.COMPLETED, ended_ms=1))
        world.store.apply(Transaction((status,), (), expired_keys(job)))
        world.start_daemon("a")
        await trio.sleep(3)
        assert world.store.find("states", job) is None


async def test_job_that_expires_while_jobs_are_read_never_runs_again(
    clock, monkeypatch
):
    """Guards against a finished job that is read without its status.

    The history was dropped, so the jobs are read again. The job's row is read
    before it expires, and the status rows, which are slow, only after.
    """
    monkeypatch.setattr("time.time", trio.current_time)
    keep_seconds = make_settings("a").bounds.status_s * KEEP_FACTOR
    async with open_world() as world:
        world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(make_step(1), work=SubtaskBehaviour(0.5, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        await trio.sleep(keep_seconds - 2)
        daemon.rows.slow_tables["states"] = 4.0
        world.store.forget_history()
        await trio.sleep(10)
        assert world.count_runs(job) == 1
        assert world.store.find("states", job) is None
