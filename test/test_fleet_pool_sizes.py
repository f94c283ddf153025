"""Sizes of pools at the start of a peak and after a takeover, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from test.fleet_world import LASTING, SMALL, make_step, open_world

INSTANCES = 10
# An order that is planned at once is accepted within this time.
WATCHED_SECONDS = 1.2


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
