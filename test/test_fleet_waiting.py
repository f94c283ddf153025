"""Work that waits although there is room, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from test.fleet_world import LASTING, SMALL, make_config, make_step, open_world

LAST = SubtaskBehaviour(LASTING, size=SMALL)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


@pytest.mark.parametrize(
    "step",
    [
        make_step(60, lasting=True, label="absent"),
        make_step(60, lasting=True, max_per_executor=1),
        make_step(60, lasting=True, size=Resources(17_000, 512)),
    ],
)
async def test_step_that_cannot_run_holds_up_no_other(clock, step):
    """Guards against steps that are never announced behind a hopeless one."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        world.submit(step, work=LAST)
        await trio.sleep(1)
        jobs = [world.submit(make_step(lasting=True), work=LAST)]
        jobs.append(world.submit(make_step(1)))
        await world.wait_for(lambda: all(map(world.count_runs, jobs)), 3)


async def test_subtasks_beyond_a_maximum_hold_up_no_other_tenant(clock):
    """Guards against a tenant whose waiting subtasks stop those of others."""
    async with open_world() as world:
        world.configuration.current = make_config(maximum=Resources(4000))
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        world.submit(make_step(60, lasting=True), work=LAST)
        await trio.sleep(1)
        job = world.submit(make_step(lasting=True), work=LAST, tenant="other")
        await world.wait_for(lambda: world.find_running(job), 3)


async def test_gang_avoids_an_executor_that_refuses_its_start(clock):
    """Guards against a gang that is started on the same executors for ever."""
    large = Resources(12_000, 512)
    async with open_world() as world:
        for _ in range(3):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        world.executors[min(world.executors)].unhealthy_orders = 1_000_000
        job = world.submit(
            make_step(2, gang=True, size=large),
            work=SubtaskBehaviour(1.0, size=large),
        )
        await world.wait_for(lambda: world.state(job) == "completed", 6)
