"""Lasting work through faults, on virtual time: it is at work again soon."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Advice, EndKind, Resources
from test.fleet_world import (
    LASTING,
    SMALL,
    AdviceModel,
    make_config,
    make_step,
    open_world,
)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_executor_that_answers_again_takes_work(clock):
    """Guards against an executor that is never asked again after a cut.

    It had no runs left when their leases had expired, and its entry stayed in
    the store, so nothing showed that it answered again.
    """
    async with open_world() as world:
        executor = world.add_executor()
        world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        world.daemons["a"].cut_off.add(executor.id)
        await trio.sleep(8)
        world.daemons["a"].cut_off.clear()
        await world.wait_for(lambda: world.find_running(job), 2)
        assert world.count_runs(job) == 2
        world.check_runs()


async def test_lasting_subtask_that_ends_as_done_starts_again(clock):
    """Guards against an end that is taken for the last one of lasting work.

    Only a cancel ends work that lasts; the subtask must also start again under
    the next scheduler.
    """
    async with open_world() as world:
        executor = world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(2, lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        executor.end_run(f"{job}.0.0.1", EndKind.DONE)
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 2)
        assert world.state(job) == "running"
        executor.end_run(f"{job}.0.0.0", EndKind.DONE)
        await world.wait_for(lambda: not executor.ends, 2)
        world.kill(daemon)
        world.start_daemon("b")
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 8)


async def test_stop_is_repeated_after_a_late_renewal(clock):
    """Guards against a run that is never stopped.

    The lease had lapsed for a moment when the stop was due, and was renewed by
    the same scheduler.
    """
    async with open_world() as world:
        world.add_executor()
        daemon = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        daemon.leader.state.lease.valid_until = trio.current_time() - 0.1
        world.cancel(job)
        await world.wait_for(lambda: not world.find_running(job), 3)


async def test_quarantine_of_a_whole_pool_holds_up_no_lasting_work(clock):
    """Guards against lasting work that waits for the end of a quarantine.

    In a quiet pool its own failures put all executors into quarantine, for
    twelve seconds in the end, and no other run clears their counts.
    """
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        for _ in range(12):
            await world.wait_for(lambda: world.find_running(job), 3)
            await trio.sleep(0.5)
            (run,) = world.find_running(job)
            world.executors[run.executor].end_run(run.subtask, EndKind.FAILED)


async def test_quarantine_of_a_whole_pool_holds_up_no_job(clock):
    """Guards against jobs that wait although every executor is free."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        for executor in daemon.leader.state.executors.values():
            executor.quarantined_until = trio.current_time() + 12
        job = world.submit(make_step(2))
        await world.wait_for(lambda: world.state(job) == "completed", 5)


async def test_quarantined_executor_gets_nothing_while_others_have_room(clock):
    """Guards against starts that a failing executor would fail again."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        failing, _ = daemon.leader.state.executors.values()
        failing.quarantined_until = trio.current_time() + 12
        job = world.submit(make_step(30), make_step(2, lasting=True))
        await world.wait_for(lambda: world.count_runs(f"{job}.0.0") == 30, 8)
        assert all(run.executor != failing.id for run in world.records)


async def test_tickets_of_full_executors_hold_up_no_lasting_work(clock):
    """Guards against subtasks that wait until tickets for full executors expire."""
    large = Resources(12_000, 512)
    async with open_world() as world:
        world.advice = AdviceModel()
        world.configuration.current = make_config(advice=Advice(20, 1, 30_000))
        for _ in range(10):
            world.add_executor()
        world.start_daemon("a")
        job = world.submit(
            make_step(10, lasting=True, size=large),
            work=SubtaskBehaviour(LASTING, size=large),
        )
        await world.wait_for(lambda: len(world.find_running(job)) == 10, 5)
