"""Executors whose capacity shrinks and grows while they run, on virtual time.

The pools of these tests have no admission check: their executors start
whatever they are ordered to start.
"""

import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.model import Resources, StartOrder, Step
from test.fleet_world import (
    LASTING,
    SMALL,
    FleetWorld,
    make_config,
    make_step,
    open_world,
)

LARGE = Resources(8000, 4096)


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def use_unguarded_pool(world: FleetWorld) -> None:
    """Set a configuration whose pool has no admission check."""
    world.configuration.current = make_config(admission_check=False)


async def test_unknown_runs_use_room_until_they_have_stopped(clock):
    """Guards against starts beside a run that no known job has."""
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        unknown = "f" * 16
        world.work[unknown] = SubtaskBehaviour(60.0, size=LARGE)
        due_ms = model.clock_ms + 5000
        for position in range(2):
            name = f"{unknown}.0.0.{position}"
            model.begin(StartOrder(name, 1, "payload", due_ms, 0))
        world.start_daemon("a")
        job = world.submit(Step(4, LARGE, 1000), work=SubtaskBehaviour(1.0, size=LARGE))
        await world.wait_for(lambda: world.state(job) == "completed", 15)
        world.check_capacities()


async def test_cancelled_start_without_an_answer_uses_no_room_for_ever(clock):
    """Guards against room that stays reserved for a run that never began."""
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        world.start_daemon("a")
        await trio.sleep(2)
        model.late_orders = 2
        job = world.submit(Step(2, LARGE, 1000), work=SubtaskBehaviour(1.0, size=LARGE))
        await world.wait_for(lambda: len(model.late) == 2, 5)
        world.cancel(job)
        await trio.sleep(2)
        model.execute_late_orders()
        other = world.submit(
            Step(2, LARGE, 1000), work=SubtaskBehaviour(1.0, size=LARGE)
        )
        await world.wait_for(lambda: world.state(other) == "completed", 10)
        assert not world.count_runs(job)
        world.check_capacities()


async def test_unconfirmed_capacity_is_not_used(clock):
    """Guards against starts by entries that the scheduler cannot read any more.

    Only the table of the executors fails, so the scheduler keeps its lease.
    """
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        daemon = world.start_daemon("a")
        await trio.sleep(2)
        daemon.rows.failing_tables.add("servers")
        world.resize_executor(model, Resources(2000, 32_768))
        for _ in range(30):
            world.submit(make_step(8, 0.4), work=SubtaskBehaviour(0.4, size=SMALL))
            await trio.sleep(0.3)
        began = len(world.records)
        world.check_capacities()
        daemon.rows.failing_tables.clear()
        await trio.sleep(2)
        assert len(world.records) > began
        world.check_capacities()


async def test_guarded_executors_are_used_without_their_table(clock):
    """Guards against idle executors that would refuse what does not fit."""
    async with open_world() as world:
        world.add_executor()
        daemon = world.start_daemon("a")
        await trio.sleep(2)
        daemon.rows.failing_tables.add("servers")
        await trio.sleep(6)
        job = world.submit(make_step(2))
        await world.wait_for(lambda: world.state(job) == "completed", 3)


async def test_overfull_executors_take_no_room_from_others(clock):
    """Guards against a pool that starts nothing beside shrunken executors."""
    async with open_world() as world:
        use_unguarded_pool(world)
        for _ in range(3):
            world.add_executor(admission_check=False)
        world.start_daemon("a")
        await trio.sleep(2)
        step = Step(4, LARGE, 60_000, lasting=True)
        world.submit(step, work=SubtaskBehaviour(LASTING, size=LARGE))
        await world.wait_for(lambda: len(world.find_running()) == 4, 5)
        full = {run.executor for run in world.records}
        assert len(full) == 2
        for executor in full:
            world.resize_executor(world.executors[executor], Resources(500, 32_768))
        await trio.sleep(1)
        job = world.submit(make_step(8))
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        assert not full & {run.executor for run in world.records[4:]}
        world.check_capacities()


