"""Executors that start again under their id, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from test.fleet_world import LASTING, SMALL, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_run_of_an_unannounced_lifetime_is_kept(clock):
    """Guards against a second run beside one that a new lifetime has begun.

    An idle executor starts again and gets a start order. Its new entry reaches
    the store while the scheduler still waits for the executor's lists.
    """
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.call_seconds = 0.1
        world.start_daemon("a")
        await trio.sleep(2)
        executor = world.executors["i-1"]
        executor.restart()
        job = world.submit(
            make_step(2, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: executor.running, 5)
        world.register_executor(executor)
        await trio.sleep(3)
        assert world.count_runs(job) == 2
        world.check_runs()


async def test_order_in_flight_to_a_new_lifetime_runs_once(clock):
    """Guards against a second run while the first order may still arrive."""
    async with open_world() as world:
        executor = world.add_executor()
        world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        for model in world.executors.values():
            model.late_orders = 1
        job = world.submit(make_step(1, seconds=3.0))
        await world.wait_for(
            lambda: any(model.late for model in world.executors.values()), 3
        )
        (executor,) = (model for model in world.executors.values() if model.late)
        late = list(executor.late)
        executor.restart()
        executor.late = late
        world.register_executor(executor)
        executor.execute_late_orders()
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        world.check_runs()


async def test_lifetime_with_an_earlier_start_time_takes_work(clock):
    """Guards against an executor that is never used after its clock was set back."""
    async with open_world() as world:
        executor = world.add_executor()
        executor.born_ms = 10_000
        world.register_executor(executor)
        world.start_daemon("a")
        await trio.sleep(2)
        executor.restart()
        executor.born_ms = 9_000
        world.register_executor(executor)
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)


async def test_lease_by_the_clock_of_an_earlier_lifetime_expires_first(clock):
    """Guards against a second run beside one with the longest possible lease.

    An idle executor starts again, its clock anew, and gets an order before that
    is known. Then it is cut off.
    """
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(20)
        for model in world.executors.values():
            model.restart()
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        (run,) = world.find_running(job)
        await trio.sleep(0.3)
        daemon.cut_off.add(run.executor)
        for model in world.executors.values():
            world.register_executor(model)
        await trio.sleep(16)
        world.check_runs()


async def test_ends_of_an_unannounced_lifetime_are_read(clock):
    """Guards against ends that are acknowledged by an earlier lifetime's number."""
    work = SubtaskBehaviour(0.5, size=SMALL)
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(1)
        earlier = world.submit(make_step(20, seconds=0.5), work=work)
        await world.wait_for(lambda: world.state(earlier) == "completed", 10)
        await trio.sleep(2)
        for model in world.executors.values():
            model.restart()
        job = world.submit(make_step(seconds=0.5), work=work)
        await world.wait_for(lambda: world.find_running(job), 5)
        (run,) = world.find_running(job)
        model = world.executors[run.executor]
        model.unresponsive = True
        await trio.sleep(1.2)
        model.unresponsive = False
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        world.check_runs()
