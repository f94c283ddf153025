"""Places of lasting subtasks that cannot be had, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from test.fleet_world import (
    LASTING,
    SMALL,
    add_wave,
    make_step,
    open_world,
    read_status,
)
from test.test_fleet_pool_sizes import count_members, fill_executors

LARGE = Resources(12_000, 512)


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


async def test_pool_shrinks_beside_work_that_fits_on_no_instance(clock):
    """Guards against a pool that keeps all its members for hopeless work."""
    async with open_world() as world:
        world.add_instances("pool", 10)
        world.add_instances("standby", 2)
        world.start_daemon("a")
        await trio.sleep(1)
        world.submit(make_step(lasting=True, label="absent"))
        world.submit(make_step())
        await world.wait_for(lambda: count_members(world) < 5, 20)


async def test_pool_shrinks_beside_work_that_standby_cannot_take(clock):
    """Guards against a pool that keeps all members for work that none can take.

    The only instance with the label is full, and none is on standby.
    """
    async with open_world() as world:
        world.add_instances("pool", 10)
        world.add_instances("pool", 1, kind="b")
        world.add_instances("standby", 2)
        world.start_daemon("a")
        await trio.sleep(1)
        world.submit(
            make_step(2, lasting=True, label="b", size=LARGE),
            work=SubtaskBehaviour(LASTING, size=LARGE),
        )
        world.submit(make_step())
        await world.wait_for(lambda: count_members(world) < 6, 20)


async def test_pool_does_not_grow_by_instances_without_a_place(clock):
    """Guards against a pool that takes instances on which its work does not fit.

    The usual instance has room for a subtask, but those on standby are smaller.
    """
    async with open_world() as world:
        world.add_instances("pool", 9)
        world.add_instances("standby", 6, capacity=Resources(8000, 32_768))
        world.start_daemon("a")
        await trio.sleep(1)
        world.submit(make_step())
        world.submit(
            make_step(10, lasting=True, size=LARGE),
            work=SubtaskBehaviour(LASTING, size=LARGE),
        )
        largest = 0
        for _ in range(200):
            await trio.sleep(0.1)
            largest = max(largest, count_members(world))
        assert largest <= 9 + 2


async def test_accelerators_come_from_standby(clock):
    """Guards against lasting work that waits beside instances it fits on.

    The usual instance has no accelerators.
    """
    async with open_world() as world:
        world.add_instances("pool", 4)
        world.add_instances(
            "standby", 2, capacity=Resources(16_000, 32_768, accelerators=4)
        )
        world.start_daemon("a")
        await trio.sleep(1)
        size = Resources(1000, 512, accelerators=1)
        job = world.submit(
            make_step(2, lasting=True, size=size),
            work=SubtaskBehaviour(LASTING, size=size),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 20)


async def test_evacuation_ends_where_members_lack_places(clock):
    """Guards against an evacuation that waits for ever for places elsewhere.

    The other data centre has as many members as the step's limit per executor
    asks for, but other lasting work fills four of these.
    """
    async with open_world() as world:
        world.add_instances("pool", 12, data_centre="dc2")
        world.add_instances("standby", 6, data_centre="dc2")
        world.start_daemon("a")
        await trio.sleep(1)
        await fill_executors(world, 4)
        world.add_instances("pool", 4, data_centre="dc1")
        await trio.sleep(2)
        job = world.submit(
            make_step(12, lasting=True, max_per_executor=1),
            work=SubtaskBehaviour(LASTING, size=SMALL),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 12, 5)
        await trio.sleep(3)
        world.evacuate("dc1")

        def count_left() -> int:
            return sum(
                world.executors[run.executor].data_centre == "dc1"
                for run in world.find_running(job)
            )

        assert count_left() == 4
        await world.wait_for(
            lambda: not count_left() and len(world.find_running(job)) == 12, 60
        )


async def test_waiting_gang_does_not_hold_up_a_wave(clock):
    """Guards against a wave that waits for the places of a gang without room.

    Places for some of a gang's members are of no use to it.
    """
    async with open_world() as world:
        world.add_instances("pool", 4)
        names = list(world.instances.instances)
        world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(
            make_step(4, lasting=True, size=LARGE, max_per_executor=1),
            work=SubtaskBehaviour(LASTING, size=LARGE),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 4, 5)
        world.add_instances("pool", 1)
        await trio.sleep(1)
        world.submit(
            make_step(40, lasting=True, gang=True, size=Resources(4000, 512)),
            work=SubtaskBehaviour(LASTING, size=Resources(4000, 512)),
        )
        await trio.sleep(2)
        add_wave(world, names, maximum=1, seconds=60.0)
        with trio.fail_after(90):
            while "completed" not in read_status(world):
                await trio.sleep(0.1)


async def test_pool_shrinks_beside_large_lasting_runs(clock):
    """Guards against a pool that keeps all members behind a few large runs.

    A member with one large run counts as the one with the least lasting work,
    so it is asked for before those with two small ones, which can be spared.
    """
    large, medium, small = (Resources(cpu, 512) for cpu in (15_000, 12_000, 2000))
    async with open_world() as world:
        world.add_instances("pool", 16)
        world.add_instances("standby", 2)
        world.start_daemon("a")
        await trio.sleep(1)
        work = (
            (make_step(5, lasting=True, size=large), LASTING),
            (make_step(11, 10, size=medium), 10),
            (make_step(22, lasting=True, size=small), LASTING),
        )
        for step, seconds in work:
            job = world.submit(step, work=SubtaskBehaviour(seconds, size=step.size))
            await world.wait_for(
                lambda job=job, step=step: len(world.find_running(job)) == step.count, 5
            )
        await world.wait_for(lambda: count_members(world) < 13, 40)