async def test_small_capacity_holds_after_its_report(clock):
    """Guards against starts by the capacity that an executor used to have."""
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        world.start_daemon("a")
        await trio.sleep(2)
        world.resize_executor(model, Resources(2000, 32_768))
        await trio.sleep(0.1)
        job = world.submit(make_step(6), work=SubtaskBehaviour(0.5, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        runs = sorted(world.records, key=lambda run: run.began_at)
        for earlier, later in zip(runs, runs[2:], strict=False):
            assert earlier.ended_at <= later.began_at


async def test_stopping_runs_use_room_until_they_end(clock):
    """Guards against starts in the room of runs that are being stopped."""
    async with open_world() as world:
        use_unguarded_pool(world)
        world.add_executor(admission_check=False)
        world.start_daemon("a")
        await trio.sleep(2)
        first = world.submit(Step(2, LARGE, 9000), work=SubtaskBehaviour(9, size=LARGE))
        await world.wait_for(lambda: len(world.find_running(first)) == 2, 5)
        job = world.submit(Step(2, LARGE, 1000), work=SubtaskBehaviour(1, size=LARGE))
        await trio.sleep(0.5)
        world.cancel(first)
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        world.check_capacities()


async def test_runs_of_the_previous_scheduler_use_room(clock):
    """Guards against a new scheduler that takes busy executors for idle."""
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        first = world.start_daemon("a")
        await trio.sleep(2)
        model.lost_answers = 2
        job = world.submit(Step(2, LARGE, 6000), work=SubtaskBehaviour(6, size=LARGE))
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        world.kill(first)
        other = world.submit(Step(2, LARGE, 1000), work=SubtaskBehaviour(1, size=LARGE))
        world.start_daemon("b")
        await world.wait_for(lambda: world.state(other) == "completed", 15)
        world.check_capacities()
        world.check_runs()


async def test_new_lifetime_starts_by_its_own_capacity(clock):
    """Guards against starts by the capacity of an earlier lifetime.

    The entry of the new lifetime is written late.
    """
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        world.start_daemon("a")
        await trio.sleep(2)
        job = world.submit(make_step(16), work=SubtaskBehaviour(2.0, size=SMALL))
        await world.wait_for(lambda: len(world.find_running(job)) == 16, 5)
        model.restart()
        model.capacity = Resources(3000, 32_768)
        model.earlier_capacities.clear()
        await trio.sleep(2)
        world.register_executor(model)
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        world.check_capacities()


async def test_full_read_keeps_a_newer_capacity(clock):
    """Guards against an older row that replaces a capacity read since."""
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        daemon = world.start_daemon("a")
        await trio.sleep(2)
        directory = daemon.leader._executor_directory
        (old,) = world.store.select("servers", "", "", "")
        world.resize_executor(model, Resources(2000, 32_768))
        await trio.sleep(0.2)
        directory._apply_executor_rows((old,))
        await trio.sleep(7)
        job = world.submit(make_step(8), work=SubtaskBehaviour(0.5, size=SMALL))
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        world.check_capacities()


async def test_draining_executor_that_shrinks_gets_nothing(clock):
    """Guards against starts on an executor whose last entry has room."""
    async with open_world() as world:
        use_unguarded_pool(world)
        model = world.add_executor(admission_check=False)
        world.start_daemon("a")
        await trio.sleep(2)
        model.draining = True
        world.resize_executor(model, Resources(64_000, 65_536))
        await trio.sleep(0.2)
        job = world.submit(make_step(2))
        await trio.sleep(3)
        assert not world.count_runs(job)


async def test_gang_takes_no_room_that_has_shrunk(clock):
    """Guards against a gang on executors that their runs already overfill."""
    async with open_world() as world:
        use_unguarded_pool(world)
        models = [world.add_executor(admission_check=False) for _ in range(3)]
        world.start_daemon("a")
        await trio.sleep(2)
        step = Step(2, LARGE, 0, lasting=True)
        job = world.submit(step, work=SubtaskBehaviour(LASTING, size=LARGE))
        await world.wait_for(lambda: len(world.find_running(job)) == 2, 5)
        full = {run.executor for run in world.records}
        for model in models:
            if model.id in full:
                world.resize_executor(model, Resources(1000, 2048))
        await trio.sleep(5)
        gang = Step(4, LARGE, 1000, gang=True)
        job = world.submit(gang, work=SubtaskBehaviour(1.0, size=LARGE))
        await world.wait_for(lambda: world.state(job) == "completed", 10)
        assert not full & {run.executor for run in world.records[2:]}
        world.check_capacities()
