"""Jobs and runs over a change of the scheduler, on virtual time."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources
from hemlockstand.fleet.state import GRANT_SECONDS
from test.fleet_world import LASTING, SMALL, make_config, make_step, open_world

TAKEOVER_SECONDS = 3.0  # lease, watch interval and loading


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


async def test_runs_survive_the_kill_of_the_scheduler(clock):
    """Guards against runs that are lost or repeated after a takeover."""
    async with open_world() as world:
        for _ in range(3):
            world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        world.start_daemon("b")
        job = world.submit(make_step(12), work=SubtaskBehaviour(6.0, size=SMALL))
        await world.wait_for(lambda: world.count_runs(job) == 12, 5)
        world.kill(first)
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        assert world.count_runs(job) == 12
        world.check_runs()


async def test_new_job_does_not_wait_for_lost_executors(clock):
    """Guards against a takeover that delays jobs which cannot have started."""
    async with open_world() as world:
        lost = world.add_executor()
        world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        world.start_daemon("b")
        lost.unresponsive = True
        world.kill(first)
        job = world.submit(make_step(4))
        await world.wait_for(lambda: world.state(job) == "completed", 4.5)
        assert world.lease_holder() == "b"
        world.check_runs()


async def test_started_step_waits_for_lost_executors(clock):
    """Guards against a second run of a subtask on an unreachable executor."""
    async with open_world() as world:
        lost = world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        second = world.start_daemon("b")
        second.cut_off.add(lost.id)
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        world.add_executor()
        await trio.sleep(1)
        world.kill(first)
        await world.wait_for(
            lambda: world.count_runs(job) == 2, TAKEOVER_SECONDS + GRANT_SECONDS + 4
        )
        world.check_runs()


async def test_failed_run_counts_once_over_a_takeover(clock):
    """Guards against a job that fails before its last attempt.

    When a scheduler was replaced after it had stored an end and before it had
    acknowledged it, the next one counted the end again.
    """
    async with open_world() as world:
        executor = world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(make_step(1))
        world.work[f"{job}.0.0.0"] = SubtaskBehaviour(0.5, fails=True, size=SMALL)
        await world.wait_for(lambda: executor.ends, 5)
        world.work[f"{job}.0.0.0"] = SubtaskBehaviour(1.0, size=SMALL)
        first.cut_off.add(executor.id)
        await trio.sleep(0.3)
        world.kill(first)
        world.start_daemon("b")
        await world.wait_for(lambda: world.state(job) in ("completed", "failed"), 15)
        assert world.state(job) == "completed"


async def test_deposed_scheduler_starts_nothing(clock):
    """Guards against two schedulers that both start runs."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        first = world.start_daemon("a")
        await trio.sleep(1)
        world.start_daemon("b")
        first.rows.closed = True
        await world.wait_for(lambda: world.lease_holder() == "b", TAKEOVER_SECONDS + 1)
        job = world.submit(make_step(6), work=SubtaskBehaviour(3.0, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        first.rows.closed = False
        await trio.sleep(2)
        assert world.lease_holder() == "b"
        world.check_runs()


async def test_unwanted_runs_count_until_they_have_stopped(clock):
    """Guards against a tenant over its maximum while cancelled runs stop."""
    async with open_world() as world:
        for _ in range(2):
            world.add_executor()
        world.configuration.current = make_config(Resources(4000))
        first = world.start_daemon("a")
        await trio.sleep(1)
        job = world.submit(make_step(4), work=SubtaskBehaviour(30.0, size=SMALL))
        await world.wait_for(lambda: world.count_runs(job) == 4, 5)
        world.kill(first)
        world.cancel(job)
        other = world.submit(make_step(4), work=SubtaskBehaviour(2.0, size=SMALL))
        world.start_daemon("b")
        most = 0
        while world.state(other) != "completed":
            most = max(most, len(world.find_running()))
            await trio.sleep(0.01)
        assert most == 4


async def test_restarted_scheduler_waits_for_its_own_grants(clock):
    """Guards against a second run after a restart in an outage of the store.

    Grants are longer while the store does not answer, and a restarted daemon
    takes its own lease again before it has run out.
    """
    async with open_world() as world:
        lost = world.add_executor()
        first = world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        await trio.sleep(1)
        first.rows.closed = True
        await trio.sleep(0.7)
        world.kill(first)
        world.start_daemon("a").cut_off.add(lost.id)
        world.add_executor()
        await world.wait_for(lambda: world.count_runs(job) == 2, 10)
        world.check_runs()


async def test_rows_older_than_the_lease_are_not_used(clock):
    """Guards against a scheduler that loads rows older than its takeover."""
    async with open_world() as world:
        world.add_executor()
        job = world.submit(make_step(1))
        daemon = world.start_daemon("a")
        daemon.rows.stale_tables.add("states")
        await trio.sleep(3)
        assert world.lease_holder() == "a"
        assert world.count_runs(job) == 0
        daemon.rows.stale_tables.clear()
        await world.wait_for(lambda: world.state(job) == "completed", 5)


async def test_order_of_a_paused_scheduler_arrives_after_the_takeover(clock):
    """Guards against an order that a scheduler gave before it was paused.

    It reaches the executor after another scheduler has run the subtask.
    """
    async with open_world() as world:
        executor = world.add_executor()
        world.add_executor()
        executor.late_orders = 1
        first = world.start_daemon("a")
        job = world.submit(make_step(4))
        await world.wait_for(lambda: world.count_runs(job) == 3, 5)
        world.kill(first)
        world.start_daemon("b")
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        executor.execute_late_orders()
        await trio.sleep(2)
        world.check_runs()
        assert world.count_runs(job) == 4


async def test_executor_that_left_gets_nothing_from_the_next_scheduler(clock):
    """Guards against an executor that is in use again after a takeover.

    The next scheduler knows it from the rows of the previous one, and it
    still answers.
    """
    async with open_world() as world:
        gone = world.add_executor()
        first = world.start_daemon("a")
        job = world.submit(make_step(1), work=SubtaskBehaviour(0.5, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        world.store.remove("servers", gone.id)
        await trio.sleep(0.5)
        world.kill(first)
        other = world.add_executor()
        world.start_daemon("b")
        jobs = [world.submit(make_step(8)) for _ in range(3)]
        for job in jobs:
            await world.wait_for(lambda job=job: world.state(job) == "completed", 15)
        assert {run.executor for run in world.records[1:]} == {other.id}


async def test_executor_is_used_again_after_a_long_cut(clock):
    """Guards against an executor that stays unused once its lease had expired.

    It answers again, and the store has had its entry all the time.
    """
    async with open_world() as world:
        model = world.add_executor()
        world.start_daemon("a")
        job = world.submit(
            make_step(lasting=True), work=SubtaskBehaviour(LASTING, size=SMALL)
        )
        await world.wait_for(lambda: world.find_running(job), 5)
        world.daemons["a"].cut_off.add(model.id)
        await trio.sleep(12)
        assert not world.find_running(job)
        world.daemons["a"].cut_off.discard(model.id)
        await world.wait_for(lambda: world.find_running(job), 6)
        world.check_runs()
