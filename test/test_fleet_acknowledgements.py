"""Acknowledgements of ends to executors, on virtual time."""

import pytest
import trio

from test.fleet_world import make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_last_ends_of_an_executor_are_acknowledged(clock):
    """Guards against polls that stop before the last acknowledgement is sent."""
    async with open_world() as world:
        model = world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        daemon.rows.call_seconds = 0.02
        job = world.submit(make_step())
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        await world.wait_for(lambda: not model.ends, 2)
