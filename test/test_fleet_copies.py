"""Copies of slow subtasks: two runs of a subtask, and the faults beside them.

In each test one subtask of four takes seven times as long as the others on its
first run, and as long as they do on a later one.
"""

import time

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import EndKind, Resources
from hemlockstand.fleet.work import RunState
from test.fleet_world import SMALL, make_config, make_step, open_world

USUAL_SECONDS = 1.0
SLOW_SECONDS = 7.0
SLOW = "0.0.3"  # the slow subtask within its job


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def count_exact(world, name):
    """Return how many runs of a subtask have begun."""
    return sum(1 for run in world.records if run.subtask == name)


def set_runs(world, suffix, *behaviours):
    """Let the runs of the subtasks with a suffix behave as listed, in turn.

    The last behaviour holds for all further runs.
    """

    def describe(subtask):
        if not subtask.endswith(suffix):
            return world.describe(subtask)
        earlier = count_exact(world, subtask)
        return behaviours[min(earlier, len(behaviours) - 1)]

    for model in world.executors.values():
        model.describe = describe


def make_behaviour(seconds=USUAL_SECONDS, **values):
    """Return the behaviour of a small subtask."""
    return SubtaskBehaviour(seconds, size=SMALL, **values)


def set_slow(world, later=None):
    """Let the first run of the slow subtask take seven times as long."""
    set_runs(world, f".{SLOW}", make_behaviour(SLOW_SECONDS), later or make_behaviour())


def start_world(world, executors=4):
    """Add executors in two racks and a daemon."""
    for position in range(executors):
        world.add_executor(rack=f"r{position % 2}")
    set_slow(world)
    return world.start_daemon("a")


def submit_now(world, step):
    """Submit a job whose deadline counts from now."""
    return world.submit(step, accepted_ms=int(time.time() * 1000))


async def submit_slow(world, **values):
    """Submit a job with a slow subtask; return the job and the subtask."""
    await trio.sleep(1)
    job = submit_now(world, make_step(4, **{"speculative": True, **values}))
    return job, f"{job}.{SLOW}"


async def wait_for_copy(world, name):
    """Wait until a subtask has two runs; return the first and the second."""
    await world.wait_for(lambda: len(world.find_running(name)) == 2, 5)
    first, second = sorted(world.find_running(name), key=lambda run: run.began_at)
    return first, second


def find_subtask(world, daemon, name):
    """Return the scheduler's subtask with a name."""
    return world.daemons[daemon].leader.state.registry.find(name)


def measure_use(world, daemon):
    """Return the cpu of all runs of the team by the scheduler's count."""
    return world.daemons[daemon].leader.state.registry.in_use["team"].cpu_millis


async def check_end(world, job, runs, seconds=12):
    """Check that a job completes, and what its slow subtask has left behind."""
    await world.wait_for(lambda: world.state(job) == "completed", seconds)
    await trio.sleep(1)
    assert not world.find_running(job)
    assert count_exact(world, f"{job}.{SLOW}") == runs
    for daemon in world.daemons.values():
        if daemon.leader is not None:
            registry = daemon.leader.state.registry
            assert registry.in_use.get("team", Resources()) == Resources()
            executors = daemon.leader.state.executors.values()
            assert all(executor.used == Resources() for executor in executors)
    world.check_speculative_runs()
    world.check_capacities()


async def test_slow_subtask_gets_a_copy(clock):
    """Guards against a job that waits for one slow run beside free room."""
    async with open_world() as world:
        start_world(world)
        job, name = await submit_slow(world)
        submitted_at = trio.current_time()
        first, second = await wait_for_copy(world, name)
        racks = [world.executors[run.executor].rack for run in (first, second)]
        assert racks[0] != racks[1]
        assert second.number > first.number
        await trio.sleep(0.01)
        copy = find_subtask(world, "a", name).copy
        assert copy.state is RunState.RUNNING
        assert copy.answered_at is not None
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        assert trio.current_time() - submitted_at < 4.5
        await check_end(world, job, 2)
        assert (first.kind, second.kind) == (EndKind.STOPPED, EndKind.DONE)


@pytest.mark.parametrize(
    "values",
    [
        {"speculative": False},
        {"gang": True},
        {"fills": True},
        {"max_unavailable": 1},
        {"target_ms": 100},
    ],
)
async def test_other_steps_get_no_copy(clock, values):
    """Guards against copies where two runs are not allowed or tell nothing."""
    async with open_world() as world:
        start_world(world)
        _, name = await submit_slow(world, **values)
        await trio.sleep(SLOW_SECONDS + 1)
        assert count_exact(world, name) == 1


