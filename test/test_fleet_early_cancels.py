"""Cancels of jobs whose own write arrives later."""

import attrs
import pytest
import trio

from emulator.row_store import RowStoreAccess, RowStoreModel, Transaction
from hemlockstand.fleet.early_cancels import KEEP_SECONDS, EarlyCancels
from hemlockstand.fleet.model import Resources, Tenant
from hemlockstand.fleet.storage import CancelRecord, cancel_write
from hemlockstand.platform.rows import RowWrite
from test.fleet_world import make_config, make_step, open_world
from test.test_fleet_frontend import BODY, JOB, FrontendHarness

FOREIGN = {"Authorization": "Bearer other-key"}
CANCEL_ROW = ("jobs", JOB[-1], f"{JOB}/cancel")


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


def open_frontend(world) -> FrontendHarness:
    """Return a frontend of the world's store, with a second workspace."""
    frontend = FrontendHarness(world.store)
    config = make_config()
    other = Tenant("other", frozenset({"other-key"}), 1.0, Resources())
    frontend.kernel.configuration.current = attrs.evolve(
        config, tenants={**config.tenants, "other": other}
    )
    return frontend


@pytest.mark.parametrize("replaced", ["never", "before the write", "after the write"])
async def test_late_write_of_a_cancelled_job_starts_nothing(clock, replaced):
    """Guards against a run of a job whose cancel was answered with 410.

    The frontend that stores the job gets no answer; the write is applied seconds
    after a cancel at another frontend.
    """
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(3)
        first, second = open_frontend(world), open_frontend(world)
        first.kernel.rows.late_writes = 1000
        assert (await first.call("POST", body=BODY))[0] == 504
        assert (await second.call("DELETE"))[0] == 410
        if replaced == "before the write":
            world.kill(world.daemons["a"])
            world.start_daemon("b")
        await trio.sleep(4)
        assert any(first.kernel.rows.apply_late())
        if replaced == "after the write":
            world.kill(world.daemons["a"])
            world.start_daemon("b")
        await trio.sleep(6)
        assert not world.records
        assert (await second.call("GET")) == (200, {"State": "cancelled"}, None)
        assert (await second.call("DELETE"))[0] == 200


async def test_repeated_submission_of_a_cancelled_job_starts_nothing(clock):
    """Guards against a request that arrives again after the cancel of its job."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(3)
        frontend = open_frontend(world)
        assert (await frontend.call("DELETE"))[0] == 410
        assert (await frontend.call("GET"))[0] == 410
        await frontend.call("POST", body=BODY)
        await trio.sleep(3)
        assert not world.records
        assert (await frontend.call("GET"))[1] == {"State": "cancelled"}


async def test_cancel_of_another_workspace_does_not_apply(clock):
    """Guards against a workspace that cancels jobs which others submit later."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(3)
        frontend = open_frontend(world)
        assert (await frontend.call("DELETE", **FOREIGN))[0] == 410
        await frontend.call("POST", body=BODY)
        await world.wait_for(lambda: world.count_runs(JOB) == 1, 3)
        await world.wait_for(lambda: world.state(JOB) == "running", 3)
        assert (await frontend.call("GET", **FOREIGN))[0] == 410


async def test_cancels_of_two_workspaces_are_both_kept(clock):
    """Guards against an early cancel that another one replaces."""
    async with open_world() as world:
        frontend = open_frontend(world)
        await frontend.call("DELETE")
        await frontend.call("DELETE", **FOREIGN)
        await frontend.call("POST", body=BODY)
        assert (await frontend.call("GET"))[1] == {"State": "cancelled"}


@pytest.mark.parametrize("fault", ["lost answer", "late write", "closed"])
async def test_cancel_is_answered_by_what_is_stored(clock, fault):
    """Guards against "no such job" for a cancel that is not stored."""
    frontend = FrontendHarness()
    rows = frontend.kernel.rows
    match fault:
        case "lost answer":
            rows.lost_answers = 1
            expected = 410
        case "late write":
            rows.late_writes = 1000
            expected = 504
        case _:
            rows.closed = True
            expected = 503
    assert (await frontend.call("DELETE"))[0] == expected
    assert (CANCEL_ROW in frontend.model.rows) == (expected == 410)


async def test_old_cancels_are_removed(clock):
    """Guards against rows that stay for good after cancels of unknown jobs.

    A cancel whose job has come meanwhile is kept with the job.
    """
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(3)
        frontend = open_frontend(world)
        await frontend.call("DELETE")
        row = world.store.rows[CANCEL_ROW]
        await trio.sleep(5)
        await frontend.call("DELETE")
        assert world.store.rows[CANCEL_ROW] == row
        await trio.sleep(KEEP_SECONDS)
        assert CANCEL_ROW not in world.store.rows
        await frontend.call("POST", body=BODY)
        await world.wait_for(lambda: world.count_runs(JOB) == 1, 3)


async def test_job_that_comes_as_its_cancel_is_removed(clock):
    """Guards against an error that ends the scheduler's term."""
    rows = RowStoreAccess(RowStoreModel())
    cancels = EarlyCancels(rows)
    cancels.add(JOB, CancelRecord(0))
    rows.call_seconds = 0.5
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancels._remove, JOB)
        await trio.sleep(0.2)
        rows.model.apply(Transaction((RowWrite("jobs", JOB, b"", JOB[-1]),), (), ()))
        cancels.discard(JOB)
    assert cancels.find(JOB) is None


@pytest.mark.parametrize("value", [b"1796601064629", b"", b"[" * 4000])
async def test_cancel_of_an_earlier_version_applies(clock, value):
    """Guards against a cancel without tenants that no longer counts."""
    async with open_world() as world:
        world.add_executor()
        world.start_daemon("a")
        job = world.submit(make_step(seconds=20))
        row = cancel_write(job, CancelRecord())
        write = RowWrite(row.table, row.key, value, row.part)
        world.store.apply(Transaction((write,), (), ()))
        await world.wait_for(lambda: world.state(job) == "cancelled", 5)
        await world.wait_for(lambda: not world.find_running(job), 5)
