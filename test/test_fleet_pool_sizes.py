"""Sizes of pools at the start of a peak and after a takeover, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind, Resources
from test.fleet_world import (
    LASTING,
    SMALL,
    add_wave,
    make_step,
    open_world,
    read_status,
)

INSTANCES = 10
# An order that is planned at once is accepted within this time.
WATCHED_SECONDS = 1.2
# Lasting work must run again within this time.
LASTING_SECONDS = 6


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


def count_members(world) -> int:
    """Return how many instances the pool has."""
    instances = world.instances.instances.values()
    return sum(instance.pool == "pool" for instance in instances)


async def find_smallest_size(world, seconds: float) -> int:
    """Return the smallest size of the pool in the next seconds."""
    smallest = count_members(world)
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        await trio.sleep(0.05)
        smallest = min(smallest, count_members(world))
    return smallest


async def test_first_job_does_not_shrink_its_pool(clock):
    """Guards against a pool that shrinks when the first peak of its queue begins.

    The operator's size was given up with the first job, and the jobs behind it
    waited for instances to come back.
    """
    async with open_world() as world:
        world.add_instances("pool", INSTANCES)
        world.add_instances("standby", 2)
        world.start_daemon("a")
        # Work that lasts says nothing of the peak.
        lasting = SubtaskBehaviour(LASTING, size=SMALL)
        world.submit(make_step(lasting=True), work=lasting)
        await trio.sleep(3)
        world.submit(make_step(), accepted_ms=int(trio.current_time() * 1000))
        assert await find_smallest_size(world, WATCHED_SECONDS) == INSTANCES
        # With no more jobs it shrinks after all.
        await world.wait_for(lambda: count_members(world) < INSTANCES, 6)


async def test_takeover_does_not_shrink_a_pool_in_use(clock):
    """Guards against a new scheduler that shrinks a pool by wrong estimates.

    The subtasks take 16 times their estimates, which only the previous
    scheduler has learned.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.add_instances("standby", INSTANCES)
        first = world.start_daemon("a")
        await trio.sleep(1)

        async def submit_forever():
            while True:
                world.submit(
                    make_step(16, 0.1),
                    work=SubtaskBehaviour(1.6, size=SMALL),
                    accepted_ms=int(trio.current_time() * 1000),
                )
                await trio.sleep(0.3)

        world.nursery.start_soon(submit_forever)
        await trio.sleep(10)
        size = count_members(world)
        assert size > 4
        world.start_daemon("b")
        world.kill(first)
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        smallest = await find_smallest_size(world, WATCHED_SECONDS)
        assert smallest >= size


async def fill_executors(world, number: int, seconds: float = LASTING) -> None:
    """Fill executors with subtasks of another job, four on each."""
    large = Resources(4000, 512)
    lasting = seconds == LASTING
    job = world.submit(
        make_step(4 * number, 1 if lasting else seconds, size=large, lasting=lasting),
        work=SubtaskBehaviour(seconds, size=large),
    )
    await world.wait_for(lambda: len(world.find_running(job)) == 4 * number, 3)


def submit_spread(world) -> str:
    """Submit a lasting step whose limit per executor asks for 12 instances."""
    return world.submit(
        make_step(24, lasting=True, max_per_executor=2),
        work=SubtaskBehaviour(LASTING, size=SMALL),
    )


async def test_pool_keeps_the_places_of_lasting_work(clock):
    """Guards against a pool that spares members whose lasting work has no other place.

    By its limit per executor the step needs 12 instances, and other work filled
    four of these. Subtasks ran on instances that were reserved for standby for
    ever, and waited as long once they had failed.
    """
    async with open_world() as world:
        world.add_instances("pool", 20)
        world.add_instances("standby", 4)
        world.start_daemon("a")
        await trio.sleep(1)
        await fill_executors(world, 4)
        job = submit_spread(world)
        await world.wait_for(lambda: len(world.find_running(job)) == 24, 3)
        world.submit(make_step())
        await world.wait_for(lambda: count_members(world) < 20, 10)
        await trio.sleep(5)
        for run in world.find_running(job):
            executor = world.executors[run.executor]
            executor.end_run(run.subtask, EndKind.FAILED)
            await trio.sleep(0.5)
            await world.wait_for(
                lambda: len(world.find_running(job)) == 24, LASTING_SECONDS
            )


@pytest.mark.parametrize("seconds", [LASTING, 60])
async def test_pool_grows_for_lasting_work_without_a_place(clock, seconds):
    """Guards against a pool that counts full members as places for lasting work.

    It had as many members as the step's limit per executor asks for. A third of
    the subtasks found no place, with instances on standby.
    """
    async with open_world() as world:
        world.add_instances("pool", 12)
        world.add_instances("standby", 6)
        world.start_daemon("a")
        await trio.sleep(1)
        await fill_executors(world, 4, seconds)
        world.submit(make_step())
        job = submit_spread(world)
        await world.wait_for(lambda: len(world.find_running(job)) == 24, 10)
        # It neither shrinks again nor grows further.
        assert await find_smallest_size(world, 10) == 16
        assert count_members(world) == 16
        assert len(world.find_running(job)) == 24


async def test_pool_does_not_grow_for_work_that_fits_on_no_instance(clock):
    """Guards against a pool that takes all instances for hopeless work."""
    async with open_world() as world:
        world.add_instances("pool", 3)
        world.add_instances("standby", 6)
        world.start_daemon("a")
        await trio.sleep(1)
        world.submit(make_step(2, lasting=True, label="absent"))
        world.submit(make_step())
        await trio.sleep(10)
        assert count_members(world) <= 3


async def test_pool_grows_for_upkeep_of_members_with_lasting_work(clock):
    """Guards against upkeep that waits for ever for places of lasting work.

    The pool had more members than it needs by the step's limit per executor, but
    none with a place for what ran on the reserved ones.
    """
    async with open_world() as world:
        world.add_instances("pool", 16)
        world.add_instances("standby", 4)
        world.start_daemon("a")
        await trio.sleep(1)
        await fill_executors(world, 4)
        job = submit_spread(world)
        await world.wait_for(lambda: len(world.find_running(job)) == 24, 3)
        # The size that a new scheduler finds counts as needed for two seconds.
        await trio.sleep(3)
        executors = {run.executor for run in world.find_running(job)}
        names = [
            instance.name
            for instance in world.instances.instances.values()
            if instance.executor in executors
        ]
        add_wave(world, names, maximum=2, seconds=60.0)
        fewest = 24
        with trio.fail_after(90):
            while "completed" not in read_status(world):
                fewest = min(fewest, len(world.find_running(job)))
                await trio.sleep(0.02)
        # What runs on two executors at a time may be stopped.
        assert fewest >= 20
        assert sorted(world.instances.maintained[1]) == sorted(names)
