"""The lease row after orders for many instances."""

from uuid import UUID

import attrs
import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.storage import lease_write, read_lease
from hemlockstand.platform.rows import MAX_ROW_BYTES
from test.fleet_world import SMALL, make_step, open_world


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@pytest.mark.parametrize("number", [400, 800, 1200])
async def test_jobs_go_on_after_orders_for_many_instances(clock, number):
    """Guards against a lease row that is too large for the store.

    The previous scheduler stored its orders within the limits. Its successor
    names the instances twice, with a time.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        jobs = [world.submit(make_step(seconds=2 + part / 4)) for part in range(8)]
        for part, job in enumerate(jobs):
            world.work[job] = SubtaskBehaviour(2 + part / 4, size=SMALL)
        await world.wait_for(lambda: len(world.find_running()) == 8, 3)
        world.stop(daemon)
        await world.wait_for(lambda: not world.lease_holder(), 2)
        record = read_lease(world.store.find("scheduler", "lease"))
        names = tuple(str(UUID(int=position)) for position in range(number))
        value = lease_write(attrs.evolve(record, turned=names)).value
        assert len(value) < MAX_ROW_BYTES
        world.store.put("scheduler", "lease", value)
        world.start_daemon("b")
        await trio.sleep(12)
        assert [world.state(job) for job in jobs] == ["completed"] * 8
        assert world.count_runs() == 8
