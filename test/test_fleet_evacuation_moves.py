"""Moves out of evacuated data centres that must not be made, on virtual time."""

from types import SimpleNamespace

import pytest
import trio

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.work import RunState
from test.fleet_world import make_step, open_world
from test.test_fleet_evacuations import (
    add_executors,
    find_data_centres,
    lasting,
)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_run_of_an_executor_that_does_not_answer_stays(clock):
    """Guards against a late stop that ends the last available subtask.

    The stop cannot be sent while the executor is cut off; by the time it
    answers again, the step's other subtask may have crashed.
    """
    async with open_world() as world:
        add_executors(world, dc1=1, dc2=1)
        daemon = world.start_daemon("a")
        step = make_step(2, lasting=True, max_unavailable=1, max_per_executor=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        await trio.sleep(2)
        add_executors(world, dc2=1)
        await trio.sleep(1)
        models = list(world.executors.values())
        first = next(model for model in models if model.data_centre == "dc1")
        other = next(model for model in models if model.data_centre == "dc2")
        daemon.cut_off.add(first.id)
        executor = daemon.leader.state.executors[first.id]
        await world.wait_for(lambda: not executor.reachable, 3)
        world.evacuate("dc1")
        await trio.sleep(0.8)
        states = [subtask.run.state.name for subtask in executor.runs.values()]
        assert states == ["RUNNING"]
        other.crash()
        daemon.cut_off.clear()
        await trio.sleep(0.5)
        assert find_data_centres(world, job)[:1] == ["dc1"]


async def test_stop_that_could_not_be_sent_is_checked_again(clock):
    """Guards against a repeated stop for which the budget was used meanwhile."""
    async with open_world() as world:
        add_executors(world, dc1=1, dc2=1)
        daemon = world.start_daemon("a")
        step = make_step(2, lasting=True, max_unavailable=1, max_per_executor=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        await trio.sleep(2)
        first, other = world.executors.values()
        executor = daemon.leader.state.executors[first.id]
        peer = daemon.leader.state.executors[other.id]
        (subtask,) = executor.runs.values()
        client = executor.client

        async def stop_later(name: str, run: int, fence: int) -> None:
            if peer.reachable:
                raise PlatformUnavailable("no free connection")
            await client.stop(name, run, fence)

        executor.client = SimpleNamespace(
            start=client.start,
            hold=client.hold,
            stop=stop_later,
            close=client.close,
        )
        daemon.leader._orders.stop_run(subtask)
        await trio.sleep(0.1)
        daemon.cut_off.add(other.id)
        await world.wait_for(lambda: not peer.reachable, 2)
        await trio.sleep(1)
        assert world.count_runs(subtask.name) == 1
        assert subtask.run.state is RunState.RUNNING
