"""Orders for instances whose executors change before the answer."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_world import add_wave, open_world, read_status


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


async def test_executor_that_joined_before_the_answer_is_kept(clock):
    """Guards against runs that nobody polls.

    The answer of an order is lost. The instance is back, and its new executor
    has runs, when the order is repeated and accepted.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        daemon = world.start_daemon("a")
        daemon.instances.order_answer_seconds = 2.0
        daemon.instances.lost_answers = 1
        await trio.sleep(1)
        add_wave(world, names[:1], maximum=1)
        await world.wait_for(lambda: world.instances.maintained.get(1), 10)
        work = SubtaskBehaviour(1.5, size=Resources(4000, 512))
        job = world.submit(Step(40, Resources(4000, 512), 1500), work=work)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        assert len(world.instances.orders) == 2
        executor = world.instances.instances[names[0]].executor
        assert daemon.leader.state.executors[executor].runs
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        world.check_runs()
