"""Budgets of lasting steps while their instances are emptied, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind, Resources
from test.fleet_world import (
    LASTING,
    SMALL,
    add_wave,
    make_step,
    open_world,
    read_status,
)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def watch_running(world, job, counts):
    """Append the number of subtasks at work that are not being stopped."""
    while True:
        running = world.find_running(job)
        stopping = sum(
            1
            for run in running
            if world.executors[run.executor].running[run.subtask].stops_at is not None
        )
        counts.append(len(running) - stopping)
        await trio.sleep(0.01)


async def test_next_scheduler_waits_for_stops_in_progress(clock, monkeypatch):
    """Guards against a second stop beside one of the previous scheduler.

    The executor lists a run as at work until its stop has ended, so the next
    scheduler does not see that the budget is used.
    """
    monkeypatch.setattr("emulator.fleet_executors.STOP_SECONDS", 0.9)
    async with open_world() as world:
        world.add_instances("pool", 5)
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(3, lasting=True, max_unavailable=1, max_per_executor=1),
            work=SubtaskBehaviour(LASTING, size=SMALL),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 3, 5)
        await trio.sleep(2)
        counts = []
        world.nursery.start_soon(watch_running, world, job, counts)
        first, second, _ = world.find_running(job)
        world.executors[first.executor].stop(first.subtask, first.number)
        world.stop(daemon)
        world.start_daemon("b")
        (name,) = (
            name
            for name, instance in world.instances.instances.items()
            if instance.executor == second.executor
        )
        add_wave(world, [name], maximum=1)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        assert min(counts) >= 2


async def test_wave_keeps_the_budget_of_lasting_work_with_checkpoints(clock):
    """Guards against stops that only look at checkpoints.

    There is no room elsewhere, so the wave has to wait for the work.
    """
    large = Resources(7_500, 512)
    async with open_world() as world:
        world.add_instances("pool", 2)
        world.start_daemon("a")
        job = world.submit(
            make_step(4, lasting=True, max_unavailable=1, checkpoints=True, size=large),
            work=SubtaskBehaviour(LASTING, size=large),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 4, 8)
        await trio.sleep(1)
        add_wave(world, list(world.instances.instances), maximum=3, seconds=5.0)
        counts = []
        world.nursery.start_soon(watch_running, world, job, counts)
        await trio.sleep(15)
        assert min(counts) >= 3


async def test_delayed_stop_keeps_the_budget(clock):
    """Guards against a stop that is sent after another subtask was lost."""
    async with open_world() as world:
        for _ in range(3):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        step = make_step(2, lasting=True, max_unavailable=1, max_per_executor=1)
        job = world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        await trio.sleep(2)
        leader = daemon.leader
        stopped, lost = leader.state.registry.jobs[job].runs()
        name, number = stopped.name, stopped.run.number
        leader.state.lease.valid_until = trio.current_time() - 0.1
        leader._orders.stop_run(stopped)
        world.executors[lost.run.executor].crash_process()
        await trio.sleep(2.5)
        (run,) = (
            item
            for item in world.records
            if item.subtask == name and item.number == number
        )
        assert run.kind is not EndKind.STOPPED