async def test_first_run_that_is_done_first_counts(clock):
    """Guards against a copy that goes on after the first run has ended."""
    async with open_world() as world:
        start_world(world)
        set_slow(world, make_behaviour(60))
        job, name = await submit_slow(world)
        first, second = await wait_for_copy(world, name)
        await check_end(world, job, 2)
        assert (first.kind, second.kind) == (EndKind.DONE, EndKind.STOPPED)
        assert second.ended_at - first.ended_at < 0.5


async def test_takeover_adopts_both_runs(clock):
    """Guards against a takeover that stops or repeats one of two runs.

    Both count against the team's maximum from then on.
    """
    async with open_world() as world:
        daemon = start_world(world)
        set_slow(world, make_behaviour(5))
        job, name = await submit_slow(world)
        await wait_for_copy(world, name)
        world.kill(daemon)
        del world.daemons["a"]
        world.start_daemon("b")
        await world.wait_for(lambda: world.lease_holder() == "b", 5)
        await trio.sleep(0.5)
        assert len(world.find_running(name)) == 2
        assert measure_use(world, "b") == 2000
        await check_end(world, job, 2)


async def test_takeover_after_the_end_stops_the_other(clock):
    """Guards against a run that goes on if the scheduler ends with the copy."""
    async with open_world() as world:
        daemon = start_world(world)
        set_slow(world, make_behaviour(3))
        job, name = await submit_slow(world)
        _, second = await wait_for_copy(world, name)
        world.kill(daemon)
        del world.daemons["a"]
        await world.wait_for(lambda: len(world.find_running(name)) < 2, 4)
        world.start_daemon("b")
        await check_end(world, job, 2)
        assert second.kind is EndKind.DONE


@pytest.mark.parametrize("lost", [0, 1])
async def test_executor_of_one_run_is_lost(clock, lost):
    """Guards against a third run, or none, after one of two was lost."""
    async with open_world() as world:
        start_world(world)
        set_runs(world, f".{SLOW}", make_behaviour(9))
        job, name = await submit_slow(world)
        runs = await wait_for_copy(world, name)
        model = world.executors[runs[lost].executor]
        model.unresponsive = True
        model.crash()
        await world.wait_for(lambda: measure_use(world, "a") == 1000, 5)
        assert len(world.find_running(name)) == 1
        assert find_subtask(world, "a", name).run.number == runs[1 - lost].number
        model.restart()
        model.unresponsive = False
        world.register_executor(model)
        await check_end(world, job, 2)
        assert runs[1 - lost].kind is EndKind.DONE


async def test_crash_beside_a_copy_counts_for_its_own_run(clock):
    """Guards against a crash that is judged by the age of the other run.

    A new lifetime shows the crash; the executor of the other run goes on.
    """
    async with open_world() as world:
        start_world(world)
        set_slow(world, make_behaviour(5))
        job, name = await submit_slow(world)
        first, _ = await wait_for_copy(world, name)
        model = world.executors[first.executor]
        model.restart()
        world.register_executor(model)
        await trio.sleep(0.5)
        assert find_subtask(world, "a", name).crashes == 1
        assert len(world.find_running(name)) == 1
        assert world.state(job) == "running"
        await check_end(world, job, 2)


async def test_lost_answer_of_the_copys_start(clock):
    """Guards against a copy that runs unknown to the scheduler."""
    async with open_world() as world:
        start_world(world)
        job, name = await submit_slow(world)
        await world.wait_for(lambda: world.count_runs(job) == 4, 2)
        await trio.sleep(0.1)
        for model in world.executors.values():
            model.lost_answers = 1
        await wait_for_copy(world, name)
        await trio.sleep(0.3)
        assert find_subtask(world, "a", name).copy is not None
        assert measure_use(world, "a") == 2000
        await check_end(world, job, 2)


async def test_late_order_of_a_copy_starts_nothing(clock):
    """Guards against a copy that starts after the subtask has ended."""
    async with open_world() as world:
        start_world(world)
        job, name = await submit_slow(world)
        await world.wait_for(lambda: world.count_runs(job) == 4, 2)
        await trio.sleep(0.1)
        for model in world.executors.values():
            model.late_orders = 10
        await world.wait_for(lambda: any(m.late for m in world.executors.values()), 5)
        await world.wait_for(lambda: world.state(job) == "completed", 9)
        await trio.sleep(0.5)
        for model in world.executors.values():
            model.execute_late_orders()
        await check_end(world, job, 1)


