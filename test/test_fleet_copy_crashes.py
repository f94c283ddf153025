"""Executors that crash under copies."""

import trio

from test.fleet_world import make_step, open_world
from test.test_fleet_copies import (
    SLOW,
    count_exact,
    find_subtask,
    make_behaviour,
    set_runs,
    start_world,
    submit_now,
)


async def test_copy_that_crashes_its_executor_is_the_last(autojump_clock):
    """Guards against copies that crash one executor after the other.

    The first run has been at work for so long that it clears the subtask.
    """
    async with open_world() as world:
        start_world(world)
        crashing = make_behaviour(20, crashes_executor=True)
        set_runs(world, f".{SLOW}", make_behaviour(20), crashing)
        await trio.sleep(1)
        job = submit_now(world, make_step(4, 20, speculative=True))
        name = f"{job}.{SLOW}"
        await world.wait_for(lambda: count_exact(world, name) == 1, 5)
        await trio.sleep(7)
        subtask = find_subtask(world, "a", name)
        subtask.step_run.finished_seconds[:] = [0.5] * 3
        await world.wait_for(lambda: count_exact(world, name) == 2, 15)
        await trio.sleep(8)
        assert count_exact(world, name) == 2
        assert subtask.run.number == 1
