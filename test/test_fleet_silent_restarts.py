"""Executors that start again unnoticed and are cut off soon after."""

import os
from random import Random

import pytest
import trio

from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from test.fleet_world import SMALL, make_step, open_world

# More seeds: HEMLOCKSTAND_SEEDS=0:100 pytest test/test_fleet_silent_restarts.py
FIRST_SEED, LAST_SEED = map(int, os.environ.get("HEMLOCKSTAND_SEEDS", "0:3").split(":"))
PLAY_SECONDS = 60.0


async def restart_silently(world, model: ExecutorModel, random: Random) -> None:
    """Start an executor again, report that later, and cut it off for a time.

    Its connections stay open while nobody answers.
    """
    model.fall_silent()
    model.crash()
    await trio.sleep(random.uniform(0.3, 1.0))
    model.restart()
    model.answer_again()
    await trio.sleep(random.uniform(0.0, 1.4))
    world.register_executor(model)
    await trio.sleep(random.uniform(0.2, 2.0))
    model.fall_silent()
    await trio.sleep(random.uniform(3.0, 9.0))
    model.answer_again()


async def restart_forever(world, random: Random) -> None:
    """Restart two executors at a time."""
    while True:
        async with trio.open_nursery() as nursery:
            for model in random.sample(list(world.executors.values()), 2):
                nursery.start_soon(restart_silently, world, model, random)
        await trio.sleep(random.uniform(0.5, 1.5))


async def submit_forever(world, random: Random) -> None:
    """Submit two jobs of one subtask at a time."""
    while True:
        for _ in range(2):
            seconds = random.uniform(1.0, 12.0)
            work = SubtaskBehaviour(seconds, size=SMALL)
            world.submit(make_step(seconds=seconds), work=work)
        await trio.sleep(0.45)


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
@pytest.mark.parametrize("kills", [False, True])
async def test_restarts_before_cuts_double_nothing(autojump_clock, seed, kills):
    """Guards against a second run beside one that a new lifetime has begun.

    The new lifetime takes calls that were meant for the one before, and with
    them leases by a clock that was ahead of its own.
    """
    random = Random(seed)
    async with open_world() as world:
        for _ in range(4):
            world.add_executor()
        world.start_daemon("a")
        await trio.sleep(2)
        with trio.move_on_after(PLAY_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restart_forever, world, random)
                nursery.start_soon(submit_forever, world, random)
                if kills:
                    nursery.start_soon(replace_scheduler_forever, world, random)
        for model in world.executors.values():
            model.answer_again()
        await trio.sleep(30)
        world.check_runs()


async def start_again(model: ExecutorModel) -> None:
    """Start an executor again, which has not reported it."""
    model.fall_silent()
    model.crash()
    await trio.sleep(0.3)
    model.restart()
    model.answer_again()


async def test_run_without_an_answer_may_be_in_a_new_lifetime(autojump_clock):
    """Guards against a second run beside one whose start got no answer.

    The executor has started again unnoticed, and is cut off as it starts the run.
    Nothing shows that its lease is by another clock.
    """
    async with open_world() as world:
        model = world.add_executor()
        world.start_daemon("a")
        await trio.sleep(2)
        world.submit(make_step(lasting=True), work=SubtaskBehaviour(60.0, size=SMALL))
        await world.wait_for(lambda: model.running, 5)
        await start_again(model)
        model.report_start = lambda model, record: model.fall_silent()
        job = world.submit(make_step(), work=SubtaskBehaviour(30.0, size=SMALL))
        await world.wait_for(lambda: world.count_runs(job) == 1, 1)
        world.add_executor()
        await world.wait_for(lambda: world.count_runs(job) == 2, 15)
        world.check_runs()


async def test_clock_of_an_answer_shows_a_new_lifetime(autojump_clock):
    """Guards against a restart that is noticed only when a poll has timed out."""
    async with open_world() as world:
        model = world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(2)
        world.submit(make_step(seconds=60.0), work=SubtaskBehaviour(60.0, size=SMALL))
        await world.wait_for(lambda: model.running, 5)
        await start_again(model)
        world.submit(make_step(seconds=60.0), work=SubtaskBehaviour(60.0, size=SMALL))
        await world.wait_for(lambda: model.running, 1)
        await trio.sleep(0.1)
        executor = daemon.leader.state.executors[model.id]
        assert executor.born_ms == model.born_ms


async def test_successor_knows_of_a_restart(autojump_clock):
    """Guards against a second run after a takeover that follows a restart.

    The executor has taken a start by its earlier clock, and its scheduler, which
    knows that it has started again, is killed as it is cut off.
    """
    async with open_world() as world:
        model = world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(2)
        long = SubtaskBehaviour(60.0, size=SMALL)
        world.submit(make_step(seconds=60.0), work=long)
        await world.wait_for(lambda: model.running, 5)
        await start_again(model)
        job = world.submit(make_step(seconds=60.0), work=long)
        await world.wait_for(lambda: world.count_runs(job) == 1, 1)
        lease = daemon.leader.state.lease
        await world.wait_for(lambda: model.id in lease.record.restarted, 1)
        model.fall_silent()
        world.kill(daemon)
        world.start_daemon("b")
        world.add_executor()
        await world.wait_for(lambda: world.count_runs(job) == 2, 20)
        world.check_runs()


async def test_ends_of_a_new_lifetime_are_not_acknowledged_unread(
    autojump_clock, monkeypatch
):
    """Guards against another run after an end that nobody has read.

    The acknowledgement of earlier ends gets no answer as the executor starts
    again. A run that the new lifetime has ended meanwhile has one of their numbers.
    """
    handle_hold = ExecutorModel.handle_hold

    def crash_at_acknowledgement(model, due_ms, fence, acked) -> None:
        if acked and not model.silences:
            model.fall_silent()
            model.crash()
        handle_hold(model, due_ms, fence, acked)

    monkeypatch.setattr(ExecutorModel, "handle_hold", crash_at_acknowledgement)
    work = SubtaskBehaviour(0.3, size=SMALL)
    async with open_world() as world:
        model = world.add_executor()
        world.start_daemon("a")
        await trio.sleep(2)
        world.submit(make_step(5, seconds=0.3), work=work)
        await world.wait_for(lambda: model.silent, 5)
        await trio.sleep(0.3)
        model.restart()
        model.answer_again()
        model.report_start = lambda model, record: model.fall_silent()
        job = world.submit(make_step(seconds=0.3), work=work)
        await world.wait_for(lambda: world.count_runs(job) == 1, 1)
        model.report_start = lambda model, record: None
        await trio.sleep(0.5)
        model.answer_again()
        await trio.sleep(1)
        world.register_executor(model)
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        world.check_runs()


async def replace_scheduler_forever(world, random: Random) -> None:
    """Kill the scheduler's daemon from time to time, and start another one."""
    number = 0
    while True:
        await trio.sleep(random.uniform(4.0, 12.0))
        for daemon in world.daemons.values():
            world.kill(daemon)
        number += 1
        world.start_daemon(f"b{number}")
