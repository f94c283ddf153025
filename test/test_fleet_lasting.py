"""Lasting work through faults, on virtual time: it is at work again soon."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from test.fleet_world import LASTING, SMALL, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_executor_that_answers_again_takes_work(clock):
    """Guards against an executor that is never asked again after a cut.

    It had no runs left when their leases had expired, and its entry stayed in
    the store, so nothing showed that it answered again.
    """
    async with open_world() as world:
        executor = world.add_executor()
        world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        world.daemons["a"].cut_off.add(executor.id)
        await trio.sleep(8)
        world.daemons["a"].cut_off.clear()
        await world.wait_for(lambda: world.find_running(job), 2)
        assert world.count_runs(job) == 2
        world.check_runs()
