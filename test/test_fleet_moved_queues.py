"""Queues whose runs are in another pool than the configuration names now."""

import attrs
import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Pool, Resources
from hemlockstand.fleet.state import GRANT_SECONDS
from test.fleet_world import LASTING, SMALL, make_config, make_step, open_world

TAKEOVER_SECONDS = 3.0  # lease, watch interval and loading


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def move_queue(world, pool: str) -> None:
    """Configure another pool for the queue; runs stay where they are."""
    config = world.configuration.current
    world.configuration.current = attrs.evolve(
        config,
        version=config.version + 1,
        queues=(attrs.evolve(config.queues[0], pool=pool),),
        pools=config.pools | {pool: Pool(pool, True, False)},
    )


async def start_lasting(world, pool: str, count: int = 3) -> str:
    """Start a lasting job in a pool; return its id."""
    job = world.submit(
        make_step(count, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
    )
    await world.wait_for(lambda: len(world.find_running(job)) == count, 5)
    pools = {world.executors[run.executor].pool for run in world.find_running(job)}
    assert pools == {pool}
    return job


async def change_scheduler(world, lost, graceful: bool) -> None:
    """Cut an executor off and replace the scheduler."""
    first = world.daemons["a"]
    second = world.start_daemon("b")
    second.cut_off.add(lost.id)
    first.cut_off.add(lost.id)
    await trio.sleep(0.2)
    if graceful:
        world.stop(first)
    else:
        world.kill(first)


async def wait_for_second_runs(world, job: str, count: int = 3) -> None:
    """Wait until the runs of the lost executor have been started again."""
    seconds = TAKEOVER_SECONDS + GRANT_SECONDS + 4
    await world.wait_for(lambda: world.count_runs(job) == 2 * count, seconds)
    world.check_runs()


@pytest.mark.parametrize("graceful", [False, True])
async def test_step_of_a_moved_queue_waits_for_lost_executors(clock, graceful):
    """Guards against second runs beside those in a queue's former pool.

    The next scheduler does not reach the executor that has them.
    """
    async with open_world() as world:
        lost = world.add_executor()
        world.start_daemon("a")
        job = await start_lasting(world, "pool")
        world.add_executor("other")
        move_queue(world, "other")
        await trio.sleep(1)
        await change_scheduler(world, lost, graceful)
        await wait_for_second_runs(world, job)


@pytest.mark.parametrize("graceful", [False, True])
async def test_step_waits_for_every_pool_that_its_queue_had(clock, graceful):
    """Guards against second runs after a queue has moved away and back.

    Neither the pool of the submission nor the present one has the runs.
    """
    async with open_world() as world:
        world.add_executor()
        move_queue(world, "pool")
        world.start_daemon("a")
        await trio.sleep(1)
        lost = world.add_executor("other")
        move_queue(world, "other")
        job = await start_lasting(world, "other")
        move_queue(world, "pool")
        await trio.sleep(1)
        await change_scheduler(world, lost, graceful)
        await wait_for_second_runs(world, job)


async def test_pools_of_a_job_outlast_two_takeovers(clock):
    """Guards against a pool that the second scheduler does not hand on."""
    async with open_world() as world:
        world.add_executor()
        lost = world.add_executor("other")
        first = world.start_daemon("a")
        move_queue(world, "other")
        job = await start_lasting(world, "other")
        move_queue(world, "pool")
        await trio.sleep(1)
        world.kill(first)
        second = world.start_daemon("b")
        await world.wait_for(lambda: world.lease_holder() == "b", TAKEOVER_SECONDS)
        await trio.sleep(2)
        third = world.start_daemon("c")
        third.cut_off.add(lost.id)
        second.cut_off.add(lost.id)
        await trio.sleep(0.2)
        world.kill(second)
        await wait_for_second_runs(world, job)


async def test_unknown_runs_of_a_moved_queue_count_for_the_tenant(clock):
    """Guards against a tenant over its maximum after a move and a takeover."""
    async with open_world() as world:
        lost = world.add_executor()
        world.configuration.current = make_config(Resources(4000))
        world.start_daemon("a")
        await start_lasting(world, "pool", 4)
        world.add_executor("other")
        move_queue(world, "other")
        await trio.sleep(1)
        await change_scheduler(world, lost, graceful=False)
        other = world.submit(make_step(4), work=SubtaskBehaviour(2.0, size=SMALL))
        with trio.move_on_after(TAKEOVER_SECONDS + GRANT_SECONDS + 4):
            while world.state(other) != "completed":
                assert len(world.find_running()) <= 4
                await trio.sleep(0.05)
        world.check_runs()


async def test_step_that_was_never_in_a_lost_pool_starts_at_once(clock):
    """Guards against a takeover that waits for pools without runs of a step."""
    async with open_world() as world:
        lost = world.add_executor("other")
        world.add_executor()
        move_queue(world, "other")
        move_queue(world, "pool")
        first = world.start_daemon("a")
        job = await start_lasting(world, "pool")
        second = world.start_daemon("b")
        second.cut_off.add(lost.id)
        await trio.sleep(1)
        world.kill(first)
        for run in world.find_running(job):
            world.executors[run.executor].crash()
        await world.wait_for(
            lambda: len(world.find_running(job)) == 3, TAKEOVER_SECONDS + 1
        )
        world.check_runs()


async def test_pool_is_stored_before_the_first_start_in_it(clock):
    """Guards against runs in a pool that no row names, of a step that had started."""
    async with open_world() as world:
        former = world.add_executor()
        world.start_daemon("a")
        job = await start_lasting(world, "pool")
        lost = world.add_executor("other")
        move_queue(world, "other")
        await trio.sleep(1)
        named = []

        def note_row(model, record) -> None:
            row = world.store.find("states", job)
            named.append(b'"other_pools":["other"]' in row.value)

        lost.report_start = note_row
        former.crash_process()
        await world.wait_for(lambda: len(named) == 3, 10)
        assert all(named)
        world.add_executor()
        move_queue(world, "pool")
        await trio.sleep(1)
        before = world.count_runs(job)
        await change_scheduler(world, lost, graceful=False)
        seconds = TAKEOVER_SECONDS + GRANT_SECONDS + 4
        await world.wait_for(lambda: world.count_runs(job) == before + 3, seconds)
        world.check_runs()
