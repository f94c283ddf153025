"""Executors with more ends than one answer lists, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from test.fleet_world import make_step, open_world

COUNT = 700
TINY = Resources(20, 40)
SECONDS = 2.0
PAGE = 10  # ends in an answer, where a test needs many pages
SLOW_WRITE_SECONDS = 0.4


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def start_all(world, count: int = COUNT) -> str:
    """Submit a job and wait until all of its subtasks run."""
    job = world.submit(
        make_step(count, SECONDS, size=TINY), work=SubtaskBehaviour(SECONDS, size=TINY)
    )
    await world.wait_for(lambda: len(world.find_running(job)) == count, SECONDS)
    return job


async def wait_for_ends(world) -> None:
    """Wait until no subtask runs."""
    await world.wait_for(lambda: not world.find_running(), SECONDS + 1)


def count_acknowledged(world) -> int:
    """Return how many ends the executors have seen acknowledged."""
    return sum(run.acknowledged for run in world.records)


def check_single_runs(world, job: str, count: int = COUNT) -> None:
    """Check that each subtask has run once."""
    assert world.count_runs(job) == count
    world.check_runs()


async def test_ends_beyond_the_listed_ones_are_no_lost_runs(clock):
    """Guards against second runs of subtasks whose ends are not listed yet.

    While the store does not answer no end can be acknowledged, so the executor
    goes on listing the first ones.
    """
    async with open_world() as world:
        world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        job = await start_all(world)
        await world.wait_for(
            lambda: trio.current_time() > world.records[0].began_at + SECONDS - 0.1,
            SECONDS,
        )
        daemon.rows.closed = True
        await trio.sleep(1)
        assert not world.find_running()
        daemon.rows.closed = False
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        check_single_runs(world, job)


async def test_next_scheduler_reads_all_ends(clock):
    """Guards against second runs after a takeover with unread ends."""
    async with open_world() as world:
        world.add_executor()
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        job = await start_all(world)
        first.rows.closed = True
        await trio.sleep(0.5)
        world.kill(first)
        await wait_for_ends(world)
        world.start_daemon("b")
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        check_single_runs(world, job)


@pytest.mark.parametrize("cut_off", [False, True])
async def test_started_step_waits_for_all_ends(clock, cut_off):
    """Guards against second runs while a slow takeover still reads ends.

    That may take longer than the leases of the previous scheduler last. An
    executor that is cut off meanwhile keeps its runs until its new lease ends.
    """
    count = 12 * PAGE
    async with open_world() as world:
        model = world.add_executor()
        model.listed_ends = PAGE
        first = world.start_daemon("a")
        await trio.sleep(1)
        job = await start_all(world, count)
        fence = model.fence
        first.rows.closed = True
        await trio.sleep(0.5)
        world.kill(first)
        world.add_executor()
        second = world.start_daemon("b")
        await wait_for_ends(world)
        await world.wait_for(lambda: model.fence > fence, 5)
        second.rows.call_seconds = SLOW_WRITE_SECONDS
        await world.wait_for(lambda: count_acknowledged(world) >= 3 * PAGE, 10)
        if cut_off:
            second.cut_off.add(model.id)
            await trio.sleep(3)
            second.cut_off.discard(model.id)
        await world.wait_for(lambda: world.state(job) == "completed", 30)
        check_single_runs(world, job, count)
