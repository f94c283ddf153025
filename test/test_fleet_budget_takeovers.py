"""Budgets of lasting steps while schedulers are replaced one after the other."""

from collections.abc import Callable

import attrs
import pytest
import trio

from emulator.fleet_executors import SubtaskBehaviour
from hemlockstand.fleet.state import SchedulerState
from hemlockstand.fleet.storage import LeaseRecord, lease_write, read_lease
from hemlockstand.platform.executors import ORDER_TIMEOUT_SECONDS
from test.fleet_world import (
    LASTING,
    SMALL,
    FleetWorld,
    add_wave,
    make_step,
    open_world,
    read_status,
)
from test.test_fleet_restarts import replace_schedulers

GAP_SECONDS = 2.0


@pytest.fixture
def clock(autojump_clock, monkeypatch):
    """Virtual time that jumps to the next event, also in ``time.time``."""
    monkeypatch.setattr("time.time", trio.current_time)
    return autojump_clock


async def start_lasting_step(world: FleetWorld) -> tuple[str, str]:
    """Start a step with a budget; return its job and the instance of a subtask."""
    world.add_instances("pool", 5)
    world.start_daemon("a")
    step = make_step(3, lasting=True, max_unavailable=1, max_per_executor=1)
    job = world.submit(step, work=SubtaskBehaviour(LASTING, size=SMALL))
    await world.wait_for(lambda: len(world.find_running(job)) == 3, 5)
    await trio.sleep(4)
    executor = world.find_running(job)[0].executor
    (name,) = (
        name
        for name, instance in world.instances.instances.items()
        if instance.executor == executor
    )
    return job, name


async def measure_clearing(
    world: FleetWorld, job: str, is_over: Callable[[], bool], longest_seconds: float
) -> float:
    """Return how long it takes until it is over, with the budget of a step kept.

    At least two of the three subtasks of the job run all the time.
    """
    began_at = trio.current_time()
    fewest = 3
    with trio.fail_after(longest_seconds):
        while not is_over():
            fewest = min(fewest, len(world.find_running(job)))
            await trio.sleep(0.02)
    assert fewest >= 2
    seconds = trio.current_time() - began_at
    world.check_runs()
    return seconds


async def measure_wave(longest_seconds: float, phase: float | None = None) -> float:
    """Return how long a wave over one instance takes.

    It begins at a ``phase`` of the interval at which schedulers are replaced, or
    they are not.
    """
    async with open_world() as world:
        job, name = await start_lasting_step(world)
        if phase is not None:
            world.nursery.start_soon(replace_schedulers, world, GAP_SECONDS, False)
            await trio.sleep((3 + phase) * GAP_SECONDS)
        add_wave(world, [name], maximum=1)
        return await measure_clearing(
            world, job, lambda: "completed" in read_status(world), longest_seconds
        )


@pytest.mark.parametrize("phase", [0.0, 0.25, 0.5, 0.75])
async def test_wave_completes_while_schedulers_are_replaced(clock, phase):
    """Guards against a wait for earlier stops that begins with each takeover.

    Nothing with a budget was stopped within the first 2.7 s of a term.
    """
    alone_seconds = await measure_wave(20)
    # Takeovers may cut off the stop, and then the order.
    await measure_wave(alone_seconds + 2 * GAP_SECONDS, phase)


async def measure_evacuation(
    longest_seconds: float, phase: float | None = None
) -> float:
    """Return how long it takes to move the runs of a step out of a data centre.

    ``phase`` is as for ``measure_wave``.
    """
    async with open_world() as world:
        world.add_instances("pool", 3, data_centre="dc2")
        job, _ = await start_lasting_step(world)
        name = world.executors[world.find_running(job)[0].executor].data_centre

        def count_inside() -> int:
            return sum(
                world.executors[run.executor].data_centre == name
                for run in world.find_running(job)
            )

        assert count_inside() == 3
        if phase is not None:
            world.nursery.start_soon(replace_schedulers, world, GAP_SECONDS, False)
            await trio.sleep((3 + phase) * GAP_SECONDS)
        world.evacuate(name)
        return await measure_clearing(
            world, job, lambda: not count_inside(), longest_seconds
        )


@pytest.mark.parametrize("phase", [0.0, 0.25, 0.5, 0.75])
async def test_evacuation_ends_while_schedulers_are_replaced(clock, phase):
    """Guards against a wait for earlier stops that begins with each takeover."""
    alone_seconds = await measure_evacuation(20)
    # A takeover may cut off each of the three moves.
    await measure_evacuation(alone_seconds + 3 * GAP_SECONDS, phase)


def read_record(world: FleetWorld) -> LeaseRecord:
    """Return the lease row."""
    return read_lease(world.store.find("scheduler", "lease"))


