"""Sizes of pools whose executors shrink or differ, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from test.fleet_world import SMALL, FleetWorld, make_step, open_world

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
