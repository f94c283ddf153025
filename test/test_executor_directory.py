"""Executors whose entries leave the store and come back, on virtual time."""

import pytest

from emulator.fleet_executors import SubtaskBehaviour
from test.fleet_world import SMALL, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_executor_whose_entry_comes_back_is_used_again(clock):
    """Guards against fencing tokens that an executor has outgrown.

    The token rose after a start without an answer. Then the entry expired, as
    during an outage of the store, and the executor was no longer tracked.
    """
    async with open_world() as world:
        executor = world.add_executor()
        daemon = world.start_daemon("a")
        executor.lost_answers = 1
        work = SubtaskBehaviour(0.5, size=SMALL)
        job = world.submit(make_step(), work=work)
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        world.store.remove("servers", executor.id)
        await world.wait_for(
            lambda: executor.id not in daemon.leader.state.executors, 20
        )
        world.register_executor(executor)
        job = world.submit(make_step(), work=work)
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        world.check_runs()
