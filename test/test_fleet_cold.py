"""Cold executors, which are slow for some time after their start."""

import attrs
import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from test.fleet_world import LASTING, SMALL, FleetWorld, make_step, open_world


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


def add_cold_executor(world: FleetWorld, seconds: float, **values):
    """Add an executor that is cold for some seconds."""
    now = trio.current_time()
    return world.add_executor(cold_until=now + seconds, **values)


def limit_starts(world: FleetWorld, starts_per_second: float) -> None:
    """Set how many starts a second a cold executor of the pool takes."""
    config = world.configuration.current
    pool = attrs.evolve(config.pools["pool"], cold_starts_per_second=starts_per_second)
    world.configuration.current = attrs.evolve(
        config, pools=config.pools | {"pool": pool}
    )


async def test_warm_executors_are_preferred(clock):
    """Guards against starts on slow executors while others have room.

    The cold one is in the rack of the data and would be chosen otherwise.
    """
    async with open_world() as world:
        cold = add_cold_executor(world, 10, rack="r1")
        warm = world.add_executor(rack="r2")
        world.start_daemon("a")
        job = world.submit(make_step(4, data_rack="r1"))
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        assert {run.executor for run in world.records} == {warm.id}
        world.submit(make_step(32), work=SubtaskBehaviour(3.0, size=SMALL))
        await world.wait_for(lambda: world.count_runs() == 36, 3)
        await trio.sleep(10)
        began = trio.current_time()
        job = world.submit(make_step(4, data_rack="r1"))
        await world.wait_for(lambda: world.state(job) == "completed", 5)
        later = [run for run in world.records if run.began_at > began]
        assert {run.executor for run in later} == {cold.id}


@pytest.mark.parametrize("gang", [False, True])
async def test_starts_on_a_cold_executor_are_spread(clock, gang):
    """Guards against more starts than a cold executor can bear."""
    async with open_world() as world:
        limit_starts(world, 2.0)
        executors = [add_cold_executor(world, 10) for _ in range(2)]
        world.start_daemon("a")
        jobs = [
            world.submit(make_step(2 if gang else 10, gang=gang))
            for _ in range(5 if gang else 1)
        ]
        await world.wait_for(
            lambda: all(world.state(job) == "completed" for job in jobs), 15
        )
        for executor in executors:
            times = sorted(
                run.began_at for run in world.records if run.executor == executor.id
            )
            pauses = [
                later - earlier
                for earlier, later in zip(times, times[1:], strict=False)
            ]
            assert len(pauses) == 4
            assert min(pauses) >= 0.49


async def test_limit_ends_with_the_cold_time(clock):
    """Guards against an executor that stays limited when it is warm."""
    async with open_world() as world:
        limit_starts(world, 0.5)
        add_cold_executor(world, 3)
        world.start_daemon("a")
        job = world.submit(make_step(12))
        await world.wait_for(lambda: world.state(job) == "completed", 8)
        assert world.count_runs(job) == 12


async def test_report_names_cold_executors(clock):
    """Guards against a report that takes a cold executor for one that refuses."""
    async with open_world() as world:
        limit_starts(world, 0.25)
        add_cold_executor(world, 10)
        daemon = world.start_daemon("a")
        work = SubtaskBehaviour(LASTING, size=SMALL)
        job = world.submit(make_step(2, lasting=True), work=work)
        await world.wait_for(lambda: world.find_running(job), 5)
        (step_run,) = daemon.leader.state.registry.ready.values()
        found = daemon.leader.idle_reporter.describe(step_run)
        assert found.executors == {"cold": 1}


async def test_entry_that_is_read_again_does_not_extend_the_cold_time(clock):
    """Guards against an executor that stays cold as long as it is read again.

    Its entry tells how long it is cold from when it was written.
    """
    async with open_world() as world:
        model = add_cold_executor(world, 3)
        entry = model.entry()
        daemon = world.start_daemon("a")
        await trio.sleep(2)
        (executor,) = daemon.leader.state.executors.values()
        cold_until = executor.cold_until
        assert trio.current_time() < cold_until < trio.current_time() + 3
        world.store.put("servers", model.id, entry)
        await trio.sleep(1)
        assert executor.cold_until == cold_until
        model.cold_until = trio.current_time() + 9
        world.register_executor(model)
        await trio.sleep(1)
        assert executor.cold_until > cold_until + 3
