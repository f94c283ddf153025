"""Waves while lists and orders are answered late, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_world import LASTING, add_wave, open_world, read_status


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


@pytest.mark.parametrize("order_seconds", [0.0, 0.45, 1.2])
async def test_list_read_before_an_order_ends_no_maintenance(clock, order_seconds):
    """Guards against an old list that counts an instance as returned.

    Each list is answered 0.3 s after it was read, so an order may be accepted
    in between.
    """
    async with open_world() as world:
        world.add_instances("pool", 8)
        names = list(world.instances.instances)
        add_wave(world, names, maximum=2, seconds=12.0)
        daemon = world.start_daemon("a")
        daemon.instances.list_answer_seconds = 0.3
        daemon.instances.order_seconds = order_seconds
        most = 0
        while "completed" not in read_status(world):
            most = max(most, world.instances.count_in_upkeep(1))
            await trio.sleep(0.01)
        assert most == 2
        assert sorted(world.instances.maintained[1]) == sorted(names)
        assert world.instances.count_in_upkeep(1) == 0


@pytest.mark.parametrize("order_seconds", [0.0, 0.9])
async def test_list_read_before_an_order_moves_no_instance_twice(clock, order_seconds):
    """Guards against an old list that shows a moved instance in its old pool."""
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.add_instances("standby", 8)
        daemon = world.start_daemon("a")
        daemon.instances.list_answer_seconds = 0.3
        daemon.instances.order_seconds = order_seconds
        await trio.sleep(2)
        size = Resources(9000, 512)
        work = SubtaskBehaviour(LASTING, size=size)
        job = world.submit(Step(8, size, lasting=True), work=work)
        await world.wait_for(lambda: len(world.find_running(job)) == 8, 20)
        await trio.sleep(2)
        ordered = [order.instance for order in world.instances.orders]
        assert len(ordered) >= 6
        assert len(ordered) == len(set(ordered))