async def lead_next(world: FleetWorld, name: str) -> SchedulerState:
    """Start a daemon and return its state once it leads."""
    daemon = world.start_daemon(name)
    await world.wait_for(lambda: daemon.leader is not None, 5)
    return daemon.leader.state


def find_full_wait(state: SchedulerState) -> float:
    """Return when stops of a scheduler that stored nothing have ended."""
    previous_end = state.lease.previous_valid_until
    return previous_end + ORDER_TIMEOUT_SECONDS + state.stop_seconds


async def test_released_lease_tells_when_stops_end(clock):
    """Guards against a run that is stopped beside one that ends just now."""
    async with open_world() as world:
        await start_lasting_step(world)
        daemon = world.daemons["a"]
        began_at = trio.current_time()
        world.stop(daemon)
        state = await lead_next(world, "b")
        stops_end = began_at + state.stop_seconds
        assert stops_end <= state.previous_stops_end < stops_end + 0.6
        assert state.previous_stops_end < find_full_wait(state)


async def test_killed_scheduler_has_told_nothing_of_its_stops(clock):
    """Guards against what an earlier scheduler stored standing for a later one.

    The second scheduler is killed before its first commit or after it.
    """
    for seconds in (0.02, 0.3, 2.0):
        async with open_world() as world:
            await start_lasting_step(world)
            world.stop(world.daemons["a"])
            await lead_next(world, "b")
            await trio.sleep(seconds)
            world.kill(world.daemons["b"])
            state = await lead_next(world, "c")
            assert state.previous_stops_end == find_full_wait(state)


async def test_wait_for_a_killed_scheduler_goes_on_over_a_release(clock):
    """Guards against a short term that hides the stops of the one before it."""
    async with open_world() as world:
        await start_lasting_step(world)
        world.kill(world.daemons["a"])
        second = await lead_next(world, "b")
        stops_end = second.previous_stops_end
        assert stops_end == find_full_wait(second)
        released_at = trio.current_time()
        world.stop(world.daemons["b"])
        third = await lead_next(world, "c")
        # The lease's time stands still until its row is read, with two calls and
        # whole milliseconds, and clocks differ.
        latest = stops_end + 0.25 + 0.01 + 0.05 * (stops_end - released_at)
        assert stops_end <= third.previous_stops_end <= latest


async def test_release_with_an_open_stop_tells_nothing(clock):
    """Guards against a stop that arrives after the wait for it has ended."""
    async with open_world() as world:
        job, _ = await start_lasting_step(world)
        leader = world.daemons["a"].leader
        (subtask, *_) = leader.state.registry.jobs[job].runs()
        world.executors[subtask.run.executor].unresponsive = True
        leader._orders.stop_run(subtask)
        await trio.sleep(0.1)
        world.stop(world.daemons["a"])
        state = await lead_next(world, "b")
        assert state.previous_stops_end == find_full_wait(state)


async def test_stop_without_an_answer_counts_from_its_latest_arrival(clock):
    """Guards against a lost answer that is taken for a stop that never arrives."""
    async with open_world() as world:
        job, _ = await start_lasting_step(world)
        leader = world.daemons["a"].leader
        (subtask, *_) = leader.state.registry.jobs[job].runs()
        world.executors[subtask.run.executor].unresponsive = True
        leader._orders.stop_run(subtask)
        await world.wait_for(lambda: leader._orders.open_stops, 1)
        await world.wait_for(lambda: not leader._orders.open_stops, 1)
        ended_at = trio.current_time() - 0.02
        world.stop(world.daemons["a"])
        state = await lead_next(world, "b")
        longest = ORDER_TIMEOUT_SECONDS + state.stop_seconds
        assert state.previous_stops_end >= ended_at + longest


async def test_leaving_scheduler_sends_no_more_stops(clock):
    """Guards against a stop that is sent after the end of all stops was stored."""
    async with open_world() as world:
        job, _ = await start_lasting_step(world)
        daemon = world.daemons["a"]
        leader = daemon.leader
        (subtask, *_) = leader.state.registry.jobs[job].runs()
        assert leader._orders.close_stops() is not None
        leader._orders.stop_run(subtask)
        await trio.sleep(2)
        assert len(world.find_running(job)) == 3


async def test_row_of_the_version_before_tells_nothing_of_stops(clock):
    """Guards against an earlier version whose release is taken for a statement."""
    async with open_world() as world:
        await start_lasting_step(world)
        world.stop(world.daemons["a"])
        await world.wait_for(lambda: not world.lease_holder(), 2)
        assert read_record(world).stops_ms is not None
        earlier = attrs.evolve(read_record(world), stops_ms=None)
        world.store.put("scheduler", "lease", lease_write(earlier).value)
        state = await lead_next(world, "b")
        assert state.previous_stops_end == find_full_wait(state)
