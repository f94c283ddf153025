"""Sizes of pools whose executors shrink or differ, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_world import LASTING, SMALL, FleetWorld, make_step, open_world

WIDE = Resources(9000, 512)  # an instance has room for one of these
TINY = Resources(1000, 32_768)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def count_members(world: FleetWorld) -> int:
    """Return how many instances the pool has."""
    instances = world.instances.instances.values()
    return sum(1 for instance in instances if instance.pool == "pool")


async def watch_members(world: FleetWorld, sizes: set[int]) -> None:
    """Note each size that the pool has."""
    while True:
        sizes.add(count_members(world))
        await trio.sleep(0.1)


async def keep_submitting(world: FleetWorld) -> None:
    """Submit jobs that keep two instances busy."""
    while True:
        world.submit(make_step(8), work=SubtaskBehaviour(1.0, size=SMALL))
        await trio.sleep(0.4)


async def test_one_shrunken_executor_does_not_blow_up_the_pool(clock):
    """Guards against a pool that takes all its instances for small ones."""
    async with open_world() as world:
        world.add_instances("pool", 6)
        world.add_instances("standby", 20)
        world.start_daemon("a")
        world.nursery.start_soon(keep_submitting, world)
        await trio.sleep(15)
        usual, shrunken = set(), set()
        with trio.move_on_after(10):
            await watch_members(world, usual)
        (model, *_) = world.executors.values()
        world.resize_executor(model, TINY)
        with trio.move_on_after(10):
            await watch_members(world, shrunken)
        # One more stands in for the shrunken one, one more while both move.
        assert max(shrunken) <= max(usual) + 2


async def test_one_small_instance_does_not_blow_up_the_pools(clock):
    """Guards against pools that are sized by the smallest kind of instance."""
    async with open_world() as world:
        world.add_instances("pool", 4)
        world.add_instances("standby", 20)
        world.start_daemon("a")
        world.nursery.start_soon(keep_submitting, world)
        await trio.sleep(15)
        usual, uneven = set(), set()
        with trio.move_on_after(10):
            await watch_members(world, usual)
        world.add_instances("pool", 1, capacity=Resources(2000, 4096))
        with trio.move_on_after(10):
            await watch_members(world, uneven)
        assert max(uneven) <= max(usual) + 2


@pytest.mark.parametrize("gang", [False, True])
async def test_shrunken_members_are_replaced(clock, gang):
    """Guards against work that waits in a pool that only looks large enough.

    Most of the members have shrunk, so that no subtask fits on them.
    """
    async with open_world() as world:
        world.add_instances("pool", 6)
        world.add_instances("standby", 8)
        world.start_daemon("a")
        await trio.sleep(3)
        for model in list(world.executors.values())[:5]:
            world.resize_executor(model, TINY)
        await trio.sleep(1)
        work = SubtaskBehaviour(4.0 if gang else LASTING, size=WIDE)
        job = world.submit(Step(4, WIDE, 4000, gang=gang, lasting=not gang), work=work)
        await world.wait_for(lambda: len(world.find_running(job)) == 4, 12)


async def test_large_instances_count_for_what_they_offer(clock):
    """Guards against a pool with several times the room that its work needs."""
    async with open_world() as world:
        world.add_instances("standby", 20)
        world.add_instances("pool", 6, capacity=Resources(64_000, 131_072))
        world.start_daemon("a")
        await trio.sleep(3)
        # 60 cores of lasting work, and as much short work as one job has.
        size = Resources(6000, 1024)
        lasting = Step(10, size, lasting=True)
        job = world.submit(lasting, work=SubtaskBehaviour(LASTING, size=size))
        world.submit(make_step())
        await trio.sleep(25)
        assert len(world.find_running(job)) == 10
        assert count_members(world) <= 3


async def test_small_instances_on_standby_are_enough_together(clock):
    """Guards against too few instances where those on standby are small."""
    async with open_world() as world:
        world.add_instances("pool", 11)
        world.add_instances("standby", 10, capacity=Resources(4000, 8192))
        world.start_daemon("a")
        for model in list(world.executors.values())[1:]:
            world.resize_executor(model, Resources(500, 1024))
        await trio.sleep(3)
        size = Resources(4000, 512)
        job = world.submit(
            Step(12, size, lasting=True), work=SubtaskBehaviour(LASTING, size=size)
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 12, 15)