async def test_refused_copy_leaves_the_first_run(clock):
    """Guards against a refusal of a copy that queues its subtask again."""
    async with open_world() as world:
        start_world(world)
        job, name = await submit_slow(world)
        await world.wait_for(lambda: world.count_runs(job) == 4, 2)
        await trio.sleep(0.1)
        for model in world.executors.values():
            model.unhealthy_orders = 1
        refused = world.executors.values()
        await world.wait_for(lambda: any(not m.unhealthy_orders for m in refused), 5)
        await trio.sleep(0.1)
        assert len(world.find_running(name)) == 1
        assert not find_subtask(world, "a", name).step_run.waiting
        for model in world.executors.values():
            model.unhealthy_orders = 0
        await check_end(world, job, 2)


async def test_both_runs_fail(clock):
    """Guards against failures that are counted twice, or not at all.

    Of three attempts the two runs use one each; the third is done.
    """
    async with open_world() as world:
        world.configuration.current = make_config(attempts=3)
        start_world(world)
        failing = make_behaviour(SLOW_SECONDS, fails=True)
        set_runs(
            world,
            f".{SLOW}",
            failing,
            make_behaviour(4, fails=True),
            make_behaviour(),
        )
        job, name = await submit_slow(world)
        await wait_for_copy(world, name)
        await world.wait_for(lambda: len(world.find_running(name)) == 1, 6)
        await trio.sleep(0.5)
        assert len(find_subtask(world, "a", name).failures) == 1
        assert not find_subtask(world, "a", name).step_run.waiting
        await check_end(world, job, 3)
        assert len(find_subtask(world, "a", name).failures) == 2


async def test_failed_copy_alone_fails_no_job(clock):
    """Guards against a job that fails by a copy, of which one run may fail."""
    async with open_world() as world:
        world.configuration.current = make_config(attempts=1)
        start_world(world)
        set_slow(world, make_behaviour(fails=True))
        job, _ = await submit_slow(world)
        await check_end(world, job, 1)


async def test_cancel_stops_both_runs(clock):
    """Guards against a copy that outlives its cancelled job."""
    async with open_world() as world:
        start_world(world)
        set_slow(world, make_behaviour(60))
        job, name = await submit_slow(world)
        runs = await wait_for_copy(world, name)
        world.cancel(job)
        await trio.sleep(0.6)
        assert world.state(job) == "cancelled"
        assert [run.kind for run in runs] == [EndKind.STOPPED] * 2
        assert measure_use(world, "a") == 0


async def test_draining_executor_of_one_run_stops_that_run(clock):
    """Guards against a move of one run that stops the other one as well."""
    async with open_world() as world:
        start_world(world)
        set_slow(world, make_behaviour(1.8))
        job, name = await submit_slow(world, checkpoints=True)
        first, second = await wait_for_copy(world, name)
        model = world.executors[first.executor]
        model.draining = True
        world.register_executor(model)
        await world.wait_for(lambda: first.ended_at is not None, 3)
        await trio.sleep(0.5)
        assert second.ended_at is None
        await check_end(world, job, 2)
        assert (first.kind, second.kind) == (EndKind.STOPPED, EndKind.DONE)


async def test_copy_takes_no_room_that_work_waits_for(clock):
    """Guards against copies that hold up work of other jobs.

    A large subtask waits for the room that three quarters of an executor have.
    """
    async with open_world() as world:
        start_world(world, executors=2)
        job, name = await submit_slow(world)
        long = SubtaskBehaviour(30, size=Resources(13_000, 512))
        for _ in range(3):
            world.submit(make_step(size=long.size), work=long)
        await world.wait_for(lambda: world.state(job) == "completed", 12)
        assert count_exact(world, name) == 1


async def test_copy_keeps_within_the_maximum(clock):
    """Guards against copies beyond the maximum of a team."""
    async with open_world() as world:
        world.configuration.current = make_config(Resources(10_000))
        start_world(world)
        long = make_behaviour(30)
        for _ in range(3):
            world.submit(make_step(3), work=long)
        await trio.sleep(1.5)
        job, name = await submit_slow(world)
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        assert count_exact(world, name) == 1
