"""Moves out of evacuated data centres that must not be made, on virtual time."""

from types import SimpleNamespace

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.instances import InstanceManager
from hemlockstand.fleet.model import Advice
from hemlockstand.fleet.policy.departures import Departures
from hemlockstand.fleet.work import RunState
from hemlockstand.platform.advice import StepAdvice
from test.fleet_world import SMALL, make_config, make_step, open_world
from test.test_fleet_cold import add_cold_executor, limit_starts
from test.test_fleet_evacuations import (
    add_executors,
    find_data_centres,
    lasting,
    record_lines,
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


async def test_room_that_the_policy_of_the_queue_forbids(clock):
    """Guards against a stop after which no executor may start the subtask."""

    class LocalAdvice:
        async def ask(self, step, executors):
            await trio.sleep(0.05)
            allowed = [
                name for name in executors if world.executors[name].data_centre == "dc1"
            ]
            return StepAdvice({name: f"{step} {name}" for name in allowed}, 30_000)

    async with open_world() as world:
        world.advice = LocalAdvice()
        world.configuration.current = make_config(advice=Advice(100, 1000, 30_000))
        add_executors(world, dc1=1, dc2=1)
        world.start_daemon("a")
        step = make_step(1, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 1, 10)
        await trio.sleep(2)
        assert find_data_centres(world, job) == ["dc1"]
        world.evacuate("dc1")
        await trio.sleep(20)
        assert find_data_centres(world, job) == ["dc1"]
        assert world.count_runs(job) == 1


async def test_room_for_which_a_ticket_is_requested(clock):
    """Guards against a subtask that stays because no ticket was asked for.

    Its step waits for nothing, so no ticket is requested ahead of its move.
    """

    class OpenAdvice:
        async def ask(self, step, executors):
            await trio.sleep(0.05)
            return StepAdvice({name: f"{step} {name}" for name in executors}, 30_000)

    async with open_world() as world:
        world.advice = OpenAdvice()
        world.configuration.current = make_config(advice=Advice(100, 1000, 30_000))
        add_executors(world, dc1=1)
        world.start_daemon("a")
        step = make_step(1, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 1, 10)
        add_executors(world, dc2=1)
        await trio.sleep(2)
        world.evacuate("dc1")
        await trio.sleep(6)
        assert find_data_centres(world, job) == ["dc2"]


async def test_cold_executor_that_takes_no_start_yet(clock):
    """Guards against stops for room that is given to one run in ten seconds."""
    async with open_world() as world:
        limit_starts(world, 0.1)
        add_executors(world, dc1=2)
        world.start_daemon("a")
        step = make_step(1, lasting=True, max_unavailable=1)
        jobs = [world.submit(step, work=lasting()) for _ in range(3)]
        await world.wait_for(lambda: len(world.find_running()) == 3, 10)
        await trio.sleep(2)
        add_cold_executor(world, 60, data_centre="dc2")
        await trio.sleep(1)
        world.evacuate("dc1")
        await trio.sleep(8)
        assert len(world.find_running()) == len(jobs)
        assert "dc2" in find_data_centres(world)


async def test_pool_in_which_nothing_may_start(clock):
    """Guards against stops while capacities are too old to start anything."""
    async with open_world() as world:
        world.configuration.current = make_config(admission_check=False)
        add_executors(world, dc1=1)
        daemon = world.start_daemon("a")
        step = make_step(1, lasting=True, max_unavailable=1)
        job = world.submit(step, work=lasting())
        await world.wait_for(lambda: len(world.find_running(job)) == 1, 10)
        await trio.sleep(2)
        add_executors(world, dc2=1)
        await trio.sleep(2)
        daemon.rows.failing_tables.add("servers")
        await trio.sleep(4)
        world.evacuate("dc1")
        await trio.sleep(10)
        assert find_data_centres(world, job) == ["dc1"]


async def test_executor_that_is_warm_again(clock):
    """Guards against a warm executor that waits out a pause of its cold time."""
    async with open_world() as world:
        limit_starts(world, 0.1)
        add_cold_executor(world, 3)
        world.start_daemon("a")
        work = SubtaskBehaviour(0.2, size=SMALL)
        first = world.submit(make_step(1, 0.2), work=work)
        await world.wait_for(lambda: world.state(first) == "completed", 3)
        second = world.submit(make_step(1, 0.2), work=work)
        await world.wait_for(lambda: world.state(second) == "completed", 5)


async def test_successor_that_has_read_no_lists(clock):
    """Guards against a data centre that is reported as empty and is not."""
    async with open_world() as world:
        add_executors(world, dc1=2)
        daemon = world.start_daemon("a")
        work = SubtaskBehaviour(30.0, size=SMALL)
        job = world.submit(make_step(3), work=work)
        await world.wait_for(lambda: len(world.find_running(job)) == 3, 10)
        world.evacuate("dc1")
        await trio.sleep(2)
        successor = world.start_daemon("b")
        successor.cut_off.update(world.executors)
        with record_lines("data_centre") as lines:
            world.kill(daemon)
            await trio.sleep(4)
            assert successor.leader is not None
            found = successor.leader.evacuations.describe()
        assert [line for line in lines if "runs" not in line] == []
        assert found[0]["unread_executors"] == 2


@pytest.mark.parametrize("change", ["old copy", "evacuation"])
async def test_pending_start_is_checked_when_it_is_sent(clock, change):
    """Guards against a start that waits for a connection beyond its time.

    The order is under way to the connection when it stops being permitted.
    """
    async with open_world() as world:
        add_executors(world, dc1=1)
        daemon = world.start_daemon("a")
        job = world.submit(make_step(1))
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        (executor,) = daemon.leader.state.executors.values()
        client = executor.client

        async def start_late(*values):
            match change:
                case "old copy":
                    world.configuration.fresh = False
                case "evacuation":
                    world.evacuate("dc1")
            return await client.start(*values)

        executor.client = SimpleNamespace(
            start=start_late, hold=client.hold, stop=client.stop, close=client.close
        )
        world.submit(make_step(1))
        await trio.sleep(2)
        assert len(world.records) == 1
        assert not any(
            subtask.avoid
            for step_run in daemon.leader.state.registry.ready.values()
            for subtask in step_run.subtasks
        )


async def test_error_about_a_run_concerns_it_alone(clock, monkeypatch):
    """Guards against a scheduler whose term ends with one faulty subtask."""
    async with open_world() as world:
        add_executors(world, dc1=1, dc2=1)
        daemon = world.start_daemon("a")
        step = make_step(1, lasting=True, max_unavailable=1)
        jobs = [world.submit(step, work=lasting()) for _ in range(2)]
        await world.wait_for(lambda: len(world.find_running()) == 2, 10)
        await trio.sleep(2)
        leader = daemon.leader
        judge = Departures.judge

        def judge_or_fail(departures, subtask):
            if subtask.name.startswith(jobs[0]):
                raise ValueError("unreadable")
            return judge(departures, subtask)

        monkeypatch.setattr(Departures, "judge", judge_or_fail)
        centre = find_data_centres(world, jobs[0])[0]
        assert find_data_centres(world, jobs[1]) == [centre]
        world.evacuate(centre)
        await trio.sleep(6)
        assert daemon.leader is leader
        assert find_data_centres(world, jobs[0]) == [centre]
        assert find_data_centres(world, jobs[1]) != [centre]


async def test_revocation_ranks_executors_before_the_next_placement(clock):
    """Guards against work that returns at once between two ticks."""
    async with open_world() as world:
        add_executors(world, dc1=1, dc2=1)
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        world.evacuate("dc1")
        await trio.sleep(1)
        world.evacuate()
        daemon.leader._place()
        executors = daemon.leader.state.executors.values()
        returning = [
            item.entry.data_centre
            for item in executors
            if item.returning_until > trio.current_time()
        ]
        assert returning == ["dc1"]


async def test_move_that_waits_to_be_stored_is_dropped(clock, monkeypatch):
    """Guards against an evacuated instance that is ordered into a pool.

    Its order is in progress but cannot be sent before the commit that records it.
    """
    async with open_world() as world:
        world.add_instances("pool", 2, data_centre="dc2")
        world.add_instances("standby", 4, data_centre="dc1")
        daemon = world.start_daemon("a")
        await trio.sleep(1)
        manager = daemon.leader._instances
        with monkeypatch.context() as patch:
            patch.setattr(InstanceManager, "mark_stored", lambda *values: None)
            for _ in range(4):
                world.submit(make_step(40), work=SubtaskBehaviour(1.0, size=SMALL))
            await trio.sleep(1)
            assert any(plan.ordering for plan in manager.plans.current.values())
            world.evacuate("dc1")
            await trio.sleep(0.5)
        await trio.sleep(3)
        assert world.instances.orders == []
