"""Orders for instances whose executors change before the answer."""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, Step
from test.fleet_world import SMALL, add_wave, open_world, read_status


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


async def test_executor_that_joined_before_the_answer_is_kept(clock):
    """Guards against runs that nobody polls.

    The answer of an order is lost. The instance is back, and its new executor
    has runs, when the order is repeated and accepted.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        daemon = world.start_daemon("a")
        daemon.instances.order_answer_seconds = 2.0
        daemon.instances.lost_answers = 1
        await trio.sleep(1)
        add_wave(world, names[:1], maximum=1)
        await world.wait_for(lambda: world.instances.maintained.get(1), 10)
        work = SubtaskBehaviour(1.5, size=Resources(4000, 512))
        job = world.submit(Step(40, Resources(4000, 512), 1500), work=work)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        assert len(world.instances.orders) == 2
        executor = world.instances.instances[names[0]].executor
        assert daemon.leader.state.executors[executor].runs
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        world.check_runs()


async def test_executor_restarted_during_an_order_gets_no_runs(clock):
    """Guards against runs that an open order ends.

    The executor of the instance starts a new lifetime under its id before the
    order is carried out.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        daemon.instances.order_seconds = 1.5
        add_wave(world, names[:1], maximum=1)
        waves = daemon.leader._instances.waves.waves
        await world.wait_for(lambda: 1 in waves and waves[1].ordered, 10)
        await trio.sleep(0.3)
        executor = world.instances.instances[names[0]].executor
        world.executors[executor].restart()
        world.register_executor(world.executors[executor])
        work = SubtaskBehaviour(0.5, size=Resources(4000, 512))
        job = world.submit(Step(30, Resources(4000, 512), 500), work=work)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        assert executor not in {run.executor for run in world.records}
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        world.check_runs()


async def test_executor_of_a_dropped_plan_gets_runs_again(clock):
    """Guards against an executor that stays reserved without a plan.

    One list lacks its instance, so the plan is dropped.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        daemon = world.start_daemon("a")
        work = SubtaskBehaviour(6.0, size=SMALL)
        job = world.submit(Step(2, SMALL, 6000, max_per_executor=1), work=work)
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 10)
        add_wave(world, names[:1], maximum=1)
        plans = daemon.leader._instances.plans
        await world.wait_for(lambda: names[0] in plans.current, 10)
        executor = plans.find_executor(names[0])
        daemon.instances.hidden.add(names[0])
        await world.wait_for(lambda: not plans.current, 10)
        assert not executor.reserved


async def test_executor_from_after_an_inherited_order_is_kept(clock):
    """Guards against an instance that gets no work after a change of scheduler.

    The order of the first scheduler is carried out, but not answered. The
    instance is back with a new executor when the next scheduler repeats it.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        first = world.start_daemon("a")
        await trio.sleep(1)
        world.start_daemon("b")
        first.instances.order_answer_seconds = 2.0
        add_wave(world, names[:1], maximum=1)
        await world.wait_for(lambda: world.instances.maintained.get(1), 10)
        world.kill(first)
        await world.wait_for(lambda: "completed" in read_status(world), 20)
        assert [order.holder for order in world.instances.orders] == ["a", "b"]
        work = SubtaskBehaviour(2.0, size=SMALL)
        job = world.submit(Step(2, SMALL, 2000, max_per_executor=1), work=work)
        await world.wait_for(lambda: world.state(job) == "completed", 3)
        executors = world.daemons["b"].leader.state.executors
        assert set(executors) == set(world.executors)


async def test_executor_of_a_repeated_order_has_to_answer_first(clock):
    """Guards against runs on an executor that an unanswered order has ended.

    Its entry stays in the store for some seconds.
    """
    async with open_world() as world:
        world.add_instances("pool", 2)
        names = list(world.instances.instances)
        daemon = world.start_daemon("a")
        daemon.instances.lost_answers = 1
        await trio.sleep(1)
        executor = daemon.leader.state.executors[
            world.instances.instances[names[0]].executor
        ]
        entry = world.store.find("servers", executor.id)
        add_wave(world, names[:1], maximum=1)
        await world.wait_for(lambda: world.instances.maintained.get(1), 10)
        world.store.put("servers", executor.id, entry.value)
        await world.wait_for(lambda: len(world.instances.orders) == 2, 10)
        work = SubtaskBehaviour(0.3, size=Resources(4000, 512))
        job = world.submit(Step(20, Resources(4000, 512), 300), work=work)
        while world.state(job) != "completed":
            assert not executor.runs
            await trio.sleep(0.01)
