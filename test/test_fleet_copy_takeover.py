"""Copies that a new scheduler does not see, and the maximum of their team."""

import time

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind, Resources
from test.fleet_world import make_config, make_step, open_world
from test.test_fleet_copies import (
    SLOW,
    count_exact,
    find_subtask,
    make_behaviour,
    set_runs,
    set_slow,
    start_world,
    submit_slow,
    wait_for_copy,
)


async def test_unseen_copy_keeps_within_the_tolerance(autojump_clock):
    """Guards against a takeover that exceeds the maximum with an unseen copy.

    The executor of the copy does not answer the new scheduler, and the copy
    goes on until its lease has expired.
    """
    async with open_world() as world:
        world.configuration.current = make_config(Resources(10_000))
        daemon = start_world(world)
        set_slow(world, make_behaviour(60))
        job, name = await submit_slow(world)
        _, second = await wait_for_copy(world, name)
        world.kill(daemon)
        del world.daemons["a"]
        successor = world.start_daemon("b")
        successor.cut_off.add(second.executor)
        world.submit(make_step(12), work=make_behaviour(30))
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        most = 0
        while second.ended_at is None:
            most = max(most, len(world.find_running()))
            await trio.sleep(0.02)
        assert most <= 11
        assert second.kind is EndKind.LAPSED


async def test_unseen_copy_beside_a_lowered_maximum(autojump_clock):
    """Guards against more than a maximum tolerates if it is lowered meanwhile.

    The tolerance is a tenth and one subtask.
    """
    async with open_world() as world:
        daemon = start_world(world)
        set_slow(world, make_behaviour(60))
        job, name = await submit_slow(world)
        _, second = await wait_for_copy(world, name)
        world.configuration.current = make_config(Resources(3000))
        world.kill(daemon)
        del world.daemons["a"]
        successor = world.start_daemon("b")
        successor.cut_off.add(second.executor)
        world.submit(make_step(3), work=make_behaviour(30))
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        most = 0
        while second.ended_at is None:
            most = max(most, len(world.find_running()))
            await trio.sleep(0.02)
        assert most * 1000 <= 3000 * 1.1 + 1000
        assert second.kind is EndKind.LAPSED


async def test_unseen_run_of_a_done_subtask_keeps_within_the_tolerance(autojump_clock):
    """Guards against a takeover beside a large run that nobody needs any more.

    The subtask is done by its other run, if it had two, and the executor of the
    copy answers neither scheduler.
    """
    large = Resources(8000, 512)
    async with open_world() as world:
        world.configuration.current = make_config(Resources(16_000))
        daemon = start_world(world)
        set_runs(world, f".{SLOW}", SubtaskBehaviour(60, size=large))
        await trio.sleep(1)
        step = make_step(4, size=large, speculative=True)
        work = SubtaskBehaviour(1, size=large)
        job = world.submit(step, work=work, accepted_ms=int(time.time() * 1000))
        name = f"{job}.{SLOW}"
        await trio.sleep(8)
        runs = sorted(world.find_running(name), key=lambda run: run.began_at)
        for run in runs[1:]:
            daemon.cut_off.add(run.executor)
        world.executors[runs[0].executor].end_run(name, EndKind.DONE)
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        world.kill(daemon)
        del world.daemons["a"]
        world.start_daemon("b").cut_off.update(run.executor for run in runs[1:])
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        world.submit(make_step(16), work=make_behaviour(30))
        most = 0
        with trio.move_on_after(8):
            while True:
                large_runs = len(world.find_running(name))
                small_runs = len(world.find_running()) - large_runs
                most = max(most, 8000 * large_runs + 1000 * small_runs)
                await trio.sleep(0.02)
        assert 16_000 <= most <= 16_000 * 1.1 + 1000


@pytest.mark.parametrize("speculative", [True, False])
async def test_work_starts_beside_unanswered_executors(autojump_clock, speculative):
    """Guards against a takeover that counts copies which do not exist.

    One executor does not answer the new scheduler; the team has less than half
    of its maximum running.
    """
    large = Resources(4000, 512)
    async with open_world() as world:
        world.configuration.current = make_config(Resources(16_000))
        daemon = start_world(world)
        await trio.sleep(1)
        job = world.submit(
            make_step(7, 60, speculative=speculative),
            work=make_behaviour(60),
            accepted_ms=int(time.time() * 1000),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 7, 5)
        idle = [model for model in world.executors.values() if not model.running]
        world.kill(daemon)
        del world.daemons["a"]
        world.start_daemon("b").cut_off.add(idle[0].id)
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        await trio.sleep(1)
        other = world.submit(
            make_step(size=large),
            work=SubtaskBehaviour(1, size=large),
            accepted_ms=int(time.time() * 1000),
        )
        await world.wait_for(lambda: world.count_runs(other) == 1, 3)


async def test_takeover_starts_no_copy_beside_an_unseen_one(autojump_clock):
    """Guards against a third run while a copy may run where nobody sees it."""
    async with open_world() as world:
        daemon = start_world(world)
        set_runs(world, f".{SLOW}", make_behaviour(60))
        _, name = await submit_slow(world)
        _, second = await wait_for_copy(world, name)
        world.kill(daemon)
        del world.daemons["a"]
        world.start_daemon("b").cut_off.add(second.executor)
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        await trio.sleep(0.5)
        subtask = find_subtask(world, "b", name)
        subtask.step_run.finished_seconds.extend([0.5] * 3)
        while second in world.find_running(name):
            assert count_exact(world, name) == 2
            await trio.sleep(0.02)
        await world.wait_for(lambda: count_exact(world, name) == 3, 5)
